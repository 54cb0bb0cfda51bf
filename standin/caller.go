package main

import (
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccarelay"
)

const (
	// maxAttempts is the maximum number of times that a request is sent.
	maxAttempts = 4
	// attemptTimeout bounds one attempt.
	attemptTimeout = 20 * time.Second
	// retryDelay is the pause before a retry.
	retryDelay = 200 * time.Millisecond
)

// outcome is how a caller's request ended.
type outcome uint8

const (
	// outcomeSucceeded means that the complete and correct response arrived.
	outcomeSucceeded outcome = iota
	// outcomeRejected means that the system reported that the request was not run.
	outcomeRejected
	// outcomeIndeterminate means that a request that must run at most once may or
	// may not have run.
	outcomeIndeterminate
	// outcomeLost means that no attempt returned a usable response.
	outcomeLost
	// outcomeCorrupted means that the response was incomplete or belonged to
	// another request.
	outcomeCorrupted
)

// caller sends the requests of one client address of a stream. It looks up the
// entries to use and retries failed requests on the next one.
type caller struct {
	// number identifies the caller and selects its sequence of arrival times.
	number uint64
	set    streamSettings
	client *fasthttp.Client
	// entries are the configured entry addresses, used for the first lookup and
	// after the entries of the last lookup.
	entries []string

	mu sync.Mutex
	// lookup is the last lookup response.
	lookup yuccafront.LookupResponse
	// lookupExpires is when the lookup has to be repeated.
	lookupExpires time.Time
}

// newCallers returns one caller for each client address of a stream. They share
// the stream's rate equally. It returns an error if the first address is invalid.
func newCallers(set streamSettings, entries []string) ([]*caller, error) {
	addr, err := netip.ParseAddr(set.Caller)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Invalid, err)
	}
	n := max(set.Callers, 1)
	set.Rate /= float64(n)
	var callers []*caller
	for range n {
		set.Caller = addr.String()
		callers = append(callers, newCaller(set, entries))
		addr = addr.Next()
	}
	return callers, nil
}

// newCaller returns a caller. Its HTTP client never retries a request.
func newCaller(set streamSettings, entries []string) *caller {
	return &caller{
		set:     set,
		entries: entries,
		client: &fasthttp.Client{
			MaxConnsPerHost:           4096,
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       time.Second,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// candidates returns the addresses of the entries to use, best first. A lookup
// response is used for its TTL, and for longer while no entry responds.
func (c *caller) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.lookupExpires) {
		c.refresh()
	}
	var addrs []string
	for _, e := range c.lookup.Entries {
		addrs = append(addrs, e.Addr)
	}
	return append(addrs, c.entries...)
}

// refresh repeats the lookup. It asks the entries of the last response first. The
// caller must hold mu.
func (c *caller) refresh() {
	query := "/where?service=" + url.QueryEscape(c.set.Service) + "&addr=" + url.QueryEscape(c.set.Caller)
	var known []string
	for _, e := range c.lookup.Entries {
		known = append(known, e.Addr)
	}
	for _, entry := range append(known, c.entries...) {
		status, body, err := c.client.GetTimeout(nil, "http://"+entry+query, time.Second)
		if err != nil || status != fasthttp.StatusOK {
			continue
		}
		var response yuccafront.LookupResponse
		if json.Unmarshal(body, &response) == nil && len(response.Entries) > 0 {
			c.lookup = response
			c.lookupExpires = time.Now().Add(time.Duration(response.TTL) * time.Second)
			return
		}
	}
}

// send sends one request and retries it on the next entry while a retry can
// help. All attempts of a request use the same token and idempotency key.
func (c *caller) send() outcome {
	token := uuid.NewString()
	entries := c.candidates()
	last := outcomeLost
	for i := range maxAttempts {
		o, retry := c.attempt(entries[i%len(entries)], token)
		if !retry {
			return o
		}
		last = o
		time.Sleep(retryDelay)
	}
	return last
}

// attempt sends a request to one entry. It returns the outcome and reports
// whether a retry can help.
func (c *caller) attempt(entry, token string) (outcome, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + c.set.Path + "?size=" + strconv.Itoa(c.set.Size))
	req.UseHostHeader = true
	req.Header.SetHost(c.set.Host)
	req.Header.SetMethod(c.set.Method)
	req.Header.Set(yuccafake.TokenHeader, token)
	if c.set.Deadline > 0 {
		req.Header.Set(yuccarelay.DeadlineHeader, time.Duration(c.set.Deadline).String())
	}
	runOnce := c.set.Method == fasthttp.MethodPost
	if runOnce {
		req.Header.Set(yuccarelay.IdempotencyKeyHeader, token)
	}
	err := c.client.DoTimeout(req, resp, attemptTimeout)
	kind := string(resp.Header.Peek(yuccarelay.ErrorHeader))
	switch {
	case err != nil && runOnce && !dialFailed(err):
		return outcomeIndeterminate, true
	case err != nil:
		return outcomeLost, true
	case resp.StatusCode() == fasthttp.StatusOK:
		return c.check(resp, token), false
	case string(resp.Header.Peek(yuccarelay.RunHeader)) == "no":
		return outcomeRejected, kind != yuccaerror.Shed.String()
	case runOnce:
		return outcomeIndeterminate, kind != yuccaerror.ReplayUnavailable.String()
	}
	return outcomeLost, true
}

// dialFailed reports whether the connection failed, so that no byte of the request
// was sent.
func dialFailed(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout) || strings.Contains(err.Error(), "connection refused")
}

// check compares the response body with what the fake server must have sent.
func (c *caller) check(resp *fasthttp.Response, token string) outcome {
	body := resp.Body()
	if name, ok := strings.CutPrefix(c.set.Path, "/file/"); ok {
		if len(body) != c.set.Size {
			return outcomeCorrupted
		}
		for i, b := range body {
			if b != yuccafake.FileByte(name, int64(i)) {
				return outcomeCorrupted
			}
		}
		return outcomeSucceeded
	}
	if len(body) != len(token)+1+c.set.Size || string(body[:len(token)]) != token {
		return outcomeCorrupted
	}
	return outcomeSucceeded
}
