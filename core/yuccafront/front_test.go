package yuccafront_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

type fixed struct{ snapshot yuccasync.Snapshot }

func (f fixed) Snapshot() *yuccasync.Snapshot { return &f.snapshot }

func known(t *testing.T) yuccasync.Snapshot {
	rules, faults := yuccarule.Parse("r", []byte("region a domains=a1 # t\nregion b domains=b1 # t\nservice s host=s regions=a,b # t\nblock 10.2.0.0/16 site=b # t\n"))
	qt.Assert(t, faults, qt.HasLen, 0)
	view := yuccamembership.NewView([]yuccastore.Instance{
		{Name: "e1", Kind: yuccastore.KindEntry, Addr: "10.9.0.1:80", Region: "a", Domain: "a1"},
		{Name: "e2", Kind: yuccastore.KindEntry, Addr: "10.9.0.2:80", Region: "b", Domain: "b1"},
		{Name: "e3", Kind: yuccastore.KindEntry, Addr: "10.9.0.3:80", Region: "b", Domain: "b1", Leaving: true},
	})
	return yuccasync.Snapshot{Document: yuccarule.Document{Version: 12}, Rules: rules, View: view, Table: yuccalocator.New(rules, "a")}
}

// open starts a front whose relay answers with the path, and returns its
// address and what stops it.
func open(t *testing.T, s yuccasync.Snapshot, linger time.Duration) (string, func()) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := socket.Addr().String()
	_ = socket.Close()
	relay := func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Path()) }
	f := yuccafront.New(yuccafront.Settings{Addr: addr, TTL: 5 * time.Second, DrainDelay: linger}, fixed{s}, relay, zerolog.Nop())
	group := &errgroup.Group{}
	qt.Assert(t, f.Start(context.Background(), group), qt.IsNil)
	return addr, func() {
		qt.Assert(t, f.Stop(context.Background()), qt.IsNil)
		<-f.Done()
		qt.Assert(t, group.Wait(), qt.IsNil)
	}
}

// ask sends bytes on a connection and returns the whole answer.
func ask(c net.Conn, text string) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return "", err
	}
	return resp.String(), nil
}

func TestWhere(t *testing.T) {
	tests := []struct {
		name, query string
		ready       bool
		want        []string
	}{
		{"near", "service=s&addr=10.2.0.9", true, []string{"200 OK", `{"entries":[{"addr":"10.9.0.2:80","region":"b","domain":"b1"},{"addr":"10.9.0.1:80","region":"a","domain":"a1"}],"ttl":5,"version":12}`}},
		{"peer address", "service=s", true, []string{"200 OK", `{"entries":[{"addr":"10.9.0.1:80"`}},
		{"unknown service", "service=t", true, []string{"404", "Yucca-Error: unknown", "Yucca-Run: no"}},
		{"bad address", "service=s&addr=x", true, []string{"400", "Yucca-Error: malformed"}},
		{"no rules", "service=s", false, []string{"503", "Yucca-Error: unready", "Retry-After: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := yuccasync.Snapshot{}
			if test.ready {
				s = known(t)
			}
			addr, stop := open(t, s, 0)
			defer stop()
			conn, err := net.Dial("tcp", addr)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			got, err := ask(conn, "GET /where?"+test.query+" HTTP/1.1\r\nHost: x\r\n\r\n")
			c.Assert(err, qt.IsNil)
			for _, want := range test.want {
				c.Assert(got, qt.Contains, want)
			}
		})
	}
}

// TestStopClosesConnectionsByAnswer keeps a connection open over a stop. The
// entry goes on serving, and says in its answer that the connection ends, so
// that no request is sent on a connection that is about to be closed.
func TestStopClosesConnectionsByAnswer(t *testing.T) {
	c := qt.New(t)
	addr, stop := open(t, known(t), 300*time.Millisecond)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	got, err := ask(conn, "GET /one HTTP/1.1\r\nHost: s\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Not(qt.Contains), "Connection: close")
	group := &errgroup.Group{}
	group.Go(func() error {
		stop()
		return nil
	})
	for !strings.Contains(got, "Connection: close") {
		next, err := ask(conn, "GET /two HTTP/1.1\r\nHost: s\r\n\r\n")
		c.Assert(err, qt.IsNil, qt.Commentf("closed without a word after %q", got))
		c.Assert(next, qt.Contains, "/two")
		got = next
	}
	c.Assert(group.Wait(), qt.IsNil)
}
