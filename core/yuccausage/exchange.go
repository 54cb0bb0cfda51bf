// Package yuccausage shares among the entries how much of the accounts' limits each of
// them uses. An entry is a proxy instance of the system. The decision is that of
// yuccaquota.Ledger; Exchange is the service around it:
//
//	exchange := yuccausage.New(self, incarnation, peers, monitor.Names, log)
//	exchange.SetQuotas(limits) // with each new config
//	if err := exchange.Take(time.Now(), account); err != nil {
//		return err // of kind QuotaExceeded
//	}
package yuccausage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccalog"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaquota"
)

const (
	// topic is the bus topic of Usage.
	topic = "account.usage"
	// idleInterval is the time between two ticks while no account has a limit. They keep the
	// ledger's view of the other entries up to date.
	idleInterval = time.Second
	// refusedLinesPerSecond limits the log lines about refused requests.
	refusedLinesPerSecond = 5
)

// Bus is the part of the message bus between entries that an Exchange needs.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other entries.
	Publish(topic string, body []byte)
	// Call sends a message to one entry and waits for its reply.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Exchange is the service that keeps the ledger and shares it with the other entries.
// Create one with New.
type Exchange struct {
	*yuccakernel.Worker

	bus Bus
	// entries returns the names of the entries of the system.
	entries func() []string
	// refused is the logger of refused requests.
	refused zerolog.Logger
	log     zerolog.Logger
	metrics *metrics
	// loans asks other entries to admit requests.
	loans loans
	// limited is set while an account has a limit. It lets requests pass without a lock
	// while there is none.
	limited atomic.Bool
	// changed holds a value if limits have been set since run has last waited.
	changed chan struct{}

	// quotas serializes SetQuotas.
	quotas sync.Mutex
	// mu guards the ledger.
	mu     sync.Mutex
	ledger *yuccaquota.Ledger
}

// New returns the exchange of the entry self and registers its message handler on the
// bus. The function entries returns the names of the entries of the system.
func New(self string, incarnation uint64, bus Bus, entries func() []string, log zerolog.Logger) *Exchange {
	x := &Exchange{
		bus:     bus,
		entries: entries,
		refused: log.Sample(yuccalog.NewRateSampler(refusedLinesPerSecond)),
		log:     log,
		metrics: newMetrics(),
		loans:   loans{bus: bus},
		changed: make(chan struct{}, 1),
		ledger:  yuccaquota.NewLedger(self, incarnation, time.Now()),
	}
	x.Worker = yuccakernel.NewWorker(x.run)
	bus.Handle(topic, x.handleUsage)
	bus.Handle(loanTopic, x.handleLoan)
	return x
}

// SetQuotas replaces the limits, by account. Accounts that are missing, or have rate zero,
// have no limit.
func (x *Exchange) SetQuotas(limits map[string]yuccaquota.Limit) {
	x.quotas.Lock()
	defer x.quotas.Unlock()
	// Prepared without the lock, so that requests wait only for Apply.
	prepared := x.ledger.Prepare(limits)
	entries := x.entries()
	x.mu.Lock()
	now := time.Now()
	if !x.limited.Load() {
		// The last tick may be older than the ledger expects.
		x.ledger.Tick(now, entries)
	}
	x.ledger.Apply(now, prepared)
	n := x.ledger.Len()
	x.mu.Unlock()
	x.limited.Store(n > 0)
	select {
	case x.changed <- struct{}{}:
	default:
	}
	x.log.Info().Int("accounts", n).Msg("quotas_set")
}

// Take uses one request of the account's quota. The error is nil, or of kind QuotaExceeded
// with the time after which a retry may succeed.
func (x *Exchange) Take(now time.Time, account string) error {
	if !x.limited.Load() {
		return nil
	}
	x.mu.Lock()
	wait, ok := x.ledger.Take(now, account)
	lender := ""
	if !ok {
		lender = x.ledger.Lender(now, account)
	}
	x.mu.Unlock()
	if ok || lender != "" && x.borrow(lender, account) {
		return nil
	}
	x.metrics.countRefused(account)
	if e := x.refused.Info(); e.Enabled() {
		x.mu.Lock()
		limit, admitted, oldest := x.ledger.Usage(now, account)
		x.mu.Unlock()
		e.Str("account", account).Float64("rate", limit.Rate).Float64("burst", limit.Burst).Float64("usage", admitted).Dur("oldest", oldest).Dur("wait", wait).Msg("quota_exceeded")
	}
	return yuccaerror.NewRetryAfter(wait, yuccaerror.QuotaExceeded, "account %s is over its quota", account)
}

