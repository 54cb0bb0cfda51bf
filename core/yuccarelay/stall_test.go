package yuccarelay

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

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
