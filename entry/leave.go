package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafeed"
	"yuccawell.example/core/yuccastore"
)

// leaveTimeout bounds the call that tells the platform of a planned stop.
const leaveTimeout = 2 * time.Second

// leave tells the platform when the entry starts and stops. It is the first
// service to stop.
type leave struct {
	name  string
	store yuccastore.Store
	log   zerolog.Logger
	done  chan struct{}
}

func newLeave(name string, store yuccastore.Store, log zerolog.Logger) *leave {
	return &leave{name: name, store: store, log: log, done: make(chan struct{})}
}

// Start takes back what an earlier run under the same name said when it left.
func (l *leave) Start(ctx context.Context, _ *errgroup.Group) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.store.Delete(ctx, yuccafeed.LeavingPrefix+l.name, yuccastore.Cond{}); err != nil {
		l.log.Warn().Err(err).Msg("leaving_mark_kept")
	}
	return nil
}

// Stop implements yuccakernel.Service. A platform that does not answer does not
// hold the stop up.
func (l *leave) Stop(ctx context.Context) error {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, yuccafeed.LeavingPrefix+l.name, []byte(l.name), yuccastore.Cond{})
	l.log.Info().AnErr("platform", err).Msg("leaving")
	return nil
}

// Done implements yuccakernel.Service.
func (l *leave) Done() <-chan struct{} { return l.done }
