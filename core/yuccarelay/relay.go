// Package yuccarelay is the HTTP/1.1 reverse proxy of an entry (a proxy
// instance of the system). It relays callers' requests to backend servers and
// streams both bodies.
//
// A Relay serves one request as follows. A Router finds the route and the
// service, and with them the caller's account. Quota, if set, bounds the requests of
// each account. Claims, if set, make a request with an idempotency key run at most
// once. A Picker admits the request and chooses a backend server; Quarantine,
// if set, rejects requests that have crashed servers. The relay sends the
// request to that server, which is one attempt, and hedges or retries it on
// another one if that is safe and within the retry budget. A download that
// breaks or stalls continues from another server with a range request. An
// Observer receives a Record at the end. A Protocol holds the header fields
// that callers and backend servers use.
//
//	r := yuccarelay.New(yuccarelay.Options{Picker: picker, Source: feed, Log: log})
//	server := &fasthttp.Server{Handler: r.Serve, StreamRequestBody: true}
package yuccarelay

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapipeline"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccaroute"
	"yuccawell.example/core/yuccasync"
)

// Picker chooses backend servers within the entry's concurrency budgets.
type Picker interface {
	// Pick admits a request and reserves a slot at a server. The caller returns
	// the slot with Done. The kind of the error is the kind of the error
	// response.
	Pick(ask yuccaadmission.Request) (yuccaadmission.Ticket, error)
	// Done returns the slot of a ticket with the result of the attempt.
	Done(t yuccaadmission.Ticket, r yuccaadmission.Result)
}

// Source supplies the rules in force.
type Source interface {
	// Snapshot returns the latest rules; they may not be ready.
	Snapshot() *yuccasync.Snapshot
}

// Observer receives a Record for each request that has ended.
type Observer interface {
	// Observe is called once per request.
	Observe(Record)
}

// ReportReceiver receives what backend servers say about themselves.
type ReportReceiver interface {
	// ReceiveReport is called with each response of the server of a ticket, as soon as
	// its header has been read. The name of the entry that carried the request is empty
	// if none did.
	ReceiveReport(ticket yuccaadmission.Ticket, via string, report yuccaadmission.Report)
}

// Record describes a request that has ended.
type Record struct {
	// Service is the name of the service that was requested.
	Service string
	// OriginRegion is the region of the entry.
	OriginRegion string
	// ServerRegion is the region of Server.
	ServerRegion string
	// Kind is the kind of error that ended the request, None if none.
	Kind yuccaerror.Kind
	// Status is the HTTP status that the caller received, zero if none.
	Status int
	// Attempts is the number of attempts, those that could not connect included.
	// Servers that only continued a download are not counted.
	Attempts int
	// Bytes is the length of the response body that was relayed.
	Bytes int64
	// TimeToHeader is the time from the arrival of the request to the header of
	// its response, or to its end if no server's response was relayed.
	TimeToHeader time.Duration
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Time
	// ID identifies the request in logs and at the backend server.
	ID string
	// Server is the last server that was picked for the request, empty if none.
	Server string
	// Reason is why Server was chosen.
	Reason string
	// Route is the route that the request matched, nil if none.
	Route *yuccaroute.Route
	// Account is the name of the caller's account, empty if it has none.
	Account string
	// RunStatus says whether a failed request may have run.
	RunStatus yuccaerror.RunStatus
	// RetryAfter is the delay after which the caller of a failed request may
	// retry; zero means the default of Kind.
	RetryAfter time.Duration
	// Cause is the error that ended the request, nil if none.
	Cause error
}

// Server is a backend server that a connection is opened to.
type Server struct {
	// Name is the name of the server.
	Name string
	// Addr is the address of the server.
	Addr string
	// Region is the region of the server.
	Region string
	// Domain is the failure domain of the server.
	Domain string
	// Regions lists the only regions in which the request may be handled; empty means
	// any region.
	Regions []string
	// NoBody is set if the request has no body. Only a body may not pass entries of
	// other regions.
	NoBody bool
}

// WithoutRegions returns the server for requests that may be handled in any region.
func (s Server) WithoutRegions() Server {
	s.Regions = nil
	return s
}

// HandledIn reports whether the request may be handled in a region.
func (s Server) HandledIn(region string) bool {
	return len(s.Regions) == 0 || slices.Contains(s.Regions, region)
}

// AllowsCarrier reports whether an entry in a region may carry the request to the server.
func (s Server) AllowsCarrier(region string) bool { return s.NoBody || s.HandledIn(region) }

// allows reports whether the request may be sent on a connection. What the connection was
// opened for does not matter.
func (s Server) allows(c net.Conn) bool {
	t, tunneled := c.(Tunnel)
	return !tunneled || s.AllowsCarrier(t.ViaRegion())
}

// ErrNoCarrier is the cause of a connection that could not be opened because no entry in
// the regions of the request reaches the servers. It says nothing about the server.
var ErrNoCarrier = errors.New("no entry in the regions of the request reaches the servers")

// Path opens the connections to backend servers and learns how they do.
type Path interface {
	// Dial opens a connection. The error wraps ErrNoCarrier if only entries in other
	// regions than those of the request reach the server.
	Dial(ctx context.Context, to Server) (net.Conn, error)
	// Usable reports whether a connection that was opened at a time may carry another
	// request.
	Usable(c net.Conn, openedAt time.Time) bool
	// Responded records that a response header has arrived on a connection that was
	// opened at a time.
	Responded(c net.Conn, openedAt time.Time)
	// Broken records that a new connection to a server broke before any byte of a
	// response.
	Broken(c net.Conn, server string)
	// Silent records that no byte of a response has come for a while on a connection to
	// a server, which was opened at a time. It is called again while that goes on. It
	// reports whether the connection is lost, because the path delivers no data.
	Silent(c net.Conn, server string, openedAt time.Time) (lost bool)
}

