package yuccarelay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccalife"
	"yuccawell.example/core/yuccapick"
	"yuccawell.example/core/yuccaretry"
)

// attempt is a request given to one server.
type attempt struct {
	task    *task
	ticket  yuccapick.Ticket
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
	read    int64
	err     error
	// outrun is set when another server answered first.
	outrun atomic.Bool
}

type field struct{ name, value string }

// outcome is what came of an attempt up to the head of its answer.
type outcome struct {
	attempt *attempt
	message yuccalife.Message
}

func (t *task) newAttempt(ticket yuccapick.Ticket) *attempt {
	a := &attempt{task: t, ticket: ticket, started: time.Now()}
	a.ctx, a.cancel = context.WithCancel(t.work)
	return a
}

// run sends the request and reads the head of the answer.
func (a *attempt) run() yuccalife.Message {
	t := a.task
	connect := t.relay.pool.get
	if a.fresh {
		connect = t.relay.pool.open
	}
	c, err := connect(a.ctx, a.ticket.Addr, t.deadline)
	if err != nil {
		return a.fail(yuccafault.Unreachable, err)
	}
	a.conn, a.read = c, c.read.Load()
	a.release = context.AfterFunc(a.ctx, func() { _ = c.Close() })
	if t.step(yuccalife.Left{}).Final() {
		return a.fail(yuccafault.Canceled, context.Canceled)
	}
	a.exchange = newExchange(c, a.finish)
	if err := a.send(); err != nil {
		return a.fail(yuccafault.Broken, err)
	}
	if a.exchange.declined() {
		a.drop(yuccapick.Result{Kind: yuccafault.Shed, Declined: true})
		return yuccalife.Declined{}
	}
	return yuccalife.Replied{}
}

func (a *attempt) send() error {
	t := a.task
	a.sent = true
	poison := t.relay.opt.Poison
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
	if !t.deadline.IsZero() {
		h.Set(DeadlineHeader, max(0, time.Until(t.deadline)).Round(time.Millisecond).String())
	}
	for _, f := range a.extra {
		h.Set(f.name, f.value)
	}
	return h
}

// fail gives up on the attempt.
func (a *attempt) fail(k yuccafault.Kind, err error) yuccalife.Message {
	a.err = err
	if a.ctx.Err() != nil {
		k = yuccafault.Canceled
	}
	a.drop(yuccapick.Result{Kind: k})
	if !a.task.relay.opt.NoHedge && a.silent() && (isTimeout(err) || a.outrun.Load()) {
		a.task.relay.pool.doubt(a.conn)
	}
	return yuccalife.Failed{Kind: k}
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
func (a *attempt) drop(r yuccapick.Result) {
	if a.conn != nil {
		a.release()
		_ = a.conn.Close()
	}
	a.cancel()
	r.Now = time.Now()
	a.task.relay.opt.Picker.Done(a.ticket, r)
}

// finish is called when the body of the answer has ended.
func (a *attempt) finish(n int64, err error) {
	r := yuccapick.Result{Now: time.Now(), Bytes: n}
	if err != nil {
		r.Kind = yuccafault.Broken
	}
	// The order matters: once the release fails the connection is closing.
	if !a.release() || err != nil || !a.exchange.reusable() {
		_ = a.conn.Close()
	} else {
		a.task.relay.pool.put(a.conn)
	}
	a.cancel()
	a.task.relay.opt.Picker.Done(a.ticket, r)
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
