package yuccarelay

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccapoison"
)

// Claims lets a request with an idempotency key run at most once.
type Claims interface {
	// Begin claims the key. Its error's kind is answered. A claim with a Replay
	// is answered with it and not ended.
	Begin(ctx context.Context, r yuccaidempotency.Request) (yuccaidempotency.Claim, error)
	// End is called exactly once for each claim that was begun without Replay.
	End(c yuccaidempotency.Claim, o yuccaidempotency.Outcome)
}

// Quarantine knows the requests that kill the servers that run them.
type Quarantine interface {
	// Check returns an error when requests of this print are quarantined.
	Check(p yuccapoison.Fingerprint) error
	// Start is called before the first byte may leave for a server.
	Start(p yuccapoison.Fingerprint, server string)
	// End is called after Start. Died says that the connection broke before the
	// head of an answer.
	End(p yuccapoison.Fingerprint, server string, died bool)
}

const (
	// maxKey is the longest Idempotency-Key, in bytes.
	maxKey = 256
	// maxHeld is the longest answer, in bytes, that is held for repeats.
	maxHeld = 64 << 10
)

// unguarded is the Quarantine of a relay that has none.
type unguarded struct{}

func (unguarded) Check(yuccapoison.Fingerprint) error             { return nil }
func (unguarded) Start(yuccapoison.Fingerprint, string)           {}
func (unguarded) End(_ yuccapoison.Fingerprint, _ string, _ bool) {}

// printOf identifies the requests that are alike.
func printOf(service string, r *fasthttp.Request, body []byte) yuccapoison.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(service), r.Header.Method(), r.Header.RequestURI(), body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return yuccapoison.Fingerprint(d.Sum64())
}

// guard claims the key of a request that is not idempotent.
func (t *task) guard() error {
	key := t.ctx.Request.Header.Peek(KeyHeader)
	if len(key) > maxKey {
		return yuccaerror.New(yuccaerror.Large, "header %s: %d bytes", KeyHeader, len(key))
	}
	if t.idempotent || len(key) == 0 || t.relay.opt.Claims == nil {
		return nil
	}
	t.watchCaller()
	claim, err := t.relay.opt.Claims.Begin(t.work, yuccaidempotency.Request{
		Service:     t.service,
		Key:         string(key),
		Fingerprint: uint64(t.print),
		Deadline:    t.deadline,
	})
	if err != nil {
		return err
	}
	t.claim = &claim
	return nil
}

// unclaim says what came of the claim.
func (t *task) unclaim(a *yuccaidempotency.Response) {
	if t.claim == nil || t.claim.Replay != nil {
		return
	}
	t.relay.opt.Claims.End(*t.claim, yuccaidempotency.Outcome{MayHaveRun: t.mayHaveRun(), Answer: a})
}

// replay answers with the first answer to the request's key.
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

// holding collects an answer's body while it is short enough to be held.
type holding struct {
	body []byte
	over bool
}

func (h *holding) add(p []byte) {
	if h.over = h.over || len(h.body)+len(p) > maxHeld; !h.over {
		h.body = append(h.body, p...)
	}
}

// answer returns the whole answer, nil when it is too long.
func (h *holding) answer(head *fasthttp.ResponseHeader) *yuccaidempotency.Response {
	if h == nil || h.over {
		return nil
	}
	a := &yuccaidempotency.Response{Status: head.StatusCode(), Body: h.body}
	var own fasthttp.ResponseHeader
	head.CopyTo(&own)
	removeHopHeaders(&own)
	for name, value := range own.All() {
		if string(name) != fasthttp.HeaderContentLength {
			a.Header = append(a.Header, yuccaidempotency.Field{Name: string(name), Value: string(value)})
		}
	}
	return a
}
