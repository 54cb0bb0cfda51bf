package yuccaquota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimUnits is the number of claim units in a whole rate.
	claimUnits = 10_000
	// maxClaim bounds a claim, in units. It fits into two bytes of a message.
	maxClaim = 1.6 * claimUnits
	// wholeInterval is the number of reports from one with all claims to the next.
	wholeInterval = 10
	// maxSettleTicks is the largest number of ticks that a higher claim needs before it
	// takes effect.
	maxSettleTicks = 7
	// minDemandTime and maxDemandTime bound the time constant of the mean arrival rate,
	// and demandArrivals is how many arrivals it covers in between.
	minDemandTime  = 200 * time.Millisecond
	maxDemandTime  = time.Second
	demandArrivals = 20
	// maxDemand bounds the mean arrival rate, as a multiple of the account's rate.
	maxDemand = 1.5
	// trendTime is the time constant of the mean that the demand is compared with. A claim
	// takes about that long to have its full effect.
	trendTime = time.Second
	// trendArrivals is the arrival rate a second from which the trend is relied on.
	trendArrivals = 3
	// trendGain is how much of the trend is added to a claim.
	trendGain = 2
	// fallen is the ratio of the demand to the longer mean at which requests have gone
	// elsewhere. Above it, the larger of the two is claimed.
	fallen = 0.5
	// demandMargin is how much more than the arrival rate is claimed.
	demandMargin = 1.25
	// firstRefillTime is the time in which a claim adds a first token, and refillTime that
	// in which it fills the bucket. Unclaimed parts fill it sooner; while there are none,
	// tokens that nobody uses are not worth much.
	firstRefillTime = time.Second
	refillTime      = 10 * time.Second
	// claimStep is the least change of a claim that is reported, relative to the claim or
	// to the even part if that is larger.
	claimStep = 0.2
	// residence is how long after its last request an entry claims to keep its tokens.
	residence = 30 * time.Second
	// stallTicks is the number of intervals after which a missing tick shows that the
	// process stood still.
	stallTicks = 3
	// keptTime is how long a removed account is remembered, so that a config that comes
	// back does not fill its bucket again.
	keptTime = 10 * time.Second
	// maxPeers bounds how many other entries are remembered.
	maxPeers = 4096
	// MaxClaims bounds the claims of one entry, so that a report fits into a message.
	// Further accounts have only the tokens that they hold.
	MaxClaims = 20_000
	// maxResidents is the number of claims from which accounts without requests claim
	// nothing.
	maxResidents = MaxClaims / 2
)

// Report is what an entry tells the others.
type Report struct {
	// Incarnation distinguishes this start of the entry from earlier ones.
	Incarnation uint64
	// Seq numbers the reports of an incarnation.
	Seq uint64
	// Sent is the time of sending by the sender's clock.
	Sent time.Duration
	// View is a hash of the entries that the sender hears.
	View uint64
	// Entries is how many entries the sender knows.
	Entries int
	// Old is set if the sender has run for some time.
	Old bool
	// Whole is set if Claims has all claims, and not just the changed ones.
	Whole bool
	// Claims holds the claims. The slice is valid until the next call of Tick.
	Claims []Claim
}

// Claim is the part of an account's rate that an entry has use for.
type Claim struct {
	// Account is the hash of the account's name.
	Account uint64
	// Units is the claim in thousandths of the rate.
	Units uint32
}

// Ledger is one entry's view of the limits of all accounts. Each entry owns an even part
// of each rate. It lends what it has no use for: an entry that claims nothing of an
// account lends all its part. Claims that have been known to all for a moment are met by
// max-min fairness.
//
// It addresses accounts whose requests arrive at one entry, at all entries or at changing
// entries, a surge at all entries at the same moment, and partitions. The caller passes
// the time, and guards the ledger against concurrent use. Create one with NewLedger.
type Ledger struct {
	incarnation uint64
	group       *group
	// accounts holds the accounts with a limit by name. The map is never changed, only
	// replaced.
	accounts map[string]*account
	// byHash holds the same accounts by the hash of the name.
	byHash map[uint64]*account
	// active holds the accounts with a claim of any entry.
	active []*account
	// removed holds the accounts without a limit that are still remembered.
	removed map[string]*account
	// epoch changes with the number of entries.
	epoch uint64
	// tickedAt is when Tick was called last.
	tickedAt time.Time
	seq      uint64
	// claiming is the number of own claims.
	claiming int
	claims   []Claim
	// others and ranked are scratch space.
	others []float64
	ranked []rankedClaim
}

// rankedClaim is the claim of another entry with the hash that it is ranked by.
type rankedClaim struct {
	hash  uint64
	claim float64
}

