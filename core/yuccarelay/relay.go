// Package yuccarelay passes callers' requests to backend servers and their
// answers back, streaming both ways.
//
//	r := yuccarelay.New(yuccarelay.Options{Picker: picker, Source: feed, Log: log})
//	server := &fasthttp.Server{Handler: r.Serve, StreamRequestBody: true}
package yuccarelay

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccafeed"
	"yuccawell.example/core/yuccalife"
	"yuccawell.example/core/yuccapick"
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
	Log      zerolog.Logger
}

// Relay serves callers. Make one with New and release it with Close.
type Relay struct {
	opt  Options
	pool *pool
}

// New returns a relay.
func New(opt Options) *Relay {
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	return &Relay{opt: opt, pool: newPool(opt.Dial)}
}

// Close closes the idle connections to backend servers.
func (r *Relay) Close() { r.pool.close() }

// Serve answers one request.
func (r *Relay) Serve(ctx *fasthttp.RequestCtx) {
	t := &task{relay: r, ctx: ctx, arrived: time.Now()}
	if err := t.prepare(); err != nil {
		t.answer(yuccafault.KindOf(err), yuccafault.NotRun)
		return
	}
	t.run()
}

// task is one request on its way.
type task struct {
	relay    *Relay
	ctx      *fasthttp.RequestCtx
	arrived  time.Time
	deadline time.Time
	service  string
	from     string
	body     *source
	life     yuccalife.Life
	ticket   yuccapick.Ticket
	avoid    []string
	exchange *exchange
}

func (t *task) prepare() error {
	snapshot := t.relay.opt.Source.Snapshot()
	if !snapshot.Ready() {
		return yuccafault.New(yuccafault.Unready, "no rules yet")
	}
	host := hostName(string(t.ctx.Host()))
	service, ok := snapshot.Rules.ServiceOf(host)
	if !ok {
		return yuccafault.New(yuccafault.Unknown, "no service for host %q", host)
	}
	t.service = service.Name
	t.from = t.relay.opt.Region
	deadline, err := parseDeadline(t.arrived, &t.ctx.Request.Header)
	if err != nil {
		return err
	}
	t.deadline = deadline
	t.body, err = newSource(t.ctx)
	return err
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// run carries the commands of the request's life out until it ends.
func (t *task) run() {
	t.life = yuccalife.New(idempotent(&t.ctx.Request.Header))
	cmd := t.step(yuccalife.Admitted{})
	for {
		switch cmd.Action {
		case yuccalife.Pick:
			cmd = t.step(t.pick())
		case yuccalife.Connect:
			cmd = t.step(t.send())
		case yuccalife.Relay:
			t.pass()
			return
		case yuccalife.Answer:
			t.answer(cmd.Kind, cmd.Ran)
			return
		default:
			t.cut()
			return
		}
	}
}

func (t *task) step(m yuccalife.Message) yuccalife.Command {
	var cmd yuccalife.Command
	t.life, cmd = t.life.Update(m)
	return cmd
}

func (t *task) pick() yuccalife.Message {
	if t.expired() {
		return yuccalife.TimedOut{}
	}
	ticket, err := t.relay.opt.Picker.Pick(yuccapick.Ask{
		Now:     time.Now(),
		Service: t.service,
		From:    t.from,
		Dice:    rand.Uint64(),
		Avoid:   t.avoid,
	})
	if err != nil {
		return yuccalife.Refused{Kind: yuccafault.KindOf(err)}
	}
	t.ticket = ticket
	t.avoid = append(t.avoid, ticket.Server)
	return yuccalife.Picked{}
}

// send gives the request to the chosen server and reads the answer's head.
func (t *task) send() yuccalife.Message {
	c, err := t.relay.pool.get(t.ticket.Addr, t.deadline)
	if err != nil {
		return t.failed(yuccafault.Unreachable)
	}
	t.step(yuccalife.Left{})
	t.exchange = newExchange(c)
	if err := t.exchange.send(t); err != nil {
		t.exchange.abandon()
		return t.failed(yuccafault.Broken)
	}
	if t.exchange.declined() {
		t.exchange.abandon()
		t.release(yuccafault.Shed, true)
		return yuccalife.Declined{Budget: t.body.rewind()}
	}
	return yuccalife.Replied{}
}

func (t *task) failed(k yuccafault.Kind) yuccalife.Message {
	t.release(k, false)
	if t.expired() {
		return yuccalife.TimedOut{}
	}
	return yuccalife.Failed{Kind: k, Budget: t.body.rewind()}
}

func (t *task) expired() bool {
	return !t.deadline.IsZero() && !time.Now().Before(t.deadline)
}

func (t *task) release(k yuccafault.Kind, declined bool) {
	t.relay.opt.Picker.Done(t.ticket, yuccapick.Result{Now: time.Now(), Kind: k, Declined: declined})
}

// pass hands the answer to the caller. The ticket is given back when the body
// has ended.
func (t *task) pass() {
	x := t.exchange
	took := time.Since(t.arrived)
	copyAnswer(&t.ctx.Response, x)
	x.onEnd(func(n int64, err error) {
		kind := yuccafault.None
		if err != nil {
			kind = yuccafault.Broken
			t.ctx.SetConnectionClose()
		}
		t.relay.opt.Picker.Done(t.ticket, yuccapick.Result{Now: time.Now(), Kind: kind, Bytes: n})
		t.observe(kind, x.status(), n, took)
	})
	if x.bodyless(t.ctx.IsHead()) {
		t.ctx.Response.SkipBody = true
		x.finish(nil)
		return
	}
	t.ctx.Response.SetBodyStream(x, x.length())
}

func (t *task) answer(k yuccafault.Kind, ran yuccafault.Ran) {
	WriteError(t.ctx, k, ran)
	t.observe(k, k.Row().Status, 0, time.Since(t.arrived))
}

// cut closes the connection to the caller without an answer.
func (t *task) cut() {
	t.ctx.SetConnectionClose()
	t.ctx.HijackSetNoResponse(true)
	t.ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	t.observe(yuccafault.Canceled, 0, 0, time.Since(t.arrived))
}

func (t *task) observe(k yuccafault.Kind, status int, n int64, took time.Duration) {
	if t.relay.opt.Observer == nil {
		return
	}
	t.relay.opt.Observer.Observe(Record{
		Service: t.service,
		From:    t.from,
		Region:  t.ticket.Region,
		Kind:    k,
		Status:  status,
		Tries:   t.life.Tries(),
		Bytes:   n,
		Took:    took,
		At:      t.arrived,
	})
}
