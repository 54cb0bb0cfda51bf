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
	// list holds the names of the entries at the last tick, and listNumber counts its changes.
	list       []string
	listNumber uint64
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

// Lender returns the entry that may admit a request of the account on its own part of the
// limit, as the limit has room for it and this entry's part has not. It is empty otherwise,
// also if this entry is the lender, or while there are so few entries that the part of each is
// a whole request.
func (l *Ledger) Lender(now time.Time, name string) string {
	a := l.accounts[name]
	if a == nil || l.group.entries <= freeRequests {
		return ""
	}
	l.refill(now, a)
	l.chooseLender(a)
	if a.tokens < 1 || a.allowance >= 1 || a.lender == l.group.self {
		return ""
	}
	return a.lender
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

// setList records the names of the entries.
func (l *Ledger) setList(list []string) {
	if !slices.Equal(list, l.list) {
		l.list = slices.Clone(list)
		l.listNumber++
	}
}

// chooseLender records the account's lender, once for each list.
func (l *Ledger) chooseLender(a *account) {
	if a.list != l.listNumber {
		a.lender, a.list = lenderOf(a.name, l.list), l.listNumber
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
	l.setList(list)
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
		l.chooseLender(a)
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
