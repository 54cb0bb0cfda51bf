package yuccarelay_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// fixedSource is a Source with a constant snapshot.
type fixedSource struct{ snapshot yuccasync.Snapshot }

func (f fixedSource) Snapshot() *yuccasync.Snapshot { return &f.snapshot }

// fixture is a relay of one entry in front of backend servers.
type fixture struct {
	executions *yuccafake.ExecutionLog
	servers    []*yuccafake.Server
	picker     *yuccaadmission.Picker
	relay      *yuccarelay.Relay
	client     *fasthttp.HostClient
	addr       string
}

func newFixture(t *testing.T, behaviours ...yuccafake.Behaviour) *fixture {
	return newFixtureWithOptions(t, yuccarelay.Options{}, behaviours...)
}

func newFixtureWithOptions(t *testing.T, opt yuccarelay.Options, behaviours ...yuccafake.Behaviour) *fixture {
	c := qt.New(t)
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	var backends []backend
	for _, behaviour := range behaviours {
		behaviour.ReportedBusy = -1
		s := yuccafake.NewServer("127.0.0.1:0", behaviour, w.executions)
		c.Assert(s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		w.servers = append(w.servers, s)
		backends = append(backends, backend{s.Addr(), behaviour.Slots})
	}
	w.start(t, opt, backends)
	return w
}

// backend is the address and slot count of a backend server.
type backend struct {
	addr  string
	slots int
}

// start starts a relay in front of the backends.
func (w *fixture) start(t testing.TB, opt yuccarelay.Options, backends []backend) {
	w.relay = w.newRelay(t, opt, backends)
	w.serve(t, w.relay)
}

// newRelay returns a relay in front of the backends.
func (w *fixture) newRelay(t testing.TB, opt yuccarelay.Options, backends []backend) *yuccarelay.Relay {
	rules, faults := yuccarule.Parse("rules", []byte("region a domains=a1 # t\nservice s host=s.example regions=a # t"))
	qt.Assert(t, faults, qt.HasLen, 0)
	list := []yuccastore.Instance{{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"}}
	for i, p := range backends {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: "a", Addr: p.addr, Slots: p.slots, Services: []string{"s"}})
	}
	view := yuccamembership.NewView(list)
	plan := yuccaplan.Make(yuccaplan.Input{Rules: rules, RulesVersion: 1, View: view})
	w.picker = yuccaadmission.New("e1")
	w.picker.Update(plan, rules, view)
	snapshot := yuccasync.Snapshot{Document: yuccarule.Document{Version: 1}, Rules: rules, View: view, Plan: plan}
	snapshot.Table = newLocatorTable(rules)
	opt.Region, opt.Picker, opt.Source = "a", w.picker, fixedSource{snapshot}
	return yuccarelay.New(opt)
}

// serve starts an HTTP server for the relay and a client for that server.
func (w *fixture) serve(t testing.TB, relay *yuccarelay.Relay) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	w.addr = l.Addr().String()
	server := &fasthttp.Server{Handler: relay.Serve, StreamRequestBody: true, DisablePreParseMultipartForm: true, MaxRequestBodySize: 1 << 50, NoDefaultDate: true}
	group := &errgroup.Group{}
	group.Go(func() error { return server.Serve(l) })
	w.client = &fasthttp.HostClient{
		Addr:                      "s.example",
		Dial:                      func(string) (net.Conn, error) { return net.Dial("tcp", w.addr) },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		_ = l.Close()
		_ = group.Wait()
		relay.Close()
	})
}

// call sends one request and returns its response or error.
func (w *fixture) call(change func(*fasthttp.Request)) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://s.example/hello")
	change(req)
	err := w.client.Do(req, resp)
	return resp, err
}

func TestRelayRelaysCompleteResponses(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fasthttp.Request)
		check  func(*qt.C, *fasthttp.Response)
	}{
		{"get", func(r *fasthttp.Request) { r.Header.Set(yuccafake.TokenHeader, "t1") }, func(c *qt.C, r *fasthttp.Response) {
			c.Assert(string(r.Body()), qt.Equals, "t1\n")
		}},
		{"post", func(r *fasthttp.Request) {
			r.Header.SetMethod("POST")
			r.Header.Set(yuccafake.TokenHeader, "t2")
			r.SetBodyString(strings.Repeat("b", 100_000))
		}, func(c *qt.C, r *fasthttp.Response) {
			c.Assert(string(r.Body()), qt.Equals, "t2\n")
		}},
		{"file", func(r *fasthttp.Request) { r.SetRequestURI("http://s.example/file/f?size=300000") }, func(c *qt.C, r *fasthttp.Response) {
			c.Assert(r.Body(), qt.HasLen, 300000)
			for i, b := range r.Body() {
				if b != yuccafake.FileByte("f", int64(i)) {
					c.Fatalf("byte %d differs", i)
				}
			}
		}},
		{"head", func(r *fasthttp.Request) {
			r.Header.SetMethod("HEAD")
			r.SetRequestURI("http://s.example/file/f?size=3000")
		}, func(c *qt.C, r *fasthttp.Response) {
			c.Assert(r.Header.ContentLength(), qt.Equals, 3000)
			c.Assert(r.Body(), qt.HasLen, 0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newFixture(t, yuccafake.Behaviour{Slots: 2})
			for range 3 {
				resp, err := w.call(test.change)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, 200, qt.Commentf("%s", resp))
				test.check(c, resp)
			}
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
		})
	}
}

func TestRelayErrorResponses(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fasthttp.Request)
		status int
		kind   string
		ran    string
	}{
		{"unknown host", func(r *fasthttp.Request) { r.UseHostHeader = true; r.Header.SetHost("other.example") }, 404, "unknown", "no"},
		{"bad deadline", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "soon") }, 400, "malformed", "no"},
		{"deadline expired", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "0s") }, 504, "expired", "no"},
		{"deadline during work", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "20ms") }, 504, "overdue", "maybe"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newFixture(t, yuccafake.Behaviour{Slots: 1, Work: time.Minute})
			resp, err := w.call(test.change)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, test.status)
			c.Assert(string(resp.Header.Peek("Yucca-Error")), qt.Equals, test.kind)
			c.Assert(string(resp.Header.Peek("Yucca-Run")), qt.Equals, test.ran)
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
		})
	}
}

func TestRelayRetriesOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := newFixture(t, yuccafake.Behaviour{Slots: 2}, yuccafake.Behaviour{Slots: 2})
	w.servers[0].Close()
	for i := range 10 {
		token := fmt.Sprint("t", i)
		resp, err := w.call(func(r *fasthttp.Request) {
			r.Header.SetMethod("POST")
			r.Header.Set(yuccafake.TokenHeader, token)
		})
		c.Assert(err, qt.IsNil)
		c.Assert(string(resp.Body()), qt.Equals, token+"\n")
		c.Assert(w.executions.Times(token), qt.Equals, 1)
	}
}

func TestRelayExposesTruncatedResponse(t *testing.T) {
	c := qt.New(t)
	w := newFixture(t, yuccafake.Behaviour{Slots: 1, CutBody: true})
	_, err := w.call(func(r *fasthttp.Request) { r.SetRequestURI("http://s.example/file/f?size=3000000") })
	c.Assert(err, qt.IsNotNil)
}
