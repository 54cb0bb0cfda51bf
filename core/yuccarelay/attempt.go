package yuccarelay

import (
	"cmp"
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
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccaretry"
)

// attempt is one send of a request to one backend server.
type attempt struct {
	task    *task
	ticket  yuccaadmission.Ticket
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	// extraHeader holds header fields that only this attempt carries.
	extraHeader []headerField
	// headerTimeout bounds the wait for the next byte of the response's header; zero
	// means stallTimeout.
	headerTimeout time.Duration
	// forceNewConn makes the attempt open a new connection. It is set for retries
	// and hedged attempts: if one pooled connection was silent, others may be too.
	forceNewConn bool
	conn         *conn
	exchange     *exchange
	// stopCloseOnCancel stops the context from closing the connection. It
	// returns false if the connection is already being closed.
	stopCloseOnCancel func() bool
	// sent is set before the first byte of the request is sent, and sentAt is when.
	sent   bool
	sentAt time.Time
	// class is what the response means, once its header has been read.
	class ResponseClass
	// declined is set if the response says that the request did not run.
	declined bool
	// wrongServer is set if the response says that another server has the
	// address. declined is then set too.
	wrongServer bool
	// timeToHeader is the time to the header of the response, zero if there is
	// none.
	timeToHeader time.Duration
	// report is what the server said about itself in the header of the response.
	report yuccaadmission.Report
	// readBefore is the number of bytes read from the connection before the
	// attempt.
	readBefore int64
	// err is why the attempt failed.
	err error
	// ended is set when the ticket has been returned and the connection pooled
	// or closed.
	ended bool
	// reusedConn is set if the connection has carried a request before.
	reusedConn bool
	// superseded is set if another server responded first.
	superseded atomic.Bool
	// judged is set when the quarantine has been told what became of the request.
	judged bool
}

// headerField is one field of an HTTP header.
type headerField struct{ name, value string }

// outcome is the result of an attempt up to the header of its response.
type outcome struct {
	attempt *attempt
	event   yuccalifecycle.Event
}

func (t *task) newAttempt(ticket yuccaadmission.Ticket) *attempt {
	a := &attempt{task: t, ticket: ticket, started: time.Now()}
	a.ctx, a.cancel = context.WithCancel(t.workCtx)
	return a
}

// runRecovered calls run. A panic fails the attempt.
func (a *attempt) runRecovered() yuccalifecycle.Event {
	event, err := func() (event yuccalifecycle.Event, err error) {
		defer yuccaerror.Recover(&err)
		return a.run(), nil
	}()
	if err != nil {
		return a.fail(yuccaerror.Internal, err)
	}
	return event
}

// run sends the request and reads the header of the response.
func (a *attempt) run() yuccalifecycle.Event {
	t := a.task
	c, err := a.connect()
	if err != nil {
		return a.fail(yuccaerror.Unreachable, err)
	}
	a.conn, a.readBefore = c, c.bytesRead.Load()
	a.reusedConn = !c.idleSince.IsZero()
	a.countTunnel()
	a.stopCloseOnCancel = context.AfterFunc(a.ctx, func() { _ = c.Close() })
	if t.update(yuccalifecycle.SendStarted{}).Final() {
		return a.fail(yuccaerror.Canceled, context.Canceled)
	}
	a.exchange = newExchange(c, a.bodyEnded, a.silent)
	a.exchange.readTimeout = cmp.Or(a.headerTimeout, stallTimeout)
	if err := a.send(); err != nil {
		return a.fail(yuccaerror.ConnectionLost, err)
	}
	return a.classifyResponse()
}

// server returns the server of the attempt.
func (a *attempt) server() Server {
	return Server{
		Name:    a.ticket.Server,
		Addr:    a.ticket.Addr,
		Region:  a.ticket.Region,
		Domain:  a.ticket.Domain,
		Regions: a.task.regions,
		NoBody:  a.task.body.isEmpty(),
	}
}

// connect returns a pooled or new connection to the server.
func (a *attempt) connect() (*conn, error) {
	t, to := a.task, a.server()
	if a.forceNewConn {
		return t.relay.pool.open(a.ctx, to, t.deadline)
	}
	maxIdle := t.relay.opt.NonIdempotentIdleTimeout
	if t.idempotent {
		maxIdle = 0
	}
	return t.relay.pool.get(a.ctx, to, t.deadline, maxIdle)
}

