// Package yuccakernel runs the services of a process: it starts them in the order
// of their registration and stops them in reverse. A Service can be looked up by
// name with Find, and a Worker is a Service that runs one function.
//
//	k := yuccakernel.New(log)
//	k.Add("store", store)
//	k.Add("relay", relay)
//	err := k.Run(ctx)
package yuccakernel

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Service is a part of a process with its own start and stop.
type Service interface {
	// Start returns when the service is ready for use. It starts background work
	// on group; that work ends when Stop is called.
	Start(ctx context.Context, group *errgroup.Group) error
	// Stop asks the service to end. It may return before the service has ended,
	// and returns at the latest when ctx ends.
	Stop(ctx context.Context) error
	// Done returns a channel that is closed when the service has ended.
	Done() <-chan struct{}
}

// StopTimeout bounds the time from Stop to the end of one service.
const StopTimeout = 2 * time.Minute

// registration is a service under its name.
type registration struct {
	name    string
	service Service
}

// Kernel runs the services of a process. Make one with New.
type Kernel struct {
	log zerolog.Logger
	// services are the registered services in the order of their start.
	services []registration
	done     chan struct{}
}

// New returns a kernel without services.
func New(log zerolog.Logger) *Kernel {
	return &Kernel{log: log, done: make(chan struct{})}
}

// Add registers a service. Services start in the order of their registration.
// Add panics if the name is already registered, since that is a programming
// error.
func (k *Kernel) Add(name string, s Service) {
	for _, r := range k.services {
		if r.name == name {
			panic("yuccakernel: service " + name + " registered twice")
		}
	}
	k.services = append(k.services, registration{name, s})
}

// Find returns the service registered under name as a T. It fails if there is
// none or if it is of another type.
//
//	store, err := yuccakernel.Find[yuccastore.Store](k, "store")
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	for _, r := range k.services {
		if r.name != name {
			continue
		}
		found, ok := r.service.(T)
		if !ok {
			return zero, fmt.Errorf("service %s is a %T", name, r.service)
		}
		return found, nil
	}
	return zero, fmt.Errorf("no service named %s", name)
}

// Done returns a channel that is closed when Run has ended.
func (k *Kernel) Done() <-chan struct{} { return k.done }

// Run starts all services, waits until ctx ends or a service fails, and stops the
// started services in reverse order. Run does not pass the cancellation of ctx
// on to the services: each one works until its own Stop is called. Run returns the error of the
// start, else of the background work, else of the stop.
func (k *Kernel) Run(ctx context.Context) error {
	defer close(k.done)
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	started, err := k.start(groupCtx, group)
	if err == nil {
		waitForEither(ctx, groupCtx)
	}
	stopErr := k.stop(started)
	return cmp.Or(err, group.Wait(), stopErr)
}

// waitForEither waits until one of two contexts ends.
func waitForEither(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}

// start starts the services and returns how many of them have started.
func (k *Kernel) start(ctx context.Context, group *errgroup.Group) (int, error) {
	for i, r := range k.services {
		if err := r.service.Start(ctx, group); err != nil {
			return i, fmt.Errorf("start %s: %w", r.name, err)
		}
		k.log.Debug().Str("service", r.name).Msg("service_started")
	}
	return len(k.services), nil
}

// stop stops the first services, as many as have started, in reverse order. It
// stops all of them and returns the first error.
func (k *Kernel) stop(started int) error {
	var first error
	for i := started - 1; i >= 0; i-- {
		if err := k.stopOne(k.services[i]); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// stopOne stops a service and waits for its end, for at most StopTimeout.
func (k *Kernel) stopOne(r registration) error {
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	if err := r.service.Stop(ctx); err != nil {
		return fmt.Errorf("stop %s: %w", r.name, err)
	}
	select {
	case <-r.service.Done():
	case <-ctx.Done():
		return fmt.Errorf("stop %s: %w", r.name, ctx.Err())
	}
	k.log.Debug().Str("service", r.name).Msg("service_stopped")
	return nil
}
