package yuccarelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccahead"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccalifecycle"
	"yuccawell.example/core/yuccapipeline"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccaroute"
)

const (
	// hedgeQuantile is the quantile of a service's latency after which a
	// request is hedged.
	hedgeQuantile = 0.99
	// minHedgeDelay is the shortest delay before a request is hedged.
	minHedgeDelay = time.Millisecond
	// watchDelay is the age at which a request starts to watch its caller's
	// connection. Quick requests skip that cost.
	watchDelay = time.Millisecond
)

// task is a caller's request while the relay handles it.
type task struct {
	relay   *Relay
	ctx     *fasthttp.RequestCtx
	arrived time.Time
	// deadline is the earliest of the caller's deadline, the end of the route's timeout
	// and the end of the entry; the zero time means never.
	deadline time.Time
	// ownDeadline is the deadline without the end of the entry.
	ownDeadline time.Time
	service     string
	route       *yuccaroute.Route
	// accounts are the client accounts of the route's version, nil if there are none.
	accounts *yuccaaccount.Directory
	// account is the caller's account, nil if it has none.
	account *yuccaaccount.Account
	// regions are the only regions in which the request may run; none means any.
	regions []string
	// tokenTaken is set while the request holds a token of its account's quota.
	tokenTaken bool
	// affinityKey is a hash of the object that the request is about, zero if
	// unknown.
	affinityKey uint64
	// originRegion is the region of the entry.
	originRegion string
	// idempotent is set if the route allows the request to run more than once.
	idempotent bool
	// isHead is set for HEAD requests.
	isHead bool
	// header is the request header that every attempt starts from.
	header *fasthttp.RequestHeader
	body   *requestBody
	// fingerprint identifies the request for claims and the quarantine.
	fingerprint yuccapoison.Fingerprint
	// claim is the claim of the idempotency key, nil if none is held.
	claim *yuccaidempotency.Claim
	// avoidServers are the servers that were already picked for the request.
	avoidServers []string
	// ticket is the slot of the server that was picked last.
	ticket yuccaadmission.Ticket
	// reserved is the server picked for the next attempt before the last one
	// was dropped.
	reserved *yuccaadmission.Ticket
	// timeToHeader is the time from arrival to the response header, zero before
	// that.
	timeToHeader time.Duration
	// id identifies the request in logs and at the backend server.
	id string
	// err is why the last step failed.
	err error

	// workCtx ends when the caller closes its connection or has its response.
	workCtx context.Context
	cancel  context.CancelFunc
	// callerGone is closed when the caller has closed its connection.
	callerGone chan struct{}
	// stopCallerWatch ends the watch of the caller's connection, nil if there is none.
	stopCallerWatch func()
	group           errgroup.Group
	// outcomes has room for every attempt, so that none blocks on it.
	outcomes chan outcome
	attempts []*attempt
	// ended is set when end has been called.
	ended bool
	// winner is the attempt whose response is relayed.
	winner *attempt
	// hedgeTimer fires when the request is to be hedged, nil if it never is.
	hedgeTimer *time.Timer
	// watchTimer fires after watchDelay.
	watchTimer *time.Timer

	// mu guards the fields below.
	mu         sync.Mutex
	state      yuccalifecycle.State
	attemptLog attemptLog
}

func newTask(r *Relay, ctx *fasthttp.RequestCtx) *task {
	t := &task{
		relay:      r,
		ctx:        ctx,
		arrived:    arrivalTime(ctx.Conn()),
		callerGone: make(chan struct{}),
		outcomes:   make(chan outcome, yuccalifecycle.MaxPicks),
	}
	t.workCtx, t.cancel = context.WithCancel(context.Background())
	return t
}

// prepare checks the request, finds its route and account, and reads its body as far
// as it is buffered.
func (t *task) prepare() error {
	if err := yuccahead.CheckRequest(t.ctx.Request.Header.RawHeaders()); err != nil {
		return yuccaerror.Wrap(yuccaerror.Malformed, err)
	}
	h, protocol := &t.ctx.Request.Header, t.relay.opt.Protocol
	t.originRegion = t.relay.opt.Region
	t.id = protocol.ID(h)
	match, err := t.relay.opt.Router.Route(h)
	if err != nil {
		return err
	}
	t.route, t.service, t.accounts = match.Route, match.Service, match.Accounts
	if err = t.identify(); err != nil {
		return err
	}
	if err = t.setDeadline(); err != nil {
		return err
	}
	if t.body, err = newRequestBody(t.ctx); err != nil {
		return err
	}
	t.ownDeadline = t.deadline
	if err = t.limitToStop(time.Now()); err != nil {
		return err
	}
	t.idempotent = t.route.Idempotent
	if t.route.Affinity {
		t.affinityKey = protocol.AffinityKey(h)
	}
	t.isHead = t.ctx.IsHead()
	t.header = requestHead(h, t.body)
	t.fingerprint = fingerprintOf(t.service, t.accountName(), &t.ctx.Request, t.body.buffered)
	return t.takeToken()
}

