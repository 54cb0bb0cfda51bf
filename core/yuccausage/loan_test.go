package yuccausage_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaquota"
	"yuccawell.example/core/yuccausage"
)

// startExchanges starts n entries, the first of which have an account "a" with the limit.
func startExchanges(c *qt.C, net *yuccafake.Net, n, limited int, limit yuccaquota.Limit) (all []*yuccausage.Exchange, stop func()) {
	group := &errgroup.Group{}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	for i, name := range names {
		x := yuccausage.New(name, 1, net.Bus(name), func() []string { return names }, zerolog.Nop())
		if i < limited {
			x.SetQuotas(map[string]yuccaquota.Limit{"a": limit})
		}
		c.Assert(x.Start(c.Context(), group), qt.IsNil)
		all = append(all, x)
	}
	return all, func() {
		for _, x := range all {
			c.Assert(x.Stop(context.Background()), qt.IsNil)
		}
		c.Assert(group.Wait(), qt.IsNil)
		net.Wait()
	}
}

// TestEntriesBorrow sends two requests a second of an account with a limit of five to 40
// entries, each to another one. It guards against requests that are refused although the
// account is below its limit, because no entry's part of it is a whole request.
func TestEntriesBorrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := yuccafake.NewNet()
		all, stop := startExchanges(c, net, 40, 40, yuccaquota.Limit{Rate: 5, Burst: 5})
		time.Sleep(8 * time.Second)
		rng := rand.New(rand.NewPCG(1, 1))
		admitted := 0
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			if all[rng.IntN(len(all))].Take(time.Now(), "a") == nil {
				admitted++
			}
		}
		c.Assert(admitted >= 38, qt.IsTrue, qt.Commentf("%d of 40", admitted))
		stop()
	})
}

// TestNoLoanWithoutRoom cuts an entry off from all others, so that it knows of no room in the
// limit. It guards against a call for each request above a limit.
func TestNoLoanWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &bus{}
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprintf("e%02d", i))
		}
		var group errgroup.Group
		x := yuccausage.New("e00", 1, b, func() []string { return names }, zerolog.Nop())
		x.SetQuotas(map[string]yuccaquota.Limit{"a": {Rate: 5, Burst: 5}})
		c.Assert(x.Start(t.Context(), &group), qt.IsNil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_ = x.Take(time.Now(), "a")
		}
		c.Assert(b.calls, qt.Equals, 0)
		c.Assert(x.Stop(context.Background()), qt.IsNil)
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestLoanNeedsLimit asks an entry for loans. It guards against loans of an entry that counts
// nothing for the account, as its config has no limit for it yet, and against loans beyond
// the limit.
func TestLoanNeedsLimit(t *testing.T) {
	tests := []struct {
		name    string
		limited int
		granted int
	}{
		{"no limit", 0, 0},
		{"limit", 1, 11},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				net := yuccafake.NewNet()
				_, stop := startExchanges(c, net, 1, test.limited, yuccaquota.Limit{Rate: 5, Burst: 5})
				time.Sleep(8 * time.Second)
				body, err := proto.Marshal(&yuccausage.Loan{Account: "a"})
				c.Assert(err, qt.IsNil)
				granted := 0
				for range 100 {
					reply, err := net.Bus("borrower").Call(t.Context(), "e00", "account.loan", body)
					c.Assert(err, qt.IsNil)
					var grant yuccausage.Grant
					c.Assert(proto.Unmarshal(reply, &grant), qt.IsNil)
					if grant.GetGranted() {
						granted++
					}
				}
				c.Assert(granted, qt.Equals, test.granted)
				stop()
			})
		})
	}
}
