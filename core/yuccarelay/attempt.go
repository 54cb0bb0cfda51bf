package yuccarelay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalifecycle"
	"yuccawell.example/core/yuccaretry"
)

// attempt is a request given to one server.
type attempt struct {
	task    *task
	ticket  yuccaadmission.Ticket
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	// extra holds header fields that only this attempt carries.
	extra []field
	// fresh asks for a new connection, since idle ones may be silent too.
	fresh    bool
	conn     *conn
	exchange *exchange
	// release stops the context from closing the connection.
	release func() bool
	sent    bool
	// declined is set when the server said that it did not run the request, and
	// foreign when another server has the address.
	declined, foreign bool
	took              time.Duration
	read              int64
	err               error
	// settled is set when the ticket was given back and the connection kept or
	// closed.
	settled bool
	// reused is set when the connection carried a request before.
	reused bool
	// outrun is set when another server answered first.
	outrun atomic.Bool
}

type field struct{ name, value string }

// outcome is what came of an attempt up to the head of its answer.
type outcome struct {
	attempt *attempt
	message yuccalifecycle.Event
}

func (t *task) newAttempt(ticket yuccaadmission.Ticket) *attempt {
	a := &attempt{task: t, ticket: ticket, started: time.Now()}
	a.ctx, a.cancel = context.WithCancel(t.work)
	return a
}

// run sends the request and reads the head of the answer.
func (a *attempt) run() yuccalifecycle.Event {
	t := a.task
	c, err := a.connect()
	if err != nil {
		return a.fail(yuccaerror.Unreachable, err)
	}
	a.conn, a.read = c, c.read.Load()
	a.reused = !c.since.IsZero()
	a.release = context.AfterFunc(a.ctx, func() { _ = c.Close() })
	if t.step(yuccalifecycle.SendStarted{}).Final() {
		return a.fail(yuccaerror.Canceled, context.Canceled)
	}
	a.exchange = newExchange(c, a.finish)
	if err := a.send(); err != nil {
		return a.fail(yuccaerror.Broken, err)
	}
	return a.judge()
}

func (a *attempt) connect() (*conn, error) {
	t := a.task
	if a.fresh {
		return t.relay.pool.open(a.ctx, a.ticket.Addr, t.deadline)
	}
	young := t.relay.opt.NonIdempotentIdleTimeout
	if t.idempotent {
		young = 0
	}
	return t.relay.pool.get(a.ctx, a.ticket.Addr, t.deadline, young)
}

// judge says what the answer whose head was read means to the request.
func (a *attempt) judge() yuccalifecycle.Event {
	t := a.task
	a.took = time.Since(a.started)
	switch v := t.relay.opt.Protocol.ClassifyResponse(t.id, &a.exchange.head); v {
	case Declined, Misdirected:
		a.declined, a.foreign = true, v == Misdirected
		a.decline()
		return yuccalifecycle.Declined{}
	case Mismatched, Invalid:
		return a.fail(yuccaerror.Broken, errAnswer)
	}
	if err := a.exchange.hold(t.relay.opt.MaxBufferedBytes); err != nil {
		return a.fail(yuccaerror.Broken, err)
	}
	return yuccalifecycle.ResponseStarted{}
}

// decline gives the ticket back after the server declined. The connection is
// kept when the rest of the answer is at hand.
func (a *attempt) decline() {
	if err := a.exchange.hold(maxDecline); err == nil && a.exchange.whole {
		return
	}
	a.drop(yuccaadmission.Result{Kind: yuccaerror.Shed})
}

func (a *attempt) send() error {
	t := a.task
	a.sent = true
	poison := t.relay.opt.Quarantine
	poison.Start(t.print, a.ticket.Server)
	err := a.exchange.send(t, a.header())
	poison.End(t.print, a.ticket.Server, a.ctx.Err() == nil && died(err))
	return err
}

// died reports whether the connection broke, as it does when the server dies.
func died(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// header returns the head of the request for this attempt.
func (a *attempt) header() *fasthttp.RequestHeader {
	t := a.task
	h := &fasthttp.RequestHeader{}
	t.request.CopyTo(h)
	to := Target{Server: a.ticket.Server}
	if !t.deadline.IsZero() {
		to.Left = max(time.Millisecond, time.Until(t.deadline))
	}
	t.relay.opt.Protocol.PrepareRequest(h, to)
	for _, f := range a.extra {
		h.Set(f.name, f.value)
	}
	return h
}

// fail gives up on the attempt.
func (a *attempt) fail(k yuccaerror.Kind, err error) yuccalifecycle.Event {
	a.err = err
	if a.ctx.Err() != nil {
		k = yuccaerror.Canceled
	}
	a.drop(yuccaadmission.Result{Kind: k, NoResponse: k != yuccaerror.Canceled && a.lacking(err), Failed: k != yuccaerror.Canceled})
	if !a.task.relay.opt.NoHedge && a.silent() && (isTimeout(err) || a.outrun.Load()) {
		a.task.relay.pool.doubt(a.conn)
	}
	return yuccalifecycle.Failed{Kind: k}
}

// lacking reports whether the server could not be connected to or broke a new
// connection off. One that closes an old connection, or is late, may be well.
func (a *attempt) lacking(err error) bool {
	return a.conn == nil || !a.reused && died(err)
}

func isTimeout(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout()
}

// silent reports whether the request was sent and no byte has come back.
func (a *attempt) silent() bool {
	return a.sent && a.conn.read.Load() == a.read
}

// drop closes the connection and gives the ticket back.
func (a *attempt) drop(r yuccaadmission.Result) {
	if a.conn != nil && !a.settled {
		a.release()
		_ = a.conn.Close()
	}
	a.cancel()
	a.settle(r)
}

// settle gives the ticket back with what is known of the try.
func (a *attempt) settle(r yuccaadmission.Result) {
	if a.settled {
		return
	}
	a.settled = true
	r.Now = time.Now()
	r.Declined = a.declined && !a.foreign
	r.WrongServer = a.foreign
	r.Took = a.took
	if a.exchange != nil && a.took > 0 {
		r.Load = a.task.relay.opt.Protocol.Load(&a.exchange.head)
	}
	a.task.relay.opt.Picker.Done(a.ticket, r)
	a.task.tell(a.ticket, r)
}

// finish is called when the body of the answer has ended.
func (a *attempt) finish(n int64, err error) {
	r := yuccaadmission.Result{Bytes: n}
	switch {
	case a.declined:
		r.Kind = yuccaerror.Shed
	case err != nil:
		r.Kind, r.Failed = yuccaerror.Broken, true
	default:
		r.Failed = a.exchange.status() >= fasthttp.StatusInternalServerError
		r.Succeeded = !r.Failed
	}
	// The order matters: once the release fails the connection is closing.
	if !a.release() || err != nil || !a.exchange.reusable() {
		_ = a.conn.Close()
	} else {
		a.conn.keep = a.exchange.keepAlive()
		a.task.relay.pool.put(a.conn)
	}
	a.cancel()
	a.settle(r)
}

// lose ends the attempt because another server answered first.
func (a *attempt) lose() {
	a.outrun.Store(true)
	a.cancel()
}

// replied counts the latency of an answer's head.
func (a *attempt) replied() {
	now := time.Now()
	a.task.relay.services.Observe(now, a.task.service, now.Sub(a.started))
	a.task.relay.services.Update(now, a.task.service, yuccaretry.Served)
}
