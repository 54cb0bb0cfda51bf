package yuccarelay_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// newProxied returns a relay that reaches each of its servers through a TCP
// proxy.
func newProxied(t testing.TB, opt yuccarelay.Options, servers int, behaviour yuccafake.Behaviour, conditions yuccafake.LinkConditions) (*fixture, []*yuccafake.TCPProxy) {
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	var backends []backend
	var proxies []*yuccafake.TCPProxy
	behaviour.ReportedBusy = -1
	for range servers {
		s := yuccafake.NewServer("127.0.0.1:0", behaviour, w.executions)
		qt.Assert(t, s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		l := yuccafake.NewTCPProxy("127.0.0.1:0", s.Addr(), conditions)
		qt.Assert(t, l.Start(), qt.IsNil)
		t.Cleanup(l.Close)
		proxies = append(proxies, l)
		backends = append(backends, backend{l.Addr(), behaviour.Slots})
	}
	w.start(t, opt, backends)
	return w, proxies
}

// load sends requests from several callers. It returns the sorted latencies and
// the number of requests that no server answered with 200.
func (w *fixture) load(t testing.TB, callers, each int, method, prefix string, deadline time.Duration) ([]time.Duration, int) {
	var mu sync.Mutex
	var took []time.Duration
	failed := 0
	group := &errgroup.Group{}
	for n := range callers {
		group.Go(func() error {
			for i := range each {
				token := fmt.Sprint(prefix, n, "-", i)
				start := time.Now()
				resp, err := w.call(func(r *fasthttp.Request) {
					r.Header.SetMethod(method)
					r.Header.Set(yuccafake.TokenHeader, token)
					r.Header.Set(yuccarelay.DeadlineHeader, deadline.String())
				})
				mu.Lock()
				took = append(took, time.Since(start))
				if err != nil || resp.StatusCode() != fasthttp.StatusOK {
					failed++
				}
				mu.Unlock()
			}
			return nil
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	slices.Sort(took)
	return took, failed
}

func TestRelayRetriesOverSilentConnections(t *testing.T) {
	c := qt.New(t)
	w, proxies := newProxied(t, yuccarelay.Options{}, 4, yuccafake.Behaviour{Slots: 4, Work: time.Millisecond}, yuccafake.LinkConditions{})
	_, failed := w.load(t, 8, 50, fasthttp.MethodGet, "before", 30*time.Second)
	c.Assert(failed, qt.Equals, 0)
	for _, l := range proxies {
		l.BlackholeOpenConns()
	}
	_, failed = w.load(t, 1, 50, fasthttp.MethodGet, "after", 30*time.Second)
	c.Assert(failed, qt.Equals, 0)
	c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
}

// BenchmarkSilent has proxies that drop connections silently at a certain age.
func BenchmarkSilent(b *testing.B) {
	for _, off := range []bool{true, false} {
		for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
			b.Run(fmt.Sprintf("off=%t/%s", off, method), func(b *testing.B) {
				w, _ := newProxied(b, yuccarelay.Options{NoHedge: off}, 12, yuccafake.Behaviour{Slots: 6, Work: 2 * time.Millisecond}, yuccafake.LinkConditions{BlackholeAfter: 2 * time.Second})
				for i := range b.N {
					took, failed := w.load(b, 12, 2000, method, fmt.Sprint("t", i, "-"), 500*time.Millisecond)
					b.ReportMetric(float64(took[len(took)*99/100])/1e6, "ms-p99")
					b.ReportMetric(float64(took[len(took)*999/1000])/1e6, "ms-p999")
					b.ReportMetric(float64(took[len(took)-1])/1e6, "ms-max")
					b.ReportMetric(float64(failed)*100/float64(len(took)), "%failed")
				}
			})
		}
	}
}

// BenchmarkHedges reports the extra executions that hedged requests and retries
// cause.
func BenchmarkHedges(b *testing.B) {
	for _, callers := range []int{10, 58} {
		b.Run(fmt.Sprintf("load=%d%%", callers*100/72), func(b *testing.B) {
			w, _ := newProxied(b, yuccarelay.Options{}, 12, yuccafake.Behaviour{Slots: 6, Work: 5 * time.Millisecond}, yuccafake.LinkConditions{})
			w.client.MaxConns = callers
			for i := range b.N {
				prefix := fmt.Sprint("t", i, "-")
				const each = 400
				_, failed := w.load(b, callers, each, fasthttp.MethodGet, prefix, time.Second)
				runs := 0
				for n := range callers {
					for j := range each {
						runs += w.executions.Times(fmt.Sprint(prefix, n, "-", j))
					}
				}
				b.ReportMetric(float64(runs)*100/float64(callers*each)-100, "%extra")
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}

// lostPath is a path whose connections are lost as soon as they are silent.
type lostPath struct {
	yuccarelay.Path
	silences atomic.Int64
}

func (*lostPath) Dial(ctx context.Context, to yuccarelay.Server) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.Addr)
}

func (*lostPath) Usable(net.Conn, time.Time) bool { return true }

func (*lostPath) Responded(net.Conn, time.Time) {}

func (p *lostPath) Silent(net.Conn, string, time.Time) bool {
	p.silences.Add(1)
	return true
}

// TestRequestIsSentAgainAfterLostLink has all links hang for a while. An idempotent
// request is sent again as soon as its connection counts as lost. Another one may have
// run: it is sent once, and its response is delivered, however late.
func TestRequestIsSentAgainAfterLostLink(t *testing.T) {
	c := qt.New(t)
	path := &lostPath{}
	w, proxies := newProxied(t, yuccarelay.Options{Path: path, NoHedge: true}, 4, yuccafake.Behaviour{Slots: 4, Work: time.Millisecond}, yuccafake.LinkConditions{})
	setAll := func(p yuccafake.Partition) {
		for _, l := range proxies {
			l.SetPartition("127.0.0.1", p)
		}
	}
	for _, test := range []struct {
		method string
		runs   int
	}{{fasthttp.MethodGet, 2}, {fasthttp.MethodPost, 1}} {
		setAll(yuccafake.PartitionHang)
		timer := time.AfterFunc(900*time.Millisecond, func() { setAll(yuccafake.NotPartitioned) })
		_, failed := w.load(t, 1, 1, test.method, test.method, 5*time.Second)
		timer.Stop()
		c.Check(failed, qt.Equals, 0, qt.Commentf(test.method))
		// The bytes that a link has held arrive when it works again.
		for end := time.Now().Add(time.Second); w.executions.Times(test.method+"0-0") < test.runs && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			continue
		}
		c.Check(w.executions.Times(test.method+"0-0"), qt.Equals, test.runs, qt.Commentf(test.method))
	}
	c.Check(path.silences.Load() >= 2, qt.IsTrue)
}
