package yuccarelay_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccarelay"
)

// TestConstraintsOfOneRequestDoNotBlockServer guards against servers that are left out for
// all callers because one caller has too little time left for a connection, or because no
// entry may carry its request.
func TestConstraintsOfOneRequestDoNotBlockServer(t *testing.T) {
	const dialTime = 100 * time.Millisecond
	tests := []struct {
		name       string
		deadline   time.Duration
		err        error
		noResponse bool
	}{
		{"the caller's time ends first", dialTime / 4, context.DeadlineExceeded, false},
		{"the connection fails first", 100 * dialTime, context.DeadlineExceeded, true},
		{"no entry may carry the request", 100 * dialTime, yuccarelay.ErrNoCarrier, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			picker := &recordingPicker{ticket: yuccaadmission.Ticket{Server: "s", Addr: "127.0.0.1:1"}}
			path := &recordingPath{dial: func(ctx context.Context) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTime)
				defer cancel()
				<-ctx.Done()
				return nil, test.err
			}}
			w := &fixture{}
			w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter(nil), Protocol: accountProtocol{}, Picker: picker, Path: path}))
			_, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccarelay.DeadlineHeader, test.deadline.String()) })
			c.Assert(err, qt.IsNil)
			c.Assert(len(picker.results) > 0, qt.IsTrue)
			for _, r := range picker.results {
				c.Check(r.NoResponse, qt.Equals, test.noResponse)
				c.Check(r.Failed, qt.Equals, test.noResponse)
			}
		})
	}
}
