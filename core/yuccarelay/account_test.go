package yuccarelay_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccaroute"
)

// accountProtocol is the system's own protocol with a header for the key of an account and
// one for its name.
type accountProtocol struct{ yuccarelay.DefaultProtocol }

// Credential implements yuccarelay.Protocol.
func (accountProtocol) Credential(h *fasthttp.RequestHeader) []byte { return h.Peek("Key") }

// countingQuota counts the tokens taken and returned by account. It has none for the
// account "over".
type countingQuota struct {
	mu              sync.Mutex
	taken, returned map[string]int
}

func newCountingQuota() *countingQuota {
	return &countingQuota{taken: map[string]int{}, returned: map[string]int{}}
}

// Take implements yuccarelay.Quota.
func (q *countingQuota) Take(_ time.Time, account string) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if account == "over" {
		return yuccaerror.NewRetryAfter(7*time.Second, yuccaerror.QuotaExceeded, "over its quota")
	}
	q.taken[account]++
	return nil
}

// Return implements yuccarelay.Quota.
func (q *countingQuota) Return(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned[account]++
}

// used returns the tokens taken and returned so far, and forgets them.
func (q *countingQuota) used(account string) [2]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	used := [2]int{q.taken[account], q.returned[account]}
	delete(q.taken, account)
	delete(q.returned, account)
	return used
}

// accountRouter returns the router of two routes, for accounts and for all callers, and of
// the given accounts.
func accountRouter(route []string, accounts ...yuccaaccount.Account) yuccarelay.Router {
	services := []yuccaroute.WeightedService{{Service: "s", Weight: 1}}
	table := yuccaroute.New(yuccaroute.Config{Version: 1, Accounts: accounts, Routes: []yuccaroute.Route{
		{Name: "keys", Host: "s.example", Prefix: "/", MaxAttempts: 2, Idempotent: true, Priority: 3, Regions: route, Services: services},
		{Name: "all", Host: "s.example", Prefix: "/open/", MaxAttempts: 2, Idempotent: true, Priority: 3, Regions: route, Services: services, Anonymous: true},
	}})
	return yuccarelay.NewTableRouter(func() *yuccaroute.Table { return table })
}

// accountWithKey returns an account whose only key is its name.
func accountWithKey(name string) yuccaaccount.Account {
	return yuccaaccount.Account{Name: name, Digests: []yuccaaccount.Digest{yuccaaccount.DigestOf([]byte(name))}}
}

// TestTokensOfQuotas has requests end in different ways. It guards against tokens that are
// taken for requests without an account, lost when a request has not run, or returned
// twice or for a request that has run.
func TestTokensOfQuotas(t *testing.T) {
	const (
		answer  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		decline = "HTTP/1.1 503 Service Unavailable\r\nYucca-Run: no\r\nContent-Length: 0\r\n\r\n"
		failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	)
	tests := []struct {
		name, path, key string
		servers         int
		reply           string
		status          int
		want            [2]int
	}{
		{"served", "/x", "a", 2, answer, 200, [2]int{1, 0}},
		{"served on an open route", "/open/x", "a", 2, answer, 200, [2]int{1, 0}},
		{"failed after it ran", "/x", "a", 2, failure, 500, [2]int{1, 0}},
		{"broken after it was sent", "/x", "a", 2, "no response\r\n\r\n", 502, [2]int{1, 0}},
		{"declined by all", "/x", "a", 3, decline, 503, [2]int{1, 1}},
		{"no server", "/x", "a", 0, answer, 503, [2]int{1, 1}},
		{"no key", "/x", "", 2, answer, 401, [2]int{}},
		{"no account", "/open/x", "", 2, answer, 200, [2]int{}},
		{"over the quota", "/x", "over", 2, answer, 429, [2]int{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			quota := newCountingQuota()
			opt := yuccarelay.Options{Router: accountRouter(nil, accountWithKey("a"), accountWithKey("over")), Protocol: accountProtocol{}, Quota: quota}
			w := newFaultyServers(t, test.servers, opt, func(int64) yuccafake.Fault { return yuccafake.Fault{} }, func(string) string { return test.reply })
			resp, err := w.call(func(r *fasthttp.Request) {
				r.SetRequestURI("http://s.example" + test.path)
				r.Header.Set("Key", test.key)
			})
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, test.status)
			c.Assert(quota.used("a"), qt.Equals, test.want)
			c.Assert(quota.used(""), qt.Equals, [2]int{})
			if test.status == 429 {
				c.Assert(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), qt.Equals, "7")
			}
		})
	}
}

