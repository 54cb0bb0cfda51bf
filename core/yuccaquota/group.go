package yuccaquota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceTimeout is the age of the last report from which an entry counts as
	// unreachable. It covers the loss of some reports.
	silenceTimeout = 600 * time.Millisecond
	// mismatchGrace is how long another entry may hear other entries than this one does
	// before the two count as unreachable for each other. It covers the time in which all
	// entries notice the same change.
	mismatchGrace = 200 * time.Millisecond
	// settleTime is how long an entry runs before it relies on its own estimates.
	settleTime = 5 * time.Second
	// listSettleTime is how long the list must stay the same before a new entry relies on
	// it.
	listSettleTime = 500 * time.Millisecond
	// assumedEntries is the number of entries that a new entry assumes until then, or
	// until an entry that has run for longer reports a number. When all entries start
	// together, their first lists are short and differ.
	assumedEntries = 128
	// staleTime is the age of reports from which entries may have lost one another. If
	// more than staleShare of the others are that late, an entry keeps to its own part
	// until their reports arrive again or they count as silent.
	staleTime  = 300 * time.Millisecond
	staleShare = 0.1
	// shrinkDelay is how long an entry that is no longer listed is counted.
	shrinkDelay = 5 * time.Second
	// minorityShrinkDelay is the same while most entries are not heard: the rest may hold
	// together.
	minorityShrinkDelay = 2 * time.Minute
	// minorityTimeout is after how long the smaller side of a partition gives up most of
	// its part. The platform takes entries that are silent for a minute from the list of the
	// larger side, which then uses the whole limit.
	minorityTimeout = 50 * time.Second
	// minorityShare is the fraction of its part that it keeps.
	minorityShare = 0.1
	// maxPeers bounds how many other entries are remembered.
	maxPeers = 8192
)

// peer is what an entry knows about another one.
type peer struct {
	name string
	// hash is the hash of the name.
	hash        uint64
	incarnation uint64
	// seq is the number of the newest report.
	seq uint64
	// arrivedAt is when the newest report arrived.
	arrivedAt time.Time
	// fresh is set if the entry has been heard since its start.
	fresh bool
	// silent is set while no report arrives.
	silent bool
	// mismatchSince is since when the entry gets reports from other entries than this one does.
	mismatchSince time.Time
	// view, entries and synced are those of the newest report.
	view    uint64
	entries int
	synced  bool
}

// group tells which part of every limit the entries that hear one another use together.
// Only entries that hear the same others count, so that each belongs to one group and the
// parts add up to the whole, also where reachability is not transitive.
type group struct {
	self        string
	selfHash    uint64
	incarnation uint64
	start       time.Time
	peers       map[string]*peer
	// view is the hash of the names of the entries that are heard, this one included.
	view uint64
	// listed is the number of entries that are listed or heard.
	listed      int
	listedSince time.Time
	// entries is the number of entries that the limits are divided by.
	entries int
	// fewerSince is since when fewer entries have been known.
	fewerSince time.Time
	// majoritySeen is when more than half of the entries were heard last.
	majoritySeen time.Time
	// share is the part of every limit that the group uses, from 0 to 1.
	share float64
	// stale is set while the reports of several others are late.
	stale bool
	// newcomers is set when an entry has reported that it is not synced.
	newcomers bool
}

func newGroup(self string, incarnation uint64, now time.Time) *group {
	hash := xxhash.Sum64String(self)
	return &group{
		self:         self,
		selfHash:     hash,
		incarnation:  incarnation,
		start:        now,
		peers:        map[string]*peer{},
		view:         hash,
		majoritySeen: now,
		entries:      assumedEntries,
		share:        Evenly(1, assumedEntries),
	}
}

