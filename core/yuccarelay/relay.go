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

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccaroute"
	"yuccawell.example/core/yuccasync"
)

// Picker chooses servers inside the entry's budgets.
type Picker interface {
	Pick(ask yuccaadmission.Request) (yuccaadmission.Ticket, error)
	Done(t yuccaadmission.Ticket, r yuccaadmission.Result)
}

// Source gives the rules in force.
type Source interface {
	Snapshot() *yuccasync.Snapshot
}

// Observer is told how each request ended.
type Observer interface {
	Observe(Record)
}

// Record is what is known of a request that has ended.
type Record struct {
	Service      string
	OriginRegion string
	ServerRegion string
	Kind         yuccaerror.Kind
	Status       int
	Tries        int
	Bytes        int64
	// TimeToHeader runs from the request's arrival to the head of its answer.
	TimeToHeader time.Duration
	At           time.Time
	// ID names the request.
	ID string
	// Server is the last server that it was given to, Reason why that was chosen
	// and Route the rule that it came under.
	Server string
	Reason string
	Route  *yuccaroute.Route
	// Ran says whether a request that failed may have run, RetryAfter when its caller
	// was told to come back.
	Ran        yuccaerror.RunStatus
	RetryAfter time.Duration
	// Cause is the error that ended it, nil if none.
	Cause error
}

// Dialer opens connections to backend servers.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Options are the dependencies of a Relay.
type Options struct {
	// Region is where the entry is: its requests arise there.
	Region string
	Picker Picker
	// Source gives the rules that name services by hosts. It is not used when
	// there is a Router.
	Source   Source
	Router   Router
	Observer Observer
	Dial     Dialer
	// Protocol is DefaultProtocol if nil.
	Protocol Protocol
	// Retries bound the second tries; zero means the defaults.
	Retries yuccaretry.Limits
	// MaxBufferedBytes is the longest answer, in bytes, that is read whole before the caller
	// gets its head, so that a cut one can be asked for again.
	MaxBufferedBytes int
	// Connect is the longest wait for a new connection to a server, Idle the
	// longest time that one is kept unused, and NonIdempotentIdleTimeout that for requests that
	// must not run twice. Zero means the defaults.
	Connect, Idle, NonIdempotentIdleTimeout time.Duration
	// Claims guards requests with idempotency keys; nil means no guard.
	Claims Claims
	// Quarantine guards servers from requests that kill them; nil means no guard.
	Quarantine Quarantine
	// NoHedge switches hedged requests and the doubt in silent connections off.
	NoHedge bool
	// RetryFailures asks another server when one fails at an idempotent request.
	RetryFailures bool
	// NoResume switches the carrying on of broken and stalled downloads off.
	NoResume bool
	Log      zerolog.Logger
	// Failures bounds the lines on failed requests; nil means logBurst a second.
	Failures zerolog.Sampler
}

// logBurst is how many failed requests are logged a second.
const logBurst = 20

// Relay serves callers. Make one with New and release it with Close.
type Relay struct {
	opt      Options
	pool     *pool
	services *yuccaretry.Tracker
	rates    *yuccaretry.Tracker
	failures zerolog.Logger
}

// New returns a relay.
func New(opt Options) *Relay {
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	if opt.Quarantine == nil {
		opt.Quarantine = unguarded{}
	}
	if opt.Router == nil {
		opt.Router = byHost{opt.Source}
	}
	if opt.Failures == nil {
		opt.Failures = &zerolog.BurstSampler{Burst: logBurst, Period: time.Second}
	}
	if opt.Protocol == nil {
		opt.Protocol = DefaultProtocol{}
	}
	return &Relay{
		opt:      opt,
		pool:     newPool(opt.Dial, opt.Connect, opt.Idle),
		services: yuccaretry.NewTracker(opt.Retries),
		rates:    yuccaretry.NewTracker(yuccaretry.Limits{}),
		failures: opt.Log.Sample(opt.Failures),
	}
}

// Close closes the idle connections to backend servers.
func (r *Relay) Close() { r.pool.close() }

// Serve answers one request.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	t := newTask(r, ctx)
	if err := t.prepare(); err != nil {
		t.err = err
		t.answer(yuccaerror.KindOf(err), yuccaerror.NotRun)
		return
	}
	t.run()
}

// SetRetryLimits sets the bounds of second tries from now on.
func (r *Relay) SetRetryLimits(l yuccaretry.Limits) { r.services.Limit(l) }
