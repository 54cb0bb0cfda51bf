package yuccaburn

// Count is the number of requests by outcome.
type Count struct {
	// Total is the number of all counted requests, good and bad.
	Total uint64 `json:"total"`
	// Shed is the number of requests with the outcome Shed.
	Shed uint64 `json:"shed"`
	// Late is the number of requests with the outcome Late.
	Late uint64 `json:"late"`
	// Broken is the number of requests with the outcome Broken.
	Broken uint64 `json:"broken"`
	// Moving is the number of bad requests that ended while a shift or drain
	// of the service was in progress.
	Moving uint64 `json:"moving"`
}

// Bad returns the number of requests that missed the goal.
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

// Outcome is how one request counts against the goal of its service.
type Outcome uint8

// The possible outcomes of a request.
const (
	// Good means that the request was answered within the goal's latency.
	Good Outcome = iota
	// Shed means that the request was rejected for lack of capacity.
	Shed
	// Late means that the answer came after the goal's latency, or that the
	// request's deadline expired before an answer came.
	Late
	// Broken means that the request failed on the way to the backend server or
	// at that server.
	Broken
	// Ignored means that the caller caused the failure. The request is not
	// counted.
	Ignored
)
