package yuccakernel_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccakernel"
)

// TestWorkerRunsUntilStopped checks that a worker's function runs until Stop and
// that the worker then ends.
func TestWorkerRunsUntilStopped(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{})
	w := yuccakernel.NewWorker(func(ctx context.Context) {
		close(started)
		<-ctx.Done()
	})
	group := &errgroup.Group{}
	c.Assert(w.Start(t.Context(), group), qt.IsNil)
	<-started
	select {
	case <-w.Done():
		c.Fatal("the worker ended before it was stopped")
	default:
	}
	c.Assert(w.Stop(t.Context()), qt.IsNil)
	<-w.Done()
	c.Assert(group.Wait(), qt.IsNil)
}
