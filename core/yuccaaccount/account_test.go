package yuccaaccount_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaquota"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// account returns an account with the given keys.
func account(name string, keys ...string) yuccaaccount.Account {
	a := yuccaaccount.Account{Name: name}
	for _, key := range keys {
		a.Digests = append(a.Digests, yuccaaccount.DigestOf([]byte(key)))
	}
	return a
}

// TestFindMatchesAMap compares lookups with a map from keys to names. It guards against
// keys that are lost or given to another account when probe runs overlap or wrap.
func TestFindMatchesAMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		owners := rapid.MapOf(rapid.StringMatching(`[a-z]{1,4}`), rapid.IntRange(0, 4)).Draw(r, "owners")
		accounts := make([]yuccaaccount.Account, 5)
		for i := range accounts {
			accounts[i].Name = fmt.Sprint("a", i)
		}
		for key, i := range owners {
			accounts[i].Digests = append(accounts[i].Digests, yuccaaccount.DigestOf([]byte(key)))
		}
		d := yuccaaccount.New(accounts)
		for _, key := range append(rapid.SliceOf(rapid.StringMatching(`[a-z]{0,4}`)).Draw(r, "others"), keysOf(owners)...) {
			a, ok := d.Find([]byte(key))
			i, known := owners[key]
			if ok != known || ok && a.Name != fmt.Sprint("a", i) {
				r.Fatalf("%q: found %v %v, want %v %v", key, a, ok, i, known)
			}
		}
	})
}

func keysOf(m map[string]int) []string {
	var all []string
	for key := range m {
		all = append(all, key)
	}
	return all
}

// TestEmptyKeyMatchesNothing guards against a request without a key that gets an account
// by the digest of nothing.
func TestEmptyKeyMatchesNothing(t *testing.T) {
	for _, accounts := range [][]yuccaaccount.Account{nil, {account("a")}, {account("a", "")}} {
		_, ok := yuccaaccount.New(accounts).Find(nil)
		qt.Assert(t, ok, qt.IsFalse)
	}
}

// TestRevokedKeys revokes keys over several versions, and adds one again. It guards
// against a cause that names the wrong version, and against a memory without a bound.
func TestRevokedKeys(t *testing.T) {
	c := qt.New(t)
	revokedIn := func(d *yuccaaccount.Directory, key string) uint64 {
		version, _ := d.Revoked([]byte(key))
		return version
	}
	first := yuccaaccount.New([]yuccaaccount.Account{account("a", "k1", "k2", "k3"), account("b", "k4")}).WithRevoked(nil, 1)
	c.Assert(revokedIn(first, "k1"), qt.Equals, uint64(0))
	second := yuccaaccount.New([]yuccaaccount.Account{account("a", "k2", "k3", "k4")}).WithRevoked(first, 2)
	c.Assert(revokedIn(second, "k1"), qt.Equals, uint64(2))
	c.Assert(revokedIn(second, "k4"), qt.Equals, uint64(0))
	third := yuccaaccount.New([]yuccaaccount.Account{account("a", "k1", "k2")}).WithRevoked(second, 3)
	c.Assert(revokedIn(third, "k1"), qt.Equals, uint64(0))
	c.Assert(revokedIn(third, "k3"), qt.Equals, uint64(3))
	fourth := yuccaaccount.New([]yuccaaccount.Account{account("a")}).WithRevoked(third, 4)
	c.Assert(revokedIn(fourth, "k3"), qt.Equals, uint64(3))
	c.Assert(revokedIn(fourth, "k1"), qt.Equals, uint64(4))
	c.Assert(revokedIn(fourth, "never"), qt.Equals, uint64(0))

	var many []string
	for i := range 25_000 {
		many = append(many, fmt.Sprint("many-", i))
	}
	none := yuccaaccount.New(nil).WithRevoked(yuccaaccount.New([]yuccaaccount.Account{account("a", many...)}).WithRevoked(fourth, 5), 6)
	remembered := 0
	for _, key := range many {
		if revokedIn(none, key) == 6 {
			remembered++
		}
	}
	c.Assert(remembered, qt.Equals, 10_000)
}

// TestQuotas guards against quotas that get lost or belong to another account.
func TestQuotas(t *testing.T) {
	c := qt.New(t)
	a := account("a", "k")
	a.Quota = yuccaquota.Limit{Rate: 2, Burst: 3}
	c.Assert(yuccaaccount.New([]yuccaaccount.Account{a, account("b")}).Quotas(), qt.DeepEquals, map[string]yuccaquota.Limit{"a": a.Quota, "b": {}})
	var none *yuccaaccount.Directory
	c.Assert(none.Quotas(), qt.HasLen, 0)
}

