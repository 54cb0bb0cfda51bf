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
	// refusedLinesPerSecond limits the log lines about refused requests.
	refusedLinesPerSecond = 5
)

// Bus is the part of the message bus between entries that an Exchange needs.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other entries.
	Publish(topic string, body []byte)
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
	// limited is set while an account has a limit. It lets requests pass without a lock
	// while there is none.
	limited atomic.Bool

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
		ledger:  yuccaquota.NewLedger(self, incarnation, time.Now()),
	}
	x.Worker = yuccakernel.NewWorker(x.run)
	bus.Handle(topic, x.handleUsage)
	return x
}

// SetQuotas replaces the limits, by account. Accounts that are missing, or have rate zero,
// have no limit.
func (x *Exchange) SetQuotas(limits map[string]yuccaquota.Limit) {
	x.quotas.Lock()
	defer x.quotas.Unlock()
	// Prepared without the lock, so that requests do not wait for many accounts.
	prepared := x.ledger.Prepare(limits)
	x.mu.Lock()
	x.ledger.Apply(time.Now(), prepared)
	n := x.ledger.Len()
	x.mu.Unlock()
	x.limited.Store(n > 0)
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
	x.mu.Unlock()
	if ok {
		return nil
	}
	x.metrics.countRefused(account)
	if e := x.refused.Info(); e.Enabled() {
		x.mu.Lock()
		limit, arrivals, oldest := x.ledger.Usage(now, account)
		x.mu.Unlock()
		e.Str("account", account).Float64("rate", limit.Rate).Float64("burst", limit.Burst).Float64("usage", arrivals).Dur("oldest", oldest).Dur("wait", wait).Msg("quota_exceeded")
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
		x.mu.Lock()
		interval := x.ledger.Interval()
		x.mu.Unlock()
		select {
		case <-time.After(interval):
			x.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick updates the ledger and sends its report to the other entries, but nothing while no
// account has a limit.
func (x *Exchange) tick() {
	entries := x.entries()
	x.mu.Lock()
	m := encode(x.ledger.Tick(time.Now(), entries))
	x.mu.Unlock()
	if !x.limited.Load() {
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
		SentUs:      uint64(r.Sent.Microseconds()),
		View:        r.View,
		Entries:     uint32(r.Entries),
		Old:         r.Old,
		Whole:       r.Whole,
		Accounts:    make([]uint64, 0, len(r.Claims)),
		Claims:      make([]uint32, 0, len(r.Claims)),
	}
	for _, c := range r.Claims {
		m.Accounts = append(m.Accounts, c.Account)
		m.Claims = append(m.Claims, c.Units)
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
	if len(m.GetAccounts()) != len(m.GetClaims()) || len(m.GetClaims()) > yuccaquota.MaxClaims {
		return nil, yuccaerror.New(yuccaerror.Protocol, "usage of entry %s has %d accounts and %d claims", from, len(m.GetAccounts()), len(m.GetClaims()))
	}
	r := yuccaquota.Report{
		Incarnation: m.GetIncarnation(),
		Seq:         m.GetSeq(),
		Sent:        time.Duration(m.GetSentUs()) * time.Microsecond,
		View:        m.GetView(),
		Entries:     int(m.GetEntries()),
		Old:         m.GetOld(),
		Whole:       m.GetWhole(),
		Claims:      make([]yuccaquota.Claim, 0, len(m.GetClaims())),
	}
	for i, account := range m.GetAccounts() {
		r.Claims = append(r.Claims, yuccaquota.Claim{Account: account, Units: m.GetClaims()[i]})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.Receive(now, from, r)
	return nil, nil
}