// TestTokenOfRequestWhoseCallerLeaves closes the caller's connection while the picker has
// no server for the request yet, so that nothing has been sent. It guards against tokens
// that are lost when nobody gets a response.
func TestTokenOfRequestWhoseCallerLeaves(t *testing.T) {
	c := qt.New(t)
	quota := newCountingQuota()
	dialed := make(chan struct{})
	picker := &recordingPicker{ticket: yuccaadmission.Ticket{Server: "s", Addr: "127.0.0.1:1"}}
	path := &recordingPath{dial: func(ctx context.Context) (net.Conn, error) {
		close(dialed)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	w := &fixture{}
	w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter(nil, accountWithKey("a")), Protocol: accountProtocol{}, Quota: quota, Picker: picker, Path: path}))
	conn, err := net.Dial("tcp", w.addr)
	c.Assert(err, qt.IsNil)
	_, err = conn.Write([]byte("GET /x HTTP/1.1\r\nHost: s.example\r\nKey: a\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	<-dialed
	c.Assert(conn.Close(), qt.IsNil)
	returned := func() int {
		quota.mu.Lock()
		defer quota.mu.Unlock()
		return quota.returned["a"]
	}
	for end := time.Now().Add(longTimeout); returned() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(returned(), qt.Equals, 1)
}

// recordingPicker always gives the same ticket, and records the requests and results.
type recordingPicker struct {
	ticket  yuccaadmission.Ticket
	mu      sync.Mutex
	asks    []yuccaadmission.Request
	results []yuccaadmission.Result
}

// Pick implements yuccarelay.Picker.
func (p *recordingPicker) Pick(ask yuccaadmission.Request) (yuccaadmission.Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asks = append(p.asks, ask)
	return p.ticket, nil
}

// Done implements yuccarelay.Picker.
func (p *recordingPicker) Done(_ yuccaadmission.Ticket, r yuccaadmission.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, r)
}

// recordingPath opens connections with dial, and records where to.
type recordingPath struct {
	dial func(context.Context) (net.Conn, error)
	mu   sync.Mutex
	to   []yuccarelay.Server
}

// Dial implements yuccarelay.Path.
func (p *recordingPath) Dial(ctx context.Context, to yuccarelay.Server) (net.Conn, error) {
	p.mu.Lock()
	p.to = append(p.to, to)
	p.mu.Unlock()
	return p.dial(ctx)
}

// Usable implements yuccarelay.Path.
func (*recordingPath) Usable(net.Conn, time.Time) bool { return true }

// Responded implements yuccarelay.Path.
func (*recordingPath) Responded(net.Conn, time.Time) {}

// Broken implements yuccarelay.Path.
func (*recordingPath) Broken(net.Conn, string) {}

// Silent implements yuccarelay.Path.
func (*recordingPath) Silent(net.Conn, string, time.Time) bool { return false }