// classifyResponse decides what the response means for the request after its
// header has been read.
func (a *attempt) classifyResponse() yuccalifecycle.Event {
	t := a.task
	a.timeToHeader = time.Since(a.started)
	t.relay.opt.Path.Responded(a.conn.Conn, a.conn.openedAt)
	a.receiveReport()
	switch a.class {
	case Declined, Misdirected:
		a.declined, a.wrongServer = true, a.class == Misdirected
		a.handleDecline()
		return yuccalifecycle.Declined{}
	case Mismatched, Unnamed, Invalid:
		return a.fail(yuccaerror.ConnectionLost, errWrongResponse)
	}
	if err := a.exchange.bufferBody(t.relay.opt.MaxBufferedBytes); err != nil {
		return a.fail(yuccaerror.ConnectionLost, err)
	}
	return yuccalifecycle.ResponseStarted{}
}

// receiveReport reads what the server says about itself and passes it on, unless the
// response comes from another server.
func (a *attempt) receiveReport() {
	if a.class != Genuine && a.class != Declined {
		return
	}
	opt := a.task.relay.opt
	a.report = opt.Protocol.Report(&a.exchange.head)
	switch {
	case opt.Reports != nil:
		opt.Reports.ReceiveReport(a.ticket, a.via(), a.report)
	case a.report.Invalid != "":
		a.task.relay.failures.Warn().Str("server", a.ticket.Server).Str("report", a.report.Invalid).Msg("server_report_unreadable")
	}
}

// handleDecline returns the ticket after the server declined. The connection is
// kept if the body is short enough, and arrives soon enough, to be read to its end.
func (a *attempt) handleDecline() {
	if err := a.exchange.bufferUnused(maxDeclineBodyBytes); err == nil && a.exchange.allReadAhead {
		return
	}
	a.abort(yuccaadmission.Result{Kind: yuccaerror.Shed})
}

// send sends the request and reads the header of the response. It tells the
// quarantine when the server may start to run the request and what became of it.
func (a *attempt) send() error {
	t := a.task
	a.sent, a.sentAt = true, time.Now()
	quarantine := t.relay.opt.Quarantine
	quarantine.Start(t.fingerprint, a.ticket.Server)
	err := a.exchange.send(t, a.requestHeader())
	if err == nil {
		a.class = t.relay.opt.Protocol.ClassifyResponse(t.id, &a.exchange.head)
	}
	if err != nil || a.class != Genuine {
		a.judge(err)
	}
	return err
}

// judge tells the quarantine, once, what the end of the attempt shows about whether the
// request crashed its server. A server may crash at any point of its response, so that only a
// complete one shows that it did not.
func (a *attempt) judge(err error) {
	if !a.sent || a.judged {
		return
	}
	a.judged = true
	run := yuccapoison.Run{Fingerprint: a.task.fingerprint, Server: a.ticket.Server, Started: a.sentAt}
	a.task.relay.opt.Quarantine.End(run, a.crashOutcome(err))
}

// crashOutcome returns what the end of the attempt shows about whether the request crashed
// its server. The error is nil if the response is complete.
func (a *attempt) crashOutcome(err error) yuccapoison.Outcome {
	switch {
	case err == nil && a.class == Genuine:
		return yuccapoison.Answered
	case isConnBroken(err) && a.ctx.Err() == nil:
		return yuccapoison.Broken
	}
	return yuccapoison.Unproven
}

// silent tells the path that the server sends nothing. It reports whether the attempt is
// to be given up: its connection is lost, and another server may run the request. One
// that must not run twice may have run, so that only its own response can help.
func (a *attempt) silent() bool {
	lost := a.task.relay.opt.Path.Silent(a.conn.Conn, a.ticket.Server, a.conn.openedAt)
	return lost && a.task.body.canResend() && a.task.mayRepeat()
}

// isConnBroken reports whether the connection was closed or reset, as happens
// when the server process dies.
func isConnBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestHeader returns the request header for this attempt.
func (a *attempt) requestHeader() *fasthttp.RequestHeader {
	t := a.task
	h := &fasthttp.RequestHeader{}
	t.header.CopyTo(h)
	target := Target{Server: a.ticket.Server, Account: t.accountName(), HasAccounts: t.accounts != nil}
	if !t.deadline.IsZero() {
		target.TimeLeft = max(time.Millisecond, time.Until(t.deadline))
	}
	t.relay.opt.Protocol.PrepareRequest(h, target)
	for _, f := range a.extraHeader {
		h.Set(f.name, f.value)
	}
	return h
}