// Return gives back what Take has used for a request that has not run. Call it at most
// once for a request.
func (x *Exchange) Return(account string) {
	if !x.limited.Load() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.Return(account)
}

// Collectors returns the metrics of the exchange.
func (x *Exchange) Collectors() []prometheus.Collector { return x.metrics.collectors(x.limits) }

// limits returns the number of accounts with a limit.
func (x *Exchange) limits() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ledger.Len()
}

func (x *Exchange) run(ctx context.Context) {
	for {
		select {
		case <-time.After(x.interval()):
			x.tick()
		case <-x.changed:
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time until the next tick.
func (x *Exchange) interval() time.Duration {
	if !x.limited.Load() {
		return idleInterval
	}
	return x.ledger.Interval()
}

// tick updates the ledger and sends the other entries its report, but nothing while no
// account has a limit.
func (x *Exchange) tick() {
	entries := x.entries()
	x.mu.Lock()
	report := x.ledger.Tick(time.Now(), entries)
	m := encode(report)
	x.mu.Unlock()
	if !x.limited.Load() || !report.Needed() {
		return
	}
	body, err := proto.Marshal(m)
	if err != nil {
		x.log.Error().Err(err).Msg("usage_not_encoded")
		return
	}
	x.metrics.countSent(len(body))
	x.bus.Publish(topic, body)
}

func encode(r yuccaquota.Report) *Usage {
	m := &Usage{
		Incarnation: r.Incarnation,
		Seq:         r.Seq,
		View:        r.View,
		Entries:     uint32(r.Entries),
		Synced:      r.Synced,
		Whole:       r.Whole,
		Accounts:    make([]uint64, 0, len(r.Usages)),
		Admitted:    make([]uint64, 0, len(r.Usages)),
		Rates:       make([]float32, 0, len(r.Usages)),
		Tokens:      make([]float32, 0, len(r.Usages)),
	}
	for _, u := range r.Usages {
		m.Accounts = append(m.Accounts, u.Account)
		m.Admitted = append(m.Admitted, u.Admitted)
		m.Rates = append(m.Rates, float32(u.Rate))
		m.Tokens = append(m.Tokens, float32(u.Tokens))
	}
	return m
}

// handleUsage records the message of another entry. It returns an error of kind Protocol
// when the message cannot be decoded or its lists differ in length.
func (x *Exchange) handleUsage(_ context.Context, from string, body []byte) ([]byte, error) {
	return x.handleAt(time.Now(), from, body)
}

// handleAt is handleUsage for a message that arrives at a given time.
func (x *Exchange) handleAt(now time.Time, from string, body []byte) ([]byte, error) {
	var m Usage
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode usage of entry %s: %w", from, err)
	}
	accounts := m.GetAccounts()
	if n := len(accounts); n != len(m.GetAdmitted()) || n != len(m.GetRates()) || n != len(m.GetTokens()) || n > yuccaquota.MaxUsages {
		return nil, yuccaerror.New(yuccaerror.Protocol, "usage of entry %s has %d accounts, %d counts, %d rates and %d tokens", from, n, len(m.GetAdmitted()), len(m.GetRates()), len(m.GetTokens()))
	}
	r := yuccaquota.Report{
		Incarnation: m.GetIncarnation(),
		Seq:         m.GetSeq(),
		View:        m.GetView(),
		Entries:     int(m.GetEntries()),
		Synced:      m.GetSynced(),
		Whole:       m.GetWhole(),
		Usages:      make([]yuccaquota.Usage, 0, len(accounts)),
	}
	for i, account := range accounts {
		r.Usages = append(r.Usages, yuccaquota.Usage{Account: account, Admitted: m.GetAdmitted()[i], Rate: float64(m.GetRates()[i]), Tokens: float64(m.GetTokens()[i])})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.Receive(now, from, r)
	return nil, nil
}
