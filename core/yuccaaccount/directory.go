package yuccaaccount

import "yuccawell.example/core/yuccaquota"

// Directory finds accounts by their keys. It is immutable and safe for concurrent use.
// Create one with New.
type Directory struct {
	accounts []Account
	// keys holds the position in accounts by digest.
	keys *digestTable
	// revoked holds the versions that revoked digests, by digest; nil if none are known.
	revoked *digestTable
	// history are the digests in revoked, oldest first.
	history []revocation
}

// revocation is the digest of a key that a version of the config no longer has.
type revocation struct {
	digest  Digest
	version uint64
}

// maxRevoked is the number of revoked digests that a directory remembers.
const maxRevoked = 10_000

// New returns the directory of accounts that have passed Check.
func New(accounts []Account) *Directory {
	keys := 0
	for _, a := range accounts {
		keys += len(a.Digests)
	}
	d := &Directory{accounts: accounts, keys: newDigestTable(keys)}
	for i, a := range accounts {
		for _, digest := range a.Digests {
			d.keys.put(digest, uint64(i))
		}
	}
	return d
}

// Find returns the account that a key belongs to. An empty key belongs to none.
func (d *Directory) Find(key []byte) (*Account, bool) {
	if len(key) == 0 {
		return nil, false
	}
	i, ok := d.keys.get(DigestOf(key))
	if !ok {
		return nil, false
	}
	return &d.accounts[i], true
}

// Quotas returns the quota of each account by name. The directory may be nil.
func (d *Directory) Quotas() map[string]yuccaquota.Limit {
	if d == nil {
		return map[string]yuccaquota.Limit{}
	}
	quotas := make(map[string]yuccaquota.Limit, len(d.accounts))
	for _, a := range d.accounts {
		quotas[a.Name] = a.Quota
	}
	return quotas
}

// Revoked returns the version of the config that revoked a key, and false if the
// directory does not know of one.
func (d *Directory) Revoked(key []byte) (version uint64, ok bool) {
	if d.revoked == nil {
		return 0, false
	}
	return d.revoked.get(DigestOf(key))
}

// WithRevoked returns the directory with what the previous one remembers as revoked and
// with the keys that the version lacks and the previous one has. The previous directory
// may be nil. Only the latest maxRevoked digests are kept.
func (d *Directory) WithRevoked(previous *Directory, version uint64) *Directory {
	if previous == nil {
		return d
	}
	next := &Directory{accounts: d.accounts, keys: d.keys}
	keep := func(r revocation) {
		if _, ok := d.keys.get(r.digest); !ok {
			next.history = append(next.history, r)
		}
	}
	for _, r := range previous.history {
		keep(r)
	}
	for _, a := range previous.accounts {
		for _, digest := range a.Digests {
			keep(revocation{digest, version})
		}
	}
	next.history = next.history[max(0, len(next.history)-maxRevoked):]
	if len(next.history) == 0 {
		return d
	}
	next.revoked = newDigestTable(len(next.history))
	for _, r := range next.history {
		next.revoked.put(r.digest, r.version)
	}
	return next
}
