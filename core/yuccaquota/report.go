package yuccaquota

// Report is what an entry tells the others.
type Report struct {
	// Incarnation distinguishes this start of the entry from earlier ones.
	Incarnation uint64
	// Seq numbers the reports of an incarnation.
	Seq uint64
	// View is a hash of the names of the entries whose reports reach the sender.
	View uint64
	// Entries is the number of entries that the sender knows.
	Entries int
	// Synced is set if the tokens in the report are an estimate for all entries.
	Synced bool
	// Whole is set if Usages has all accounts whose tokens are not complete.
	Whole bool
	// Usages holds the usage of accounts. The slice is valid until the next call of Tick.
	Usages []Usage
	// viewChanged is set if View differs from that of the last report.
	viewChanged bool
}

// Needed reports whether the others have to get the report: it holds something, the entry
// gets reports from others than before, or the last report was a while ago.
func (r Report) Needed() bool { return len(r.Usages) > 0 || r.viewChanged || r.Seq%emptyReports == 0 }

// Usage is what an entry has admitted of one account.
type Usage struct {
	// Account is the hash of the account's name.
	Account uint64
	// Admitted is the number of requests that the entry has admitted in this incarnation.
	Admitted uint64
	// Rate is the present rate of these, in requests a second.
	Rate float64
	// Tokens is the sender's estimate of the tokens that are left for all entries.
	Tokens float64
}
