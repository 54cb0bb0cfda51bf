package yuccarelay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccalifecycle"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccaroute"
)

const (
	// hedgeQuantile is the quantile of a service's latency after which a second
	// server is asked.
	hedgeQuantile = 0.99
	minHedgeDelay = time.Millisecond
	// watchDelay spares quick requests the watch on their callers.
	watchDelay = time.Millisecond
)

// task is one request on its way.
type task struct {
	relay    *Relay
	ctx      *fasthttp.RequestCtx
	arrived  time.Time
	deadline time.Time
	// limit is when the caller stops waiting; the deadline may be sooner.
	limit      time.Time
	service    string
	route      *yuccaroute.Route
	object     uint64
	from       string
	idempotent bool
	head       bool
	request    *fasthttp.RequestHeader
	body       *source
	print      yuccapoison.Fingerprint
	claim      *yuccaidempotency.Claim
	avoid      []string
	ticket     yuccaadmission.Ticket
	// next is the server that was chosen before the last try was given up.
	next *yuccaadmission.Ticket
	took time.Duration
	// id names the request in logs and at the backend server.
	id string
	// err is why the last step failed.
	err error

	// work ends when the caller hangs up or has its answer.
	work   context.Context
	cancel context.CancelFunc
	gone   chan struct{}
	watch  *watch
	group  errgroup.Group
	// outcomes has room for every attempt, so that none waits to report.
	outcomes chan outcome
	attempts []*attempt
	winner   *attempt
	hedge    *time.Timer
	// unwatched runs while the request is too young to watch its caller.
	unwatched *time.Timer

	mu    sync.Mutex
	life  yuccalifecycle.State
	story story
}

func newTask(r *Relay, ctx *fasthttp.RequestCtx) *task {
	t := &task{
		relay:    r,
		ctx:      ctx,
		arrived:  time.Now(),
		gone:     make(chan struct{}),
		outcomes: make(chan outcome, yuccalifecycle.MaxPicks),
	}
	t.work, t.cancel = context.WithCancel(context.Background())
	return t
}

func (t *task) prepare() error {
	if err := checkRequest(t.ctx.Request.Header.RawHeaders()); err != nil {
		return err
	}
	h, dialect := &t.ctx.Request.Header, t.relay.opt.Protocol
	t.from = t.relay.opt.Region
	t.id = dialect.ID(h)
	var err error
	if t.route, t.service, err = t.relay.opt.Router.Route(h); err != nil {
		return err
	}
	if err = t.setDeadline(); err != nil {
		return err
	}
	if t.body, err = newSource(t.ctx); err != nil {
		return err
	}
	t.idempotent = t.route.Idempotent
	if t.route.Affinity {
		t.object = dialect.AffinityKey(h)
	}
	t.head = t.ctx.IsHead()
	t.request = requestHead(h, t.body)
	t.print = printOf(t.service, &t.ctx.Request, t.body.head)
	return nil
}

// setDeadline takes the caller's deadline and the route's, whichever is sooner.
func (t *task) setDeadline() error {
	limit, err := t.relay.opt.Protocol.Deadline(t.arrived, &t.ctx.Request.Header)
	if err != nil {
		return err
	}
	t.limit, t.deadline = limit, limit
	if t.route.Timeout > 0 {
		end := t.arrived.Add(t.route.Timeout)
		if t.deadline.IsZero() || end.Before(t.deadline) {
			t.deadline = end
		}
	}
	return nil
}

