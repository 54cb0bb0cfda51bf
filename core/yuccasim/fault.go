package yuccasim

import (
	"strconv"
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
)

// scheduleFaults schedules the faults of the scenario and the drain of one server
// after the measured part of the run. The argument is the virtual time that the run
// lasts. Faults that stop or replace instances occur after a third of that time; the
// others last for the whole run.
func (m *sim) scheduleFaults(length time.Duration) {
	faultTime := length / 3
	switch m.setup.Scenario {
	case SlowServer:
		m.servers[0].meanWork *= slowFactor
	case FalseReports:
		m.servers[0].falseReports = true
	case ColdServers:
		m.after(faultTime, m.restartThird)
	case EntryLost:
		m.after(faultTime, func() { m.failEntry(0) })
	case RegionLost:
		m.after(faultTime, m.failRegion)
	}
	m.after(m.measureUntil, m.drain)
}

// restartThird replaces every third server by a new one with cold caches.
func (m *sim) restartThird() {
	for i := 0; i < len(m.servers); i += 3 {
		old := m.servers[i]
		old.leavingAt = m.now
		s := m.addServer(i, old.Name+"-2")
		s.coldLeft = coldRequests
	}
	m.publishView(0)
}

// failEntry stops the entry with index e.
func (m *sim) failEntry(e int) {
	m.alive[e] = false
	m.publishView(viewDelay)
}

// failRegion stops all servers and entries of the last region.
func (m *sim) failRegion() {
	m.lostRegion = regionCount - 1
	for _, s := range m.servers {
		if s.region == m.lostRegion {
			m.kill(s)
		}
	}
	for e := range m.entries() {
		if entryRegion(e) == m.lostRegion {
			m.alive[e] = false
		}
	}
	m.publishView(viewDelay)
}

// drain marks the drained server as leaving.
func (m *sim) drain() {
	s := m.servers[drainedServer]
	s.leavingAt = m.now
	if s.load() == 0 {
		s.drainedAt = m.now
	}
	m.leaving[s.Name] = true
	m.publishView(0)
}

// drainedServer is the index of the server that is drained at the end of each run.
const drainedServer = 1

// publishView makes a plan from the current instances and passes both to the
// entries, the first one after delay and each further one viewStagger later.
func (m *sim) publishView(delay time.Duration) {
	view := yuccamembership.NewView(m.instances())
	m.plan = yuccaplan.Make(yuccaplan.Input{Now: m.time(), Rules: m.rules, RulesVersion: 1, View: view, Last: m.plan})
	plan := m.plan
	for e := range m.entries() {
		m.after(delay+time.Duration(e)*viewStagger, func() {
			if m.alive[e] {
				m.policies[e].update(plan, m.rules, view)
			}
		})
	}
}

// instances returns the running entries and servers.
func (m *sim) instances() []yuccastore.Instance {
	var list []yuccastore.Instance
	for e, alive := range m.alive {
		if alive {
			list = append(list, yuccastore.Instance{Name: entryName(e), Kind: yuccastore.KindEntry, Region: regionName(entryRegion(e))})
		}
	}
	for _, s := range m.servers {
		if s.stopped {
			continue
		}
		i := s.Instance
		i.Leaving = m.leaving[s.Name]
		list = append(list, i)
	}
	return list
}

// entryName returns the name of the entry with index e, a decimal number from "1".
func entryName(e int) string { return strconv.Itoa(e + 1) }

// entryIndex returns the index of the entry with a name of entryName.
func entryIndex(name string) int {
	e, _ := strconv.Atoi(name)
	return e - 1
}
