package yuccamembership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccastore"
)

var start = time.Unix(1_000_000, 0)

func fleet(entries, servers int) []yuccastore.Instance {
	var list []yuccastore.Instance
	for i := range entries {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Domain: "a"})
	}
	for i := range servers {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer})
	}
	return list
}

func beat(name string, at time.Time) yuccamembership.Heartbeat {
	return yuccamembership.Heartbeat{Name: name, Incarnation: 1, At: at, Next: time.Second}
}

func usable(list []yuccastore.Instance) int {
	n := 0
	for _, i := range list {
		if !i.Leaving {
			n++
		}
	}
	return n
}

// TestOneSourceRemovesFew lets either the list or the heartbeats go wrong in
// any way, while the other one is well.
func TestOneSourceRemovesFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, servers := rapid.IntRange(3, 20).Draw(t, "entries"), rapid.IntRange(4, 40).Draw(t, "servers")
		full := fleet(entries, servers)
		m := yuccamembership.NewTracker()
		m.UpdateList(start, full)
		listBroken := rapid.Bool().Draw(t, "list broken")
		now := start
		lastBeat := make([]int, entries)
		for i := range lastBeat {
			lastBeat[i] = rapid.IntRange(0, 9).Draw(t, "last beat")
		}
		for second := range rapid.IntRange(1, 10).Draw(t, "seconds") {
			now = now.Add(time.Second)
			list := full
			if listBroken {
				list = rapid.Permutation(full).Draw(t, "list")[:rapid.IntRange(0, len(full)).Draw(t, "length")]
			}
			m.UpdateList(now, list)
			for i, e := range full[:entries] {
				if listBroken || second <= lastBeat[i] {
					m.ObserveHeartbeat(beat(e.Name, now))
				}
			}
			v := m.View(now)
			if got := usable(v.Entries()); got < entries-(entries+2)/3 {
				t.Fatalf("%d of %d entries left", got, entries)
			}
			if got := usable(v.Servers()); got < servers-servers/4 {
				t.Fatalf("%d of %d servers left", got, servers)
			}
		}
	})
}

func TestJoin(t *testing.T) {
	now := start.Add(20 * time.Second)
	tests := []struct {
		name  string
		learn func(*yuccamembership.Tracker)
		want  []string
	}{
		{"silent entry", func(m *yuccamembership.Tracker) { m.ObserveHeartbeat(beat("e0", start)) }, []string{"e1", "e2"}},
		{"late list, live heartbeat", func(m *yuccamembership.Tracker) {
			m.ObserveHeartbeat(beat("e0", now))
			m.UpdateList(now, fleet(3, 0)[1:])
		}, []string{"e0", "e1", "e2"}},
		{"both agree on all", func(m *yuccamembership.Tracker) {
			for _, name := range []string{"e0", "e1", "e2"} {
				m.ObserveHeartbeat(beat(name, start))
			}
			m.UpdateList(now, nil)
		}, nil},
		{"says it is leaving", func(m *yuccamembership.Tracker) {
			b := beat("e0", now)
			b.Leaving = true
			m.ObserveHeartbeat(b)
		}, []string{"e1", "e2"}},
		{"mark of the same run", func(m *yuccamembership.Tracker) {
			m.ObserveHeartbeat(beat("e0", now))
			m.Mark("e0", 1)
		}, []string{"e1", "e2"}},
		{"mark of an earlier run", func(m *yuccamembership.Tracker) {
			b := beat("e0", now)
			b.Incarnation = 2
			m.Mark("e0", 1)
			m.ObserveHeartbeat(b)
		}, []string{"e0", "e1", "e2"}},
		{"late heartbeat of an earlier run", func(m *yuccamembership.Tracker) {
			b, old := beat("e0", now), beat("e0", now)
			b.Incarnation, old.Leaving = 2, true
			m.ObserveHeartbeat(b)
			m.ObserveHeartbeat(old)
		}, []string{"e0", "e1", "e2"}},
		{"list says leaving", func(m *yuccamembership.Tracker) {
			list := fleet(3, 0)
			list[0].Leaving = true
			m.ObserveHeartbeat(beat("e0", now))
			m.UpdateList(now, list)
		}, []string{"e1", "e2"}},
		{"summary with one silent", func(m *yuccamembership.Tracker) {
			m.ApplySummary("a", m.DomainState("a", now).Hash, beat("", now), []yuccamembership.Heartbeat{beat("e2", start)})
		}, []string{"e0", "e1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := yuccamembership.NewTracker()
			m.UpdateList(start, fleet(3, 0))
			test.learn(m)
			var got []string
			for _, e := range m.View(now).Entries() {
				if !e.Leaving {
					got = append(got, e.Name)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestReports(t *testing.T) {
	m := yuccamembership.NewTracker()
	m.UpdateList(start, fleet(2, 1))
	b := beat("e0", start)
	b.Rules, b.Plan = 7, 9
	m.ObserveHeartbeat(b)
	qt.Assert(t, m.Reports(start.Add(2*time.Second)), qt.DeepEquals, []yuccamembership.Report{
		{Name: "e0", Rules: 7, Plan: 9, Age: 2, State: yuccamembership.Live},
		{Name: "e1", State: yuccamembership.Unheard},
	})
}

// TestSummaryCoversOnlyItsMembers lets two domains know different members: one
// that the summarizer has not heard of and one that it has removed.
func TestSummaryCoversOnlyItsMembers(t *testing.T) {
	now := start.Add(time.Minute)
	there, here := yuccamembership.NewTracker(), yuccamembership.NewTracker()
	there.UpdateList(start, fleet(3, 0)[:2])
	there.ObserveHeartbeat(beat("e0", now))
	there.ObserveHeartbeat(beat("e1", start))
	there.UpdateList(now, fleet(1, 0))
	here.UpdateList(start, fleet(3, 0))
	cover := there.DomainState("a", now)
	here.ApplySummary("a", cover.Hash, beat("", now), cover.Beats)
	states := map[string]string{}
	for _, r := range here.Reports(now) {
		states[r.Name] = r.State
	}
	qt.Assert(t, states, qt.DeepEquals, map[string]string{"e0": yuccamembership.Live, "e1": yuccamembership.Silent, "e2": yuccamembership.Unheard})
}
