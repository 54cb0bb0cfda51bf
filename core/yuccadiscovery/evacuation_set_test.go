package yuccadiscovery_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

// evacuations returns a page with evacuations of failure domains; a name that begins
// with "-" is a deletion.
func evacuations(names ...string) yuccastore.Page {
	var p yuccastore.Page
	for _, name := range names {
		domain, deleted := strings.CutPrefix(name, "-")
		p.Objects = append(p.Objects, yuccastore.Object{Key: "evacuations/" + domain, Deleted: deleted})
	}
	return p
}

// TestEvacuationSet applies events and checks which failure domains are evacuated
// afterwards, at the time of the last event and when the grace period is over.
func TestEvacuationSet(t *testing.T) {
	listed := func(s float64, names ...string) yuccawatch.Event {
		return yuccawatch.Listed{At: at(s), Page: evacuations(names...)}
	}
	changed := func(s float64, names ...string) yuccawatch.Event {
		return yuccawatch.Changed{At: at(s), Page: evacuations(names...)}
	}
	restored := func(s float64) yuccawatch.Event { return yuccawatch.Restored{At: at(s)} }
	tests := []struct {
		name       string
		events     []yuccawatch.Event
		last       float64
		now, later string
	}{
		{"listed", []yuccawatch.Event{listed(0, "a", "b")}, 0, "a b", "a b"},
		{"ended", []yuccawatch.Event{listed(0, "a", "b"), changed(1, "-a")}, 1, "b", "b"},
		{"missing from a list", []yuccawatch.Event{listed(0, "a"), listed(1)}, 1, "", ""},
		{"missing from a copy", []yuccawatch.Event{listed(0, "a"), restored(1), listed(1)}, 1, "a", ""},
		{"missing from a copy that another entry has read", []yuccawatch.Event{listed(0, "a"), restored(1), changed(1, "-a")}, 1, "a", ""},
		{"written again", []yuccawatch.Event{listed(0, "a"), restored(1), listed(1), changed(2, "a")}, 2, "a", "a"},
		{"ended long after a copy", []yuccawatch.Event{listed(0, "a"), restored(1), listed(1, "a"), changed(20, "-a")}, 20, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := yuccadiscovery.NewEvacuationSet("evacuations/")
			for _, event := range test.events {
				s.Update(event)
			}
			check := func(now time.Time, want string) {
				s.Tick(now)
				qt.Check(t, strings.Join(slices.Sorted(maps.Keys(s.Domains())), " "), qt.Equals, want)
			}
			check(at(test.last), test.now)
			check(at(test.last).Add(yuccadiscovery.RewriteGrace), test.later)
		})
	}
}
