package yuccarelay

import (
	"net"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccalifecycle"
)

// answerError ends the request with an error response of the relay.
func (t *task) answerError(k yuccaerror.Kind, ran yuccaerror.RunStatus) {
	f := ErrorResponse{Kind: k, RunStatus: ran, RetryAfter: yuccaerror.RetryAfter(t.err)}
	f.RetryAfter = t.relay.opt.Protocol.WriteError(t.ctx, f)
	t.observe(f, t.ctx.Response.StatusCode(), 0)
	t.end(nil)
	t.logFailure(f, t.ctx.Response.StatusCode())
}

// panicked ends the request after a panic in its handler, with an error response.
func (t *task) panicked(err error) {
	t.err = err
	if t.ended {
		t.ctx.SetConnectionClose()
		t.logFailure(ErrorResponse{Kind: yuccaerror.Internal, RunStatus: yuccaerror.MayHaveRun}, 0)
		return
	}
	t.answerError(yuccaerror.Internal, yuccaerror.MayHaveRun)
	if t.winner != nil {
		t.winner.abort(yuccaadmission.Result{Kind: yuccaerror.Internal})
	}
}

// closeCaller closes the connection to the caller without a response.
func (t *task) closeCaller() {
	t.ctx.SetConnectionClose()
	t.ctx.HijackSetNoResponse(true)
	t.ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	f := ErrorResponse{Kind: yuccaerror.Canceled, RunStatus: yuccaerror.MayHaveRun}
	t.observe(f, 0, 0)
	t.end(nil)
	t.logFailure(f, 0)
}

// end stops everything that runs for the request. The claim of the idempotency
// key, if any, ends with a as the response for replays; nil means none. It is
// called once.
func (t *task) end(a *yuccaidempotency.Response) {
	t.ended = true
	if t.stopCallerWatch != nil {
		t.stopCallerWatch()
	}
	t.cancel()
	for _, timer := range []*time.Timer{t.hedgeTimer, t.watchTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	_ = t.group.Wait()
	if t.reserved != nil {
		t.relay.opt.Picker.Done(*t.reserved, yuccaadmission.Result{Now: time.Now(), Kind: yuccaerror.Canceled})
	}
	t.abortLateResponses()
	t.returnToken()
	t.endClaim(a)
}

// abortLateResponses aborts the attempts whose response came after the request
// had ended.
func (t *task) abortLateResponses() {
	for {
		select {
		case o := <-t.outcomes:
			if _, ok := o.event.(yuccalifecycle.ResponseStarted); ok && o.attempt != t.winner {
				o.attempt.abort(yuccaadmission.Result{Kind: yuccaerror.Canceled})
			}
		default:
			return
		}
	}
}

// observe passes the Record of the request to the Observer.
func (t *task) observe(f ErrorResponse, status int, n int64) {
	if t.relay.opt.Observer == nil {
		return
	}
	took := t.timeToHeader
	if took == 0 {
		took = time.Since(t.arrived)
	}
	t.mu.Lock()
	tries := t.state.Attempts()
	t.mu.Unlock()
	t.relay.opt.Observer.Observe(Record{
		Service:      t.service,
		OriginRegion: t.originRegion,
		ServerRegion: t.ticket.Region,
		Kind:         f.Kind,
		Status:       status,
		Attempts:     tries,
		Bytes:        n,
		TimeToHeader: took,
		ArrivedAt:    t.arrived,
		ID:           t.id,
		Server:       t.ticket.Server,
		Reason:       t.ticket.Reason,
		Route:        t.route,
		Account:      t.accountName(),
		RunStatus:    f.RunStatus,
		RetryAfter:   f.RetryAfter,
		Cause:        t.err,
	})
}
