package yuccasim

import (
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
)

// schedule plans the faults of the run's case and the drain at its end.
func (m *sim) schedule(length time.Duration) {
	middle := length / 3
	switch m.set.Scenario {
	case Slow:
		m.servers[0].work *= slowFactor
	case FalseReports:
		m.servers[0].lying = true
	case ColdThird:
		m.after(middle, m.restartThird)
	case EntryGone:
		m.after(middle, func() { m.loseEntry(0) })
	case RegionLost:
		m.after(middle, m.loseRegion)
	}
	m.after(m.end, m.drain)
}

// restartThird replaces every third server by a cold one.
func (m *sim) restartThird() {
	for i := 0; i < len(m.servers); i += 3 {
		old := m.servers[i]
		old.leaving = m.now
		s := m.addServer(i, old.Name+"-2")
		s.cold = coldRequests
	}
	m.publish(0)
}

func (m *sim) loseEntry(e int) {
	m.alive[e] = false
	m.publish(listAge)
}

func (m *sim) loseRegion() {
	m.lost = regionCount - 1
	for _, s := range m.servers {
		if s.region == m.lost {
			m.kill(s)
		}
	}
	for e := range entryCount {
		if entryRegion(e) == m.lost {
			m.alive[e] = false
		}
	}
	m.publish(listAge)
}

// drain marks one server as leaving.
func (m *sim) drain() {
	s := m.servers[drainedServer]
	s.leaving = m.now
	if s.load() == 0 {
		s.drained = m.now
	}
	m.leaving[s.Name] = true
	m.publish(0)
}

// drainedServer is the server that leaves at the end of each run.
const drainedServer = 1

// publish gives entries a list of what lives, one after the other.
func (m *sim) publish(age time.Duration) {
	view := yuccamembership.NewView(m.list())
	m.plan = yuccaplan.Make(yuccaplan.Input{Now: m.time(), Rules: m.rules, Version: 1, View: view, Last: m.plan})
	plan := m.plan
	for e := range entryCount {
		m.after(age+time.Duration(e)*listStagger, func() {
			if m.alive[e] {
				m.policies[e].update(plan, m.rules, view)
			}
		})
	}
}

func (m *sim) list() []yuccastore.Instance {
	var list []yuccastore.Instance
	for e, alive := range m.alive {
		if alive {
			list = append(list, yuccastore.Instance{Name: entryName(e), Kind: yuccastore.KindEntry, Region: regionName(entryRegion(e))})
		}
	}
	for _, s := range m.servers {
		if s.dead {
			continue
		}
		i := s.Instance
		i.Leaving = m.leaving[s.Name]
		list = append(list, i)
	}
	return list
}

func entryName(e int) string { return string(rune('1' + e)) }
