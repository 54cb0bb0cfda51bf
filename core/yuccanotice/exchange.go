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
	// maxHoldOffSent bounds the hold-off in a message.
	maxHoldOffSent = time.Hour
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
	// SetNotice records what a server says about itself.
	SetNotice(server string, n yuccabalancer.Notice)
	// SetSenders records which other entries are senders of a server that names a limit.
	SetSenders(server string, entries []string)
	// Sends reports whether this entry is a sender of a server that names a limit.
	Sends(server string) bool
	// HoldOff keeps requests from a server for the time d.
	HoldOff(server string, d time.Duration)
	// Server returns a server by its name and whether it is known.
	Server(name string) (yuccabalancer.Server, bool)
}

// Exchange is the service that keeps the board, passes it to the load balancer and
// shares it with the other entries. Create one with New.
type Exchange struct {
	*yuccakernel.Worker

	// self is the name of this entry.
	self     string
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
	mu      sync.Mutex
	board   *Board
	senders *Senders
	// changed holds own notices that the other entries have not been told.
	changed map[string]yuccabalancer.Notice
}

// New returns the exchange of the entry self and registers its message handler on the
// bus.
func New(self string, bus Bus, balancer Balancer, log zerolog.Logger) *Exchange {
	x := &Exchange{
		self:     self,
		bus:      bus,
		balancer: balancer,
		log:      log,
		invalid:  log.Sample(yuccalog.NewRateSampler(invalidLinesPerSecond)),
		wake:     make(chan struct{}, 1),
		board:    NewBoard(),
		senders:  NewSenders(),
		changed:  map[string]yuccabalancer.Notice{},
	}
	x.Worker = yuccakernel.NewWorker(x.run)
	bus.Handle(topic, x.handleNotices)
	return x
}

// Len returns the number of servers with a notice.
func (x *Exchange) Len() int { return int(x.boardLen.Load()) }

// ReceiveReport implements yuccarelay.ReportReceiver. What cannot be read of a report
// changes nothing. The balancer of this entry learns of a hold-off that a server asks
// for with the result of the attempt. An entry that carried the attempt through a tunnel
// learns of it here, since the server has asked that entry.
func (x *Exchange) ReceiveReport(ticket yuccaadmission.Ticket, via string, r yuccaadmission.Report) {
	server := ticket.Server
	if r.Invalid != "" {
		x.invalid.Warn().Str("server", server).Str("report", r.Invalid).Msg("server_report_unreadable")
	}
	if via != "" && r.HoldOff > 0 {
		x.send(&Notices{Carrier: via, Notices: []*ServerNotice{{Server: server, HoldOffMs: uint32(min(r.HoldOff, maxHoldOffSent).Milliseconds())}}})
	}
	if !r.Limited && !r.Leaving && x.boardLen.Load() == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	n, changed := x.board.Observe(time.Now(), server, ticket.Run, r)
	x.boardLen.Store(int64(x.board.Len()))
	x.balancer.SetNotice(server, n)
	if changed {
		x.logChange(server, "", n)
		x.changed[server] = n
		x.wakeUp()
	}
}

// logChange logs that a server says something else than before. The name of the entry
// that told it is empty if this entry got the response.
func (x *Exchange) logChange(server, from string, n yuccabalancer.Notice) {
	x.log.Info().Str("server", server).Str("from", from).Bool("limited", n.Limited).Float64("limit", n.Limit).Bool("leaving", n.Leaving).Dur("age", time.Since(n.At)).Msg("server_notice_changed")
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
			x.publish(x.refresh(now))
		case <-ctx.Done():
			return
		}
	}
}

// takeChanged returns the changed notices and clears their list.
func (x *Exchange) takeChanged() map[string]yuccabalancer.Notice {
	x.mu.Lock()
	defer x.mu.Unlock()
	changed := x.changed
	x.changed = map[string]yuccabalancer.Notice{}
	return changed
}

// refresh forgets what is too old, and returns the notices that this entry repeats to the
// others: those of the newest responses, which it got itself, and those of limited
// servers that it is a sender of.
func (x *Exchange) refresh(now time.Time) map[string]yuccabalancer.Notice {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := func(server string) bool {
		_, ok := x.balancer.Server(server)
		return ok
	}
	for _, server := range x.board.Prune(now, known) {
		x.balancer.SetNotice(server, yuccabalancer.Notice{At: now})
	}
	for _, server := range x.senders.Prune(now) {
		x.setSenders(server)
	}
	x.boardLen.Store(int64(x.board.Len()))
	notices := x.board.Own()
	for server, n := range x.board.Limited() {
		if x.balancer.Sends(server) {
			notices[server] = n
		}
	}
	return notices
}

// setSenders tells the load balancer which other entries are senders of a server, and logs
// whether this entry begins or stops to be one. The caller holds mu.
func (x *Exchange) setSenders(server string) {
	before := x.balancer.Sends(server)
	names := x.senders.Names(server)
	x.balancer.SetSenders(server, names)
	if after := x.balancer.Sends(server); after != before {
		x.log.Info().Str("server", server).Bool("sending", after).Strs("others", names).Msg("server_sender_changed")
	}
}

// publish sends notices to the other entries.
func (x *Exchange) publish(notices map[string]yuccabalancer.Notice) {
	m := &Notices{}
	for server, n := range notices {
		m.Notices = append(m.Notices, &ServerNotice{
			Server:  server,
			AgeMs:   uint32(max(0, time.Since(n.At)).Milliseconds()),
			Limited: n.Limited,
			Limit:   n.Limit,
			Leaving: n.Leaving,
			Run:     n.Run,
			Sender:  x.balancer.Sends(server),
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
	if m.GetCarrier() != "" {
		x.holdOff(&m)
		return nil, nil
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range m.GetNotices() {
		n := yuccabalancer.Notice{
			At:      now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond),
			Run:     v.GetRun(),
			Limited: v.GetLimited(),
			Limit:   v.GetLimit(),
			Leaving: v.GetLeaving(),
		}
		n, newer, changed := x.board.Merge(v.GetServer(), n)
		if newer {
			x.balancer.SetNotice(v.GetServer(), n)
		}
		if changed {
			x.logChange(v.GetServer(), from, n)
		}
		if x.senders.Record(now, v.GetServer(), from, v.GetSender()) {
			x.setSenders(v.GetServer())
		}
	}
	x.boardLen.Store(int64(x.board.Len()))
	return nil, nil
}

// holdOff applies the hold-offs that servers have asked for when this entry carried a
// request of another one.
func (x *Exchange) holdOff(m *Notices) {
	if m.GetCarrier() != x.self {
		return
	}
	for _, v := range m.GetNotices() {
		x.balancer.HoldOff(v.GetServer(), time.Duration(v.GetHoldOffMs())*time.Millisecond)
	}
}