// account is one account's state.
type account struct {
	name  string
	hash  uint64
	limit Limit
	// epoch is that of the ledger when the bucket's part was set; zero means not yet.
	epoch  uint64
	bucket SharedBucket
	// active is set while the account is listed as active.
	active bool
	// usedAt is when a request arrived last.
	usedAt time.Time
	// arrivals is the number of requests since the last tick.
	arrivals int
	// demand is the mean arrival rate.
	demand float64
	// slow is a mean of demand over a longer time.
	slow float64
	// published holds the own claim as reported at the last ticks, newest first.
	published [maxSettleTicks]uint32
	// repeats is in how many more reports the claim is sent. More are not lost without
	// this entry being silent.
	repeats int
	// peers holds the claims of other entries.
	peers []peerClaim
	// addedAt is when the limit was added, and full is set if the bucket was full then. The
	// bucket is set up at the first use.
	addedAt time.Time
	full    bool
	// removedAt is when the limit was removed.
	removedAt time.Time
}

// peerClaim is the claim of another entry.
type peerClaim struct {
	peer *peer
	// seq is the number of the last report with the claim.
	seq uint64
	// units is the claim.
	units uint32
}

// NewLedger returns the ledger of the entry self without limits.
func NewLedger(self string, incarnation uint64, now time.Time) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		group:       newGroup(self, now),
		accounts:    map[string]*account{},
		byHash:      map[uint64]*account{},
		removed:     map[string]*account{},
		epoch:       1,
		tickedAt:    now,
	}
}

// Limits is a set of limits that Ledger.Apply puts into force.
type Limits struct {
	accounts map[string]*account
	byHash   map[uint64]*account
	// added and removed hold the accounts that had no limit and those that have none now.
	added, removed []*account
	// changed holds the new limits of accounts that had other ones.
	changed map[*account]Limit
}

// Prepare readies limits by account. It may run while other methods run, except Apply, so
// that requests do not wait for it.
func (l *Ledger) Prepare(limits map[string]Limit) Limits {
	n := Limits{accounts: make(map[string]*account, len(limits)), byHash: make(map[uint64]*account, len(limits)), changed: map[*account]Limit{}}
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		a, ok := l.accounts[name]
		if !ok {
			a = &account{name: name, hash: xxhash.Sum64String(name), limit: limit}
			n.added = append(n.added, a)
		} else if a.limit != limit {
			n.changed[a] = limit
		}
		n.accounts[name], n.byHash[a.hash] = a, a
	}
	for name, a := range l.accounts {
		if _, ok := n.accounts[name]; !ok {
			n.removed = append(n.removed, a)
		}
	}
	return n
}

// Apply puts the limits into force. The bucket of an account that this entry sees for
// the first time is full, unless the entry has just started: then the account may be an
// old one whose tokens have been used.
func (l *Ledger) Apply(now time.Time, n Limits) {
	for _, a := range n.added {
		old, ok := l.removed[a.name]
		if !ok {
			a.addedAt, a.full = now, l.group.old(now)
			continue
		}
		if old.limit != a.limit {
			n.changed[old] = a.limit
		}
		delete(l.removed, a.name)
		n.accounts[a.name], n.byHash[a.hash] = old, old
	}
	for _, a := range n.removed {
		a.removedAt = now
		l.removed[a.name] = a
	}
	l.accounts, l.byHash = n.accounts, n.byHash
	for a, limit := range n.changed {
		a.limit = limit
		l.setIdle(now, a)
	}
}

// Len returns the number of accounts with a limit.
func (l *Ledger) Len() int { return len(l.accounts) }

// Interval returns the time between two calls of Tick.
func (l *Ledger) Interval() time.Duration { return l.group.interval() }

// setIdle gives the bucket the part of an account that no entry claims. Until others may
// use this entry's part, tokens are added without a claim.
func (l *Ledger) setIdle(now time.Time, a *account) {
	s := stockOf(a.limit, l.group.entries)
	capacity := s.floor + s.shared*l.group.base()
	if s.holders > 0 && l.idleRank(a) >= s.holders {
		capacity = 0
	}
	since := now
	if a.epoch == 0 {
		since = a.addedAt
	}
	a.bucket.SetPart(since, usableRate*a.limit.Rate*l.group.base(), l.group.start.Add(probation), capacity)
	if a.epoch == 0 && a.full {
		a.bucket.Fill()
	}
	a.epoch = l.epoch
}

// idleRank returns how many entries without a claim come before this one where there
// are too few tokens.
func (l *Ledger) idleRank(a *account) int {
	rank, self := 0, mix(a.hash, l.group.selfHash)
	for _, hash := range l.group.known {
		if mix(a.hash, hash) > self {
			rank++
		}
	}
	for _, c := range a.peers {
		if c.peer.grouped && c.units > 0 && mix(a.hash, c.peer.hash) > self {
			rank--
		}
	}
	return rank
}

