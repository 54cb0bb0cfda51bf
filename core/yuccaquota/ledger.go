package yuccaquota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportInterval is the time between two reports.
	reportInterval = 100 * time.Millisecond
	// emptyReports is how many intervals lie between two reports if there is nothing to
	// report. The others need them to hear the entry.
	emptyReports = 2
	// wholeReports is the number of intervals between two whole reports; see Report.Whole.
	wholeReports = 20
	// newcomerReports is the same while an entry that has just started is not synced.
	newcomerReports = 3
	// rateTime is the time constant of the mean rate that is reported.
	rateTime = 400 * time.Millisecond
	// rateArrivals is the number of requests that the mean rate covers at least.
	rateArrivals = 6
	// scarceTokens is the fraction of the bucket below which an account is scarce, and
	// busyRate the fraction of the limit's rate from which it is.
	scarceTokens = 0.7
	busyRate     = 0.7
	// scarceError and calmError are how far the others' count of this entry's requests may
	// be off before it reports, as fractions of the bucket.
	scarceError = 0.002
	calmError   = 0.02
	// freeRequests is how many requests of an account all entries together may admit at
	// once without knowing of one another.
	freeRequests = 25
	// maxWait is the longest time after which a refused request may be retried.
	maxWait = 5 * time.Second
	// burstShare is the part of a limit's burst that the bucket holds. The rest is for a
	// surge at all entries before they know of one another.
	burstShare = 0.65
	// burstRate and burstTokens are the tokens that a bucket holds besides, in seconds of
	// the rate and in requests. They keep chance from refusing requests of an account that
	// is below its limit.
	burstRate   = 0.06
	burstTokens = 8
	// growth is how much more than before, and than an even part of the tokens that are
	// left, an entry may admit between two reports. It bounds what all entries admit in a
	// surge before they know of one another.
	growth = 1.25
	// plentyTokens is the fraction of the bucket from which an entry may admit more than
	// its mean rate by the standard deviation of its requests.
	plentyTokens = 0.5
	// minWait is the shortest time after which a refused request may be retried.
	minWait = 50 * time.Millisecond
	// stallTime is the age of the last tick from which tokens are no longer added: the
	// process was suspended, and other entries may have used them.
	stallTime = 3 * reportInterval
	// maxRate bounds the rates in reports, in requests a second.
	maxRate = 1e9
	// keptTime is how long a removed account is remembered, so that a config that comes
	// back does not renew its burst.
	keptTime = 10 * time.Second
	// MaxUsages bounds the accounts in a report, so that it fits into a message.
	MaxUsages = 20_000
)

// Report is what an entry tells the others.
type Report struct {
	// Incarnation distinguishes this start of the entry from earlier ones.
	Incarnation uint64
	// Seq numbers the reports of an incarnation.
	Seq uint64
	// View is a hash of the names of the entries that the sender hears.
	View uint64
	// Entries is the number of entries that the sender knows.
	Entries int
	// Synced is set if the tokens in the report are an estimate for all entries.
	Synced bool
	// Whole is set if Usages has all accounts whose tokens are not complete.
	Whole bool
	// Usages holds the usage of accounts. The slice is valid until the next call of Tick.
	Usages []Usage
	// viewChanged is set if View differs from that of the last report.
	viewChanged bool
}

// Needed reports whether the others have to get the report: it holds something, the entry
// hears others than before, or the last report was a while ago.
func (r Report) Needed() bool { return len(r.Usages) > 0 || r.viewChanged || r.Seq%emptyReports == 0 }

// Usage is what an entry has admitted of one account.
type Usage struct {
	// Account is the hash of the account's name.
	Account uint64
	// Admitted is the number of requests that the entry has admitted in this incarnation.
	Admitted uint64
	// Rate is the present rate of these, in requests a second.
	Rate float64
	// Tokens is the sender's estimate of the tokens that are left for all entries.
	Tokens float64
}

// Ledger estimates, for each account, the tokens that are left in one bucket which all
// entries share. Entries report what they have admitted. Between two reports an entry
// counts the others' requests at the rates that they reported. As the counts are
// cumulative, a lost or repeated report does no harm. Entries that do not hear one another
// divide the limit, so that the sum holds without a message.
//
// It addresses accounts whose requests arrive at one entry, at all entries or at changing
// entries, a surge at all entries at the same moment, and partitions. The caller passes
// the time, and guards the ledger against concurrent use. Create one with NewLedger.
type Ledger struct {
	group *group
	// accounts holds the accounts with a limit by name. The map is never changed, only
	// replaced.
	accounts map[string]*account
	// byHash holds the same accounts by the hash of the name.
	byHash map[uint64]*account
	// active holds the accounts that are not at rest.
	active []*account
	// removed holds the accounts without a limit that are still remembered.
	removed map[string]*account
	// tickedAt is when Tick was called last.
	tickedAt time.Time
	seq      uint64
	// synced is set once the tokens are an estimate for all entries.
	synced bool
	usages []Usage
}

