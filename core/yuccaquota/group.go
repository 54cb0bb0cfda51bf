package yuccaquota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallGroup is the largest number of entries that report at the short interval.
	// More entries report at the long one, to keep the number of messages down.
	smallGroup    = 32
	shortInterval = 100 * time.Millisecond
	longInterval  = 200 * time.Millisecond
	// shortTimeout and longTimeout are the age of the last report from which an entry
	// counts as unreachable, at these intervals. They bear the loss of some reports. A
	// higher claim takes effect after this time.
	shortTimeout = 500 * time.Millisecond
	longTimeout  = 600 * time.Millisecond
	// probation is how long an entry must be heard without a gap before its idle part is
	// used. It is the length of the window of the bound, so that repeated partitions
	// spend the tolerance once in a window.
	probation = 5 * time.Second
	// mismatchGrace is how long another entry may hear other entries than this one does
	// before they stop lending to each other. It covers the time in which all of them
	// notice the same change.
	mismatchGrace = 250 * time.Millisecond
	// listSettleTime is how long the list must stay the same before a new entry that has
	// heard from no older one relies on it.
	listSettleTime = 3 * time.Second
	// assumedEntries is the number of entries that a new entry assumes until then. When
	// all entries start together, their first lists are short and differ.
	assumedEntries = 128
	// shrinkDelay is how long an entry that is no longer listed is counted.
	shrinkDelay = 5 * time.Second
	// minorityShrinkDelay is the same while most entries are not heard: the rest may hold
	// a list that is as good and count themselves only.
	minorityShrinkDelay = 2 * time.Minute
	// minorityTimeout is after how long the smaller side of a partition gives up most of
	// its part. The larger side removes silent entries from the list after a minute and
	// divides the rate by the shorter list from then on.
	minorityTimeout = 50 * time.Second
	// minorityShare is the fraction of its part that it keeps.
	minorityShare = 0.1
	// maxDrift is how much faster one clock may run than another.
	maxDrift = 1e-3
)

// peer is what an entry knows about another one.
type peer struct {
	name string
	// hash is the hash of the name.
	hash        uint64
	incarnation uint64
	// seq is the number of the newest report.
	seq uint64
	// offset is the smallest difference seen between the time of arrival by this entry's
	// clock and the time of sending by the other's.
	offset time.Duration
	// arrivedAt is when the newest report arrived.
	arrivedAt time.Time
	// sentAt is when the newest report was sent, by this entry's clock. A report that took
	// longer than others shows how old its content is.
	sentAt time.Time
	// complete is set once all claims of the entry have arrived, and no change since can be
	// missing.
	complete bool
	// heardSince is since when reports have arrived without a gap; zero means a gap.
	heardSince time.Time
	// heard is set while the probation is over.
	heard bool
	// mismatchSince is since when the entry hears other entries than this one.
	mismatchSince time.Time
	// grouped is set while the two entries lend their idle parts to each other.
	grouped bool
	// view, entries and old are those of the newest report.
	view    uint64
	entries int
	old     bool
}

// group tells which entries lend their idle parts to each other. Two entries do if they
// hear each other and the same others; so each entry belongs to one group, and the parts
// of all groups add up to the whole, also where reachability is not transitive.
type group struct {
	self     string
	selfHash uint64
	start    time.Time
	peers    map[string]*peer
	// view is the hash of the names of the entries that are heard, this one included.
	view uint64
	// listed is the number of entries of the list and of those heard lately.
	listed int
	// listedSince is since when the number has been the same.
	listedSince time.Time
	// entries is the number of entries that rates are divided by.
	entries int
	// counted is the same without the entries that are assumed at first.
	counted int
	// fewerSince is since when fewer entries have been known.
	fewerSince time.Time
	// majoritySeen is when more than half of the entries were heard last.
	majoritySeen time.Time
	// known holds the hashes of the names of the entries that are listed or heard.
	known []uint64
	// members is the number of entries of the group, this one included.
	members int
}

func newGroup(self string, now time.Time) *group {
	return &group{self: self, selfHash: xxhash.Sum64String(self), start: now, peers: map[string]*peer{}, entries: assumedEntries, majoritySeen: now, members: 1}
}

// interval returns the time between two reports.
func (g *group) interval() time.Duration {
	if g.entries > smallGroup {
		return longInterval
	}
	return shortInterval
}

// timeout returns the age of the last report from which an entry counts as unreachable.
func (g *group) timeout() time.Duration {
	if g.entries > smallGroup {
		return longTimeout
	}
	return shortTimeout
}

// timeoutTicks returns the number of intervals in a timeout.
func (g *group) timeoutTicks() int { return int(g.timeout() / g.interval()) }

