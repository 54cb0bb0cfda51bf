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
	callTries   = 4
	callTimeout = 20 * time.Second
	retryPause  = 200 * time.Millisecond
)

// fate is how a caller's request ended.
type fate uint8

const (
	// whole means that the right answer came.
	whole fate = iota
	// refused means that the system said it was not run.
	refused
	// unsure means that a request that must not be repeated may have run.
	unsure
	// lost means that no answer came in any try.
	lost
	// wrong means that the answer was another's or not whole.
	wrong
)

// caller sends the requests of one stream.
type caller struct {
	// number tells callers apart.
	number  uint64
	set     streamSettings
	client  *fasthttp.Client
	entries []string

	mu    sync.Mutex
	where yuccafront.LookupResponse
	until time.Time
}

// newCallers returns one caller for each address of a stream.
func newCallers(set streamSettings, entries []string) ([]*caller, error) {
	addr, err := netip.ParseAddr(set.Caller)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Invalid, err)
	}
	n := max(set.Callers, 1)
	set.Rate /= float64(n)
	var all []*caller
	for range n {
		set.Caller = addr.String()
		all = append(all, newCaller(set, entries))
		addr = addr.Next()
	}
	return all, nil
}

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

// look returns the entries to use, best first. An answer is kept for its ttl,
// and for longer while no entry answers.
func (c *caller) look() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.refresh()
	}
	var addrs []string
	for _, e := range c.where.Entries {
		addrs = append(addrs, e.Addr)
	}
	return append(addrs, c.entries...)
}

func (c *caller) refresh() {
	query := "/where?service=" + url.QueryEscape(c.set.Service) + "&addr=" + url.QueryEscape(c.set.Caller)
	var known []string
	for _, e := range c.where.Entries {
		known = append(known, e.Addr)
	}
	for _, entry := range append(known, c.entries...) {
		status, body, err := c.client.GetTimeout(nil, "http://"+entry+query, time.Second)
		if err != nil || status != fasthttp.StatusOK {
			continue
		}
		var w yuccafront.LookupResponse
		if json.Unmarshal(body, &w) == nil && len(w.Entries) > 0 {
			c.where = w
			c.until = time.Now().Add(time.Duration(w.TTL) * time.Second)
			return
		}
	}
}

// call makes one request, again on another entry where that is of use. A
// request that must run once is repeated under the same key.
func (c *caller) call() fate {
	token := uuid.NewString()
	entries := c.look()
	last := lost
	for i := range callTries {
		f, again := c.try(entries[i%len(entries)], token)
		if !again {
			return f
		}
		last = f
		time.Sleep(retryPause)
	}
	return last
}

// try makes one try and reports whether another is of use.
func (c *caller) try(entry, token string) (fate, bool) {
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
	once := c.set.Method == fasthttp.MethodPost
	if once {
		req.Header.Set(yuccarelay.KeyHeader, token)
	}
	err := c.client.DoTimeout(req, resp, callTimeout)
	kind := string(resp.Header.Peek(yuccarelay.ErrorHeader))
	switch {
	case err != nil && once && !dialFailed(err):
		return unsure, true
	case err != nil:
		return lost, true
	case resp.StatusCode() == fasthttp.StatusOK:
		return c.check(resp, token), false
	case string(resp.Header.Peek(yuccarelay.RunHeader)) == "no":
		return refused, kind != yuccaerror.Shed.String()
	case once:
		return unsure, kind != yuccaerror.ReplayUnavailable.String()
	}
	return lost, true
}

func dialFailed(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout) || strings.Contains(err.Error(), "connection refused")
}

// check compares the answer's body with what the server must have sent.
func (c *caller) check(resp *fasthttp.Response, token string) fate {
	body := resp.Body()
	if name, ok := strings.CutPrefix(c.set.Path, "/file/"); ok {
		if len(body) != c.set.Size {
			return wrong
		}
		for i, b := range body {
			if b != yuccafake.FileByte(name, int64(i)) {
				return wrong
			}
		}
		return whole
	}
	if len(body) != len(token)+1+c.set.Size || string(body[:len(token)]) != token {
		return wrong
	}
	return whole
}
