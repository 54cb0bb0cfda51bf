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

// reportInterval is the time between two reports of a DropReporter.
const reportInterval = 5 * time.Second

// Writer queues lines for another writer and never blocks its caller. When the
// queue is full because the other writer is slow, it drops lines and counts them.
// It is a service of yuccakernel. Make one with NewWriter.
type Writer struct {
	out   io.Writer
	queue chan []byte
	// dropped is the number of lines dropped so far.
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewWriter returns a writer to out that queues up to capacity lines. It writes
// them once it is started.
func NewWriter(out io.Writer, capacity int) *Writer {
	return &Writer{out: out, queue: make(chan []byte, capacity), done: make(chan struct{})}
}

// Write implements io.Writer. It never fails and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Start writes queued lines in the background until Stop is called, also after
// ctx has ended.
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
		case line := <-w.queue:
			_, _ = w.out.Write(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// flush writes the lines that are still queued.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Stop ends the writer after the lines that are still queued. It does not wait
// for them; Done does.
func (w *Writer) Stop(context.Context) error {
	w.cancel()
	return nil
}

// Done returns a channel that is closed when the writer has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// RateSampler is a zerolog.Sampler that passes a limited number of lines in each
// second of Unix time and counts the lines that it suppresses. Make one with
// NewRateSampler.
type RateSampler struct {
	// perSecond is the largest number of lines passed in one second.
	perSecond int

	mu sync.Mutex
	// second is the current second in Unix time.
	second int64
	// passed is the number of lines passed in the current second.
	passed int
	// suppressed is the number of lines suppressed so far.
	suppressed uint64
}

// NewRateSampler returns a sampler that passes up to perSecond lines a second.
func NewRateSampler(perSecond int) *RateSampler { return &RateSampler{perSecond: perSecond} }

// Sample implements zerolog.Sampler.
func (s *RateSampler) Sample(zerolog.Level) bool { return s.allow(time.Now()) }

// allow counts a line at now and reports whether it passes.
func (s *RateSampler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unix := now.Unix(); unix != s.second {
		s.second, s.passed = unix, 0
	}
	if s.passed >= s.perSecond {
		s.suppressed++
		return false
	}
	s.passed++
	return true
}

// Suppressed returns the number of lines suppressed so far.
func (s *RateSampler) Suppressed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suppressed
}

// DropReporter logs how many lines were dropped or suppressed since its last
// report: every 5 seconds, and once when it stops. It is a service of yuccakernel.
// Make one with NewDropReporter.
type DropReporter struct {
	*yuccakernel.Worker

	samplers map[string]*RateSampler
	writer   *Writer
	log      zerolog.Logger
	// reported holds the totals at the last report, by event name, or under
	// "dropped" for the writer.
	reported map[string]uint64
}

// NewDropReporter returns a reporter of the lines dropped by w and of those
// suppressed by samplers. The key of each sampler is the name of the event that it
// limits. The reporter writes to log.
func NewDropReporter(w *Writer, samplers map[string]*RateSampler, log zerolog.Logger) *DropReporter {
	r := &DropReporter{samplers: samplers, writer: w, log: log, reported: map[string]uint64{}}
	r.Worker = yuccakernel.NewWorker(r.run)
	return r
}

func (r *DropReporter) run(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.report()
		case <-ctx.Done():
			r.report()
			return
		}
	}
}

func (r *DropReporter) report() {
	for event, s := range r.samplers {
		r.reportNew(event, s.Suppressed())
	}
	r.reportNew("dropped", r.writer.Dropped())
}

// reportNew logs how many lines of a subject are missing since its last report. The
// subject is an event name, or "dropped" for the writer. The argument total is the
// number of its missing lines so far.
func (r *DropReporter) reportNew(subject string, total uint64) {
	if n := total - r.reported[subject]; n > 0 {
		r.reported[subject] = total
		r.log.Warn().Str("of", subject).Uint64("count", n).Msg("lines_left_out")
	}
}
