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
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// phaseResult counts what came of the requests of one phase.
type phaseResult struct {
	name     string
	mu       sync.Mutex
	services map[string]*serviceResult
	// headroom is the least that was sampled.
	headroom map[string]float64
}

type serviceResult struct {
	fates   [wrong + 1]int
	latency *hdr.Histogram
}

func newPhaseResult(name string) *phaseResult {
	return &phaseResult{name: name, services: map[string]*serviceResult{}, headroom: map[string]float64{}}
}

func (p *phaseResult) add(service string, f fate, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	if !ok {
		s = &serviceResult{latency: hdr.New(1, histogramMax, histogramDigits)}
		p.services[service] = s
	}
	s.fates[f]++
	if f == whole {
		_ = s.latency.RecordValue(min(took.Microseconds(), histogramMax))
	}
}

// sampled keeps the least headroom of a service.
func (p *phaseResult) sampled(service string, headroom float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	least, ok := p.headroom[service]
	if !ok || headroom < least {
		p.headroom[service] = headroom
	}
}

// line sums the phase up for a progress line.
func (p *phaseResult) line() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum [wrong + 1]int
	for _, s := range p.services {
		for f, n := range s.fates {
			sum[f] += n
		}
	}
	return fmt.Sprintf("whole=%d refused=%d unsure=%d lost=%d wrong=%d", sum[whole], sum[refused], sum[unsure], sum[lost], sum[wrong])
}

// row is one service in one phase as JSON.
type row struct {
	Phase         string `json:"phase"`
	Service       string `json:"service"`
	Whole         int    `json:"whole"`
	Refused       int    `json:"refused"`
	Indeterminate int    `json:"unsure"`
	Lost          int    `json:"lost"`
	Corrupted     int    `json:"wrong"`
	// P50, P99 and Max are in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Headroom is the least free part of the service's slots, from 0 to 1.
	Headroom float64 `json:"headroom"`
}

func (p *phaseResult) rows() []row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []row
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		rows = append(rows, row{
			Phase:         p.name,
			Service:       name,
			Whole:         s.fates[whole],
			Refused:       s.fates[refused],
			Indeterminate: s.fates[unsure],
			Lost:          s.fates[lost],
			Corrupted:     s.fates[wrong],
			P50:           milliseconds(s.latency.ValueAtQuantile(50)),
			P99:           milliseconds(s.latency.ValueAtQuantile(99)),
			Max:           milliseconds(s.latency.Max()),

			Headroom: p.headroom[name],
		})
	}
	return rows
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// writeResults prints a table to w, or writes JSON lines where w is a file.
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