// receive records a report. It returns nil for one that is not newer than the last. One of
// an earlier incarnation counts as newer after shrinkDelay without reports: the entry has
// started again after its clock went back.
func (g *group) receive(now time.Time, from string, r Report) (p *peer, restarted bool) {
	p = g.peers[from]
	switch {
	case from == g.self || p == nil && len(g.peers) >= maxPeers:
		return nil, false
	case p != nil && r.Incarnation < p.incarnation && now.Sub(p.arrivedAt) <= shrinkDelay:
		return nil, false
	case p != nil && r.Incarnation == p.incarnation && r.Seq <= p.seq:
		return nil, false
	case p == nil:
		p = &peer{name: from, hash: xxhash.Sum64String(from), incarnation: r.Incarnation, fresh: !r.Synced}
		g.peers[from] = p
	case r.Incarnation != p.incarnation:
		restarted = true
		p.incarnation, p.fresh = r.Incarnation, true
	}
	p.seq, p.arrivedAt, p.silent = r.Seq, now, false
	g.newcomers = g.newcomers || !r.Synced
	p.view, p.entries, p.synced = r.View, min(max(0, r.Entries), maxPeers), r.Synced
	return p, restarted
}

// update brings the group up to date with the list of entries and the silence of others.
// It returns the entries that have fallen silent.
func (g *group) update(now time.Time, list []string) (silent []*peer) {
	known := make(map[string]bool, len(list)+1)
	known[g.self] = true
	for _, name := range list {
		known[name] = true
	}
	g.view = g.selfHash
	announced, elder, heard, late := 0, false, 1, 0
	for name, p := range g.peers {
		if now.Sub(p.arrivedAt) > staleTime && !p.silent {
			late++
		}
		if now.Sub(p.arrivedAt) > silenceTimeout {
			if !p.silent {
				p.silent, p.fresh, p.mismatchSince = true, false, time.Time{}
				silent = append(silent, p)
			}
			if !known[name] && now.Sub(p.arrivedAt) > shrinkDelay {
				delete(g.peers, name)
			}
			continue
		}
		known[name] = true
		heard++
		g.view ^= p.hash
		announced, elder = max(announced, p.entries), elder || p.synced
	}
	g.count(now, len(known), announced, heard, elder)
	g.share = g.shareOf(now, g.members(now, heard))
	g.stale = float64(late) > max(1, staleShare*float64(g.entries))
	return silent
}

// members returns the number of entries that hear the same entries as this one, itself
// included.
func (g *group) members(now time.Time, heard int) int {
	members, grace := 1, mismatchGrace
	if 2*heard <= g.entries {
		// Most entries are out of reach, so the others may not hear one another either.
		grace = 0
	}
	for _, p := range g.peers {
		switch {
		case p.silent:
			continue
		case p.view == g.view:
			p.mismatchSince = time.Time{}
		case p.mismatchSince.IsZero():
			p.mismatchSince = now
		}
		if p.mismatchSince.IsZero() || now.Sub(p.mismatchSince) < grace {
			members++
		}
	}
	return members
}

// shareOf returns the part of a limit that a number of entries use together.
func (g *group) shareOf(now time.Time, members int) float64 {
	share := min(1, float64(members)/float64(max(1, g.entries)))
	if now.Sub(g.majoritySeen) > minorityTimeout {
		share *= minorityShare
	}
	return share
}

// count updates the number of entries that limits are divided by. It rises at once, and
// falls after a delay.
func (g *group) count(now time.Time, listed, announced, heard int, elder bool) {
	if listed != g.listed {
		g.listed, g.listedSince = listed, now
	}
	target := max(listed, announced)
	if !elder && !g.old(now) && now.Sub(g.listedSince) < listSettleTime {
		target = max(target, assumedEntries)
	}
	delay := shrinkDelay
	if 2*heard > g.entries {
		g.majoritySeen = now
	} else {
		delay = minorityShrinkDelay
	}
	switch {
	case target >= g.entries || !g.old(now):
		g.entries, g.fewerSince = target, time.Time{}
	case g.fewerSince.IsZero():
		g.fewerSince = now
	case now.Sub(g.fewerSince) >= delay:
		g.entries, g.fewerSince = target, time.Time{}
	}
}

// old reports whether the entry has run for so long that it relies on its estimates.
func (g *group) old(now time.Time) bool { return now.Sub(g.start) >= settleTime }

// oldest returns the age of the oldest last report of the entries that are heard.
func (g *group) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, p := range g.peers {
		if !p.silent {
			age = max(age, now.Sub(p.arrivedAt))
		}
	}
	return age
}
