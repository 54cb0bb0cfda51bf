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
	"yuccawell.example/core/yuccaretry"
)

const (
	downloadServers = 12
	downloadStreams = 36
	// downloadRate is the rate at which a healthy server sends each response, in
	// bytes per second.
	downloadRate = 20 << 20
	// testSize is the file size in the test, in bytes; it keeps the test short.
	testSize = 512 << 10
	// benchSize is the file size in the benchmark, in bytes; a file fills several
	// rate windows.
	benchSize = 2 << 20
)

// downloadStats counts the results of many concurrent downloads.
type downloadStats struct {
	size     int64
	mu       sync.Mutex
	complete int
	// refused counts the responses without the file.
	refused   int
	truncated int
	corrupted int
	// stall is the longest wait for a read.
	stall time.Duration
	// slowest is the longest duration of a download.
	slowest time.Duration
}

// downloadAll runs all downloads. Of the servers, one sends at 1% of its rate
// and one stops sending within bodies.
func downloadAll(t testing.TB, opt yuccarelay.Options, size int64, deadline time.Duration) *downloadStats {
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	var backends []backend
	for i := range downloadServers {
		behaviour := yuccafake.Behaviour{Slots: 3, ReportedBusy: -1, Rate: downloadRate}
		switch i {
		case 3:
			behaviour.Rate /= 100
		case 7:
			behaviour.StallBody = true
		}
		s := yuccafake.NewServer("127.0.0.1:0", behaviour, w.executions)
		qt.Assert(t, s.Start(), qt.IsNil)
		t.Cleanup(s.Close)
		backends = append(backends, backend{s.Addr(), behaviour.Slots})
	}
	w.start(t, opt, backends)
	result := &downloadStats{size: size}
	group := &errgroup.Group{}
	for i := range downloadStreams {
		group.Go(func() error { return result.download(w.addr, fmt.Sprint("f", i), deadline) })
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	return result
}

// download reads one body and records the result.
func (v *downloadStats) download(addr, name string, deadline time.Duration) error {
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
	count, intact, stall, err := readBody(resp.Body, name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stall = max(v.stall, stall)
	v.slowest = max(v.slowest, time.Since(start))
	switch {
	case resp.StatusCode != http.StatusOK:
		v.refused++
	case !intact:
		v.corrupted++
	case err != nil || count != v.size:
		v.truncated++
	default:
		v.complete++
	}
	return nil
}

// readBody reads a file to its end and returns its length, whether its content
// is intact and the longest wait for a read.
func readBody(body io.Reader, name string) (count int64, intact bool, stall time.Duration, err error) {
	buffer := make([]byte, 32<<10)
	intact = true
	for {
		start := time.Now()
		n, err := body.Read(buffer)
		stall = max(stall, time.Since(start))
		for _, b := range buffer[:n] {
			intact = intact && b == yuccafake.FileByte(name, count)
			count++
		}
		if err == io.EOF {
			return count, intact, stall, nil
		}
		if err != nil {
			return count, intact, stall, err
		}
	}
}

func TestRelayResumesDownloads(t *testing.T) {
	c := qt.New(t)
	v := downloadAll(t, yuccarelay.Options{}, testSize, 0)
	c.Assert(v.refused, qt.Equals, 0)
	c.Assert(v.corrupted, qt.Equals, 0)
	c.Assert(v.truncated, qt.Equals, 0)
	c.Assert(v.complete, qt.Equals, downloadStreams)
}

// TestDownloadsContinueAfterRefusedTries guards against downloads that are lost because
// tries without a free slot count as overload until the next request.
func TestDownloadsContinueAfterRefusedTries(t *testing.T) {
	const slots = 10
	c := qt.New(t)
	opt := yuccarelay.Options{RetryLimits: yuccaretry.Limits{RetryRatio: 0.1, Burst: 100, Rate: 1, Overload: 0.1}}
	stalling := yuccafake.Behaviour{Slots: slots, StallBody: true}
	busy := yuccafake.Behaviour{Slots: slots, Work: 1500 * time.Millisecond}
	w := newFixtureWithOptions(t, opt, stalling, busy)
	result := &downloadStats{size: testSize}
	group := &errgroup.Group{}
	for i := range 2 * slots {
		group.Go(func() error { return result.download(w.addr, fmt.Sprint("f", i), 30*time.Second) })
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(result.corrupted, qt.Equals, 0)
	c.Assert(result.complete, qt.Equals, 2*slots)
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
				v := downloadAll(b, test.opt, benchSize, 40*time.Second)
				b.ReportMetric(float64(v.complete), "whole")
				b.ReportMetric(float64(v.truncated), "cut")
				b.ReportMetric(v.stall.Seconds(), "s-stall")
				b.ReportMetric(v.slowest.Seconds(), "s-slowest")
			}
		})
	}
}
