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

type part struct {
	name string
	fail error
	log  *[]string
	done chan struct{}
}

func (p *part) Start(context.Context, *errgroup.Group) error {
	if p.fail != nil {
		return p.fail
	}
	*p.log = append(*p.log, "start "+p.name)
	return nil
}

func (p *part) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)
	close(p.done)
	return nil
}

func (p *part) Done() <-chan struct{} { return p.done }

func TestRunStartsInOrderAndStopsInReverse(t *testing.T) {
	boom := errors.New("boom")
	tests := []struct {
		name string
		fail error
		want []string
	}{
		{"all start", nil, []string{"start a", "start b", "stop b", "stop a"}},
		{"second fails", boom, []string{"start a", "stop a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log []string
			k := yuccakernel.New(zerolog.Nop())
			k.Add("a", &part{name: "a", log: &log, done: make(chan struct{})})
			k.Add("b", &part{name: "b", fail: test.fail, log: &log, done: make(chan struct{})})
			ctx, cancel := context.WithCancel(context.Background())
			if test.fail == nil {
				cancel()
			}
			err := k.Run(ctx)
			cancel()
			c.Assert(errors.Is(err, boom), qt.Equals, test.fail != nil)
			c.Assert(log, qt.DeepEquals, test.want)
			<-k.Done()
		})
	}
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	k := yuccakernel.New(zerolog.Nop())
	k.Add("a", &part{name: "a"})
	found, err := yuccakernel.Find[*part](k, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(found.name, qt.Equals, "a")
	_, err = yuccakernel.Find[*part](k, "b")
	c.Assert(err, qt.ErrorMatches, "no service named b")
	_, err = yuccakernel.Find[error](k, "a")
	c.Assert(err, qt.ErrorMatches, "service a is a .*")
}