// setDeadline sets the deadline to the earlier of the caller's and the route's.
func (t *task) setDeadline() error {
	limit, err := t.relay.opt.Protocol.Deadline(t.arrived, &t.ctx.Request.Header)
	if err != nil {
		return err
	}
	t.deadline = limit
	if t.route.Timeout > 0 {
		t.limitDeadline(t.arrived.Add(t.route.Timeout))
	}
	return nil
}

// limitDeadline moves the deadline to a time if that is earlier.
func (t *task) limitDeadline(at time.Time) {
	if t.deadline.IsZero() || at.Before(t.deadline) {
		t.deadline = at
	}
}

// serve handles the request. It returns an error only for a panic.
func (t *task) serve() (err error) {
	defer yuccaerror.Recover(&err)
	if err := t.prepare(); err != nil {
		t.err = err
		t.answerError(yuccaerror.KindOf(err), yuccaerror.NotRun)
		return nil
	}
	t.run()
	return nil
}

// run executes the commands of the request's lifecycle until it ends.
func (t *task) run() {
	t.state = yuccalifecycle.New(t.idempotent).WithMaxAttempts(t.route.MaxAttempts)
	t.relay.retries.Update(t.arrived, t.service, yuccaretry.Request)
	if err := t.claimKey(); err != nil {
		t.err = err
		k := yuccaerror.KindOf(err)
		t.answerError(k, k.Attributes().RunStatus)
		return
	}
	if t.claim != nil && t.claim.Replay != nil {
		t.replay(t.claim.Replay)
		return
	}
	t.watchTimer = time.NewTimer(watchDelay)
	cmd := t.update(yuccalifecycle.Admitted{})
	for {
		switch cmd.Action {
		case yuccalifecycle.Pick:
			cmd = t.update(t.nextServer())
		case yuccalifecycle.Connect:
			t.startAttempt()
			cmd = yuccalifecycle.Command{}
		case yuccalifecycle.Wait:
			cmd = t.update(t.nextEvent())
		case yuccalifecycle.Relay:
			t.relayResponse()
			return
		case yuccalifecycle.ReplyError:
			t.answerError(cmd.Kind, cmd.Ran)
			return
		default:
			t.closeCaller()
			return
		}
	}
}

// logAttempt adds an attempt to the attempt log.
func (t *task) logAttempt(a *attempt, r yuccaadmission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attemptLog = t.attemptLog.add(a.ticket, r, a.via())
}

// update applies an event to the request's state and returns the next command.
func (t *task) update(m yuccalifecycle.Event) yuccalifecycle.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cmd yuccalifecycle.Command
	t.state, cmd = t.state.Update(m)
	return cmd
}

func (t *task) mayHaveRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.MayHaveRun()
}

// watchCaller starts to watch the caller's connection, unless the request body
// is still being read from it. Requests behind one that is not idempotent, is bulk or has a
// body must not start before it has ended.
func (t *task) watchCaller() {
	if t.stopCallerWatch == nil && t.body.inMemory() {
		concurrent := t.body.isEmpty() && concurrencyOf(t.route) == yuccapipeline.Beside
		t.stopCallerWatch = watchClose(t.ctx.Conn(), concurrent, t.onCallerClose)
	}
}

func (t *task) onCallerClose() {
	close(t.callerGone)
	t.cancel()
}

// nextServer picks the server of the next attempt.
func (t *task) nextServer() yuccalifecycle.Event {
	if t.expired() {
		return yuccalifecycle.TimedOut{}
	}
	if t.reserved != nil {
		t.ticket, t.reserved = *t.reserved, nil
		return yuccalifecycle.Picked{}
	}
	ticket, err := t.pickServer()
	if err != nil {
		t.err = err
		return yuccalifecycle.Refused{Kind: yuccaerror.KindOf(err)}
	}
	t.ticket = ticket
	return yuccalifecycle.Picked{}
}

