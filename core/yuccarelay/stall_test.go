package yuccarelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccaroute"
)

// stalledBody is the file that the tests of stalled downloads read.
const stalledBody = "0123456789"

// laterPicker has no free slot before a time.
type laterPicker struct{ from time.Time }

// Pick implements Picker.
func (p laterPicker) Pick(ask yuccaadmission.Request) (yuccaadmission.Ticket, error) {
	if ask.Now.Before(p.from) {
		return yuccaadmission.Ticket{}, yuccaerror.New(yuccaerror.Shed, "no free slot")
	}
	return yuccaadmission.Ticket{Server: "rest"}, nil
}

// Done implements Picker.
func (laterPicker) Done(yuccaadmission.Ticket, yuccaadmission.Result) {}

// restPath opens connections to a server that sends stalledBody from offset on.
type restPath struct {
	tcpPath
	offset int
	// silent is the number of connections to a server that does not respond.
	silent int
	group  errgroup.Group
}

// Dial implements Path.
func (p *restPath) Dial(context.Context, Server) (net.Conn, error) {
	near, far := net.Pipe()
	p.silent--
	isSilent := p.silent >= 0
	p.group.Go(func() error {
		defer func() { _ = far.Close() }()
		if isSilent {
			_, err := io.Copy(io.Discard, far)
			return err
		}
		if err := (&fasthttp.RequestHeader{}).Read(bufio.NewReader(far)); err != nil {
			return err
		}
		rest, size := stalledBody[p.offset:], len(stalledBody)
		_, err := fmt.Fprintf(far, "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\nContent-Range: bytes %d-%d/%d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			p.offset, size-1, size, len(rest), rest)
		// Unlike a TCP connection, a pipe takes no deadline once its other end is closed, even if
		// bytes are still to be read.
		_, _ = io.Copy(io.Discard, far)
		return err
	})
	return near, nil
}

// stalledStream returns a download whose server has sent nothing of the body.
func stalledStream(p Picker, path Path, server net.Conn) *responseStream {
	t := newTask(New(Options{Picker: p, Path: path}), &fasthttp.RequestCtx{})
	t.route, t.idempotent = &yuccaroute.Route{Idempotent: true}, true
	t.header, t.body = &fasthttp.RequestHeader{}, &requestBody{}
	t.header.SetHost("s.example")
	x := newExchange(newConn(server, "stalled"), func(int64, error) {}, nil)
	x.head.Set(fasthttp.HeaderETag, `"a"`)
	x.bodyLeft, x.body = int64(len(stalledBody)), x.conn.r
	return &responseStream{task: t, exchange: x, first: x, resumer: newResumer(t, x)}
}

// TestStalledDownloadsTryUntilTheTimeout guards against a download that makes no further try
// to continue, although servers are free, because tries without a slot have used up the
// number of its servers.
func TestStalledDownloadsTryUntilTheTimeout(t *testing.T) {
	const sent = 4
	tests := []struct {
		name string
		// slotFrom is when another server has a free slot, from the start of the download.
		slotFrom time.Duration
		// resumed is when the server goes on by itself, zero if never.
		resumed time.Duration
		want    string
		// end is the latest end of the download.
		end time.Duration
	}{
		{"slot soon", 2500 * time.Millisecond, 0, stalledBody, 3 * time.Second},
		{"slot after more tries than servers", 20500 * time.Millisecond, 0, stalledBody, 21 * time.Second},
		{"slot just before the timeout", 29500 * time.Millisecond, 0, stalledBody, 30 * time.Second},
		{"slot in the last wait", 31 * time.Second, 0, stalledBody, 31*time.Second + resumePickInterval},
		{"server goes on", time.Hour, 25 * time.Second, stalledBody, 25 * time.Second},
		{"no slot", time.Hour, 0, stalledBody[:sent], stallTimeout + resumePickTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				path := &restPath{offset: sent}
				near, far := net.Pipe()
				path.group.Go(func() error {
					_, err := far.Write([]byte(stalledBody[:sent]))
					if test.resumed > 0 {
						time.Sleep(test.resumed)
						_, err = far.Write([]byte(stalledBody[sent:]))
					}
					return err
				})
				got, err := io.ReadAll(stalledStream(laterPicker{start.Add(test.slotFrom)}, path, near))
				took := time.Since(start)
				c.Assert(string(got), qt.Equals, test.want)
				c.Assert(err == nil, qt.Equals, test.want == stalledBody, qt.Commentf("%v", err))
				c.Assert(took <= test.end, qt.IsTrue, qt.Commentf("%v", took))
				c.Assert(near.Close(), qt.IsNil)
				c.Assert(far.Close(), qt.IsNil)
				c.Assert(path.group.Wait(), qt.IsNil)
			})
		})
	}
}