// fail ends the attempt with an error. The kind is Canceled if the attempt's
// context has ended before the attempt.
func (a *attempt) fail(k yuccaerror.Kind, err error) yuccalifecycle.Event {
	a.err = err
	if a.ctx.Err() != nil && !a.ended {
		k = yuccaerror.Canceled
	}
	if k != yuccaerror.Canceled && a.conn != nil && !a.reusedConn && isConnBroken(err) && a.noResponseBytes() {
		a.task.relay.opt.Path.Broken(a.conn.Conn, a.ticket.Server)
	}
	blamed := k != yuccaerror.Canceled && blamesServer(err)
	a.abort(yuccaadmission.Result{Kind: k, NoResponse: blamed && a.serverUnreachable(err), Failed: blamed})
	if !a.task.relay.opt.NoHedge && a.noResponseBytes() && (isTimeout(err) && a.waitedLong() || a.superseded.Load()) {
		a.task.relay.pool.discardSuspects(a.conn)
	}
	return yuccalifecycle.Failed{Kind: k}
}

// waitedLong reports whether the attempt has lasted longer than most responses of the service
// take. A caller with less time learns nothing about the connection.
func (a *attempt) waitedLong() bool {
	usual, known := a.task.relay.retries.Quantile(a.task.service, hedgeQuantile)
	if !known {
		usual = silenceDelay
	}
	return time.Since(a.started) >= usual
}

// blamesServer reports whether an error may be the server's fault. A lost link, the lack
// of an entry that may carry the request and a caller with too little time for a connection
// say nothing about the server.
func blamesServer(err error) bool {
	return !errors.Is(err, errLinkLost) && !errors.Is(err, ErrNoCarrier) && !errors.Is(err, errExpiredConnecting)
}

// serverUnreachable reports whether connecting failed or the server broke off a
// new connection. A server that closes a reused connection, or is late, may be
// healthy.
func (a *attempt) serverUnreachable(err error) bool {
	return a.conn == nil || !a.reusedConn && isConnBroken(err)
}

// via returns the name of the entry that the attempt goes through, empty for a direct
// one.
func (a *attempt) via() string {
	if a.conn == nil {
		return ""
	}
	if t, ok := a.conn.Conn.(Tunnel); ok {
		return t.Via()
	}
	return ""
}

func isTimeout(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout()
}

// noResponseBytes reports whether the request was sent and no byte has come
// back.
func (a *attempt) noResponseBytes() bool {
	return a.sent && a.conn.bytesRead.Load() == a.readBefore
}

// abort closes the connection and returns the ticket.
func (a *attempt) abort(r yuccaadmission.Result) {
	if a.conn != nil && !a.ended {
		a.stopCloseOnCancel()
		_ = a.conn.Close()
	}
	a.judge(errAbandoned)
	a.cancel()
	a.returnTicket(r)
}

// returnTicket returns the ticket with the result of the attempt, once.
func (a *attempt) returnTicket(r yuccaadmission.Result) {
	if a.ended {
		return
	}
	a.ended = true
	r.Now = time.Now()
	r.Declined = a.declined && !a.wrongServer
	r.WrongServer = a.wrongServer
	r.TimeToHeader = a.timeToHeader
	r.Load = a.report.Load
	r.HoldOff = a.report.HoldOff
	a.task.relay.opt.Picker.Done(a.ticket, r)
	a.task.logAttempt(a, r)
}

// bodyEnded is called when the response body has ended after n bytes. The error
// is nil if the body is complete.
func (a *attempt) bodyEnded(n int64, err error) {
	r := yuccaadmission.Result{Bytes: n}
	switch {
	case a.declined:
		r.Kind = yuccaerror.Shed
	case err != nil:
		r.Kind, r.Failed = yuccaerror.ConnectionLost, true
	default:
		r.Failed = a.exchange.status() >= fasthttp.StatusInternalServerError
		r.Succeeded = !r.Failed
	}
	a.judge(err)
	// Call stopCloseOnCancel first: if it returns false, the connection is being
	// closed and must not go back to the pool.
	if !a.stopCloseOnCancel() || err != nil || !a.exchange.reusable() {
		_ = a.conn.Close()
	} else {
		a.conn.keepAlive = a.exchange.keepAlive()
		a.task.relay.pool.put(a.conn)
	}
	a.cancel()
	a.returnTicket(r)
}

// supersede cancels the attempt because another server responded first.
func (a *attempt) supersede() {
	a.superseded.Store(true)
	a.cancel()
}

// recordLatency records the latency of the response header and counts the
// request as served, which lowers the service's overload estimate.
func (a *attempt) recordLatency() {
	now := time.Now()
	a.task.relay.retries.Observe(now, a.task.service, now.Sub(a.started))
	a.task.relay.retries.Update(now, a.task.service, yuccaretry.Served)
}