// TestCheck rejects invalid accounts with errors that name accounts and no keys.
func TestCheck(t *testing.T) {
	limit := func(rate, burst float64) yuccaaccount.Account {
		a := account("a", "secret")
		a.Quota = yuccaquota.Limit{Rate: rate, Burst: burst}
		return a
	}
	tests := []struct {
		name     string
		accounts []yuccaaccount.Account
		want     string
	}{
		{"none", nil, ""},
		{"valid", []yuccaaccount.Account{account("a b", "secret"), account("ü", "other"), account("no keys")}, ""},
		{"key twice in an account", []yuccaaccount.Account{account("a", "secret", "secret")}, ""},
		{"same key", []yuccaaccount.Account{account("a", "secret"), account("b", "other", "secret")}, `accounts "a" and "b" have the same key`},
		{"same name", []yuccaaccount.Account{account("a", "secret"), account("a", "other")}, `two accounts are named "a"`},
		{"empty name", []yuccaaccount.Account{account("", "secret")}, `account "": name is empty`},
		{"line end in the name", []yuccaaccount.Account{account("a\r\nb: c")}, `.*name is not a valid value of a header field`},
		{"space at the end of the name", []yuccaaccount.Account{account("a ")}, `.*name is not a valid value of a header field`},
		{"delete in the name", []yuccaaccount.Account{account("a\x7f")}, `.*name is not a valid value of a header field`},
		{"long name", []yuccaaccount.Account{account(strings.Repeat("a", 2000))}, `.*name is longer than 1024 bytes`},
		{"empty key", []yuccaaccount.Account{account("a", "secret", "")}, `account "a": a key is empty`},
		{"no limit", []yuccaaccount.Account{limit(0, 3)}, ""},
		{"negative rate", []yuccaaccount.Account{limit(-1, 0)}, `account "a": rate -1 is not .*`},
		{"rate not a number", []yuccaaccount.Account{limit(math.NaN(), 0)}, `account "a": rate NaN is not .*`},
		{"infinite rate", []yuccaaccount.Account{limit(math.Inf(1), 0)}, `account "a": rate \+Inf is not .*`},
		{"negative burst", []yuccaaccount.Account{limit(1, -0.5)}, `account "a": burst -0.5 is not .*`},
		{"infinite burst", []yuccaaccount.Account{limit(1, math.Inf(1))}, `account "a": burst \+Inf is not .*`},
		{"too many keys", []yuccaaccount.Account{{Name: "a", Digests: make([]yuccaaccount.Digest, yuccaaccount.MaxKeys)}, account("b", "k")}, `more than 1000000 keys`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := yuccaaccount.Check(test.accounts)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(err.Error(), qt.Not(qt.Contains), "secret")
		})
	}
}

// TestRegionsWith guards against an empty intersection that reads as any region.
func TestRegionsWith(t *testing.T) {
	tests := []struct{ account, route, want string }{
		{"", "", "any"}, {"a", "", "a"}, {"", "a", "a"}, {"a b", "b a", "a b"},
		{"a b", "b c", "b"}, {"a", "a b", "a"}, {"a b", "b", "b"}, {"a", "b", "none"}, {"a b", "c d", "none"},
	}
	for _, test := range tests {
		t.Run(test.account+"/"+test.route, func(t *testing.T) {
			regions, ok := (&yuccaaccount.Account{Regions: strings.Fields(test.account)}).RegionsWith(strings.Fields(test.route))
			got := strings.Join(regions, " ")
			switch {
			case !ok:
				got = "none"
			case got == "":
				got = "any"
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
	var none *yuccaaccount.Account
	regions, ok := none.RegionsWith([]string{"a"})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, regions, qt.DeepEquals, []string{"a"})
}

// manyKeys returns accounts with n keys of 32 bytes, and one of the keys.
func manyKeys(n int) ([]yuccaaccount.Account, []byte) {
	accounts := make([]yuccaaccount.Account, 1000)
	var key []byte
	for i := range n {
		key = fmt.Appendf(nil, "%032d", i)
		a := &accounts[i%len(accounts)]
		a.Name = fmt.Sprint("account-", i%len(accounts))
		a.Digests = append(a.Digests, yuccaaccount.DigestOf(key))
	}
	return accounts, key
}

// TestFindDoesNotAllocate guards against garbage for each request.
func TestFindDoesNotAllocate(t *testing.T) {
	accounts, key := manyKeys(100_000)
	d := yuccaaccount.New(accounts)
	qt.Assert(t, testing.AllocsPerRun(100, func() { d.Find(key); d.Find([]byte("unknown")) }), qt.Equals, 0.0)
}

// BenchmarkFind looks keys up among 100,000.
func BenchmarkFind(b *testing.B) {
	accounts, key := manyKeys(100_000)
	d := yuccaaccount.New(accounts)
	for name, k := range map[string][]byte{"known": key, "unknown": []byte("unknown-unknown-unknown-unknown-")} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Find(k)
			}
		})
	}
}
