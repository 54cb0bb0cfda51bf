package yuccatunnel_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccatunnel"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// TestDetector feeds a detector the results of connections, and then a tunnel to a server
// whose direct connection has just failed.
func TestDetector(t *testing.T) {
	failed := func(at time.Duration, server string) func(*yuccatunnel.Detector) {
		return func(d *yuccatunnel.Detector) { d.Failed(start.Add(at), server) }
	}
	responded := func(opened time.Duration) func(*yuccatunnel.Detector) {
		return func(d *yuccatunnel.Detector) { d.Responded(start.Add(opened)) }
	}
	tests := []struct {
		name  string
		steps []func(*yuccatunnel.Detector)
		// cutOff is whether the tunnel shows that the entry is cut off.
		cutOff bool
	}{
		{"nothing failed", nil, false},
		{"one server", []func(*yuccatunnel.Detector){failed(0, "a"), failed(time.Second, "a")}, false},
		{"two servers", []func(*yuccatunnel.Detector){failed(0, "a"), failed(time.Second, "b")}, true},
		{"two servers at different times", []func(*yuccatunnel.Detector){failed(0, "a"), failed(time.Minute, "b")}, false},
		{"a new connection works", []func(*yuccatunnel.Detector){failed(0, "a"), failed(0, "b"), responded(time.Second)}, false},
		{"an old connection still works", []func(*yuccatunnel.Detector){failed(0, "a"), failed(0, "b"), responded(-time.Second)}, true},
		{"failing again after a response", []func(*yuccatunnel.Detector){failed(0, "a"), failed(0, "b"), responded(time.Second), failed(2*time.Second, "a"), failed(2*time.Second, "b")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := &yuccatunnel.Detector{}
			for _, step := range test.steps {
				step(d)
			}
			now := start.Add(2 * time.Minute)
			c.Assert(d.Tunneled(now), qt.Equals, test.cutOff)
			c.Assert(d.CutOff(), qt.Equals, test.cutOff)
			c.Assert(d.Tunneled(now), qt.IsFalse, qt.Commentf("a second tunnel changes nothing"))
		})
	}
}

// TestDetectorTrustsNoConnectionFromBefore checks which direct connections may be used
// around a partition.
func TestDetectorTrustsNoConnectionFromBefore(t *testing.T) {
	c := qt.New(t)
	d := &yuccatunnel.Detector{}
	c.Assert(d.Trusts(start), qt.IsTrue)
	d.Failed(start, "a")
	d.Failed(start, "b")
	c.Assert(d.Trusts(start), qt.IsTrue)
	d.Tunneled(start.Add(time.Second))
	c.Assert(d.Trusts(start.Add(2*time.Second)), qt.IsFalse)
	c.Assert(d.Reached(start.Add(3*time.Second)), qt.IsTrue)
	c.Assert(d.Trusts(start), qt.IsFalse)
	c.Assert(d.Trusts(start.Add(4*time.Second)), qt.IsTrue)
	c.Assert(d.Reached(start.Add(5*time.Second)), qt.IsFalse)
	c.Assert(d.Trusts(start.Add(4*time.Second)), qt.IsTrue)
}
