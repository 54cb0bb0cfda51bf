package yuccarelay_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

const (
	downloadServers = 12
	downloadStreams = 36
	downloadRate    = 20 << 20
	// testSize keeps the test short, benchSize fills several rate windows.
	testSize  = 512 << 10
	benchSize = 2 << 20
)

// wave is what came of many downloads at once.
type wave struct {
	size    int64
	mu      sync.Mutex
	whole   int
	cut     int
	wrong   int
	stall   time.Duration
	slowest time.Duration
}

// download runs all streams against servers of which one is at 1% of its rate
// and one falls silent inside bodies.
func download(t testing.TB, opt yuccarelay.Options, size int64, deadline time.Duration) *wave {
	w := &world{ledger: yuccafake.NewExecutionLog()}
	var places []place
	for i := range downloadServers {
		act := yuccafake.Behaviour{Slots: 3, ReportedBusy: -1, Rate: downloadRate}
		switch i {
		case 3:
			act.Rate /= 100
		case 7:
			act.Silent = true
		}
		s := yuccafake.NewServer("127.0.0.1:0", act, w.ledger)
		qt.Assert(t, s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		places = append(places, place{s.Addr(), act.Slots})
	}
	w.open(t, opt, places)
	result := &wave{size: size}
	group := &errgroup.Group{}
	for i := range downloadStreams {
		group.Go(func() error { return result.stream(w.addr, fmt.Sprint("f", i), deadline) })
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	return result
}

// stream reads one body and notes the longest wait for a byte.
func (v *wave) stream(addr, name string, deadline time.Duration) error {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/file/%s?size=%d", addr, name, v.size), nil)
	if err != nil {
		return err
	}
	req.Host = "s.example"
	if deadline > 0 {
		req.Header.Set(yuccarelay.DeadlineHeader, deadline.String())
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	start := time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	count, good, stall, err := read(resp.Body, name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stall = max(v.stall, stall)
	v.slowest = max(v.slowest, time.Since(start))
	switch {
	case !good:
		v.wrong++
	case err != nil || count != v.size:
		v.cut++
	default:
		v.whole++
	}
	return nil
}

func read(body io.Reader, name string) (count int64, good bool, stall time.Duration, err error) {
	buffer := make([]byte, 32<<10)
	good = true
	for {
		asked := time.Now()
		n, err := body.Read(buffer)
		stall = max(stall, time.Since(asked))
		for _, b := range buffer[:n] {
			good = good && b == yuccafake.FileByte(name, count)
			count++
		}
		if err == io.EOF {
			return count, good, stall, nil
		}
		if err != nil {
			return count, good, stall, err
		}
	}
}

func TestRelayCarriesDownloadsOn(t *testing.T) {
	c := qt.New(t)
	v := download(t, yuccarelay.Options{}, testSize, 0)
	c.Assert(v.wrong, qt.Equals, 0)
	c.Assert(v.cut, qt.Equals, 0)
	c.Assert(v.whole, qt.Equals, downloadStreams)
}

func BenchmarkDownloads(b *testing.B) {
	tests := []struct {
		name string
		opt  yuccarelay.Options
	}{
		{"carried-on", yuccarelay.Options{}},
		{"not", yuccarelay.Options{NoResume: true}},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			for range b.N {
				v := download(b, test.opt, benchSize, 40*time.Second)
				b.ReportMetric(float64(v.whole), "whole")
				b.ReportMetric(float64(v.cut), "cut")
				b.ReportMetric(v.stall.Seconds(), "s-stall")
				b.ReportMetric(v.slowest.Seconds(), "s-slowest")
			}
		})
	}
}
