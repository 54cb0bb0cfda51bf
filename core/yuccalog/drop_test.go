package yuccalog_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccalog"
)

// blockedWriter is an output that blocks until its channel opened is closed.
type blockedWriter struct {
	opened chan struct{}
	mu     sync.Mutex
	lines  []string
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, string(p))
	return len(p), nil
}

// TestWriterWithBlockedOutput logs while the output is blocked. No log call may
// wait, and the log must report the dropped lines once the output works again.
func TestWriterWithBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{opened: make(chan struct{})}
		w := yuccalog.NewWriter(yuccalog.NewKeyValueWriter(out), 10)
		log := yuccalog.NewJSON(w, "info")
		reporter := yuccalog.NewDropReporter(w, nil, log)
		group := &errgroup.Group{}
		c.Assert(w.Start(t.Context(), group), qt.IsNil)
		c.Assert(reporter.Start(t.Context(), group), qt.IsNil)
		start := time.Now()
		for range 100 {
			log.Info().Msg("event")
		}
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		c.Assert(w.Dropped() >= 89, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
		close(out.opened)
		time.Sleep(6 * time.Second)
		c.Assert(reporter.Stop(context.Background()), qt.IsNil)
		<-reporter.Done()
		c.Assert(w.Stop(context.Background()), qt.IsNil)
		<-w.Done()
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(strings.Join(out.lines, ""), qt.Contains, "event=lines_left_out")
	})
}

func TestRateSamplerCountsSuppressedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sampler := yuccalog.NewRateSampler(5)
		passed := 0
		for range 3 {
			for range 20 {
				if sampler.Sample(zerolog.InfoLevel) {
					passed++
				}
			}
			time.Sleep(time.Second)
		}
		c.Assert(passed, qt.Equals, 15)
		c.Assert(sampler.Suppressed(), qt.Equals, uint64(45))
	})
}

// BenchmarkLine measures the time that a log line for a failed request adds to
// that request.
func BenchmarkLine(b *testing.B) {
	w := yuccalog.NewWriter(&strings.Builder{}, 1)
	log := yuccalog.NewJSON(w, "info")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("request", "9c41d07be2a35f68").Str("kind", "shed").Int("status", 503).Dur("took", time.Millisecond).Msg("request_failed")
	}
}
