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

// leaveTimeout bounds the call that tells the platform of a planned stop.
const leaveTimeout = 2 * time.Second

// teller tells the other entries that this one is stopping.
type teller interface{ Leave() }

// leave tells peers and the platform when the entry starts and stops. It is the
// first service to stop.
type leave struct {
	name  string
	start uint64
	peers teller
	store yuccastore.Store
	log   zerolog.Logger
	done  chan struct{}
}

func newLeave(name string, start uint64, store yuccastore.Store, peers teller, log zerolog.Logger) *leave {
	return &leave{name: name, start: start, store: store, peers: peers, log: log, done: make(chan struct{})}
}

// Start takes back what an earlier run under the same name said when it left.
// While the platform is down the mark stays, but heartbeats of the later run
// outdo it.
func (l *leave) Start(ctx context.Context, _ *errgroup.Group) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.store.Delete(ctx, yuccasync.LeavingPrefix+l.name, yuccastore.Cond{}); err != nil {
		l.log.Warn().Err(err).Msg("leaving_mark_kept")
	}
	return nil
}

// Stop implements yuccakernel.Service. A platform that does not answer does not
// hold the stop up.
func (l *leave) Stop(ctx context.Context) error {
	defer close(l.done)
	l.peers.Leave()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, yuccasync.LeavingPrefix+l.name, []byte(strconv.FormatUint(l.start, 10)), yuccastore.Cond{})
	l.log.Info().AnErr("platform", err).Msg("leaving")
	return nil
}

// Done implements yuccakernel.Service.
func (l *leave) Done() <-chan struct{} { return l.done }
