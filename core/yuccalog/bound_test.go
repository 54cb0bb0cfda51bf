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

// gate is an output that blocks until it is opened.
type gate struct {
	opened chan struct{}
	mu     sync.Mutex
	lines  []string
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.opened
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, string(p))
	return len(p), nil
}

// TestBlockedOutput logs while the output takes nothing: nobody waits, and what
// was dropped is counted in the log once the output is open again.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &gate{opened: make(chan struct{})}
		w := yuccalog.NewWriter(yuccalog.NewKeyValueWriter(out), 10)
		log := yuccalog.NewJSON(w, "info")
		counter := yuccalog.NewDropReporter(w, nil, log)
		group := &errgroup.Group{}
		c.Assert(w.Start(t.Context(), group), qt.IsNil)
		c.Assert(counter.Start(t.Context(), group), qt.IsNil)
		began := time.Now()
		for range 100 {
			log.Info().Msg("event")
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(w.Dropped() >= 89, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
		close(out.opened)
		time.Sleep(6 * time.Second)
		c.Assert(counter.Stop(context.Background()), qt.IsNil)
		<-counter.Done()
		c.Assert(w.Stop(context.Background()), qt.IsNil)
		<-w.Done()
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(strings.Join(out.lines, ""), qt.Contains, "event=lines_left_out")
	})
}

func TestQuotaCountsWhatItLeavesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := yuccalog.NewRateSampler(5)
		passed := 0
		for range 3 {
			for range 20 {
				if q.Sample(zerolog.InfoLevel) {
					passed++
				}
			}
			time.Sleep(time.Second)
		}
		c.Assert(passed, qt.Equals, 15)
		c.Assert(q.Suppressed(), qt.Equals, uint64(45))
	})
}

// BenchmarkLine measures what a logged decision costs the request.
func BenchmarkLine(b *testing.B) {
	w := yuccalog.NewWriter(&strings.Builder{}, 1)
	log := yuccalog.NewJSON(w, "info")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("request", "9c41d07be2a35f68").Str("kind", "shed").Int("status", 503).Dur("took", time.Millisecond).Msg("request_failed")
	}
}
