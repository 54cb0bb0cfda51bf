package yuccakernel

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Worker is a Service that runs one function in the background until it is
// stopped. Embed it in a type that has nothing else to start. Make one with
// NewWorker.
type Worker struct {
	run    func(ctx context.Context)
	cancel context.CancelFunc
	done   chan struct{}
}

// NewWorker returns a service that calls run once. The function run must return
// when its context ends.
func NewWorker(run func(ctx context.Context)) *Worker {
	return &Worker{run: run, done: make(chan struct{})}
}

// Start implements Service.
func (w *Worker) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, w.cancel = context.WithCancel(ctx)
	group.Go(func() error {
		defer close(w.done)
		w.run(ctx)
		return nil
	})
	return nil
}

// Stop cancels the function's context. It does not wait for the function; Done
// does.
func (w *Worker) Stop(context.Context) error {
	w.cancel()
	return nil
}

// Done returns a channel that is closed when the function has returned.
func (w *Worker) Done() <-chan struct{} { return w.done }
