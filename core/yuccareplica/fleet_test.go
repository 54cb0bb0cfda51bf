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
			f.behind(start, []uint64{1}, fetchDelay)
		}, false},
		{"behind for too long", other, func(f *fleet) {
			f.observe(start, reader, settled(9))
			f.behind(start.Add(-stuckTimeout), []uint64{1}, fetchDelay)
		}, true},
		{"no longer behind", other, func(f *fleet) {
			f.observe(start, reader, settled(9))
			f.behind(start.Add(-stuckTimeout), []uint64{1}, fetchDelay)
			f.behind(start, []uint64{9}, fetchDelay)
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
// prefix and up to 7 under another.
func TestWhomToAsk(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fleet)
		after time.Duration
		want  string
	}{
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
			known := []uint64{5, 7}
			qt.Assert(t, f.behind(start, known, fetchDelay), qt.Equals, "")
			qt.Assert(t, f.behind(start.Add(test.after), known, fetchDelay), qt.Equals, test.want)
		})
	}
}
