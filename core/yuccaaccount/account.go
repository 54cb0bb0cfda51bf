// Package yuccaaccount identifies the client accounts of callers by their keys. An
// account may set the priority of its requests, the regions in which they may run and
// their quota.
//
// Keys are kept as SHA-256 digests only. A Directory is one immutable version of all
// accounts; it also knows the digests that recent versions have revoked.
//
//	if err := yuccaaccount.Check(accounts); err != nil {
//		return err
//	}
//	directory := yuccaaccount.New(accounts)
//	account, ok := directory.Find(key)
package yuccaaccount

import (
	"crypto/sha256"

	"yuccawell.example/core/yuccaquota"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest { return sha256.Sum256(key) }

// Account is a client of the system.
type Account struct {
	// Name identifies the account. Backend servers receive it in a header field.
	Name string
	// Digests are the digests of the account's keys. An account without keys matches no
	// request.
	Digests []Digest
	// Priority is the priority of the account's requests, 0 for the most urgent; nil
	// means that of the route.
	Priority *int
	// Regions are the only regions in which the requests may run; none means any.
	Regions []string
	// Quota bounds the requests that all entries together admit.
	Quota yuccaquota.Limit
}

// PriorityOr returns the priority of the account's requests on a route with the given
// priority. The account may be nil.
func (a *Account) PriorityOr(route int) int {
	if a == nil || a.Priority == nil {
		return route
	}
	return *a.Priority
}

// RegionsWith returns the regions in which the account's requests may run on a route with
// the given regions: those that both allow, where no regions means any. It returns false
// if the two have no region in common, in which case the request can run nowhere. The
// account may be nil.
func (a *Account) RegionsWith(route []string) ([]string, bool) {
	switch {
	case a == nil || len(a.Regions) == 0:
		return route, true
	case len(route) == 0 || containsAll(route, a.Regions):
		return a.Regions, true
	case containsAll(a.Regions, route):
		return route, true
	}
	var both []string
	for _, region := range route {
		if containsAll(a.Regions, []string{region}) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}