// receive records a report. It returns nil for one that is not newer than the last.
func (g *group) receive(now time.Time, from string, r Report) (p *peer, restarted bool) {
	p = g.peers[from]
	switch {
	case from == g.self || p == nil && len(g.peers) >= maxPeers:
		return nil, false
	case p != nil && (r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Seq <= p.seq):
		return nil, false
	case p == nil || r.Incarnation != p.incarnation:
		restarted = p != nil
		p = &peer{name: from, hash: xxhash.Sum64String(from), incarnation: r.Incarnation, seq: r.Seq, offset: now.Sub(g.start) - r.Sent}
		g.peers[from] = p
	default:
		p.offset += time.Duration(maxDrift * float64(now.Sub(p.arrivedAt)))
	}
	p.complete = p.complete || r.Whole
	offset := now.Sub(g.start) - r.Sent
	p.offset = min(p.offset, offset)
	p.sentAt = now.Add(p.offset - offset)
	p.seq, p.arrivedAt = r.Seq, now
	p.view, p.entries, p.old = r.View, min(r.Entries, maxPeers), r.Old
	return p, restarted
}

// update brings the group up to date with the list of entries and the silence of others.
// It returns the entries that have been silent for so long that they are forgotten.
func (g *group) update(now time.Time, list []string) (gone []*peer) {
	known := map[string]bool{g.self: true}
	for _, name := range list {
		known[name] = true
	}
	g.view, g.members = g.selfHash, 1
	g.known = g.known[:0]
	heard, announced, elder := 1, 0, false
	for name, p := range g.peers {
		silent := now.Sub(p.sentAt) > g.timeout()
		if silent && now.Sub(p.arrivedAt) > shrinkDelay {
			if !known[name] {
				delete(g.peers, name)
				gone = append(gone, p)
			}
			p.heardSince, p.complete, p.heard, p.grouped = time.Time{}, false, false, false
			continue
		}
		known[name] = true
		switch {
		case silent:
			// Changes of claims may have been missed.
			p.heardSince, p.complete = time.Time{}, false
		case p.heardSince.IsZero():
			p.heardSince = now
		}
		p.heard = p.complete && !p.heardSince.IsZero() && now.Sub(p.heardSince) >= probation
		if !silent {
			announced, elder = max(announced, p.entries), elder || p.old
			heard++
		}
		if p.heard {
			g.view ^= p.hash
		}
	}
	for name := range known {
		g.known = append(g.known, xxhash.Sum64String(name))
	}
	g.count(now, len(known), announced, heard, elder)
	for _, p := range g.peers {
		switch {
		case !p.heard || p.view == g.view:
			p.mismatchSince = time.Time{}
		case p.mismatchSince.IsZero():
			p.mismatchSince = now
		}
		p.grouped = p.heard && (p.mismatchSince.IsZero() || p.grouped && now.Sub(p.mismatchSince) < mismatchGrace)
		if p.grouped {
			g.members++
		}
	}
	return gone
}

// count updates the number of entries that rates are divided by. It rises at once, and
// falls after a delay.
func (g *group) count(now time.Time, listed, announced, heard int, elder bool) {
	if listed != g.listed {
		g.listed, g.listedSince = listed, now
	}
	target := max(listed, announced)
	switch {
	case target >= g.counted:
		g.counted, g.fewerSince = target, time.Time{}
	case g.fewerSince.IsZero():
		g.fewerSince = now
	default:
		delay := shrinkDelay
		if 2*heard <= g.counted {
			delay = minorityShrinkDelay
		}
		if now.Sub(g.fewerSince) >= delay {
			g.counted, g.fewerSince = target, time.Time{}
		}
	}
	if 2*heard > g.counted {
		g.majoritySeen = now
	}
	g.entries = g.counted
	if !elder && !g.old(now) && now.Sub(g.listedSince) < listSettleTime {
		g.entries = max(g.entries, assumedEntries)
	}
}

// old reports whether the entry has run for so long that others may rely on its count.
func (g *group) old(now time.Time) bool { return now.Sub(g.start) >= probation }

// base returns the part of each entry, as a fraction of the whole.
func (g *group) base() float64 { return Evenly(1, g.entries) }

// whole returns the part that the group has together, as a fraction of the whole.
func (g *group) whole(now time.Time) float64 {
	part := min(1, float64(g.members)*g.base())
	if now.Sub(g.majoritySeen) > minorityTimeout {
		part *= minorityShare
	}
	return part
}

// oldest returns the age of the oldest last report of the entries that are known.
func (g *group) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, p := range g.peers {
		age = max(age, now.Sub(p.sentAt))
	}
	return age
}
