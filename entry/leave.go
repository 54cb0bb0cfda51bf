package main

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// leavingCallTimeout bounds each platform call of a leaveService.
const leavingCallTimeout = 2 * time.Second

// peerNotifier announces to the other entries that this one is stopping.
type peerNotifier interface{ Leave() }

// leaveService announces to the other entries and to the platform that the entry
// is stopping. It is the first service to stop.
type leaveService struct {
	// name is the name of the entry.
	name string
	// incarnation identifies this run of the entry. Later runs have higher ones.
	incarnation uint64
	peers       peerNotifier
	store       yuccastore.Store
	log         zerolog.Logger
	done        chan struct{}
}

func newLeaveService(name string, incarnation uint64, store yuccastore.Store, peers peerNotifier, log zerolog.Logger) *leaveService {
	return &leaveService{name: name, incarnation: incarnation, store: store, peers: peers, log: log, done: make(chan struct{})}
}

// Start deletes the leaving mark that an earlier run under the same name stored
// on the platform. If the platform is down, the mark stays, but the heartbeats of
// this run take precedence over it.
func (l *leaveService) Start(ctx context.Context, _ *errgroup.Group) error {
	ctx, cancel := context.WithTimeout(ctx, leavingCallTimeout)
	defer cancel()
	if err := l.store.Delete(ctx, yuccasync.LeavingPrefix+l.name, yuccastore.Cond{}); err != nil {
		l.log.Warn().Err(err).Msg("leaving_mark_kept")
	}
	return nil
}

// Stop announces to the other entries that this one is stopping, and stores the leaving
// mark on the platform. It succeeds also if the platform does not answer in time.
func (l *leaveService) Stop(ctx context.Context) error {
	defer close(l.done)
	l.peers.Leave()
	ctx, cancel := context.WithTimeout(ctx, leavingCallTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, yuccasync.LeavingPrefix+l.name, []byte(strconv.FormatUint(l.incarnation, 10)), yuccastore.Cond{})
	l.log.Info().AnErr("platform", err).Msg("leaving")
	return nil
}

// Done implements yuccakernel.Service.
func (l *leaveService) Done() <-chan struct{} { return l.done }
