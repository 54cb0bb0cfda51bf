package yuccapoison_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccasync"
)

// relayCluster is three entries' relays in front of several backend servers.
// It also picks the servers.
type relayCluster struct {
	c *qt.C
	// executions records what the servers ran.
	executions *yuccafake.ExecutionLog
	servers    []*yuccafake.Server
	platform   *yuccafake.Platform
	clients    []*fasthttp.HostClient

	mu   sync.Mutex
	next int
	// dead holds the addresses of servers that could not be reached.
	dead map[string]bool
}

// newRelayCluster starts the servers and relays; guarded adds the Guard and
// the claims of idempotency keys.
func newRelayCluster(t *testing.T, servers int, guarded bool) *relayCluster {
	p := &relayCluster{c: qt.New(t), executions: yuccafake.NewExecutionLog(), platform: yuccafake.NewPlatform(), dead: map[string]bool{}}
	for range servers {
		s := yuccafake.NewServer("127.0.0.1:0", yuccafake.Behaviour{Slots: 64, Work: 5 * time.Millisecond, ReportedBusy: -1}, p.executions)
		p.c.Assert(s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		p.servers = append(p.servers, s)
	}
	rules, faults := yuccarule.Parse("rules", []byte("region a domains=a1 # t\nservice s host=s.example regions=a # t"))
	p.c.Assert(faults, qt.HasLen, 0)
	snapshot := yuccasync.Snapshot{Document: yuccarule.Document{Version: 1}, Rules: rules}
	names := []string{"e0", "e1", "e2"}
	bus := yuccafake.NewNet()
	for _, name := range names {
		opt := yuccarelay.Options{Region: "a", Picker: p, Source: fixedSource{snapshot}, Log: zerolog.Nop()}
		if guarded {
			b, members := bus.Bus(name), func() []string { return names }
			claims := yuccaidempotency.New(yuccaidempotency.Options{Store: p.platform, Bus: b, Self: name, Members: members, Log: zerolog.Nop()})
			t.Cleanup(func() { _ = claims.Stop(context.Background()) })
			alive := yuccapoison.DialCheck(func(server string) string { return server }, time.Second)
			opt.Claims = claims
			opt.Quarantine = yuccapoison.New(yuccapoison.Options{Bus: b, Self: name, Members: members, Alive: alive, Log: zerolog.Nop()})
		}
		p.clients = append(p.clients, serve(t, yuccarelay.New(opt)))
	}
	return p
}

// fixedSource always returns the same snapshot.
type fixedSource struct{ snapshot yuccasync.Snapshot }

func (f fixedSource) Snapshot() *yuccasync.Snapshot { return &f.snapshot }

// Pick returns the reachable servers round-robin.
func (p *relayCluster) Pick(req yuccaadmission.Request) (yuccaadmission.Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.servers {
		p.next++
		addr := p.servers[p.next%len(p.servers)].Addr()
		if !p.dead[addr] && !slices.Contains(req.AvoidServers, addr) {
			return yuccaadmission.Ticket{Service: req.Service, Region: "a", Server: addr, Addr: addr}, nil
		}
	}
	return yuccaadmission.Ticket{}, yuccaerror.New(yuccaerror.NoServer, "no server")
}

// Done records which servers cannot be reached.
func (p *relayCluster) Done(t yuccaadmission.Ticket, r yuccaadmission.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Kind == yuccaerror.Unreachable {
		p.dead[t.Addr] = true
	}
}

// crashed returns how many servers have crashed.
func (p *relayCluster) crashed() int {
	n := 0
	for _, s := range p.servers {
		if !s.Alive() {
			n++
		}
	}
	return n
}

// serve runs a relay on an in-memory listener and returns a client for it.
func serve(t *testing.T, relay *yuccarelay.Relay) *fasthttp.HostClient {
	l := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: relay.Serve, StreamRequestBody: true, DisablePreParseMultipartForm: true}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(l) })
	client := &fasthttp.HostClient{
		Addr:                      "s.example",
		Dial:                      func(string) (net.Conn, error) { return l.Dial() },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		_ = l.Close()
		_ = group.Wait()
		relay.Close()
	})
	return client
}

// call sends a request through an entry and returns the error kind of its
// response: empty for a success, "closed" for a closed connection.
func (p *relayCluster) call(entry int, method, target, key, token string) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://s.example" + target)
	req.Header.SetMethod(method)
	req.Header.Set(yuccafake.TokenHeader, token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if err := p.clients[entry].Do(req, resp); err != nil {
		return "closed"
	}
	return string(resp.Header.Peek("Yucca-Error"))
}

// TestPoisonThroughDifferentEntries sends a request that crashes servers
// through one entry after the other, among other requests. With the Guard it
// crashes two servers at the most and no other request is rejected; without
// it, it crashes more.
func TestPoisonThroughDifferentEntries(t *testing.T) {
	tests := []struct {
		name       string
		method     string
		guarded    bool
		maxCrashed int
	}{
		{"post", "POST", true, 2},
		{"get", "GET", true, 2},
		{"post without guard", "POST", false, 6},
		{"get without guard", "GET", false, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newRelayCluster(t, 12, test.guarded)
			others := p.withOtherRequests(func() {
				for i := range 6 {
					p.call(i%3, test.method, "/crash", "", "poison")
				}
			})
			rejected := others[yuccaerror.Quarantined.String()] + others[yuccaerror.Shed.String()]
			t.Logf("servers crashed: %d, others by kind of answer: %v", p.crashed(), others)
			p.c.Assert(p.crashed() <= test.maxCrashed, qt.IsTrue)
			p.c.Assert(p.crashed() > 2, qt.Equals, !test.guarded)
			p.c.Assert(!test.guarded || rejected == 0, qt.IsTrue)
		})
	}
}

// withOtherRequests runs fn while other requests go through every entry, and
// returns the number of their responses by error kind.
func (p *relayCluster) withOtherRequests(fn func()) map[string]int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	var mu sync.Mutex
	kinds := map[string]int{}
	for i := range 12 {
		group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				kind := p.call(i%3, "GET", fmt.Sprintf("/other/%d/%d", i, n), "", "")
				mu.Lock()
				kinds[kind]++
				mu.Unlock()
			}
			return nil
		})
	}
	fn()
	cancel()
	_ = group.Wait()
	return kinds
}

// TestIdempotencyKeyRunsOnceAcrossEntries sends each of ten idempotency keys
// six times through three entries. With the claims each key runs once;
// without them some run twice.
func TestIdempotencyKeyRunsOnceAcrossEntries(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		t.Run(fmt.Sprint("guarded ", guarded), func(t *testing.T) {
			p := newRelayCluster(t, 3, guarded)
			var group errgroup.Group
			for i := range 60 {
				group.Go(func() error {
					key := fmt.Sprint("k", i%10)
					p.call(i%3, "POST", "/order", key, key)
					return nil
				})
			}
			p.c.Assert(group.Wait(), qt.IsNil)
			total := p.executions.Total()
			t.Logf("keys that ran: %d, more than once: %d", total.Tokens, total.DuplicatePosts)
			p.c.Assert(total.Tokens, qt.Equals, 10)
			p.c.Assert(total.DuplicatePosts > 0, qt.Equals, !guarded)
			p.c.Assert(p.call(0, "POST", "/order", "k1", "k1") == "", qt.IsTrue)
		})
	}
}
