package yuccarelay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
)

// newPlainServer starts a server with fixed responses and a relay in front of
// it. It returns the relay's fixture and a client that connects to the server
// directly.
func newPlainServer(b *testing.B) (w *fixture, direct *fasthttp.HostClient) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	large := make([]byte, 1<<20)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/large" {
			ctx.SetBody(large)
			return
		}
		ctx.SetBodyString("small\n")
	}}
	group := &errgroup.Group{}
	group.Go(func() error { return server.Serve(l) })
	w = &fixture{}
	w.start(b, yuccarelay.Options{}, []backend{{l.Addr().String(), 512}})
	direct = &fasthttp.HostClient{Addr: l.Addr().String(), Dial: func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }}
	b.Cleanup(func() {
		direct.CloseIdleConnections()
		_ = server.Shutdown()
		_ = group.Wait()
	})
	return w, direct
}

// BenchmarkRelay compares requests through the relay with direct requests to
// the server.
func BenchmarkRelay(b *testing.B) {
	w, direct := newPlainServer(b)
	for _, path := range []string{"/small", "/large"} {
		for _, through := range []bool{false, true} {
			client := direct
			if through {
				client = w.client
			}
			for _, callers := range []int{1, 16} {
				b.Run(fmt.Sprintf("path=%s/relay=%t/callers=%d", path, through, callers), func(b *testing.B) {
					sendRequests(b, client, path, callers)
				})
			}
		}
	}
}

func sendRequests(b *testing.B, client *fasthttp.HostClient, path string, callers int) {
	took := make([]time.Duration, b.N)
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			resp := &fasthttp.Response{}
			req := &fasthttp.Request{}
			req.SetRequestURI("http://s.example" + path)
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
					b.Errorf("%v %s", err, resp.Header.String())
				}
				took[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/1e3, "us-p50")
	b.ReportMetric(float64(took[len(took)*9/10])/1e3, "us-p90")
	b.ReportMetric(float64(took[len(took)*99/100])/1e3, "us-p99")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

// zeroReader is a response body of zeros that needs no memory.
type zeroReader struct{ left int64 }

func (z *zeroReader) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	z.left -= n
	return int(n), nil
}

// BenchmarkMemory streams 36 downloads at once and reports the heap that
// callers, relay and server use together.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int64{16 << 20, 256 << 20} {
		b.Run(fmt.Sprintf("size=%dMiB", size>>20), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				ctx.Response.Header.Set(fasthttp.HeaderETag, `"zeros"`)
				ctx.SetBodyStream(&zeroReader{size}, int(size))
			}}
			group := &errgroup.Group{}
			group.Go(func() error { return server.Serve(l) })
			w := &fixture{}
			w.start(b, yuccarelay.Options{}, []backend{{l.Addr().String(), 64}})
			for range b.N {
				b.ReportMetric(float64(peakHeap(b, w.addr, size))/(1<<20), "MiB-heap")
			}
			_ = server.Shutdown()
			_ = group.Wait()
		})
	}
}

func peakHeap(b *testing.B, addr string, size int64) uint64 {
	var base, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&base)
	var peak uint64
	var active atomic.Int64
	active.Store(36)
	group := &errgroup.Group{}
	for range 36 {
		group.Go(func() error {
			defer active.Add(-1)
			return downloadAndDiscard(addr, size)
		})
	}
	for active.Load() > 0 {
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapInuse)
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(b, group.Wait(), qt.IsNil)
	return peak - min(peak, base.HeapInuse)
}

func downloadAndDiscard(addr string, size int64) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/zeros", nil)
	if err != nil {
		return err
	}
	req.Host = "s.example"
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && n != size {
		return fmt.Errorf("%d of %d bytes", n, size)
	}
	return err
}
