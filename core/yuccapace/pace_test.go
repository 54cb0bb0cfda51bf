package yuccapace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccapace"
)

var start = time.Unix(1_800_000_000, 0)

// feed returns the pace after a sample every 100 ms, and the time after the last one.
func feed(p yuccapace.Pace, from time.Time, n int, s yuccapace.Sample) (yuccapace.Pace, time.Time) {
	for range n {
		p = p.With(from, s)
		from = from.Add(100 * time.Millisecond)
	}
	return p.At(from), from
}

// TestDistress guards against a ramp that goes on while the server cannot take more, and
// against one that is held back by cold objects.
func TestDistress(t *testing.T) {
	tests := []struct {
		name   string
		sample yuccapace.Sample
		want   bool
	}{
		{"in order", yuccapace.Sample{Latency: 60 * time.Millisecond, Usual: 60 * time.Millisecond, Waiting: 2, Slots: 6}, false},
		{"cold object", yuccapace.Sample{Latency: 200 * time.Millisecond, Usual: 200 * time.Millisecond}, false},
		{"usual latency unknown", yuccapace.Sample{Latency: time.Second}, false},
		{"nothing known", yuccapace.Sample{}, false},
		{"refused", yuccapace.Sample{Refused: true}, true},
		{"slow", yuccapace.Sample{Latency: 130 * time.Millisecond, Usual: 60 * time.Millisecond}, true},
		{"long queue", yuccapace.Sample{Waiting: 7, Slots: 6}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.sample.Distress(), qt.Equals, test.want)
			p, _ := feed(yuccapace.New(time.Time{}), start, 40, test.sample)
			c.Assert(p.Active(), qt.Equals, test.want)
			c.Assert(p.Fraction() < 0.25, qt.Equals, test.want, qt.Commentf("%v", p.Fraction()))
		})
	}
}

// TestSlowStartThenRamp guards against a server that is given its full part at the end of
// slow start, and against one whose distress in slow start is forgotten.
func TestSlowStartThenRamp(t *testing.T) {
	c := qt.New(t)
	end := start.Add(2 * time.Second)
	good, _ := feed(yuccapace.New(end), start, 19, yuccapace.Sample{})
	c.Assert(good.Fraction(), qt.Equals, 1.0)
	bad, _ := feed(yuccapace.New(end), start, 19, yuccapace.Sample{Refused: true})
	c.Assert(bad.Fraction() < 0.3, qt.IsTrue)
	c.Assert(good.At(end).Fraction(), qt.Equals, 0.5)
	c.Assert(bad.At(end).Fraction() < 0.2, qt.IsTrue)
	listed := good.WithSlowUntil(time.Time{}).At(start.Add(1900 * time.Millisecond))
	c.Assert(listed.Fraction(), qt.Equals, 0.5, qt.Commentf("the list says that slow start has ended"))
}

// TestRampEnds guards against a slow server that is ramped for ever, and a server that gets
// no requests, as at one of many entries, and is never ramped up.
func TestRampEnds(t *testing.T) {
	c := qt.New(t)
	slow, _ := feed(yuccapace.New(time.Time{}), start, 201, yuccapace.Sample{Refused: true})
	c.Assert(slow.Active(), qt.IsFalse)
	quiet := yuccapace.New(time.Time{}).At(start)
	c.Assert(quiet.At(start.Add(4*time.Second)).Active(), qt.IsTrue)
	c.Assert(quiet.At(start.Add(6*time.Second)).Active(), qt.IsFalse)
}

// TestOneBurstHalvesOnce guards against a fraction that falls to the least one because many
// requests on their way fail for one cause.
func TestOneBurstHalvesOnce(t *testing.T) {
	p := yuccapace.New(time.Time{})
	for range 10 {
		p = p.With(start, yuccapace.Sample{Refused: true})
	}
	qt.Assert(t, p.Fraction(), qt.Equals, 0.25)
}

// TestFractionStaysInBounds sends any results at any times, also such that go back. A
// fraction above 1 would exceed the configured rate, and one of 0 would never rise.
func TestFractionStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := yuccapace.New(start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "slow start")) * time.Millisecond))
		for range rapid.IntRange(1, 50).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(-500, 1500).Draw(t, "ms")) * time.Millisecond)
			p = p.With(now, yuccapace.Sample{Refused: rapid.Bool().Draw(t, "refused")})
			if f := p.Fraction(); f < 0.05 || f > 1 {
				t.Fatalf("fraction %v", f)
			}
		}
	})
}
