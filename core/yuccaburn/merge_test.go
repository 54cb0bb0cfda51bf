package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaburn"
)

func drawWindows(t *rapid.T) *yuccaburn.Windows {
	w := yuccaburn.NewWindows()
	for range rapid.IntRange(0, 20).Draw(t, "records") {
		before := time.Duration(rapid.Int64Range(0, int64(100*24*time.Hour)).Draw(t, "before"))
		key := rapid.SampledFrom([]yuccaburn.Key{here, there}).Draw(t, "key")
		outcome := rapid.SampledFrom([]yuccaburn.Outcome{yuccaburn.Good, yuccaburn.Shed, yuccaburn.Late, yuccaburn.Broken}).Draw(t, "outcome")
		w.Record(noon.Add(-before), key, outcome, rapid.Bool().Draw(t, "moving"))
	}
	return w
}

func merged(all ...*yuccaburn.Windows) *yuccaburn.Windows {
	w := yuccaburn.NewWindows()
	for _, one := range all {
		w.Merge(one)
	}
	return w
}

// TestMergeOrderDoesNotMatter merges three sets of windows in different orders
// and groupings, through the codec too, and expects the same report.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		x, y, z := drawWindows(rt), drawWindows(rt), drawWindows(rt)
		want := yuccaburn.NewReport(noon, goals, []*yuccaburn.Windows{x, y, z})
		body, err := merged(y, z).Encode()
		c.Assert(err, qt.IsNil)
		coded, err := yuccaburn.DecodeWindows(body, noon)
		c.Assert(err, qt.IsNil)
		others := [][]*yuccaburn.Windows{{merged(z, y, x)}, {merged(merged(y, x), z)}, {merged(x, coded)}, {coded, x}, {z, merged(x, y)}}
		for _, other := range others {
			c.Assert(yuccaburn.NewReport(noon, goals, other), qt.DeepEquals, want)
		}
	})
}

func TestDecodeRefuses(t *testing.T) {
	late := yuccaburn.NewWindows()
	late.Record(noon.Add(24*time.Hour), here, yuccaburn.Good, false)
	body, err := late.Encode()
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name string
		body []byte
		want string
	}{
		{"garbage", []byte{0xff, 0xff}, "protocol: windows: .*"},
		{"from the future", body, "protocol: windows: bucket .* is out of range"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := yuccaburn.DecodeWindows(test.body, noon)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	w := yuccaburn.NewWindows()
	w.Record(noon, here, yuccaburn.Late, true)
	body, err := w.Encode()
	qt.Assert(f, err, qt.IsNil)
	f.Add(body)
	f.Add([]byte{0x0a, 0x02, 0x1a, 0x00})
	f.Fuzz(func(_ *testing.T, body []byte) {
		w, err := yuccaburn.DecodeWindows(body, noon)
		if err == nil {
			yuccaburn.NewReport(noon, goals, []*yuccaburn.Windows{w})
		}
	})
}