// NewLedger returns the ledger of the entry self without limits.
func NewLedger(self string, incarnation uint64, now time.Time) *Ledger {
	return &Ledger{
		group:    newGroup(self, incarnation, now),
		accounts: map[string]*account{},
		byHash:   map[uint64]*account{},
		removed:  map[string]*account{},
		tickedAt: now,
	}
}

// Limits is a set of limits that Ledger.Apply puts into force.
type Limits struct {
	accounts map[string]*account
	byHash   map[uint64]*account
	// changed holds the new limits of accounts that had other ones.
	changed map[*account]Limit
}

// Prepare readies limits by account. It may run while other methods run, except Apply.
func (l *Ledger) Prepare(limits map[string]Limit) Limits {
	n := Limits{make(map[string]*account, len(limits)), make(map[uint64]*account, len(limits)), map[*account]Limit{}}
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		a, ok := l.accounts[name]
		if !ok {
			a = &account{name: name, hash: xxhash.Sum64String(name), limit: limit}
		} else if a.limit != limit {
			n.changed[a] = limit
		}
		n.accounts[name], n.byHash[a.hash] = a, a
	}
	return n
}

// Apply puts the limits into force. An account that this entry sees for the first time
// has all its tokens, unless the entry has just started: then the account may be an old
// one whose tokens have been used.
func (l *Ledger) Apply(now time.Time, n Limits) {
	for name, a := range l.accounts {
		if _, ok := n.accounts[name]; !ok {
			a.removedAt = now
			l.removed[name] = a
		}
	}
	for name, a := range n.accounts {
		if _, ok := l.accounts[name]; ok {
			continue
		}
		if old, ok := l.removed[name]; ok {
			if old.limit != a.limit {
				n.changed[old] = a.limit
			}
			delete(l.removed, name)
			n.accounts[name], n.byHash[a.hash] = old, old
			l.activate(old)
			continue
		}
		a.at, a.allowance = now, 1
		if l.synced {
			a.tokens = a.limit.capacity()
		}
		l.activate(a)
	}
	l.accounts, l.byHash = n.accounts, n.byHash
	for a, limit := range n.changed {
		l.refill(now, a)
		a.limit = limit
		a.tokens = min(a.tokens, limit.capacity())
		l.activate(a)
	}
}

// Len returns the number of accounts with a limit.
func (l *Ledger) Len() int { return len(l.accounts) }

// Interval returns the time between two calls of Tick.
func (l *Ledger) Interval() time.Duration { return reportInterval }

// Take uses one request of the account's limit. It returns whether the request may run,
// and if not, after which time it may. Accounts without a limit always may.
func (l *Ledger) Take(now time.Time, name string) (wait time.Duration, ok bool) {
	a := l.accounts[name]
	if a == nil {
		return 0, true
	}
	l.refill(now, a)
	l.activate(a)
	if a.tokens >= 1 && a.allowance >= 1 {
		a.tokens--
		a.allowance--
		a.admitted++
		a.waiting = max(0, a.waiting-1)
		a.saving = false
		return 0, true
	}
	if a.tokens >= 1 {
		a.saving = true
		return reportInterval, false
	}
	a.waiting = min(a.waiting+1, a.limit.Rate*maxWait.Seconds())
	rate := max(a.rate, Evenly(l.group.share*a.limit.Rate, l.group.entries))
	wait = time.Duration(min(maxWait.Seconds(), max(a.waiting/rate, (1-a.tokens)/a.limit.Rate)) * float64(time.Second))
	return max(minWait, wait), false
}

// Return gives back the token of a request that has not run.
func (l *Ledger) Return(name string) {
	if a := l.accounts[name]; a != nil && a.admitted > a.returned {
		a.returned++
		a.tokens++
	}
}