// run carries the commands of the request's life out until it ends.
func (t *task) run() {
	t.life = yuccalifecycle.New(t.idempotent).WithTries(t.route.MaxTries)
	t.relay.services.Update(t.arrived, t.service, yuccaretry.Request)
	if err := t.guard(); err != nil {
		t.err = err
		k := yuccaerror.KindOf(err)
		t.answer(k, k.Attributes().Ran)
		return
	}
	if t.claim != nil && t.claim.Replay != nil {
		t.replay(t.claim.Replay)
		return
	}
	t.unwatched = time.NewTimer(watchDelay)
	cmd := t.step(yuccalifecycle.Admitted{})
	for {
		switch cmd.Action {
		case yuccalifecycle.Pick:
			cmd = t.step(t.pick())
		case yuccalifecycle.Connect:
			t.launch()
			cmd = yuccalifecycle.Command{}
		case yuccalifecycle.Wait:
			cmd = t.step(t.wait())
		case yuccalifecycle.Relay:
			t.pass()
			return
		case yuccalifecycle.ReplyError:
			t.answer(cmd.Kind, cmd.Ran)
			return
		default:
			t.cut()
			return
		}
	}
}

// tell adds a try to the request's story.
func (t *task) tell(ticket yuccaadmission.Ticket, r yuccaadmission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.story = t.story.with(ticket, r)
}

func (t *task) step(m yuccalifecycle.Event) yuccalifecycle.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cmd yuccalifecycle.Command
	t.life, cmd = t.life.Update(m)
	return cmd
}

func (t *task) mayHaveRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life.MayHaveRun()
}

// watchCaller starts to watch the caller's connection, unless its request is
// still being read from it.
func (t *task) watchCaller() {
	if t.watch == nil && t.body.whole() {
		t.watch = newWatch(t.ctx.Conn(), t.hangUp)
	}
}

func (t *task) hangUp() {
	close(t.gone)
	t.cancel()
}

// pick chooses the server of the next attempt.
func (t *task) pick() yuccalifecycle.Event {
	if t.expired() {
		return yuccalifecycle.TimedOut{}
	}
	if t.next != nil {
		t.ticket, t.next = *t.next, nil
		return yuccalifecycle.Picked{}
	}
	ticket, err := t.choose()
	if err != nil {
		t.err = err
		return yuccalifecycle.Refused{Kind: yuccaerror.KindOf(err)}
	}
	t.ticket = ticket
	return yuccalifecycle.Picked{}
}

func (t *task) choose() (yuccaadmission.Ticket, error) {
	if err := t.relay.opt.Quarantine.Check(t.print); err != nil {
		return yuccaadmission.Ticket{}, err
	}
	ticket, err := t.relay.opt.Picker.Pick(yuccaadmission.Request{
		Now:           time.Now(),
		Service:       t.service,
		From:          t.from,
		Random:        rand.Uint64(),
		Avoid:         t.avoid,
		Deadline:      t.deadline,
		Object:        t.object,
		Regions:       t.route.Regions,
		Priority:      t.route.Priority,
		LatencyBudget: t.goal(),
	})
	if yuccaerror.Is(err, yuccaerror.Shed) {
		t.relay.services.Update(time.Now(), t.service, yuccaretry.Rejected)
	}
	if err == nil {
		t.avoid = append(t.avoid, ticket.Server)
	}
	return ticket, err
}

// goal returns the time left in which an answer is of full use.
func (t *task) goal() time.Duration {
	if t.route.LatencyTarget == 0 {
		return 0
	}
	return max(time.Nanosecond, t.route.LatencyTarget-time.Since(t.arrived))
}

// launch starts an attempt at the chosen server.
func (t *task) launch() {
	a := t.newAttempt(t.ticket)
	a.fresh = len(t.attempts) > 0
	t.attempts = append(t.attempts, a)
	t.group.Go(func() error {
		t.outcomes <- outcome{a, a.run()}
		return nil
	})
	if len(t.attempts) == 1 {
		t.armHedge()
	}
}

// wait returns what happens next to the request.
func (t *task) wait() yuccalifecycle.Event {
	var hedge <-chan time.Time
	if t.hedge != nil {
		hedge = t.hedge.C
	}
	for {
		select {
		case o := <-t.outcomes:
			return t.settle(o)
		case <-t.gone:
			return yuccalifecycle.Disconnected{}
		case <-t.unwatched.C:
			t.watchCaller()
		case <-hedge:
			if t.second() {
				return yuccalifecycle.Hedged{}
			}
		}
	}
}

