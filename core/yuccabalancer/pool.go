package yuccabalancer

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaoverload"
)

const (
	// longResponseBytes is the mean response length, in bytes, above which
	// transfer time outweighs a warm object in another failure domain.
	longResponseBytes = 32 << 10
	// bytesWeight is the weight of one response in the moving average of
	// lengths.
	bytesWeight = 0.05
	// spilloverRatio is the part of a service's requests that may leave the
	// region that the traffic split assigns them to.
	spilloverRatio = 0.03
	// spilloverBurst is how many requests may leave their region at once.
	spilloverBurst = 3
)

// pool holds the servers of one service and the statistics of the service.
type pool struct {
	// regions holds the servers by region.
	regions map[string][]*serverState
	// slots is the number of slots, by region, of the servers that accept
	// requests.
	slots map[string]float64
	// near is the present traffic split of requests that stay near their callers.
	near TrafficSplit
	// common is that of requests whose objects have one home for all regions. It is the same
	// for the callers of all regions.
	common TrafficSplit
	// meanLatency is the moving average of the time to a response.
	meanLatency time.Duration
	// latency holds the latencies with warm and with cold objects.
	latency latencyStats
	// meanBytes is the moving average of response lengths in bytes.
	meanBytes float64
	// spilloverTokens is how many requests may leave their region now.
	spilloverTokens float64
	// inFlight is how many requests of this entry are in flight.
	inFlight int
	// inFlightSeconds is the integral of inFlight over time since
	// windowStart.
	inFlightSeconds float64
	// windowStart is when takeMeanInFlight was last called.
	windowStart time.Time
	// integratedAt is the time up to which inFlightSeconds is computed.
	integratedAt time.Time
	// chosen counts the choices by reason since the last reset.
	chosen map[Reason]int
	// late counts the late responses by cause since the last reset.
	late map[Cause]int
	// loads holds the load of the service's servers by region.
	loads map[string]*regionLoad
	// line holds the rejected callers that are to return.
	line returnLine
	// classes holds the recent requests by priority.
	classes yuccaoverload.Classes
	// candidates is a buffer that is reused for each choice.
	candidates []candidate
	// used is set by the first choice. Until then the splits may change in
	// one step, since no object is warm anywhere.
	used bool
}

// newPool returns a pool without servers and with a full spillover bucket.
func (p parts) newPool() *pool {
	return &pool{regions: map[string][]*serverState{}, slots: map[string]float64{}, spilloverTokens: p.spilloverBurst, line: p.newLine(), chosen: map[Reason]int{}, late: map[Cause]int{}, loads: map[string]*regionLoad{}}
}

// regionLoad returns the load of a region.
func (p *pool) regionLoad(region string) *regionLoad {
	l := p.loads[region]
	if l == nil {
		l = &regionLoad{}
		p.loads[region] = l
	}
	return l
}

// addInFlight adds n to the in-flight count and updates its integral over
// time.
func (p *pool) addInFlight(now time.Time, n int) {
	if !p.integratedAt.IsZero() {
		p.inFlightSeconds += float64(p.inFlight) * max(0, now.Sub(p.integratedAt).Seconds())
	}
	p.integratedAt = now
	p.inFlight += n
}

// addRejected adds a request to the integral that was rejected, as if it had run.
func (p *pool) addRejected() { p.inFlightSeconds += p.latency.mean.Seconds() }

// takeMeanInFlight returns the mean in-flight count since its last call.
// Without such a call in the last hour it returns the present count.
func (p *pool) takeMeanInFlight(now time.Time) float64 {
	p.addInFlight(now, 0)
	elapsed := now.Sub(p.windowStart).Seconds()
	area := p.inFlightSeconds
	p.windowStart, p.inFlightSeconds = now, 0
	if elapsed <= 0 || elapsed > time.Hour.Seconds() {
		return float64(p.inFlight)
	}
	return area / elapsed
}

// longResponses reports whether responses are so long that the entry's own
// failure domain is preferred.
func (p *pool) longResponses() bool { return p.meanBytes > longResponseBytes }

// regionOrder returns the allowed regions that have a usable server, sorted
// by the object's weighted rendezvous score, highest first.
func (p *pool) regionOrder(req yuccaadmission.Request, object uint64, usable func(*serverState) bool) []string {
	type ranked struct {
		name   string
		weight float64
	}
	var all []ranked
	for name, servers := range p.regions {
		if !allowsRegion(req, name) || !slices.ContainsFunc(servers, usable) {
			continue
		}
		all = append(all, ranked{name, p.split(req).score(name, object)})
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

// allowsRegion reports whether a request may run in a region.
func allowsRegion(req yuccaadmission.Request, region string) bool {
	return len(req.Regions) == 0 || slices.Contains(req.Regions, region)
}

// returnAfter returns how long the caller of a request that is rejected should wait. There
// is room when the queue of the best server has shrunk to what the request may wait.
func (p *pool) returnAfter(req yuccaadmission.Request, best candidate) time.Duration {
	left := time.Duration(0)
	if !req.Deadline.IsZero() {
		left = req.Deadline.Sub(req.Now)
	}
	return p.line.Join(req.Now, best.queueWait-p.classes.MaxWait(req.Priority, req.LatencyBudget), left, req.Random)
}

// observe updates the statistics of the service with a result.
func (p *pool) observe(r yuccaadmission.Result, choice Choice) {
	if !r.Succeeded {
		return
	}
	p.line.Complete(r.Now)
	p.meanLatency = ewma(p.meanLatency, r.TimeToHeader, latencyWeight)
	if !choice.Queued {
		p.latency.observe(r.TimeToHeader, choice.cacheState())
	}
	if r.Bytes > 0 {
		p.meanBytes += (float64(r.Bytes) - p.meanBytes) * bytesWeight
	}
}
