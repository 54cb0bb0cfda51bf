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

type fixed struct{ snapshot yuccasync.Snapshot }

func (f fixed) Snapshot() *yuccasync.Snapshot { return &f.snapshot }

// world is one entry's relay before some backend servers.
type world struct {
	ledger  *yuccafake.ExecutionLog
	servers []*yuccafake.Server
	picker  *yuccaadmission.Picker
	client  *fasthttp.HostClient
	addr    string
}

func newWorld(t *testing.T, acts ...yuccafake.Behaviour) *world {
	return newWorldWith(t, yuccarelay.Options{}, acts...)
}

func newWorldWith(t *testing.T, opt yuccarelay.Options, acts ...yuccafake.Behaviour) *world {
	c := qt.New(t)
	w := &world{ledger: yuccafake.NewExecutionLog()}
	var places []place
	for _, act := range acts {
		act.ReportedBusy = -1
		s := yuccafake.NewServer("127.0.0.1:0", act, w.ledger)
		c.Assert(s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		w.servers = append(w.servers, s)
		places = append(places, place{s.Addr(), act.Slots})
	}
	w.open(t, opt, places)
	return w
}

// place is a backend server that the relay knows.
type place struct {
	addr  string
	slots int
}

// open puts a relay before the servers.
func (w *world) open(t testing.TB, opt yuccarelay.Options, places []place) {
	rules, faults := yuccarule.Parse("rules", []byte("region a domains=a1 # t\nservice s host=s.example regions=a # t"))
	qt.Assert(t, faults, qt.HasLen, 0)
	list := []yuccastore.Instance{{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"}}
	for i, p := range places {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: "a", Addr: p.addr, Slots: p.slots, Services: []string{"s"}})
	}
	view := yuccamembership.NewView(list)
	plan := yuccaplan.Make(yuccaplan.Input{Rules: rules, Version: 1, View: view})
	w.picker = yuccaadmission.New("e1")
	w.picker.Update(plan, rules, view)
	snapshot := yuccasync.Snapshot{Document: yuccarule.Document{Version: 1}, Rules: rules, View: view, Plan: plan}
	snapshot.Table = tableOf(rules)
	opt.Region, opt.Picker, opt.Source = "a", w.picker, fixed{snapshot}
	w.serve(t, yuccarelay.New(opt))
}

func (w *world) serve(t testing.TB, relay *yuccarelay.Relay) {
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

// call makes one request and returns its answer and how it failed.
func (w *world) call(change func(*fasthttp.Request)) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://s.example/hello")
	change(req)
	err := w.client.Do(req, resp)
	return resp, err
}

func TestRelayPassesWholeAnswers(t *testing.T) {
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
			w := newWorld(t, yuccafake.Behaviour{Slots: 2})
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

func TestRelayRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fasthttp.Request)
		status int
		kind   string
		ran    string
	}{
		{"unknown host", func(r *fasthttp.Request) { r.UseHostHeader = true; r.Header.SetHost("other.example") }, 404, "unknown", "no"},
		{"bad deadline", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "soon") }, 400, "malformed", "no"},
		{"deadline over", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "0s") }, 504, "expired", "no"},
		{"deadline in work", func(r *fasthttp.Request) { r.Header.Set("Yucca-Deadline", "20ms") }, 504, "overdue", "maybe"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, yuccafake.Behaviour{Slots: 1, Work: time.Minute})
			resp, err := w.call(test.change)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, test.status)
			c.Assert(string(resp.Header.Peek("Yucca-Error")), qt.Equals, test.kind)
			c.Assert(string(resp.Header.Peek("Yucca-Run")), qt.Equals, test.ran)
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
		})
	}
}

func TestRelayTriesAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, yuccafake.Behaviour{Slots: 2}, yuccafake.Behaviour{Slots: 2})
	w.servers[0].Close()
	for i := range 10 {
		token := fmt.Sprint("t", i)
		resp, err := w.call(func(r *fasthttp.Request) {
			r.Header.SetMethod("POST")
			r.Header.Set(yuccafake.TokenHeader, token)
		})
		c.Assert(err, qt.IsNil)
		c.Assert(string(resp.Body()), qt.Equals, token+"\n")
		c.Assert(w.ledger.Times(token), qt.Equals, 1)
	}
}

func TestRelayCutAnswerLooksCut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, yuccafake.Behaviour{Slots: 1, Cut: true})
	_, err := w.call(func(r *fasthttp.Request) { r.SetRequestURI("http://s.example/file/f?size=3000000") })
	c.Assert(err, qt.IsNotNil)
}