// TestAccountPriorityAndRegions checks what the picker and the way to the server get, at
// first tries and at retries. It guards against an account's priority or regions that are
// ignored, and against tunnels through regions that only the route allows.
func TestAccountPriorityAndRegions(t *testing.T) {
	urgent := 0
	a := accountWithKey("a")
	a.Priority, a.Regions = &urgent, []string{"q", "r"}
	b := accountWithKey("b")
	tests := []struct {
		name, path, key string
		priority        int
		regions         []string
	}{
		{"account", "/x", "a", 0, []string{"r"}},
		{"account without settings", "/x", "b", 3, []string{"r", "s"}},
		{"no account", "/open/x", "", 3, []string{"r", "s"}},
		{"account on an open route", "/open/x", "a", 0, []string{"r"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			picker := &recordingPicker{ticket: yuccaadmission.Ticket{Server: "s", Addr: "127.0.0.1:1"}}
			path := &recordingPath{dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }}
			w := &fixture{}
			w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter([]string{"r", "s"}, a, b), Protocol: accountProtocol{}, Picker: picker, Path: path}))
			resp, err := w.call(func(r *fasthttp.Request) {
				r.SetRequestURI("http://s.example" + test.path)
				r.Header.Set("Key", test.key)
			})
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, 503)
			c.Assert(len(picker.asks) > 1, qt.IsTrue)
			for _, ask := range picker.asks {
				c.Assert(ask.Priority, qt.Equals, test.priority)
				c.Assert(ask.Regions, qt.DeepEquals, test.regions)
			}
			for _, to := range path.to {
				c.Assert(to.Regions, qt.DeepEquals, test.regions)
			}
		})
	}
}

// TestBodiesPassTheirRegionsOnly guards against bodies that are taken for none because they
// have no length or are not in memory, and against requests without a body that are confined.
func TestBodiesPassTheirRegionsOnly(t *testing.T) {
	regions := []string{"r"}
	tests := []struct {
		name, body string
		chunked    bool
		noBody     bool
	}{
		{"none", "", false, true},
		{"none, in chunks", "", true, true},
		{"short", "x", false, false},
		{"short, in chunks", "x", true, false},
		{"long", strings.Repeat("x", 100<<10), false, false},
		{"long, in chunks", strings.Repeat("x", 100<<10), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			picker := &recordingPicker{ticket: yuccaadmission.Ticket{Server: "s", Addr: "127.0.0.1:1"}}
			path := &recordingPath{dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }}
			w := &fixture{}
			w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter(regions), Protocol: accountProtocol{}, Picker: picker, Path: path}))
			resp, err := w.call(func(r *fasthttp.Request) {
				r.Header.SetMethod(fasthttp.MethodPost)
				r.SetBodyString(test.body)
				if test.chunked {
					r.SetBodyStream(strings.NewReader(test.body), -1)
				}
			})
			// The response may be lost to a caller who is still sending a long body.
			if err == nil {
				c.Assert(resp.StatusCode(), qt.Equals, 503)
			}
			path.mu.Lock()
			defer path.mu.Unlock()
			c.Assert(len(path.to) > 0, qt.IsTrue)
			for _, to := range path.to {
				c.Assert(to.Regions, qt.DeepEquals, regions)
				c.Assert(to.NoBody, qt.Equals, test.noBody)
			}
		})
	}
}

// TestEmptyIntersectionIsRejected guards against a request that runs anywhere because its
// route and account have no region in common, and against a token taken for it.
func TestEmptyIntersectionIsRejected(t *testing.T) {
	c := qt.New(t)
	a := accountWithKey("a")
	a.Regions = []string{"q"}
	quota, picker := newCountingQuota(), &recordingPicker{}
	w := &fixture{}
	w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter([]string{"r"}, a), Protocol: accountProtocol{}, Picker: picker, Quota: quota}))
	resp, err := w.call(func(r *fasthttp.Request) { r.Header.Set("Key", "a") })
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode(), qt.Equals, 503)
	c.Assert(string(resp.Header.Peek(yuccarelay.ErrorHeader)), qt.Equals, yuccaerror.NoServer.String())
	c.Assert(picker.asks, qt.HasLen, 0)
	c.Assert(quota.used("a"), qt.Equals, [2]int{})
}