// Take uses one request of the account's limit. It returns whether the request may run,
// and if not, after which time it may. Accounts without a limit always may.
func (l *Ledger) Take(now time.Time, name string) (wait time.Duration, ok bool) {
	a := l.accounts[name]
	if a == nil {
		return 0, true
	}
	switch stall := l.tickedAt.Add(stallTicks * l.group.interval()); {
	case !a.active && a.epoch != l.epoch:
		l.setIdle(now, a)
	case a.active && now.After(stall):
		a.bucket.SetPart(stall, 0, time.Time{}, a.bucket.capacity)
	}
	a.usedAt = now
	a.arrivals++
	l.activate(now, a)
	if a.bucket.Take(now) {
		return 0, true
	}
	return a.bucket.Wait(), false
}

// Return gives back the token of a request that has not run.
func (l *Ledger) Return(name string) {
	if a := l.accounts[name]; a != nil {
		a.bucket.Return()
	}
}

// activate lists the account as active.
func (l *Ledger) activate(now time.Time, a *account) {
	if a.epoch == 0 {
		l.setIdle(now, a)
	}
	if !a.active {
		a.active = true
		l.active = append(l.active, a)
	}
}

// Usage returns the limit of an account, the rate at which its requests arrive at this
// entry, and the age of the oldest report of another entry.
func (l *Ledger) Usage(now time.Time, name string) (limit Limit, arrivals float64, oldest time.Duration) {
	if a := l.accounts[name]; a != nil {
		limit, arrivals = a.limit, a.demand
	}
	return limit, arrivals, l.group.oldest(now)
}

// Receive records the report of another entry.
func (l *Ledger) Receive(now time.Time, from string, r Report) {
	before := l.group.peers[from]
	p, restarted := l.group.receive(now, from, r)
	if p == nil {
		return
	}
	if restarted {
		l.forget(before)
	}
	for _, c := range r.Claims {
		if a := l.byHash[c.Account]; a != nil {
			a.setClaim(p, r.Seq, min(c.Units, maxClaim))
			l.activate(now, a)
		}
	}
	if r.Whole {
		for _, a := range l.active {
			for i := range a.peers {
				if c := &a.peers[i]; c.peer == p && c.seq != r.Seq {
					c.units = 0
				}
			}
		}
	}
}

func (a *account) setClaim(p *peer, seq uint64, units uint32) {
	for i := range a.peers {
		if c := &a.peers[i]; c.peer == p {
			c.seq, c.units = seq, units
			return
		}
	}
	a.peers = append(a.peers, peerClaim{p, seq, units})
}

// forget removes the claims of an entry.
func (l *Ledger) forget(p *peer) {
	for _, a := range l.active {
		a.peers = slices.DeleteFunc(a.peers, func(c peerClaim) bool { return c.peer == p })
	}
}

// Tick adapts the parts to the claims and to which entries are heard, and returns the
// report for the other entries. The list names the entries of the system. Call it once in
// each Interval.
func (l *Ledger) Tick(now time.Time, list []string) Report {
	elapsed := now.Sub(l.tickedAt)
	l.tickedAt = now
	entries := l.group.entries
	for _, p := range l.group.update(now, list) {
		l.forget(p)
	}
	if l.group.entries != entries {
		l.epoch++
	}
	l.seq++
	r := Report{Incarnation: l.incarnation, Seq: l.seq, Sent: now.Sub(l.group.start), View: l.group.view, Entries: l.group.listed, Old: l.group.old(now), Whole: l.seq%wholeInterval == 1}
	if r.Whole {
		maps.DeleteFunc(l.removed, func(_ string, a *account) bool { return now.Sub(a.removedAt) > keptTime })
	}
	l.claims, l.claiming = l.claims[:0], 0
	whole := l.group.whole(now)
	active := l.active[:0]
	for _, a := range l.active {
		if l.byHash[a.hash] != a {
			a.reset()
			continue
		}
		l.claim(now, elapsed, a)
		l.share(now, whole, a)
		if r.Whole && a.published[0] > 0 || a.repeats > 0 {
			l.claims = append(l.claims, Claim{a.hash, a.published[0]})
			a.repeats = max(0, a.repeats-1)
		}
		if a.idle() {
			a.reset()
			l.setIdle(now, a)
			continue
		}
		active = append(active, a)
	}
	clear(l.active[len(active):])
	l.active = active
	r.Claims = l.claims
	return r
}

