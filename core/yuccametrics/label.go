package yuccametrics

import "sync"

const (
	// maxAccountLabels is the number of accounts with metrics of their own.
	maxAccountLabels = 100
	// otherAccounts is the label of all further accounts.
	otherAccounts = "(others)"
)

// accountLabels chooses the label of each account, so that many accounts do not make many
// series. The zero value is ready to use.
type accountLabels struct {
	mu sync.RWMutex
	// known holds the names of the accounts with a label of their own.
	known map[string]bool
}

// label returns the account's name for the first maxAccountLabels accounts, and
// otherAccounts for all others.
func (l *accountLabels) label(account string) string {
	l.mu.RLock()
	known, full := l.known[account], len(l.known) >= maxAccountLabels
	l.mu.RUnlock()
	switch {
	case known:
		return account
	case full:
		return otherAccounts
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]bool{}
	}
	if len(l.known) < maxAccountLabels {
		l.known[account] = true
	}
	if l.known[account] {
		return account
	}
	return otherAccounts
}
