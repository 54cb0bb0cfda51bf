package yuccacapacity

import "time"

const (
	// meterWeight is the weight of the latest interval in the EWMA of the utilization, in
	// (0, 1]. With an interval of 0.5 s, a surge shows within a second.
	meterWeight = 0.4
	// idleWeight is the weight of the latest interval without requests in the EWMA of the
	// processor time that the entry takes by itself.
	idleWeight = 0.2
	// saturatedShare is the share of the processor or the link above which requests wait.
	saturatedShare = 0.85
	// relievedShare is the share below which the entry is no longer saturated.
	relievedShare = 0.6
	// saturatedHold is how long an entry stays saturated at least. Callers keep lookup
	// responses for up to 3 s, so a shorter time lets the load swing.
	saturatedHold = 5 * time.Second
)

// Totals are the counters of an entry since its start.
type Totals struct {
	// Processor is the processor time of the process.
	Processor time.Duration
	// Requests is the number of requests of callers that have ended.
	Requests uint64
	// Bytes is the length of their response bodies.
	Bytes uint64
}

// Meter computes the utilization of an entry from its counters. Create one with NewMeter.
// It is not safe for concurrent use.
type Meter struct {
	capacity Capacity
	// last holds the counters at the time at.
	last Totals
	at   time.Time
	// busy is the EWMA of the processor time of the whole process in cores.
	busy float64
	// idle is the EWMA of the processor time in intervals without requests, in cores:
	// heartbeats and the store take it whether or not there are callers, so it does not
	// move with them.
	idle float64
	// present is the utilization. Its Cores are derived from busy and idle.
	present Utilization
	// saturatedAt is when the entry was last above saturatedShare.
	saturatedAt time.Time
}

// NewMeter returns the meter of an entry with the given capacity, whose counters are t at
// now.
func NewMeter(c Capacity, now time.Time, t Totals) *Meter {
	return &Meter{capacity: c, last: t, at: now}
}

// SetCapacity replaces the capacity of the entry.
func (m *Meter) SetCapacity(c Capacity) { m.capacity = c }

// Update reads the counters at now and returns the utilization.
func (m *Meter) Update(now time.Time, t Totals) Utilization {
	elapsed := now.Sub(m.at).Seconds()
	if elapsed <= 0 {
		return m.present
	}
	requests := float64(t.Requests - m.last.Requests)
	processor := (t.Processor - m.last.Processor).Seconds() / elapsed
	megabits := float64(t.Bytes-m.last.Bytes) * 8 / 1e6 / elapsed
	m.last, m.at = t, now

	switch {
	case requests == 0:
		m.idle += (processor - m.idle) * idleWeight
	case processor < m.idle:
		// The estimate is wrong, since idle work is a part of all work: a start takes far
		// more than what follows.
		m.idle = 0
	}
	m.busy += (processor - m.busy) * meterWeight
	m.present.Rate += (requests/elapsed - m.present.Rate) * meterWeight
	m.present.Megabits += (megabits - m.present.Megabits) * meterWeight
	m.present.Cores = max(0, m.busy-m.idle)
	m.present.Saturated = m.saturated(now)
	return m.present
}

// saturated reports whether the processor or the link has no room left.
func (m *Meter) saturated(now time.Time) bool {
	if !m.capacity.Known() {
		return false
	}
	share := m.busy / m.capacity.Cores
	if m.capacity.Megabits > 0 {
		share = max(share, m.present.Megabits/m.capacity.Megabits)
	}
	if share >= saturatedShare {
		m.saturatedAt = now
		return true
	}
	return m.present.Saturated && (share >= relievedShare || now.Sub(m.saturatedAt) < saturatedHold)
}
