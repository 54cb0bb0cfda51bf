package yuccalog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccakernel"
)

// reportInterval is how often lines that were left out are counted in the log.
const reportInterval = 5 * time.Second

// Writer hands lines to another writer without ever making the caller wait: when
// the other is slow, lines are dropped and counted. Make one with NewWriter.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewWriter returns a writer that holds up to the given number of lines. Lines
// are written once it is started.
func NewWriter(out io.Writer, lines int) *Writer {
	return &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Start writes lines until Stop.
func (w *Writer) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error {
		defer close(w.done)
		w.run(ctx)
		return nil
	})
	return nil
}

func (w *Writer) run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// drain writes what is held.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Stop writes what is held and ends the writer.
func (w *Writer) Stop(context.Context) error {
	w.cancel()
	return nil
}

// Done is closed when the writer has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// RateSampler lets a number of lines a second through and counts the others. It
// implements zerolog.Sampler. Make one with NewRateSampler.
type RateSampler struct {
	perSecond int

	mu     sync.Mutex
	second int64
	used   int
	left   uint64
}

// NewRateSampler returns a quota of a number of lines a second.
func NewRateSampler(perSecond int) *RateSampler { return &RateSampler{perSecond: perSecond} }

// Sample implements zerolog.Sampler.
func (q *RateSampler) Sample(zerolog.Level) bool { return q.take(time.Now()) }

func (q *RateSampler) take(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := now.Unix(); s != q.second {
		q.second, q.used = s, 0
	}
	if q.used >= q.perSecond {
		q.left++
		return false
	}
	q.used++
	return true
}

// Suppressed returns how many lines were left out.
func (q *RateSampler) Suppressed() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.left
}

// DropReporter tells in the log how many lines were left out. It is a service of the
// kernel. Make one with NewDropReporter.
type DropReporter struct {
	*yuccakernel.Worker

	quotas map[string]*RateSampler
	writer *Writer
	log    zerolog.Logger
	told   map[string]uint64
}

// NewDropReporter returns a counter of what a writer dropped and of what the quotas
// left out, by the event that each bounds.
func NewDropReporter(w *Writer, quotas map[string]*RateSampler, log zerolog.Logger) *DropReporter {
	c := &DropReporter{quotas: quotas, writer: w, log: log, told: map[string]uint64{}}
	c.Worker = yuccakernel.NewWorker(c.run)
	return c
}

func (c *DropReporter) run(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.tell()
		case <-ctx.Done():
			c.tell()
			return
		}
	}
}

func (c *DropReporter) tell() {
	for event, q := range c.quotas {
		c.count(event, q.Suppressed())
	}
	c.count("dropped", c.writer.Dropped())
}

func (c *DropReporter) count(what string, total uint64) {
	if n := total - c.told[what]; n > 0 {
		c.told[what] = total
		c.log.Warn().Str("of", what).Uint64("count", n).Msg("lines_left_out")
	}
}
