package yuccaquota

import "yuccawell.example/core/yuccapeer"

// maxLenderShare is the largest part of an account's tokens that its lender may admit between
// two reports.
const maxLenderShare = 0.6

// lenderOf returns the entry that admits requests of an account for entries whose part is used
// up, empty without entries. Entries with the same list choose the same one.
func lenderOf(account string, entries []string) string {
	top := yuccapeer.RendezvousTop("lender "+account, entries, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// part returns this entry's part of tokens between two reports. It is even while there are so
// few entries that each may admit a request of any account. The more there are, the more of
// the tokens the lender has, and the others share the rest evenly.
func (a *account) part(tokens float64, g *group) float64 {
	lent := tokens * maxLenderShare * max(0, 1-Evenly(freeRequests, g.entries))
	part := Evenly(tokens-lent, g.entries)
	if a.lender == g.self {
		part += lent
	}
	return part
}
