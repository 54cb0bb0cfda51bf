package yuccarelay

import (
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaretry"
)

// startHedgeTimer starts the delay after which the request is hedged, if that
// is safe and the service's latency is known.
func (t *task) startHedgeTimer() {
	if !t.idempotent || !t.body.inMemory() || t.relay.opt.NoHedge {
		return
	}
	if d, ok := t.relay.retries.Quantile(t.service, hedgeQuantile); ok {
		t.hedgeTimer = time.NewTimer(max(d, minHedgeDelay))
	}
}

// pickHedgeServer picks the server of a hedged attempt and reports whether
// there is one within the retry budget.
func (t *task) pickHedgeServer() bool {
	if t.expired() || !t.mayRepeat() {
		return false
	}
	if !t.relay.retries.Update(time.Now(), t.service, yuccaretry.Hedge) {
		return false
	}
	ticket, err := t.pickServer()
	t.ticket = ticket
	return err == nil
}

// mayRepeat reports whether the request may be sent to another server.
func (t *task) mayRepeat() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.MayRetry()
}

// retriesServerError reports whether a 5xx response is dropped and the request
// retried. It reserves the next server first, so that without one the response
// can still be relayed.
func (t *task) retriesServerError(a *attempt) bool {
	if !t.relay.opt.RetryServerErrors || a.exchange.status() < fasthttp.StatusInternalServerError {
		return false
	}
	if len(t.attempts) > 1 || t.expired() || !t.mayRepeat() {
		return false
	}
	next, err := t.pickServer()
	if err != nil {
		return false
	}
	if !t.canRetry(a) {
		t.relay.opt.Picker.Done(next, yuccaadmission.Result{Now: time.Now(), Kind: yuccaerror.Canceled})
		return false
	}
	t.reserved = &next
	return true
}

// canRetry reports whether another attempt is safe and within the retry budget.
// A declined attempt did not run, so it does not prevent another one. An
// attempt that sent nothing does not count against the budget.
func (t *task) canRetry(a *attempt) bool {
	if !t.body.canResend() || !a.declined && !t.mayRepeat() {
		return false
	}
	return !a.sent || t.relay.retries.Update(time.Now(), t.service, yuccaretry.Retry)
}
