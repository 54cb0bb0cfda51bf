package yuccaburn

// Count is how many requests ended in which way.
type Count struct {
	Total  uint64 `json:"total"`
	Shed   uint64 `json:"shed"`
	Late   uint64 `json:"late"`
	Broken uint64 `json:"broken"`
	// Moving is how many of the bad ones ended while a shift or drain of the
	// service was under way.
	Moving uint64 `json:"moving"`
}

// Bad returns how many requests missed the goal.
func (c Count) Bad() uint64 { return c.Shed + c.Late + c.Broken }

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	c.Total += o.Total
	c.Shed += o.Shed
	c.Late += o.Late
	c.Broken += o.Broken
	c.Moving += o.Moving
	return c
}

// Outcome says how one request counts against its goal.
type Outcome uint8

// The outcomes.
const (
	// Good means answered in time.
	Good Outcome = iota
	// Shed means refused for lack of capacity.
	Shed
	// Late means answered after the goal's latency, or not before the deadline.
	Late
	// Broken means failed on the way or at the server.
	Broken
	// Ignored means that the caller's own doing ended it; it counts for nothing.
	Ignored
)
