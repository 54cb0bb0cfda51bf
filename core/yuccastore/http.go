package yuccastore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// CallTimeout bounds one call, beyond the time a watch may wait.
const CallTimeout = 3 * time.Second

// HTTP is a Store that speaks the platform's HTTP interface. Make one with
// NewHTTP and release it with Close.
type HTTP struct {
	base   string
	client *fasthttp.Client
	done   chan struct{}
}

// doer is the part of fasthttp's client that a call needs.
type doer interface {
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

// NewHTTP returns a client for the platform at base, such as
// http://10.0.0.1:7000.
func NewHTTP(base string) *HTTP {
	return &HTTP{
		base:   strings.TrimSuffix(base, "/"),
		client: newClient(fasthttp.Dial),
		done:   make(chan struct{}),
	}
}

// newClient returns a client that never sends a request twice.
func newClient(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "yuccawell",
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       64 * MaxValue,
		MaxIdleConnDuration:       10 * time.Second,
	}
}

// watchClient returns a client whose connection is closed when ctx ends, so
// that a call that waits returns at once.
func watchClient(ctx context.Context) *fasthttp.Client {
	return newClient(func(addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = c.Close() })
		return c, nil
	})
}

// Close releases the connections that are idle.
func (h *HTTP) Close() {
	select {
	case <-h.done:
	default:
		close(h.done)
	}
	h.client.CloseIdleConnections()
}

// Done is closed after Close.
func (h *HTTP) Done() <-chan struct{} { return h.done }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	o := Object{Key: key}
	err := h.call(ctx, fasthttp.MethodGet, objectPath(key), nil, Cond{}, 0, func(r *fasthttp.Response) error {
		o.Value = bytes.Clone(r.Body())
		o.Tag = string(r.Header.Peek(fasthttp.HeaderETag))
		return readSeq(r, &o)
	})
	return o, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, cond Cond) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, yuccaerror.New(yuccaerror.Large, "value of %s has %d bytes, at most %d are kept", key, len(value), MaxValue)
	}
	o := Object{Key: key}
	err := h.call(ctx, fasthttp.MethodPut, objectPath(key), value, cond, 0, func(r *fasthttp.Response) error {
		o.Tag = string(r.Header.Peek(fasthttp.HeaderETag))
		return readSeq(r, &o)
	})
	return o, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, cond Cond) error {
	return h.call(ctx, fasthttp.MethodDelete, objectPath(key), nil, cond, 0, func(*fasthttp.Response) error { return nil })
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	var page Page
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	err := h.call(ctx, fasthttp.MethodGet, "/objects?"+query.Encode(), nil, Cond{}, wait, func(r *fasthttp.Response) error {
		return json.Unmarshal(r.Body(), &page)
	})
	return page, err
}

// Instances implements Store.
func (h *HTTP) Instances(ctx context.Context) (Instances, error) {
	var list Instances
	err := h.call(ctx, fasthttp.MethodGet, "/instances", nil, Cond{}, 0, func(r *fasthttp.Response) error {
		return json.Unmarshal(r.Body(), &list)
	})
	return list, err
}

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, cond Cond, wait time.Duration, read func(*fasthttp.Response) error) error {
	limit, err := timeLeft(ctx, wait+CallTimeout)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(h.base + path)
	req.SetBody(body)
	if cond.Tag != "" {
		req.Header.Set(fasthttp.HeaderIfMatch, cond.Tag)
	}
	if cond.Absent {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
	}
	var client doer = h.client
	if wait > 0 {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		client = watchClient(ctx)
	}
	if err := client.DoTimeout(req, resp, limit); err != nil {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "%s %s: %w", method, path, err)
	}
	if err := statusError(method, path, resp.StatusCode()); err != nil {
		return err
	}
	if err := read(resp); err != nil {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "%s %s: %w", method, path, err)
	}
	return nil
}

func timeLeft(ctx context.Context, limit time.Duration) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, yuccaerror.New(yuccaerror.PlatformUnavailable, "%w", err)
	}
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end))
	}
	return max(limit, time.Millisecond), nil
}

func statusError(method, path string, status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusNotFound:
		return yuccaerror.New(yuccaerror.Missing, "%s %s: no such object", method, path)
	case fasthttp.StatusPreconditionFailed, fasthttp.StatusConflict:
		return yuccaerror.New(yuccaerror.WriteConflict, "%s %s: the condition does not hold", method, path)
	case fasthttp.StatusRequestEntityTooLarge:
		return yuccaerror.New(yuccaerror.Large, "%s %s: value is too large", method, path)
	}
	return yuccaerror.New(yuccaerror.PlatformUnavailable, "%s %s: status %d", method, path, status)
}

func readSeq(r *fasthttp.Response, o *Object) error {
	text := string(r.Header.Peek(SeqHeader))
	if text == "" {
		return nil
	}
	seq, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("header %s: %w", SeqHeader, err)
	}
	o.Seq = seq
	return nil
}

// SeqHeader carries an object's sequence number where the platform gives it.
const SeqHeader = "Yucca-Seq"