// TestSilentServersDelayDownloadsBriefly guards against downloads that wait 30 s for a server
// that was asked to continue and does not respond, although others are free.
func TestSilentServersDelayDownloadsBriefly(t *testing.T) {
	tests := []struct {
		name string
		// usual is the latency of earlier requests, zero if there were none.
		usual time.Duration
		// end is the latest end of the download.
		end time.Duration
	}{
		{"latency unknown", 0, 2*resumeStallTimeout + resumeHeaderTimeout},
		{"short latency", time.Millisecond, 2*resumeStallTimeout + resumeHeaderTimeout},
		{"long latency", 4 * time.Second, 2*resumeStallTimeout + 10*time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				path := &restPath{silent: 1}
				near, far := net.Pipe()
				s := stalledStream(laterPicker{start}, path, near)
				for range 100 * min(test.usual, 1) {
					s.task.relay.retries.Observe(start, "", test.usual)
				}
				got, err := io.ReadAll(s)
				took := time.Since(start)
				c.Assert(err, qt.IsNil)
				c.Assert(string(got), qt.Equals, stalledBody)
				c.Assert(took <= test.end, qt.IsTrue, qt.Commentf("%v", took))
				c.Assert(near.Close(), qt.IsNil)
				c.Assert(far.Close(), qt.IsNil)
				c.Assert(path.group.Wait(), qt.IsNil)
			})
		})
	}
}

// TestWaitingDownloadsLeaveTheRetryBudget guards against requests that are not retried
// because a download has asked for a free slot again and again.
func TestWaitingDownloadsLeaveTheRetryBudget(t *testing.T) {
	const burst = 10
	for _, breaks := range []bool{false, true} {
		t.Run(fmt.Sprint("connection breaks: ", breaks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				near, far := net.Pipe()
				if breaks {
					c.Assert(far.Close(), qt.IsNil)
				}
				s := stalledStream(laterPicker{time.Now().Add(time.Hour)}, tcpPath{}, near)
				retries := s.task.relay.retries
				s.task.deadline = time.Now().Add(10 * time.Second)
				s.exchange.deadline = s.task.deadline
				_, err := io.ReadAll(s)
				c.Assert(err, qt.IsNotNil)
				allowed := 0
				for retries.Update(time.Now(), "", yuccaretry.Retry) {
					allowed++
				}
				c.Assert(allowed, qt.Equals, burst)
				c.Assert(near.Close(), qt.IsNil)
				c.Assert(far.Close(), qt.IsNil)
			})
		})
	}
}

// TestSlowServersAreGivenUpAFewTimes guards against a download from a slow server that asks
// for another one without end.
func TestSlowServersAreGivenUpAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		s := stalledStream(laterPicker{}, tcpPath{}, near)
		for range 100 {
			s.task.relay.downloadTimes.Observe(time.Now(), "", time.Millisecond)
		}
		given := 0
		for range 4 * maxResumes {
			if s.resumer.isTooSlow(1, minSlowTime) {
				given++
			}
		}
		c.Assert(given, qt.Equals, maxResumes)
		c.Assert(near.Close(), qt.IsNil)
		c.Assert(far.Close(), qt.IsNil)
	})
}
