package yuccanotice

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccalog"
	"yuccawell.example/core/yuccapeer"
)

const (
	// topic is the bus topic of Notices.
	topic = "server.notice"
	// publishDelay collects the changes of a moment in one message.
	publishDelay = 50 * time.Millisecond
	// refreshInterval is the time between two messages about the same notice, for
	// entries that have joined or missed a message.
	refreshInterval = time.Second
	// maxNoticesPerMessage bounds the length of a message.
	maxNoticesPerMessage = 1024
	// invalidLinesPerSecond limits the log lines about reports that cannot be read.
	invalidLinesPerSecond = 1
)

// Bus is the part of the message bus between entries that an Exchange needs.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other entries.
	Publish(topic string, body []byte)
}

// Balancer is the load balancer that keeps to what the servers say.
type Balancer interface {
	// SetRateLimit records the limit of a server.
	SetRateLimit(server string, limit yuccabalancer.RateLimit)
	// Addr returns the address of a server, empty for an unknown server.
	Addr(server string) string
}

// Exchange is the service that keeps the board, passes it to the load balancer and
// shares it with the other entries. Create one with New.
type Exchange struct {
	*yuccakernel.Worker

	bus      Bus
	balancer Balancer
	log      zerolog.Logger
	// invalid is the logger of reports that cannot be read.
	invalid zerolog.Logger
	// boardLen is the number of notices on the board. It lets responses of servers
	// that say nothing pass without a lock while there are none.
	boardLen atomic.Int64
	// wake has a value when changed has become non-empty.
	wake chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	board *Board
	// changed holds own notices that the other entries have not been told.
	changed map[string]Notice
}

// New returns the exchange and registers its message handler on the bus.
func New(bus Bus, balancer Balancer, log zerolog.Logger) *Exchange {
	x := &Exchange{
		bus:      bus,
		balancer: balancer,
		log:      log,
		invalid:  log.Sample(yuccalog.NewRateSampler(invalidLinesPerSecond)),
		wake:     make(chan struct{}, 1),
		board:    NewBoard(),
		changed:  map[string]Notice{},
	}
	x.Worker = yuccakernel.NewWorker(x.run)
	bus.Handle(topic, x.handleNotices)
	return x
}

// Len returns the number of servers with a notice.
func (x *Exchange) Len() int { return int(x.boardLen.Load()) }

// ReceiveReport implements yuccarelay.ReportReceiver. A report that cannot be read
// changes nothing.
func (x *Exchange) ReceiveReport(server string, r yuccaadmission.Report) {
	if r.Invalid != "" {
		x.invalid.Warn().Str("server", server).Str("report", r.Invalid).Msg("server_report_unreadable")
		return
	}
	if !r.Limited && x.boardLen.Load() == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	n, changed := x.board.Observe(time.Now(), server, r)
	x.boardLen.Store(int64(x.board.Len()))
	x.apply(server, n)
	if changed {
		x.logChange(server, "", n)
		x.changed[server] = n
		x.wakeUp()
	}
}

// apply passes a notice to the load balancer.
func (x *Exchange) apply(server string, n Notice) {
	x.balancer.SetRateLimit(server, yuccabalancer.RateLimit{Limited: n.Limited, PerSecond: n.Limit, At: n.At})
}

// logChange logs that a server says something else than before. The name of the entry
// that told it is empty if this entry got the response.
func (x *Exchange) logChange(server, from string, n Notice) {
	x.log.Info().Str("server", server).Str("from", from).Bool("limited", n.Limited).Float64("limit", n.Limit).Dur("age", time.Since(n.At)).Msg("server_limit_changed")
}

func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *Exchange) run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-x.wake:
			select {
			case <-time.After(publishDelay):
			case <-ctx.Done():
				return
			}
			x.publish(x.takeChanged())
		case now := <-refresh.C:
			x.publish(x.takeOwn(now))
		case <-ctx.Done():
			return
		}
	}
}

// takeChanged returns the changed notices and clears their list.
func (x *Exchange) takeChanged() map[string]Notice {
	x.mu.Lock()
	defer x.mu.Unlock()
	changed := x.changed
	x.changed = map[string]Notice{}
	return changed
}

// takeOwn prunes the board and returns the own notices.
func (x *Exchange) takeOwn(now time.Time) map[string]Notice {
	if x.boardLen.Load() == 0 {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	known := func(server string) bool { return x.balancer.Addr(server) != "" }
	for _, server := range x.board.Prune(now, known) {
		x.apply(server, Notice{At: now})
	}
	x.boardLen.Store(int64(x.board.Len()))
	return x.board.Own()
}

// publish sends notices to the other entries.
func (x *Exchange) publish(notices map[string]Notice) {
	m := &Notices{}
	for server, n := range notices {
		m.Notices = append(m.Notices, &ServerNotice{
			Server:  server,
			AgeMs:   uint32(max(0, time.Since(n.At)).Milliseconds()),
			Limited: n.Limited,
			Limit:   n.Limit,
		})
		if len(m.GetNotices()) == maxNoticesPerMessage {
			x.send(m)
			m = &Notices{}
		}
	}
	if len(m.GetNotices()) > 0 {
		x.send(m)
	}
}

func (x *Exchange) send(m *Notices) {
	body, err := proto.Marshal(m)
	if err != nil {
		x.log.Error().Err(err).Msg("notices_not_encoded")
		return
	}
	x.bus.Publish(topic, body)
}

// handleNotices merges the notices of another entry into the board. It returns an
// error of kind Protocol when they cannot be decoded.
func (x *Exchange) handleNotices(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Notices
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode notices of entry %s: %w", from, err)
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range m.GetNotices() {
		n := Notice{At: now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond), Limited: v.GetLimited(), Limit: v.GetLimit()}
		newer, changed := x.board.Merge(v.GetServer(), n)
		if newer {
			x.apply(v.GetServer(), n)
		}
		if changed {
			x.logChange(v.GetServer(), from, n)
		}
	}
	x.boardLen.Store(int64(x.board.Len()))
	return nil, nil
}
