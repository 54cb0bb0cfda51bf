package yuccafront_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccasync"
)

func TestLookup(t *testing.T) {
	tests := []struct {
		name  string
		query string
		// ready is whether the entry has rules.
		ready bool
		// want lists parts of the expected response.
		want []string
	}{
		{"region of the given address", "service=s&addr=10.2.0.9", true, []string{"200 OK", `{"entries":[{"addr":"10.9.0.2:80","region":"b","domain":"b1"},{"addr":"10.9.0.1:80","region":"a","domain":"a1"}],"ttl":5,"version":12}`}},
		{"region of the connection's address", "service=s", true, []string{"200 OK", `{"entries":[{"addr":"10.9.0.1:80"`}},
		{"unknown service", "service=t", true, []string{"404", "Yucca-Error: unknown", "Yucca-Run: no"}},
		{"invalid address", "service=s&addr=x", true, []string{"400", "Yucca-Error: malformed"}},
		{"no rules", "service=s", false, []string{"503", "Yucca-Error: unready", "Retry-After: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := yuccasync.Snapshot{}
			if test.ready {
				s = testSnapshot(t)
			}
			addr, stop := startListener(t, s, 0)
			defer stop()
			conn, err := net.Dial("tcp", addr)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			response, err := roundTrip(conn, "GET /where?"+test.query+" HTTP/1.1\r\nHost: x\r\n\r\n")
			c.Assert(err, qt.IsNil)
			for _, want := range test.want {
				c.Assert(response, qt.Contains, want)
			}
		})
	}
}