// settle turns what came of an attempt into a message to the request's life.
func (t *task) settle(o outcome) yuccalifecycle.Event {
	switch m := o.message.(type) {
	case yuccalifecycle.ResponseStarted:
		if t.unwell(o.attempt) {
			o.attempt.drop(yuccaadmission.Result{Failed: true})
			return yuccalifecycle.Failed{Kind: yuccaerror.Broken, WithinBudget: true}
		}
		t.win(o.attempt)
		return m
	case yuccalifecycle.Declined:
		t.relay.services.Update(time.Now(), t.service, yuccaretry.Rejected)
		return yuccalifecycle.Declined{WithinBudget: t.again(o.attempt)}
	case yuccalifecycle.Failed:
		t.err = o.attempt.err
		if t.expired() {
			return yuccalifecycle.TimedOut{}
		}
		if o.attempt.err == errCaller {
			return yuccalifecycle.Disconnected{}
		}
		return yuccalifecycle.Failed{Kind: m.Kind, WithinBudget: t.again(o.attempt)}
	}
	return o.message
}

func (t *task) win(a *attempt) {
	t.winner = a
	a.replied()
	for _, other := range t.attempts {
		if other != a {
			other.lose()
		}
	}
}

func (t *task) expired() bool {
	return !t.deadline.IsZero() && !time.Now().Before(t.deadline)
}

// answer ends the request with an answer of the system's own.
func (t *task) answer(k yuccaerror.Kind, ran yuccaerror.RunStatus) {
	f := ErrorResponse{Kind: k, Ran: ran, RetryAfter: yuccaerror.RetryAfter(t.err)}
	t.relay.opt.Protocol.WriteError(t.ctx, f)
	t.observe(f, t.ctx.Response.StatusCode(), 0)
	t.end(nil)
	t.report(f, t.ctx.Response.StatusCode())
}

// cut closes the connection to the caller without an answer.
func (t *task) cut() {
	t.ctx.SetConnectionClose()
	t.ctx.HijackSetNoResponse(true)
	t.ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	f := ErrorResponse{Kind: yuccaerror.Canceled, Ran: yuccaerror.MayHaveRun}
	t.observe(f, 0, 0)
	t.end(nil)
	t.report(f, 0)
}

// end stops everything that works for the request. It is called once.
func (t *task) end(a *yuccaidempotency.Response) {
	t.watch.stop()
	t.cancel()
	for _, timer := range []*time.Timer{t.hedge, t.unwatched} {
		if timer != nil {
			timer.Stop()
		}
	}
	_ = t.group.Wait()
	if t.next != nil {
		t.relay.opt.Picker.Done(*t.next, yuccaadmission.Result{Now: time.Now(), Kind: yuccaerror.Canceled})
	}
	t.discard()
	t.unclaim(a)
}

// discard gives up on answers that came after the request had ended.
func (t *task) discard() {
	for {
		select {
		case o := <-t.outcomes:
			if _, ok := o.message.(yuccalifecycle.ResponseStarted); ok && o.attempt != t.winner {
				o.attempt.drop(yuccaadmission.Result{Kind: yuccaerror.Canceled})
			}
		default:
			return
		}
	}
}

func (t *task) observe(f ErrorResponse, status int, n int64) {
	if t.relay.opt.Observer == nil {
		return
	}
	took := t.took
	if took == 0 {
		took = time.Since(t.arrived)
	}
	t.mu.Lock()
	tries := t.life.Tries()
	t.mu.Unlock()
	t.relay.opt.Observer.Observe(Record{
		Service:      t.service,
		OriginRegion: t.from,
		ServerRegion: t.ticket.Region,
		Kind:         f.Kind,
		Status:       status,
		Tries:        tries,
		Bytes:        n,
		TimeToHeader: took,
		At:           t.arrived,
		ID:           t.id,
		Server:       t.ticket.Server,
		Reason:       t.ticket.Reason,
		Route:        t.route,
		Ran:          f.Ran,
		RetryAfter:   f.RetryAfter,
		Cause:        t.err,
	})
}
