package yuccaquota

import "time"

// FairShare makes fairShare available to tests.
var FairShare = fairShare

// Capacity returns how many tokens an account's bucket may hold.
func (l *Ledger) Capacity(now time.Time, name string) float64 {
	l.activate(now, l.accounts[name])
	return l.accounts[name].bucket.capacity
}

// Remembered returns the numbers of accounts, of claims of other entries and of other
// entries that the ledger remembers.
func (l *Ledger) Remembered() (accounts, claims, peers int) {
	accounts = len(l.accounts) + len(l.removed) + len(l.active)
	for _, a := range l.active {
		claims += len(a.peers)
	}
	return accounts, claims, len(l.group.peers)
}
