package yuccabalancer

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// bulkBytes is the mean length of answers, in bytes, from which their way
	// outweighs a warm object in another failure domain.
	bulkBytes   = 32 << 10
	bytesWeight = 0.05
	// overflowShare is the part of a service's requests that may leave the
	// region that the shares give them, overflowBurst how many at once.
	overflowShare = 0.03
	overflowBurst = 3
)

// pool is a service's servers by region.
type pool struct {
	regions map[string][]*seat
	slots   map[string]float64
	shares  TrafficSplit
	pace    time.Duration
	work    work
	bytes   float64
	// overflow counts requests that may leave their region.
	overflow float64
	busy     int
	area     float64
	since    time.Time
	changed  time.Time
	chosen   map[Reason]int
	late     map[Cause]int
	// offers is room for those of one choice.
	offers []offer
	// used is set from the first choice on; until then shares cost nothing to
	// change.
	used bool
}

func newPool() *pool {
	return &pool{regions: map[string][]*seat{}, slots: map[string]float64{}, overflow: overflowBurst, chosen: map[Reason]int{}, late: map[Cause]int{}}
}

// count adds to the number in flight and to its integral over time.
func (p *pool) count(now time.Time, n int) {
	if !p.changed.IsZero() {
		p.area += float64(p.busy) * max(0, now.Sub(p.changed).Seconds())
	}
	p.changed = now
	p.busy += n
}

// cut returns the mean number in flight since the last cut.
func (p *pool) cut(now time.Time) float64 {
	p.count(now, 0)
	length := now.Sub(p.since).Seconds()
	area := p.area
	p.since, p.area = now, 0
	if length <= 0 || length > time.Hour.Seconds() {
		return float64(p.busy)
	}
	return area / length
}

// bulk reports whether the answers are so long that their way matters most.
func (p *pool) bulk() bool { return p.bytes > bulkBytes }

// order returns the regions that have a server for the ask, the one that the
// shares give its object first.
func (p *pool) order(ask yuccaadmission.Request, object uint64, usable func(*seat) bool) []string {
	type ranked struct {
		name   string
		weight float64
	}
	var all []ranked
	for name, seats := range p.regions {
		if len(ask.Regions) > 0 && !slices.Contains(ask.Regions, name) || !slices.ContainsFunc(seats, usable) {
			continue
		}
		all = append(all, ranked{name, p.shares.weight(name, object)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, r := range all {
		names[i] = r.name
	}
	return names
}

// learn takes what an answer tells of the service as a whole.
func (p *pool) learn(r yuccaadmission.Result, choice Choice) {
	if !r.Succeeded {
		return
	}
	p.pace = blend(p.pace, r.Took, paceWeight)
	if !choice.Queued {
		p.work.learn(r.Took, choice.Warm)
	}
	if r.Bytes > 0 {
		p.bytes += (float64(r.Bytes) - p.bytes) * bytesWeight
	}
}
