package yuccaadmin_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmin"
)

// TestPages asks for a page that works, one that fails, one that has no JSON form and one
// that does not exist. Failures are logged.
func TestPages(t *testing.T) {
	pages := map[string]yuccaadmin.Page{
		"/works":   func() (any, error) { return map[string]int{"a": 1}, nil },
		"/fails":   func() (any, error) { return nil, errors.New("no status yet") },
		"/channel": func() (any, error) { return make(chan int), nil },
	}
	tests := []struct {
		path, body, logged string
		status             int
	}{
		{"/works", `{"a":1}`, "", fasthttp.StatusOK},
		{"/fails", "", "no status yet", fasthttp.StatusInternalServerError},
		{"/channel", "", "unsupported type", fasthttp.StatusInternalServerError},
		{"/other", "", "", fasthttp.StatusNotFound},
		{"/live", "live\n", "", fasthttp.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			probe := func() (bool, string) { return true, "" }
			handler := yuccaadmin.Handler(prometheus.NewRegistry(), probe, pages, zerolog.New(&log))
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI(test.path)
			handler(&ctx)
			c.Assert(ctx.Response.StatusCode(), qt.Equals, test.status)
			c.Assert(string(ctx.Response.Body()), qt.Equals, test.body)
			c.Assert(log.Len() > 0, qt.Equals, test.logged != "", qt.Commentf("%s", log.String()))
			c.Assert(log.String(), qt.Contains, test.logged)
		})
	}
}
