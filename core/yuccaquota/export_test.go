package yuccaquota

// Remembered returns the numbers of accounts, of usages of other entries and of other
// entries that the ledger remembers.
func (l *Ledger) Remembered() (accounts, usages, peers int) {
	for _, a := range l.accounts {
		usages += len(a.others)
	}
	return len(l.accounts) + len(l.removed) + len(l.active), usages, len(l.group.peers)
}

// Others returns the number of usages of other entries that an account remembers.
func (l *Ledger) Others(name string) int { return len(l.accounts[name].others) }
