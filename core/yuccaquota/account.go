package yuccaquota

import (
	"math"
	"time"
)

// account is one account's state.
type account struct {
	name  string
	hash  uint64
	limit Limit
	// tokens is the estimate of the tokens that are left for all entries at the time at.
	// It is negative if entries have admitted more than there were.
	tokens float64
	at     time.Time
	// allowance is how many requests this entry may admit before its next report.
	allowance float64
	// admitted and returned are the numbers of requests that this entry has admitted, and
	// of those that then did not run.
	admitted, returned uint64
	// counted is used at the last tick.
	counted uint64
	// reported and reportedRate are used and rate at the last report, at reportedAt.
	reported     uint64
	reportedRate float64
	reportedAt   time.Time
	// rate is the mean rate of this entry's requests a second.
	rate float64
	// saving is set while a request has been refused for want of an allowance.
	saving bool
	// waiting is the number of refused requests whose callers are expected to retry.
	waiting float64
	// others holds the usage that other entries have reported.
	others []otherUsage
	// othersRate is the sum of their rates.
	othersRate float64
	// lender is the account's lender in the list of entries with the number list.
	lender string
	list   uint64
	// active is set while the account is listed as active.
	active bool
	// removedAt is when the limit was removed.
	removedAt time.Time
}

// otherUsage is what another entry has reported.
type otherUsage struct {
	peer *peer
	// known is set if admitted was reported without a gap since.
	known    bool
	admitted uint64
	rate     float64
	// at is when the report arrived.
	at time.Time
}

// capacity returns how many tokens the bucket holds at most.
func (l Limit) capacity() float64 { return burstShare*l.Burst + burstRate*l.Rate + burstTokens }

// used returns the number of requests that this entry has admitted and not taken back.
func (a *account) used() uint64 { return a.admitted - a.returned }

// record replaces the requests that were counted for another entry by those that it
// reports. Those of its first report are new if it has been heard since its start.
func (a *account) record(now time.Time, p *peer, u Usage) {
	o := a.other(p)
	switch {
	case o.known:
		counted := o.rate * now.Sub(o.at).Seconds()
		a.tokens -= float64(int64(u.Admitted-o.admitted)) - counted
	case p.fresh:
		// Bounded, as the entry may have admitted them out of reach.
		a.tokens -= min(float64(u.Admitted), a.limit.capacity())
	}
	a.setRate(o, min(maxRate, u.Rate))
	o.known, o.admitted, o.at = true, u.Admitted, now
}

// other returns the usage of another entry.
func (a *account) other(p *peer) *otherUsage {
	for i := range a.others {
		if o := &a.others[i]; o.peer == p {
			return o
		}
	}
	a.others = append(a.others, otherUsage{peer: p})
	return &a.others[len(a.others)-1]
}

func (a *account) setRate(o *otherUsage, rate float64) {
	a.othersRate = max(0, a.othersRate-o.rate+rate)
	o.rate = rate
}

// updateRate adds the requests since the last tick to the mean rate.
func (a *account) updateRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(int64(a.used()-a.counted)) / elapsed.Seconds()
	a.counted = a.used()
	constant := max(rateTime.Seconds(), min(rateArrivals/max(rate, a.rate, 1), 2))
	a.rate = max(0, a.rate+(rate-a.rate)*(1-math.Exp(-elapsed.Seconds()/constant)))
	a.waiting = max(0, a.waiting-a.limit.Rate*elapsed.Seconds()/maxWait.Seconds())
}

// allow sets how many requests this entry may admit before its next report: as many as at
// its present rate, or its part of what the others leave if that is less, and an even part
// of the tokens. While the others may be out of reach, it is an even part of the rate only.
// Where there are more entries than freeRequests, an entry without requests has to save up
// for the first one.
func (a *account) allow(g *group) {
	tokens := max(0, a.tokens)
	added := g.share * a.limit.Rate * reportInterval.Seconds()
	expected := a.rate * reportInterval.Seconds()
	if a.othersRate > 0 {
		expected = min(expected, (tokens+added)*a.rate/(a.rate+a.othersRate))
	}
	more := growth * (expected + a.part(tokens+added, g))
	if g.share == 1 && tokens > plentyTokens*a.limit.capacity() {
		// Arrivals vary by chance, and nobody else is near the limit.
		more += math.Sqrt(expected)
	}
	if g.stale {
		more = Evenly(added, g.entries)
	}
	least := Evenly(freeRequests, g.entries)
	if least > 1 || a.saving {
		least = 1
	}
	a.allowance = min(max(least, more+min(1, more)), a.allowance+more)
}

// due reports whether the usage belongs into the next report: when the others, who count
// this entry's requests at the rate that it reported, are too far off.
func (a *account) due(now time.Time) bool {
	counted := float64(a.reported) + a.reportedRate*now.Sub(a.reportedAt).Seconds()
	off := math.Abs(float64(a.used()) - counted)
	if a.tokens < scarceTokens*a.limit.capacity() || a.rate+a.othersRate > busyRate*a.limit.Rate {
		return off > max(0.5, scarceError*a.limit.capacity())
	}
	return off > max(2, calmError*a.limit.capacity())
}

func (a *account) report(now time.Time) Usage {
	if a.rate < 1e-4*a.limit.Rate {
		a.rate = 0
	}
	a.reported, a.reportedRate, a.reportedAt = a.used(), a.rate, now
	return Usage{Account: a.hash, Admitted: a.used(), Rate: a.rate, Tokens: a.tokens}
}

// resting reports whether all tokens are there and no entry uses any.
func (a *account) resting(share float64) bool {
	return a.tokens >= share*a.limit.capacity() && a.othersRate == 0 && a.rate == 0 && a.reportedRate == 0 && a.used() == a.reported
}
