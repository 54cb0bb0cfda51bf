// Package yuccakernel starts the services of a process in order, lets them find
// each other by name and stops them in reverse.
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

// Service is one part of a process.
type Service interface {
	// Start returns when the service is usable. Work that goes on in the
	// background is started on group and ends when Stop is called.
	Start(ctx context.Context, group *errgroup.Group) error
	// Stop asks the service to end and returns when it has, or when ctx ends.
	Stop(ctx context.Context) error
	// Done is closed when the service has ended.
	Done() <-chan struct{}
}

// StopTimeout bounds the stop of one service.
const StopTimeout = 2 * time.Minute

type entry struct {
	name    string
	service Service
}

// Kernel holds the services of a process. Make one with New.
type Kernel struct {
	log     zerolog.Logger
	entries []entry
	done    chan struct{}
}

// New returns a kernel without services.
func New(log zerolog.Logger) *Kernel {
	return &Kernel{log: log, done: make(chan struct{})}
}

// Add registers a service. Services start in the order of their registration.
// Add panics when the name is taken, which is a defect in the program.
func (k *Kernel) Add(name string, s Service) {
	for _, e := range k.entries {
		if e.name == name {
			panic("yuccakernel: service " + name + " registered twice")
		}
	}
	k.entries = append(k.entries, entry{name, s})
}

// Find returns the service registered under name as a T.
//
//	store, err := yuccakernel.Find[yuccastore.Store](k, "store")
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	for _, e := range k.entries {
		if e.name != name {
			continue
		}
		found, ok := e.service.(T)
		if !ok {
			return zero, fmt.Errorf("service %s is a %T", name, e.service)
		}
		return found, nil
	}
	return zero, fmt.Errorf("no service named %s", name)
}

// Done is closed when Run has returned.
func (k *Kernel) Done() <-chan struct{} { return k.done }

// Run starts every service, waits until ctx ends or a service fails, and stops
// in reverse what was started. A service goes on working until its own Stop is
// called, also after ctx has ended. Run returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	defer close(k.done)
	group, alive := errgroup.WithContext(context.WithoutCancel(ctx))
	started, err := k.start(alive, group)
	if err == nil {
		wait(ctx, alive)
	}
	stopErr := k.stop(started)
	return cmp.Or(err, group.Wait(), stopErr)
}

func wait(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}

func (k *Kernel) start(ctx context.Context, group *errgroup.Group) (int, error) {
	for i, e := range k.entries {
		if err := e.service.Start(ctx, group); err != nil {
			return i, fmt.Errorf("start %s: %w", e.name, err)
		}
		k.log.Debug().Str("service", e.name).Msg("service_started")
	}
	return len(k.entries), nil
}

func (k *Kernel) stop(started int) error {
	var first error
	for i := started - 1; i >= 0; i-- {
		if err := k.stopOne(k.entries[i]); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (k *Kernel) stopOne(e entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	if err := e.service.Stop(ctx); err != nil {
		return fmt.Errorf("stop %s: %w", e.name, err)
	}
	select {
	case <-e.service.Done():
	case <-ctx.Done():
		return fmt.Errorf("stop %s: %w", e.name, ctx.Err())
	}
	k.log.Debug().Str("service", e.name).Msg("service_stopped")
	return nil
}
