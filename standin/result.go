package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMaxMicros is the largest latency that the histogram records, in
	// microseconds.
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	// histogramDigits is the precision of the histogram in significant digits.
	histogramDigits = 3
)

// phaseResult counts the outcomes of the requests of one phase.
type phaseResult struct {
	name     string
	mu       sync.Mutex
	services map[string]*serviceResult // by service name
	// headroom is the lowest sample of each service, from 0 to 1.
	headroom map[string]float64
}

// serviceResult is the result of one service in one phase.
type serviceResult struct {
	// outcomes counts the requests by outcome.
	outcomes [outcomeCorrupted + 1]int
	// latency holds the latencies of successful requests, in microseconds.
	latency *hdr.Histogram
}

func newPhaseResult(name string) *phaseResult {
	return &phaseResult{name: name, services: map[string]*serviceResult{}, headroom: map[string]float64{}}
}

// add records the outcome and the latency of a request. Only the latencies of
// successful requests count.
func (p *phaseResult) add(service string, o outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	if !ok {
		s = &serviceResult{latency: hdr.New(1, histogramMaxMicros, histogramDigits)}
		p.services[service] = s
	}
	s.outcomes[o]++
	if o == outcomeSucceeded {
		_ = s.latency.RecordValue(min(latency.Microseconds(), histogramMaxMicros))
	}
}

// recordHeadroom keeps the lowest headroom of a service.
func (p *phaseResult) recordHeadroom(service string, headroom float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lowest, ok := p.headroom[service]
	if !ok || headroom < lowest {
		p.headroom[service] = headroom
	}
}

// progress returns the totals of the phase as key=value pairs.
func (p *phaseResult) progress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum [outcomeCorrupted + 1]int
	for _, s := range p.services {
		for o, n := range s.outcomes {
			sum[o] += n
		}
	}
	return fmt.Sprintf("whole=%d refused=%d unsure=%d lost=%d wrong=%d", sum[outcomeSucceeded], sum[outcomeRejected], sum[outcomeIndeterminate], sum[outcomeLost], sum[outcomeCorrupted])
}

// row is the result of one service in one phase as JSON.
type row struct {
	// Phase is the name of the phase.
	Phase string `json:"phase"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Succeeded counts the requests with outcomeSucceeded.
	Succeeded int `json:"whole"`
	// Rejected counts the requests with outcomeRejected.
	Rejected int `json:"refused"`
	// Indeterminate counts the requests with outcomeIndeterminate.
	Indeterminate int `json:"unsure"`
	// Lost counts the requests with outcomeLost.
	Lost int `json:"lost"`
	// Corrupted counts the requests with outcomeCorrupted.
	Corrupted int `json:"wrong"`
	// P50 is the median latency of successful requests in milliseconds.
	P50 float64 `json:"p50"`
	// P99 is the 99th percentile of their latency in milliseconds.
	P99 float64 `json:"p99"`
	// Max is their highest latency in milliseconds.
	Max float64 `json:"max"`
	// Headroom is the lowest sampled free fraction of the service's slots, from 0
	// to 1.
	Headroom float64 `json:"headroom"`
}

// rows returns one row for each service, sorted by name.
func (p *phaseResult) rows() []row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []row
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		rows = append(rows, row{
			Phase:         p.name,
			Service:       name,
			Succeeded:     s.outcomes[outcomeSucceeded],
			Rejected:      s.outcomes[outcomeRejected],
			Indeterminate: s.outcomes[outcomeIndeterminate],
			Lost:          s.outcomes[outcomeLost],
			Corrupted:     s.outcomes[outcomeCorrupted],
			P50:           milliseconds(s.latency.ValueAtQuantile(50)),
			P99:           milliseconds(s.latency.ValueAtQuantile(99)),
			Max:           milliseconds(s.latency.Max()),

			Headroom: p.headroom[name],
		})
	}
	return rows
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// writeResults writes one JSON row per line for each phase and service.
func writeResults(w io.Writer, results []*phaseResult) error {
	e := json.NewEncoder(w)
	for _, p := range results {
		for _, r := range p.rows() {
			if err := e.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}
