package yuccarelay

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccapoison"
)

// Claims makes a request with an idempotency key run at most once.
type Claims interface {
	// Begin claims the key of a request. The kind of its error is the kind of
	// the error response. A claim with a Replay is answered with that response;
	// End is not called for it.
	Begin(ctx context.Context, r yuccaidempotency.Request) (yuccaidempotency.Claim, error)
	// End releases a claim. It is called exactly once for each claim without a
	// Replay.
	End(c yuccaidempotency.Claim, o yuccaidempotency.Outcome)
}

// Quarantine tracks the requests that crash the servers that run them.
type Quarantine interface {
	// Check returns an error if requests with this fingerprint are quarantined.
	Check(p yuccapoison.Fingerprint) error
	// Start is called before the first byte may be sent to a server.
	Start(p yuccapoison.Fingerprint, server string)
	// End is called once after Start, when a response has been read to its end or the
	// attempt has ended without that.
	End(run yuccapoison.Run, o yuccapoison.Outcome)
}

const (
	// maxKeyBytes is the longest Idempotency-Key.
	maxKeyBytes = 256
	// maxReplayBodyBytes is the longest response body that is kept for replays.
	maxReplayBodyBytes = 64 << 10
)

// noQuarantine is a Quarantine that rejects nothing.
type noQuarantine struct{}

func (noQuarantine) Check(yuccapoison.Fingerprint) error      { return nil }
func (noQuarantine) Start(yuccapoison.Fingerprint, string)    {}
func (noQuarantine) End(yuccapoison.Run, yuccapoison.Outcome) {}

// fingerprintOf returns a hash of the service, the caller's account, the method, target and
// body. Requests with equal fingerprints count as the same request: those of another account
// may do something else at the server.
func fingerprintOf(service, account string, r *fasthttp.Request, body []byte) yuccapoison.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(account), r.Header.Method(), r.Header.RequestURI(), body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return yuccapoison.Fingerprint(d.Sum64())
}

// claimKey claims the idempotency key of a request that is not idempotent.
func (t *task) claimKey() error {
	key := t.ctx.Request.Header.Peek(IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return yuccaerror.New(yuccaerror.TooLarge, "header %s is too long: %d bytes", IdempotencyKeyHeader, len(key))
	}
	if t.idempotent || len(key) == 0 || t.relay.opt.Claims == nil {
		return nil
	}
	t.watchCaller()
	claim, err := t.relay.opt.Claims.Begin(t.workCtx, yuccaidempotency.Request{
		Service:     t.service,
		Key:         string(key),
		Fingerprint: uint64(t.fingerprint),
		Deadline:    t.deadline,
	})
	if err != nil {
		return err
	}
	t.claim = &claim
	return nil
}

// endClaim releases the claim with the response to keep for replays, nil if
// none.
func (t *task) endClaim(a *yuccaidempotency.Response) {
	if t.claim == nil || t.claim.Replay != nil {
		return
	}
	t.relay.opt.Claims.End(*t.claim, yuccaidempotency.Outcome{MayHaveRun: t.mayHaveRun(), Response: a})
}

// replay sends the response that an earlier request with the same key received.
func (t *task) replay(a *yuccaidempotency.Response) {
	h := &t.ctx.Response.Header
	t.ctx.SetStatusCode(a.Status)
	for _, f := range a.Header {
		h.Add(f.Name, f.Value)
	}
	t.ctx.SetBody(a.Body)
	t.observe(ErrorResponse{}, a.Status, int64(len(a.Body)))
	t.end(nil)
}

// replayBuffer collects a response body up to maxReplayBodyBytes.
type replayBuffer struct {
	body    []byte
	tooLong bool
}

func (h *replayBuffer) add(p []byte) {
	if h.tooLong = h.tooLong || len(h.body)+len(p) > maxReplayBodyBytes; !h.tooLong {
		h.body = append(h.body, p...)
	}
}

// response returns the complete response, nil if it is too long.
func (h *replayBuffer) response(head *fasthttp.ResponseHeader) *yuccaidempotency.Response {
	if h == nil || h.tooLong {
		return nil
	}
	a := &yuccaidempotency.Response{Status: head.StatusCode(), Body: h.body}
	var filtered fasthttp.ResponseHeader
	head.CopyTo(&filtered)
	removeHopHeaders(&filtered)
	for name, value := range filtered.All() {
		if string(name) != fasthttp.HeaderContentLength {
			a.Header = append(a.Header, yuccaidempotency.Field{Name: string(name), Value: string(value)})
		}
	}
	return a
}