// Tunnel is a connection that goes through another entry.
type Tunnel interface {
	// Via returns the name of the other entry.
	Via() string
	// ViaRegion returns the region of the other entry.
	ViaRegion() string
}

// Options are the dependencies and settings of a Relay.
type Options struct {
	// Region is the region of the entry and the origin region of its requests.
	Region string
	// Picker chooses the backend servers. It is required.
	Picker Picker
	// Source supplies the rules that map host names to services. It is unused
	// if Router is set.
	Source Source
	// Router finds the route of each request; nil means by host name from
	// Source.
	Router Router
	// Observer receives the Record of each request; nil means none.
	Observer Observer
	// Reports receives what servers say about themselves; nil means nobody does.
	Reports ReportReceiver
	// Path opens connections to backend servers; nil means plain TCP.
	Path Path
	// Protocol holds the header fields of callers and servers; nil means
	// DefaultProtocol.
	Protocol Protocol
	// RetryLimits bounds the extra load of retries, hedged requests and resumed
	// downloads; zero means the defaults.
	RetryLimits yuccaretry.Limits
	// MaxBufferedBytes is the longest response body, in bytes, that is read to
	// its end before the caller gets the response header, so that a truncated
	// one can be retried. Zero means none.
	MaxBufferedBytes int
	// IdleTimeout is the longest time that a connection is kept idle; zero means the
	// default of 30 seconds.
	IdleTimeout time.Duration
	// NonIdempotentIdleTimeout is the longest time that a connection may have
	// been idle to carry a request that must not run twice; zero means IdleTimeout.
	NonIdempotentIdleTimeout time.Duration
	// Quota bounds the requests of each account; nil means no quotas.
	Quota Quota
	// Claims makes requests with idempotency keys run at most once; nil ignores
	// the keys.
	Claims Claims
	// Quarantine rejects requests that have crashed servers; nil means none are
	// rejected.
	Quarantine Quarantine
	// NoHedge switches off hedged requests. It also switches off the closing of
	// idle connections to an address after another connection to it timed out
	// without a byte of the response.
	NoHedge bool
	// RetryServerErrors retries an idempotent request on another server if the
	// first responds with a 5xx status.
	RetryServerErrors bool
	// NoResume switches off the resumption of broken, stalled and slow
	// downloads on another server.
	NoResume bool
	// Log receives a line for each failed request, sampled by FailureLogSampler.
	Log zerolog.Logger
	// FailureLogSampler limits the rate of log lines on failed requests; nil means 20
	// lines a second.
	FailureLogSampler zerolog.Sampler
}

const maxFailureLinesPerSecond = 20

// Relay is a reverse proxy. Create one with New and release it with Close.
type Relay struct {
	opt  Options
	pool *pool
	// retries holds each service's retry budget and response latencies.
	retries *yuccaretry.Tracker
	// downloadTimes holds, for each service, the times that servers took to
	// send rateWindowBytes of a download.
	downloadTimes *yuccaretry.Tracker
	// failures is the sampled logger of failed requests.
	failures zerolog.Logger
	// unnamed counts the responses that did not say which request they belong to.
	unnamed atomic.Uint64
	// tunneled counts the requests that went through other entries.
	tunneled tunnelCounters
	// stop is how the relay stops, nil if it does not.
	stop atomic.Pointer[stop]
}

// New returns a relay with the given options.
func New(opt Options) *Relay {
	if opt.Path == nil {
		opt.Path = tcpPath{}
	}
	if opt.Quarantine == nil {
		opt.Quarantine = noQuarantine{}
	}
	if opt.Router == nil {
		opt.Router = hostRouter{opt.Source}
	}
	if opt.FailureLogSampler == nil {
		opt.FailureLogSampler = &zerolog.BurstSampler{Burst: maxFailureLinesPerSecond, Period: time.Second}
	}
	if opt.Protocol == nil {
		opt.Protocol = DefaultProtocol{}
	}
	return &Relay{
		opt:           opt,
		pool:          newPool(opt.Path, opt.IdleTimeout),
		retries:       yuccaretry.NewTracker(opt.RetryLimits),
		downloadTimes: yuccaretry.NewTracker(yuccaretry.Limits{}),
		failures:      opt.Log.Sample(opt.FailureLogSampler),
	}
}

// Close closes the idle connections to backend servers.
func (r *Relay) Close() { r.pool.close() }

// Unnamed returns how many responses of servers did not say which request they belong to.
func (r *Relay) Unnamed() uint64 { return r.unnamed.Load() }

// Serve handles one request; it is the handler of a fasthttp.Server.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	t := newTask(r, ctx)
	if err := t.serve(); err != nil {
		t.panicked(err)
	}
}

// Concurrency returns what may run beside a request without a body, which its route decides.
func (r *Relay) Concurrency(h *fasthttp.RequestHeader) yuccapipeline.Concurrency {
	return concurrencyOf(r.opt.Router.Peek(h))
}

// concurrencyOf returns what may run beside the requests of a route, nil for none. A bulk
// response takes long and is passed on while it arrives, so that it may break off. Others are
// held until they are complete, up to Options.MaxBufferedBytes.
func concurrencyOf(route *yuccaroute.Route) yuccapipeline.Concurrency {
	switch {
	case route == nil || !route.Idempotent:
		return yuccapipeline.Alone
	case route.Bulk:
		return yuccapipeline.Last
	}
	return yuccapipeline.Beside
}

// SetRetryLimits replaces the limits of retries, hedged requests and resumed
// downloads.
func (r *Relay) SetRetryLimits(l yuccaretry.Limits) { r.retries.SetLimits(l) }
