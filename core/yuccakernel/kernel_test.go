package yuccakernel_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccakernel"
)

// recordingService is a service that records its start and its stop in log. Its
// Start fails with startErr if that is set.
type recordingService struct {
	name     string
	startErr error
	log      *[]string
	done     chan struct{}
}

func (s *recordingService) Start(context.Context, *errgroup.Group) error {
	if s.startErr != nil {
		return s.startErr
	}
	*s.log = append(*s.log, "start "+s.name)
	return nil
}

func (s *recordingService) Stop(context.Context) error {
	*s.log = append(*s.log, "stop "+s.name)
	close(s.done)
	return nil
}

func (s *recordingService) Done() <-chan struct{} { return s.done }

func TestRunStartsInOrderAndStopsInReverse(t *testing.T) {
	errStart := errors.New("start failed")
	tests := []struct {
		name     string
		startErr error
		want     []string
	}{
		{"all start", nil, []string{"start a", "start b", "stop b", "stop a"}},
		{"second fails", errStart, []string{"start a", "stop a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log []string
			k := yuccakernel.New(zerolog.Nop())
			k.Add("a", &recordingService{name: "a", log: &log, done: make(chan struct{})})
			k.Add("b", &recordingService{name: "b", startErr: test.startErr, log: &log, done: make(chan struct{})})
			ctx, cancel := context.WithCancel(context.Background())
			if test.startErr == nil {
				cancel()
			}
			err := k.Run(ctx)
			cancel()
			c.Assert(errors.Is(err, errStart), qt.Equals, test.startErr != nil)
			c.Assert(log, qt.DeepEquals, test.want)
			<-k.Done()
		})
	}
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	k := yuccakernel.New(zerolog.Nop())
	k.Add("a", &recordingService{name: "a"})
	found, err := yuccakernel.Find[*recordingService](k, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(found.name, qt.Equals, "a")
	_, err = yuccakernel.Find[*recordingService](k, "b")
	c.Assert(err, qt.ErrorMatches, "no service named b")
	_, err = yuccakernel.Find[error](k, "a")
	c.Assert(err, qt.ErrorMatches, "service a is a .*")
}