// Usage returns the limit of an account, the rate at which all entries admit its requests,
// in requests a second, and the longest time since any entry that is heard last reported.
func (l *Ledger) Usage(now time.Time, name string) (limit Limit, admitted float64, oldest time.Duration) {
	if a := l.accounts[name]; a != nil {
		limit, admitted = a.limit, a.rate+a.othersRate
	}
	return limit, admitted, l.group.oldest(now)
}

// refill adds the tokens since the last refill, less those that the others use at the
// rates that they reported.
func (l *Ledger) refill(now time.Time, a *account) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	added := max(0, min(elapsed, l.tickedAt.Add(stallTime).Sub(a.at)))
	a.tokens += l.group.share*a.limit.Rate*added.Seconds() - a.othersRate*elapsed.Seconds()
	a.tokens = min(a.tokens, l.group.share*a.limit.capacity())
	a.at = now
}

// activate lists the account as active.
func (l *Ledger) activate(a *account) {
	if !a.active {
		a.active = true
		l.active = append(l.active, a)
	}
}

// Receive records the report of another entry.
func (l *Ledger) Receive(now time.Time, from string, r Report) {
	p, restarted := l.group.receive(now, from, r)
	if p == nil {
		return
	}
	if restarted {
		l.forget(now, p)
	}
	for _, u := range r.Usages {
		if a := l.byHash[u.Account]; a != nil && u.Rate >= 0 {
			l.refill(now, a)
			a.record(now, p, u)
			l.activate(a)
		}
	}
	if r.Whole && r.Synced && !l.synced {
		l.adopt(now, r)
	}
}

// adopt takes over the tokens that another entry reports, after a start.
func (l *Ledger) adopt(now time.Time, r Report) {
	for _, a := range l.byHash {
		a.tokens, a.at = l.group.share*a.limit.capacity(), now
	}
	for _, u := range r.Usages {
		if a := l.byHash[u.Account]; a != nil && !math.IsNaN(u.Tokens) {
			a.tokens = min(a.tokens, u.Tokens)
		}
	}
	l.synced = true
}

// forget drops what entries have reported, also of accounts at rest: what an entry admits
// while it is not heard comes from its own part of the limit.
func (l *Ledger) forget(now time.Time, peers ...*peer) {
	if len(peers) == 0 {
		return
	}
	gone := func(o otherUsage) bool { return slices.Contains(peers, o.peer) }
	for _, accounts := range []map[string]*account{l.accounts, l.removed} {
		for _, a := range accounts {
			if !slices.ContainsFunc(a.others, gone) {
				continue
			}
			l.refill(now, a)
			a.others = slices.DeleteFunc(a.others, gone)
			a.othersRate = 0
			for _, o := range a.others {
				a.othersRate += o.rate
			}
		}
	}
}

// Tick adapts the estimates to which entries are heard, and returns the report for the
// other entries. The list names the entries of the system. Call it once in each Interval.
func (l *Ledger) Tick(now time.Time, list []string) Report {
	elapsed, view := now.Sub(l.tickedAt), l.group.view
	for _, a := range l.active {
		l.refill(now, a)
	}
	l.tickedAt = now
	l.forget(now, l.group.update(now, list)...)
	l.synced = l.synced || l.group.old(now)
	for name, a := range l.removed {
		if now.Sub(a.removedAt) > keptTime {
			delete(l.removed, name)
		}
	}
	l.seq++
	r := Report{
		Incarnation: l.group.incarnation,
		Seq:         l.seq,
		View:        l.group.view,
		Entries:     l.group.listed,
		Synced:      l.synced,
		Whole:       l.seq%wholeReports == 0 || l.synced && l.group.newcomers && l.seq%newcomerReports == 0,
		viewChanged: l.group.view != view,
	}
	if r.Whole {
		l.group.newcomers = false
	}
	l.usages = l.usages[:0]
	active := l.active[:0]
	for _, a := range l.active {
		if l.byHash[a.hash] != a {
			a.active = false
			continue
		}
		a.updateRate(elapsed)
		a.allow(l.group)
		switch {
		case !r.Whole && !a.due(now):
		case len(l.usages) < MaxUsages:
			l.usages = append(l.usages, a.report(now))
		default:
			// A new entry takes the accounts that a whole report lacks for unused ones.
			r.Whole = false
		}
		if a.resting(l.group.share) {
			a.active = false
			continue
		}
		active = append(active, a)
	}
	clear(l.active[len(active):])
	l.active = active
	r.Usages = l.usages
	return r
}

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
	more := growth * (expected + Evenly(tokens+added, g.entries))
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
