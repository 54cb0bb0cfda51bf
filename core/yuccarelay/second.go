package yuccarelay

import (
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaretry"
)

// armHedge sets when a second server is asked beside the first.
func (t *task) armHedge() {
	if !t.idempotent || !t.body.whole() || t.relay.opt.NoHedge {
		return
	}
	if d, ok := t.relay.services.Quantile(t.service, hedgeQuantile); ok {
		t.hedge = time.NewTimer(max(d, minHedgeDelay))
	}
}

// second chooses a second server while the first works.
func (t *task) second() bool {
	if t.expired() || !t.repeatable() {
		return false
	}
	if !t.relay.services.Update(time.Now(), t.service, yuccaretry.Hedge) {
		return false
	}
	ticket, err := t.choose()
	t.ticket = ticket
	return err == nil
}

// repeatable reports whether the request may be given to another server.
func (t *task) repeatable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life.Repeatable()
}

// unwell reports whether the server failed at a request that another server can
// still be asked. That server is chosen at once: without one the answer at hand
// is passed on.
func (t *task) unwell(a *attempt) bool {
	if !t.relay.opt.RetryFailures || a.exchange.status() < fasthttp.StatusInternalServerError {
		return false
	}
	if len(t.attempts) > 1 || t.expired() || !t.repeatable() {
		return false
	}
	next, err := t.choose()
	if err != nil {
		return false
	}
	if !t.again(a) {
		t.relay.opt.Picker.Done(next, yuccaadmission.Result{Now: time.Now(), Kind: yuccaerror.Canceled})
		return false
	}
	t.next = &next
	return true
}

// again reports whether another try is possible and within the budget. A
// declined try is one that did not run, so that it alone does not stand against
// another. One that was not sent costs no budget.
func (t *task) again(a *attempt) bool {
	if !t.body.rewind() || !a.declined && !t.repeatable() {
		return false
	}
	return !a.sent || t.relay.services.Update(time.Now(), t.service, yuccaretry.Retry)
}
