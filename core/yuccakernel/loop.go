package yuccakernel

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Worker is a service that runs one function in the background until it is stopped.
// Embed one in a part that has nothing else to start. Make one with NewWorker.
type Worker struct {
	run    func(ctx context.Context)
	cancel context.CancelFunc
	done   chan struct{}
}

// NewWorker returns a service that runs a function, which returns when its context
// ends.
func NewWorker(run func(ctx context.Context)) *Worker {
	return &Worker{run: run, done: make(chan struct{})}
}

// Start implements Service.
func (l *Worker) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, l.cancel = context.WithCancel(ctx)
	group.Go(func() error {
		defer close(l.done)
		l.run(ctx)
		return nil
	})
	return nil
}

// Stop implements Service.
func (l *Worker) Stop(context.Context) error {
	l.cancel()
	return nil
}

// Done implements Service.
func (l *Worker) Done() <-chan struct{} { return l.done }
