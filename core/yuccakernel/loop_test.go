package yuccakernel_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccakernel"
)

// TestLoopEndsWhenStopped starts a function and stops it.
func TestLoopEndsWhenStopped(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	l := yuccakernel.NewWorker(func(ctx context.Context) {
		close(began)
		<-ctx.Done()
	})
	group := &errgroup.Group{}
	c.Assert(l.Start(t.Context(), group), qt.IsNil)
	<-began
	select {
	case <-l.Done():
		c.Fatal("it ended by itself")
	default:
	}
	c.Assert(l.Stop(t.Context()), qt.IsNil)
	<-l.Done()
	c.Assert(group.Wait(), qt.IsNil)
}
