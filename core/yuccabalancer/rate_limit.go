package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaquota"
)

const (
	// staleLimitAge is the age of the last news about a server's limit after which an
	// entry that is not among the server's senders may ask for itself.
	staleLimitAge = 5 * time.Second
	// probeShare is the fraction of a limit that all entries together use to ask
	// whether the limit still holds when no news arrives.
	probeShare = 0.2
	// minProbeRate is the least number of such requests a second of all entries
	// together, so that a server that asked for no requests at all is asked again.
	minProbeRate = 0.05
)

// rateLimiter keeps this entry's requests to a server within its part of the limit
// that the server names. It answers the load in which a server in need gets the
// requests for its objects from every entry at once.
type rateLimiter struct {
	// notice is what the server last said.
	notice Notice
	// senderRate is this entry's part of the limit, zero if it is not among the
	// server's senders.
	senderRate float64
	// probeRate is this entry's rate while it is not among the senders and there is no
	// news of them.
	probeRate float64
	bucket    yuccaquota.Bucket
}

// withNotice returns the limiter for another notice or another list of entries. A
// limiter that begins to limit has no token, since the server has just had requests.
func (l rateLimiter) withNotice(n Notice, server string, division yuccaquota.Division) rateLimiter {
	l.notice = n
	l.senderRate, l.probeRate = 0, 0
	if n.Limited {
		l.senderRate = senderRate(n, server, division)
		l.probeRate = division.Evenly(max(minProbeRate, probeShare*n.Limit))
		l.bucket = l.bucket.WithRate(l.senderRate)
	} else {
		l.bucket = yuccaquota.Bucket{}
	}
	return l
}

// senderRate returns this entry's part of the limit that a server names, zero if the
// entry is not among the server's senders.
func senderRate(n Notice, server string, division yuccaquota.Division) float64 {
	return division.ToSenders("limited "+server, n.Limit)
}

// refresh sets the rate of the bucket for the present time.
func (l *rateLimiter) refresh(now time.Time) {
	rate := l.senderRate
	if now.Sub(l.notice.At) > staleLimitAge {
		rate = max(rate, l.probeRate)
	}
	l.bucket = l.bucket.WithRate(rate)
}

// allows reports whether the server may get a request from this entry.
func (l *rateLimiter) allows(now time.Time) bool {
	if !l.notice.Limited {
		return true
	}
	l.refresh(now)
	return l.bucket.Allows(now)
}

// take counts a request to the server.
func (l *rateLimiter) take(now time.Time) {
	if l.notice.Limited {
		l.bucket.Take(now)
	}
}

// wait returns how long the server gets no request from this entry.
func (l *rateLimiter) wait(now time.Time) time.Duration {
	if !l.notice.Limited {
		return 0
	}
	l.refresh(now)
	return l.bucket.Wait(now)
}

// usableSlots returns how many of a server's slots its limit lets the entries fill.
func (c *Core) usableSlots(p *pool, s *serverState) float64 {
	slots := float64(s.Slots)
	if s.limiter.notice.Limited && p.meanLatency > 0 {
		return min(slots, s.limiter.notice.Limit*p.meanLatency.Seconds())
	}
	return slots
}

// updateSlots recomputes the slots by region of the servers that accept requests.
func (c *Core) updateSlots(p *pool) {
	p.slots = map[string]float64{}
	for region, servers := range p.regions {
		for _, s := range servers {
			if c.acceptsRequests(s) {
				p.slots[region] += c.usableSlots(p, s)
			}
		}
	}
}

// retryAfter returns when a request that finds no eligible server should come again:
// when the first server of the allowed regions that is limited, in slow start or in its
// hold-off takes another request of this entry, else after maxRetryAfter.
func (c *Core) retryAfter(p *pool, req yuccaadmission.Request) time.Duration {
	wait := maxRetryAfter
	for region, servers := range p.regions {
		if !allowsRegion(req, region) {
			continue
		}
		for _, s := range servers {
			switch c.exclusion(s, req) {
			case isLimited:
				wait = min(wait, s.limiter.wait(req.Now))
			case isInSlowStart:
				wait = min(wait, s.slowStart.Wait(req.Now))
			case isHeldOff:
				wait = min(wait, s.holdOff.wait(req.Now))
			}
		}
	}
	return max(minRetryAfter, wait)
}
