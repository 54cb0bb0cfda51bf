package yuccaquota

import "yuccawell.example/core/yuccapeer"

// lenderShare is the part of an account's tokens that its lender may admit between two
// reports. The other entries share the rest evenly.
const lenderShare = 0.5

// Lender returns the entry that admits requests of an account for entries whose part is used
// up, empty without entries. Entries with the same list choose the same one.
func Lender(account string, entries []string) string {
	for _, name := range yuccapeer.RendezvousTop("lender "+account, entries, 1) {
		return name
	}
	return ""
}

// part returns this entry's part of tokens between two reports. It is even unless that would
// be less than one request also of a full bucket, so that most requests are borrowed.
func (a *account) part(tokens float64, entries int) float64 {
	even := Evenly(tokens, entries)
	if entries <= freeRequests || a.limit.capacity() >= float64(entries) {
		return even
	}
	even *= 1 - lenderShare
	if a.lends {
		even += lenderShare * tokens
	}
	return even
}
