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

func instanceList(entries, servers int) []yuccastore.Instance {
	var list []yuccastore.Instance
	for i := range entries {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Domain: "a"})
	}
	for i := range servers {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer})
	}
	return list
}

func heartbeat(name string, at time.Time) yuccamembership.Heartbeat {
	return yuccamembership.Heartbeat{Name: name, Incarnation: 1, At: at, MaxInterval: time.Second}
}

func countActive(list []yuccastore.Instance) int {
	n := 0
	for _, i := range list {
		if !i.Leaving {
			n++
		}
	}
	return n
}

// TestOneFaultySourceRemovesFewInstances makes either the list or the
// heartbeats wrong in a random way while the other source is right.
func TestOneFaultySourceRemovesFewInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, servers := rapid.IntRange(3, 20).Draw(t, "entries"), rapid.IntRange(4, 40).Draw(t, "servers")
		full := instanceList(entries, servers)
		m := yuccamembership.NewTracker()
		m.UpdateList(start, full)
		listBroken := rapid.Bool().Draw(t, "list broken")
		now := start
		lastHeartbeat := make([]int, entries)
		for i := range lastHeartbeat {
			lastHeartbeat[i] = rapid.IntRange(0, 9).Draw(t, "last heartbeat")
		}
		for second := range rapid.IntRange(1, 10).Draw(t, "seconds") {
			now = now.Add(time.Second)
			list := full
			if listBroken {
				list = rapid.Permutation(full).Draw(t, "list")[:rapid.IntRange(0, len(full)).Draw(t, "length")]
			}
			m.UpdateList(now, list)
			for i, e := range full[:entries] {
				if listBroken || second <= lastHeartbeat[i] {
					m.ObserveHeartbeat(heartbeat(e.Name, now))
				}
			}
			v := m.View(now)
			if got := countActive(v.Entries()); got < entries-(entries+2)/3 {
				t.Fatalf("%d of %d entries are usable", got, entries)
			}
			if got := countActive(v.Servers()); got < servers-servers/4 {
				t.Fatalf("%d of %d servers are usable", got, servers)
			}
		}
	})
}

func TestViewCombinesListAndHeartbeats(t *testing.T) {
	now := start.Add(20 * time.Second)
	tests := []struct {
		name   string
		update func(*yuccamembership.Tracker)
		want   []string
	}{
		{"silent entry", func(m *yuccamembership.Tracker) { m.ObserveHeartbeat(heartbeat("e0", start)) }, []string{"e1", "e2"}},
		{"missing from list, live heartbeat", func(m *yuccamembership.Tracker) {
			m.ObserveHeartbeat(heartbeat("e0", now))
			m.UpdateList(now, instanceList(3, 0)[1:])
		}, []string{"e0", "e1", "e2"}},
		{"list and heartbeats agree that all are gone", func(m *yuccamembership.Tracker) {
			for _, name := range []string{"e0", "e1", "e2"} {
				m.ObserveHeartbeat(heartbeat(name, start))
			}
			m.UpdateList(now, nil)
		}, nil},
		{"heartbeat says leaving", func(m *yuccamembership.Tracker) {
			b := heartbeat("e0", now)
			b.Leaving = true
			m.ObserveHeartbeat(b)
		}, []string{"e1", "e2"}},
		{"leaving mark of the same incarnation", func(m *yuccamembership.Tracker) {
			m.ObserveHeartbeat(heartbeat("e0", now))
			m.MarkLeaving("e0", 1)
		}, []string{"e1", "e2"}},
		{"leaving mark of an earlier incarnation", func(m *yuccamembership.Tracker) {
			b := heartbeat("e0", now)
			b.Incarnation = 2
			m.MarkLeaving("e0", 1)
			m.ObserveHeartbeat(b)
		}, []string{"e0", "e1", "e2"}},
		{"late heartbeat of an earlier incarnation", func(m *yuccamembership.Tracker) {
			b, old := heartbeat("e0", now), heartbeat("e0", now)
			b.Incarnation, old.Leaving = 2, true
			m.ObserveHeartbeat(b)
			m.ObserveHeartbeat(old)
		}, []string{"e0", "e1", "e2"}},
		{"list says leaving", func(m *yuccamembership.Tracker) {
			list := instanceList(3, 0)
			list[0].Leaving = true
			m.ObserveHeartbeat(heartbeat("e0", now))
			m.UpdateList(now, list)
		}, []string{"e1", "e2"}},
		{"summary with a silent entry", func(m *yuccamembership.Tracker) {
			m.ApplySummary("a", m.DomainState("a", now).Hash, heartbeat("", now), []yuccamembership.Heartbeat{heartbeat("e2", start)})
		}, []string{"e0", "e1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := yuccamembership.NewTracker()
			m.UpdateList(start, instanceList(3, 0))
			test.update(m)
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
	m.UpdateList(start, instanceList(2, 1))
	b := heartbeat("e0", start)
	b.Rules, b.Plan = 7, 9
	m.ObserveHeartbeat(b)
	qt.Assert(t, m.Reports(start.Add(2*time.Second)), qt.DeepEquals, []yuccamembership.Report{
		{Name: "e0", Rules: 7, Plan: 9, Age: 2, State: yuccamembership.Live},
		{Name: "e1", State: yuccamembership.StateUnknown},
	})
}

// TestSummaryAppliesOnlyToItsMembers lets two failure domains know different
// members: the gateway has never received a heartbeat of one and has removed
// another.
func TestSummaryAppliesOnlyToItsMembers(t *testing.T) {
	now := start.Add(time.Minute)
	remote, local := yuccamembership.NewTracker(), yuccamembership.NewTracker()
	remote.UpdateList(start, instanceList(3, 0)[:2])
	remote.ObserveHeartbeat(heartbeat("e0", now))
	remote.ObserveHeartbeat(heartbeat("e1", start))
	remote.UpdateList(now, instanceList(1, 0))
	local.UpdateList(start, instanceList(3, 0))
	state := remote.DomainState("a", now)
	local.ApplySummary("a", state.Hash, heartbeat("", now), state.Heartbeats)
	states := map[string]string{}
	for _, r := range local.Reports(now) {
		states[r.Name] = r.State
	}
	qt.Assert(t, states, qt.DeepEquals, map[string]string{"e0": yuccamembership.Live, "e1": yuccamembership.Silent, "e2": yuccamembership.StateUnknown})
}
