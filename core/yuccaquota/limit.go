package yuccaquota

// Limit bounds the requests that all entries together admit. The zero value is no limit.
type Limit struct {
	// Rate is the number of requests a second; zero means no limit.
	Rate float64
	// Burst is the number of requests that may be admitted at once beyond the rate.
	Burst float64
}