// pickServer asks the picker for a server like tryPick, and counts a rejection.
func (t *task) pickServer() (yuccaadmission.Ticket, error) {
	ticket, err := t.tryPick()
	if yuccaerror.Is(err, yuccaerror.Shed) {
		t.relay.retries.Update(time.Now(), t.service, yuccaretry.Rejected)
	}
	return ticket, err
}

// tryPick asks the picker for a server that is not in avoidServers, and adds it
// there.
func (t *task) tryPick() (yuccaadmission.Ticket, error) {
	if err := t.relay.opt.Quarantine.Check(t.fingerprint); err != nil {
		return yuccaadmission.Ticket{}, err
	}
	ticket, err := t.relay.opt.Picker.Pick(yuccaadmission.Request{
		Now:           time.Now(),
		Service:       t.service,
		From:          t.originRegion,
		Random:        rand.Uint64(),
		AvoidServers:  t.avoidServers,
		Deadline:      t.deadline,
		Object:        t.affinityKey,
		Regions:       t.regions,
		Priority:      t.account.PriorityOr(t.route.Priority),
		LatencyBudget: t.latencyBudget(),
		LatencyTarget: t.route.LatencyTarget,
		Bulk:          t.route.Bulk,
	})
	if err == nil {
		t.avoidServers = append(t.avoidServers, ticket.Server)
	}
	return ticket, err
}

// latencyBudget returns the time left of the route's latency target, at least 1
// ns; zero means that there is no target.
func (t *task) latencyBudget() time.Duration {
	if t.route.LatencyTarget == 0 {
		return 0
	}
	return max(time.Nanosecond, t.route.LatencyTarget-time.Since(t.arrived))
}

// startAttempt starts an attempt at the picked server.
func (t *task) startAttempt() {
	a := t.newAttempt(t.ticket)
	a.forceNewConn = len(t.attempts) > 0
	t.attempts = append(t.attempts, a)
	t.group.Go(func() error {
		t.outcomes <- outcome{a, a.runRecovered()}
		return nil
	})
	if len(t.attempts) == 1 {
		t.startHedgeTimer()
	}
}

// nextEvent waits for the next event of the request.
func (t *task) nextEvent() yuccalifecycle.Event {
	var hedge <-chan time.Time
	if t.hedgeTimer != nil {
		hedge = t.hedgeTimer.C
	}
	for {
		select {
		case o := <-t.outcomes:
			return t.handleOutcome(o)
		case <-t.callerGone:
			return yuccalifecycle.Disconnected{}
		case <-t.watchTimer.C:
			t.watchCaller()
		case <-hedge:
			if t.pickHedgeServer() {
				return yuccalifecycle.Hedged{}
			}
		}
	}
}

// handleOutcome converts the outcome of an attempt into an event of the request.
func (t *task) handleOutcome(o outcome) yuccalifecycle.Event {
	switch m := o.event.(type) {
	case yuccalifecycle.ResponseStarted:
		if t.retriesServerError(o.attempt) {
			o.attempt.abort(yuccaadmission.Result{Failed: true})
			return yuccalifecycle.Failed{Kind: yuccaerror.ConnectionLost, WithinBudget: true}
		}
		t.setWinner(o.attempt)
		return m
	case yuccalifecycle.Declined:
		t.relay.retries.Update(time.Now(), t.service, yuccaretry.Rejected)
		return yuccalifecycle.Declined{WithinBudget: t.canRetry(o.attempt)}
	case yuccalifecycle.Failed:
		t.err = o.attempt.err
		if t.expired() {
			return yuccalifecycle.TimedOut{}
		}
		if o.attempt.err == errCallerBody {
			return yuccalifecycle.Disconnected{}
		}
		return yuccalifecycle.Failed{Kind: m.Kind, WithinBudget: t.canRetry(o.attempt)}
	}
	return o.event
}

// setWinner selects the attempt whose response is relayed and cancels the
// others.
func (t *task) setWinner(a *attempt) {
	t.winner = a
	a.recordLatency()
	for _, other := range t.attempts {
		if other != a {
			other.supersede()
		}
	}
}

func (t *task) expired() bool {
	return !t.deadline.IsZero() && !time.Now().Before(t.deadline)
}