// claim updates what the entry claims of an account.
func (l *Ledger) claim(now time.Time, elapsed time.Duration, a *account) {
	if elapsed > 0 {
		rate := float64(a.arrivals) / elapsed.Seconds()
		constant := min(maxDemandTime.Seconds(), max(minDemandTime.Seconds(), demandArrivals/max(rate, a.demand)))
		a.demand += (rate - a.demand) * (1 - math.Exp(-elapsed.Seconds()/constant))
		a.demand = min(a.demand, maxDemand*a.limit.Rate)
		a.slow += (a.demand - a.slow) * (1 - math.Exp(-elapsed.Seconds()/trendTime.Seconds()))
		a.arrivals = 0
	}
	a.bucket.refill(now)
	units := uint32(min(maxClaim, a.wanted()/a.limit.Rate*claimUnits))
	if units == 0 && now.Sub(a.usedAt) < residence && l.claiming < maxResidents {
		units = 1
	}
	if units > 0 {
		if l.claiming++; l.claiming > MaxClaims {
			units = 0
		}
	}
	last := a.published[0]
	copy(a.published[1:], a.published[:])
	step := claimStep * max(float64(last), claimUnits*l.group.base())
	if (units == 0) != (last == 0) || (units <= 1) != (last <= 1) || math.Abs(float64(units)-float64(last)) > step {
		a.published[0] = units
		a.repeats = l.group.timeoutTicks()
	}
}

// wanted returns the rate that the entry has use for.
func (a *account) wanted() float64 {
	missing := a.bucket.Missing()
	first := min(1, missing) / firstRefillTime.Seconds()
	if a.demand+0.5 < fallen*a.slow {
		// The tokens that are left serve the last requests.
		return first + max(0, demandMargin*a.demand-a.bucket.tokens)
	}
	// The trend of a few arrivals is chance.
	trend := max(0, trendGain*(a.demand-a.slow)) * a.demand / (a.demand + trendArrivals)
	return first + demandMargin*max(a.demand, a.slow) + trend + missing/refillTime.Seconds()
}

// settled returns the part that the entry has claimed for so long that all others know
// it or have stopped using this entry's part.
func (l *Ledger) settled(a *account) float64 {
	ticks := l.group.timeoutTicks() + 2
	if l.group.entries == 1 {
		ticks = 1
	}
	return float64(slices.Min(a.published[:ticks])) / claimUnits
}

// share sets the part of the bucket by the claims of all entries of the group.
func (l *Ledger) share(now time.Time, whole float64, a *account) {
	a.peers = slices.DeleteFunc(a.peers, func(c peerClaim) bool { return c.units == 0 })
	own := l.settled(a)
	s := stockOf(a.limit, l.group.entries)
	l.others = l.others[:0]
	for _, c := range a.peers {
		if c.peer.grouped {
			l.others = append(l.others, float64(c.units)/claimUnits)
		}
	}
	var part, capacity float64
	switch {
	case own == 0 && s.holders > 0:
		if l.idleRank(a) < s.holders-len(l.others) {
			capacity = s.floor
		}
	case own == 0:
		capacity = s.floor
	case s.holders > 0:
		part, capacity = l.scarce(a, s, own, whole)
	default:
		part = fairShare(own, l.others, whole)
		capacity = s.floor + s.shared*part
	}
	a.bucket.SetPart(now, usableRate*a.limit.Rate*part, time.Time{}, capacity)
	a.epoch = l.epoch
}

// scarce returns the entry's part and capacity if there are fewer tokens than entries:
// only as many claimants as there are tokens have one.
func (l *Ledger) scarce(a *account, s stock, own, whole float64) (part, capacity float64) {
	rank, self := 0, mix(a.hash, l.group.selfHash)
	l.ranked = l.ranked[:0]
	for _, c := range a.peers {
		if c.peer.grouped {
			hash := mix(a.hash, c.peer.hash)
			if hash > self {
				rank++
			}
			l.ranked = append(l.ranked, rankedClaim{hash, float64(c.units) / claimUnits})
		}
	}
	chosen := max(1, int(float64(s.holders)*whole))
	if rank >= chosen {
		return 0, 0
	}
	slices.SortFunc(l.ranked, func(a, b rankedClaim) int { return cmp.Compare(b.hash, a.hash) })
	l.others = l.others[:0]
	for _, c := range l.ranked[:min(len(l.ranked), chosen-1)] {
		l.others = append(l.others, c.claim)
	}
	part = fairShare(own, l.others, whole)
	return part, s.floor + s.shared*part
}

// idle reports whether no entry claims anything of the account.
func (a *account) idle() bool {
	return len(a.peers) == 0 && a.repeats == 0 && slices.Max(a.published[:]) == 0 && a.arrivals == 0
}

// reset ends the account's activity.
func (a *account) reset() {
	a.active, a.demand, a.slow, a.arrivals, a.repeats, a.peers = false, 0, 0, 0, 0, nil
	a.published = [maxSettleTicks]uint32{}
}
