package yuccareplica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccapeer"
)

var start = time.Unix(1_800_000_000, 0)

// settled is an announcement of an entry that passes on what it reads.
func settled(changed ...uint64) Announcement {
	return Announcement{Changed: changed, Contact: settleTime}
}

// TestWhoCallsThePlatform asks both entries of a failure domain whether they call
// the platform themselves.
func TestWhoCallsThePlatform(t *testing.T) {
	reader := yuccapeer.RendezvousTop("reader d", []string{"a", "b"}, 1)[0]
	other := map[string]string{"a": "b", "b": "a"}[reader]
	tests := []struct {
		name  string
		self  string
		setup func(f *fleet)
		want  bool
	}{
		{"reader", reader, func(f *fleet) { f.observe(start, "c", settled(1)) }, true},
		{"other entry", other, func(f *fleet) { f.observe(start, reader, settled(1)) }, false},
		{"nobody announces contact", other, func(f *fleet) { f.observe(start, reader, Announcement{Changed: []uint64{1}}) }, true},
		{"contact is too new", other, func(f *fleet) { f.observe(start, reader, Announcement{Contact: settleTime - 1}) }, true},
		{"announcement is too old", other, func(f *fleet) { f.observe(start.Add(-announcementTTL-1), reader, settled(1)) }, true},
		{"another domain's reader has contact", other, func(f *fleet) { f.observe(start, "c", settled(1)) }, false},
		{"behind for a short time", other, func(f *fleet) {
			f.observe(start, reader, settled(9))
			f.behind(start, []knownCopy{{seq: 1}}, nil, fetchDelay)
		}, false},
		{"behind for too long", other, func(f *fleet) {
			f.observe(start, reader, settled(9))
			f.behind(start.Add(-stuckTimeout), []knownCopy{{seq: 1}}, nil, fetchDelay)
		}, true},
		{"no longer behind", other, func(f *fleet) {
			f.observe(start, reader, settled(9))
			f.behind(start.Add(-stuckTimeout), []knownCopy{{seq: 1}}, nil, fetchDelay)
			f.behind(start, []knownCopy{{seq: 9}}, nil, fetchDelay)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(test.self, "d")
			test.setup(f)
			f.forget(start)
			qt.Assert(t, f.calls(start, []string{other, reader}), qt.Equals, test.want)
		})
	}
}

// TestWhomToAsk has changes announced to an entry that knows those up to 5 under one
// prefix, up to 7 under another and up to 9 of durable objects.
func TestWhomToAsk(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fleet)
		after time.Duration
		want  string
	}{
		{"an entry of the failure domain announces too", func(f *fleet) {
			for _, name := range []string{"b", "c", "e", "g", "near"} {
				f.observe(start, name, settled(6, 7))
			}
		}, fetchDelay, "near"},
		{"durable objects announced without settled contact", func(f *fleet) { f.observe(start, "b", Announcement{Changed: []uint64{5, 7, 10}}) }, fetchDelay, "b"},
		{"nothing is missing", func(f *fleet) { f.observe(start, "b", settled(5, 7)) }, time.Second, ""},
		{"missing for a short time", func(f *fleet) { f.observe(start, "b", settled(6, 7)) }, fetchDelay - 1, ""},
		{"missing under the first prefix", func(f *fleet) { f.observe(start, "b", settled(6, 7)) }, fetchDelay, "b"},
		{"missing under the second prefix", func(f *fleet) { f.observe(start, "b", settled(5, 8)) }, fetchDelay, "b"},
		{"announced without settled contact", func(f *fleet) { f.observe(start, "b", Announcement{Changed: []uint64{6, 7}, Contact: 1}) }, fetchDelay, ""},
		{"announcer failed to answer", func(f *fleet) {
			f.observe(start, "b", settled(6, 7))
			f.recordFailure(start, "b")
		}, fetchDelay, ""},
		{"one of two announcers failed to answer", func(f *fleet) {
			f.observe(start, "b", settled(6, 7))
			f.observe(start, "c", settled(6, 7))
			f.recordFailure(start, "b")
		}, fetchDelay, "c"},
		{"failure long ago", func(f *fleet) {
			f.observe(start, "b", settled(6, 7))
			f.recordFailure(start.Add(-fetchRetryDelay), "b")
		}, fetchDelay, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet("a", "d")
			test.setup(f)
			known := []knownCopy{{5, false}, {7, false}, {9, true}}
			near := []string{"near"}
			qt.Assert(t, f.behind(start, known, near, fetchDelay), qt.Equals, "")
			qt.Assert(t, f.behind(start.Add(test.after), known, near, fetchDelay), qt.Equals, test.want)
		})
	}
}
