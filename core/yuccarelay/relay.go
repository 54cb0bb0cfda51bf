// Package yuccarelay passes callers' requests to backend servers and their
// answers back, streaming both ways.
//
//	r := yuccarelay.New(yuccarelay.Options{Picker: picker, Source: feed, Log: log})
//	server := &fasthttp.Server{Handler: r.Serve, StreamRequestBody: true}
package yuccarelay

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccafeed"
	"yuccawell.example/core/yuccapick"
	"yuccawell.example/core/yuccaretry"
)

// Picker chooses servers inside the entry's budgets.
type Picker interface {
	Pick(ask yuccapick.Ask) (yuccapick.Ticket, error)
	Done(t yuccapick.Ticket, r yuccapick.Result)
}

// Source gives the rules in force.
type Source interface {
	Snapshot() *yuccafeed.Snapshot
}

// Observer is told how each request ended.
type Observer interface {
	Observe(Record)
}

// Record is what is known of a request that has ended.
type Record struct {
	Service string
	From    string
	Region  string
	Kind    yuccafault.Kind
	Status  int
	Tries   int
	Bytes   int64
	// Took runs from the request's arrival to the head of its answer.
	Took time.Duration
	At   time.Time
}

// Dialer opens connections to backend servers.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Options are the dependencies of a Relay.
type Options struct {
	// Region is where the entry is: its requests arise there.
	Region   string
	Picker   Picker
	Source   Source
	Observer Observer
	Dial     Dialer
	// Claims guards requests with idempotency keys; nil means no guard.
	Claims Claims
	// Poison guards servers from requests that kill them; nil means no guard.
	Poison Poison
	// NoHedge switches hedged requests and the doubt in silent connections off.
	NoHedge bool
	// NoResume switches the carrying on of broken and stalled downloads off.
	NoResume bool
	Log      zerolog.Logger
}

// Relay serves callers. Make one with New and release it with Close.
type Relay struct {
	opt      Options
	pool     *pool
	services *yuccaretry.Services
	rates    *yuccaretry.Services
	failures zerolog.Logger
}

// New returns a relay.
func New(opt Options) *Relay {
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	if opt.Poison == nil {
		opt.Poison = unguarded{}
	}
	return &Relay{
		opt:      opt,
		pool:     newPool(opt.Dial),
		services: yuccaretry.NewServices(),
		rates:    yuccaretry.NewServices(),
		failures: sampled(opt.Log),
	}
}

// Close closes the idle connections to backend servers.
func (r *Relay) Close() { r.pool.close() }

// Serve answers one request.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	t := newTask(r, ctx)
	if err := t.prepare(); err != nil {
		t.answer(yuccafault.KindOf(err), yuccafault.NotRun)
		return
	}
	t.run()
}
