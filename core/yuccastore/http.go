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
	"yuccawell.example/core/yuccahead"
)

// CallTimeout is the longest time that a call waits for its response. A List
// that watches for changes waits this long on top of its wait parameter.
const CallTimeout = 3 * time.Second

// HTTP is a Store that calls the platform's HTTP API. Make one with NewHTTP and
// release it with Close.
type HTTP struct {
	// base is the platform's base URL without a trailing slash.
	base string
	// client makes all calls except watches.
	client *fasthttp.Client
	// done is closed by Close.
	done chan struct{}
}

// doer is the method of fasthttp.Client that call uses.
type doer interface {
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

// NewHTTP returns a client for the platform at the URL base, such as
// http://10.0.0.1:7000.
func NewHTTP(base string) *HTTP {
	return &HTTP{
		base:   strings.TrimSuffix(base, "/"),
		client: newClient(fasthttp.Dial),
		done:   make(chan struct{}),
	}
}

// newClient returns a client that never retries a request and takes no malformed response.
func newClient(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "yuccawell",
		Dial:                      yuccahead.Dial(dial),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       64 * MaxValue,
		MaxIdleConnDuration:       10 * time.Second,
	}
}

// watchClient returns a client that closes its connections when ctx ends, so
// that a List waiting for a change returns at once.
func watchClient(ctx context.Context) *fasthttp.Client {
	return newClient(func(addr string) (net.Conn, error) {
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = c.Close() })
		return c, nil
	})
}

// Close closes the idle connections and the channel that Done returns.
func (h *HTTP) Close() {
	select {
	case <-h.done:
	default:
		close(h.done)
	}
	h.client.CloseIdleConnections()
}

// Done returns a channel that Close closes.
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
		return Object{}, yuccaerror.New(yuccaerror.TooLarge, "value of %s has %d bytes; the platform accepts at most %d", key, len(value), MaxValue)
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

// objectPath returns the URL path of an object. The slashes of the key stay;
// its other characters are escaped.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

// call sends one request and passes a successful response to read. A wait above
// zero marks a watch: the server may hold its response for that long, and the
// call ends early when ctx does.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, cond Cond, wait time.Duration, read func(*fasthttp.Response) error) error {
	timeout, err := remainingTime(ctx, wait+CallTimeout)
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
	if err := client.DoTimeout(req, resp, timeout); err != nil {
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

// remainingTime returns the shorter of timeout and the time until ctx's
// deadline, at least 1 ms. It fails when ctx has already ended.
func remainingTime(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, yuccaerror.New(yuccaerror.PlatformUnavailable, "platform call not sent: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	return max(timeout, time.Millisecond), nil
}

// statusError returns the error for an HTTP status, nil for success.
func statusError(method, path string, status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusNotFound:
		return yuccaerror.New(yuccaerror.NotFound, "%s %s: no such object", method, path)
	case fasthttp.StatusPreconditionFailed, fasthttp.StatusConflict:
		return yuccaerror.New(yuccaerror.WriteConflict, "%s %s: the condition of the write does not hold", method, path)
	case fasthttp.StatusRequestEntityTooLarge:
		return yuccaerror.New(yuccaerror.TooLarge, "%s %s: the platform refused the value as too large", method, path)
	}
	return yuccaerror.New(yuccaerror.PlatformUnavailable, "%s %s: unexpected HTTP status %d", method, path, status)
}

// readSeq sets o.Seq from SeqHeader, if the response has one.
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

// SeqHeader is the response header that carries an object's sequence number. The
// platform may leave it out.
const SeqHeader = "Yucca-Seq"
