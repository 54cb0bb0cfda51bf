package yuccafront

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaconns"
	"yuccawell.example/core/yuccasocket"
)

// limitLineInterval is the shortest time between two log lines about the limit.
const limitLineInterval = 10 * time.Second

// ConnStatus describes the connections of a listener.
type ConnStatus struct {
	// Open is the number of open connections, and Limit how many there may be, 0 for any
	// number.
	Open, Limit int
	// Evicted counts the connections without a request that were closed for new ones.
	Evicted uint64
	// Refused counts the new connections whose first request was refused, and Dropped those
	// that were closed unread.
	Refused, Dropped uint64
	// Full is set while new connections are opened at the limit, and for some seconds after.
	Full bool
}

// connLimiter keeps the number of a listener's connections within a limit.
type connLimiter struct {
	name string
	log  zerolog.Logger

	// mu guards the fields below.
	mu    sync.Mutex
	table *yuccaconns.Table[net.Conn]
	// evicted, refused and dropped are those of ConnStatus.
	evicted, refused, dropped uint64
	// lineAt is when the last line was logged.
	lineAt time.Time

	// limited is set if there is a limit.
	limited atomic.Bool
}

func newConnLimiter(name string, limit int, log zerolog.Logger) *connLimiter {
	l := &connLimiter{name: name, log: log, table: yuccaconns.New[net.Conn](limit)}
	l.limited.Store(limit > 0)
	return l
}

// setLimit changes the limit; zero means none.
func (l *connLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetLimit(limit)
	l.limited.Store(limit > 0)
}

// track notes the state of a connection. A new one may be closed at once, or others for it.
func (l *connLimiter) track(c net.Conn, state fasthttp.ConnState) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		l.open(now, c)
	case fasthttp.StateActive:
		l.table.Begin(c)
	case fasthttp.StateIdle:
		l.table.End(now, c)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		l.table.Close(c)
	}
}

// open adds a connection. The caller holds mu, so that a request which is read meanwhile is
// seen by none or by serves.
func (l *connLimiter) open(now time.Time, c net.Conn) {
	a := l.table.Open(now, c, hasUnread)
	for _, evicted := range a.Evicted {
		_ = evicted.Close()
	}
	l.evicted += uint64(len(a.Evicted))
	switch a.Verdict {
	case yuccaconns.Refuse:
		l.refused++
	case yuccaconns.Drop:
		l.dropped++
		_ = c.Close()
	}
	if len(a.Evicted) > 0 || a.Verdict != yuccaconns.Keep {
		l.report(now)
	}
}

// report logs the totals, at most once in limitLineInterval.
func (l *connLimiter) report(now time.Time) {
	if now.Sub(l.lineAt) < limitLineInterval {
		return
	}
	l.lineAt = now
	l.log.Warn().Str("listener", l.name).Int("open", l.table.Len()).Int("limit", l.table.Limit()).
		Uint64("evicted", l.evicted).Uint64("refused", l.refused).Uint64("dropped", l.dropped).Msg("connections_at_limit")
}

// serves returns what becomes of a request on a connection.
func (l *connLimiter) serves(c net.Conn) yuccaconns.Verdict {
	if !l.limited.Load() {
		return yuccaconns.Keep
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Serves(c)
}

func (l *connLimiter) status(now time.Time) ConnStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnStatus{l.table.Len(), l.table.Limit(), l.evicted, l.refused, l.dropped, l.table.Full(now)}
}

// bufferedConn is a connection that reads ahead of the server.
type bufferedConn interface {
	// Buffered returns the number of bytes that the server has not got yet.
	Buffered() int
}

// hasUnread reports whether a client has sent data that the server has not got.
func hasUnread(c net.Conn) bool {
	if b, ok := c.(bufferedConn); ok && b.Buffered() > 0 {
		return true
	}
	unread := false
	// A connection whose socket can't be examined is closed already.
	_ = applyTo(c, func(raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unread = yuccasocket.Peek(fd) == yuccasocket.DataReady })
	})
	return unread
}
