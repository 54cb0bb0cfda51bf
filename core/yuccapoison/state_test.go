package yuccapoison_test

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccapoison"
)

// mutant breaks one part of the mechanism.
type mutant int

const (
	sound mutant = iota
	// noTurns lets all suspects run at once.
	noTurns
	// noNews keeps deaths to the entry that saw them.
	noNews
	// anyDeath stops a print after one death.
	anyDeath
)

var limits = yuccapoison.Limits{Suspicion: time.Hour, Quarantine: time.Hour, Passes: 16, Prints: 100, ProbeTTL: time.Hour}

// model is some entries before some servers, with killers among the requests.
type model struct {
	t       *rapid.T
	mutant  mutant
	now     time.Time
	entries []yuccapoison.State
	flights []flight
	retries []yuccapoison.Fingerprint
	turns   map[yuccapoison.Fingerprint]bool
	lost    map[yuccapoison.Fingerprint]int
	killers int
	// causes counts what has made servers die.
	causes map[string]bool
	next   yuccapoison.Fingerprint
	fault  string
}

type flight struct {
	print   yuccapoison.Fingerprint
	entry   int
	server  string
	started time.Time
}

const servers = 4

func simulate(t *rapid.T, broken mutant, killers, spontaneous int) string {
	m := &model{t: t, mutant: broken, now: time.Unix(1_800_000_000, 0), killers: killers, next: 100,
		turns: map[yuccapoison.Fingerprint]bool{}, lost: map[yuccapoison.Fingerprint]int{}, causes: map[string]bool{}}
	for range 2 + m.pick(3, "entries") {
		m.entries = append(m.entries, yuccapoison.NewState(limits))
	}
	for range 200 {
		m.now = m.now.Add(time.Millisecond)
		switch action := m.pick(10, "action"); {
		case action < 3:
			m.next++
			m.send(m.next)
		case action < 5 && killers > 0:
			m.send(yuccapoison.Fingerprint(1 + m.pick(killers, "killer")))
		case action < 7 && len(m.retries) > 0:
			i := m.pick(len(m.retries), "retry")
			p := m.retries[i]
			m.retries = slices.Delete(m.retries, i, i+1)
			m.send(p)
		case action == 7 && spontaneous > 0:
			spontaneous--
			m.causes["spontaneous"] = true
			m.die(fmt.Sprint("s", m.pick(servers, "server")))
		case len(m.flights) > 0:
			m.end(m.flights[m.pick(len(m.flights), "flight")])
		}
		if m.fault != "" {
			return m.fault
		}
	}
	return ""
}

// pick draws a number below n bit by bit, since rapid's ranges prefer their ends.
func (m *model) pick(n int, label string) int {
	v := 0
	for range bits.Len(uint(n-1)) + 1 {
		v *= 2
		if rapid.Bool().Draw(m.t, label) {
			v++
		}
	}
	return v % n
}

// send gives a request to an entry; a suspect without its turn comes again.
func (m *model) send(p yuccapoison.Fingerprint) {
	killer := int(p) <= m.killers
	if killer && slices.ContainsFunc(m.flights, func(f flight) bool { return f.print == p }) {
		return
	}
	e := m.pick(len(m.entries), "entry")
	s := m.entries[e]
	if s.Quarantined(p, m.now) {
		if !killer && len(m.causes) < 2 {
			m.fault = fmt.Sprintf("innocent %d is refused", p)
		}
		return
	}
	dead, suspect := s.Suspect(p, m.now)
	if suspect && m.mutant == anyDeath && !killer {
		m.fault = fmt.Sprintf("innocent %d is refused", p)
		return
	}
	if suspect && m.mutant != noTurns {
		var ok bool
		if m.entries[0], ok = m.entries[0].AcquireProbe(p, dead, m.now); !ok {
			if !killer {
				m.retries = append(m.retries, p)
			}
			return
		}
		m.turns[p] = true
	}
	m.flights = append(m.flights, flight{p, e, fmt.Sprint("s", m.pick(servers, "server")), m.now})
}

// end lets an innocent request finish, and a killer kill its server.
func (m *model) end(f flight) {
	if int(f.print) <= m.killers {
		m.causes[fmt.Sprint(f.print)] = true
		if m.lost[f.print]++; m.lost[f.print] > 2 {
			m.fault = fmt.Sprintf("killer %d has killed %d servers", f.print, m.lost[f.print])
		}
		m.die(f.server)
		return
	}
	m.flights = slices.DeleteFunc(m.flights, func(other flight) bool { return other == f })
	m.entries[f.entry], _ = m.entries[f.entry].Update(yuccapoison.Passed{Fingerprint: f.print})
	m.over(f.print)
}

// die ends every request on a server, in any order; its name lives again.
func (m *model) die(server string) {
	at := m.now
	for {
		var on []int
		for i, f := range m.flights {
			if f.server == server {
				on = append(on, i)
			}
		}
		if len(on) == 0 {
			return
		}
		i := on[m.pick(len(on), "order")]
		f := m.flights[i]
		m.flights = slices.Delete(m.flights, i, i+1)
		d := yuccapoison.ServerDied{Fingerprint: f.print, Server: server, Started: f.started, At: at}
		for e := range m.entries {
			if e == f.entry || m.mutant != noNews {
				m.entries[e], _ = m.entries[e].Update(d)
			}
		}
		m.over(f.print)
		if int(f.print) > m.killers {
			m.retries = append(m.retries, f.print)
		}
	}
}

func (m *model) over(p yuccapoison.Fingerprint) {
	if m.turns[p] {
		delete(m.turns, p)
		m.entries[0], _ = m.entries[0].Update(yuccapoison.ProbeReleased{Fingerprint: p})
	}
}

func TestKillersAreStopped(t *testing.T) {
	tests := []struct {
		name                 string
		killers, spontaneous int
	}{
		{"one killer", 1, 0},
		{"one server dies by itself", 0, 1},
		{"three killers", 3, 0},
		{"two killers and deaths", 2, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if fault := simulate(t, sound, test.killers, test.spontaneous); fault != "" {
					t.Fatal(fault)
				}
			})
		})
	}
}

// seeds is how many cases a mutant is given to show itself.
const seeds = 500

func TestMutantsAreCaught(t *testing.T) {
	tests := []struct {
		name   string
		mutant mutant
		caught bool
	}{
		{"none", sound, false},
		{"suspects run at once", noTurns, true},
		{"other entries are not told", noNews, true},
		{"one death is enough", anyDeath, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cases := rapid.Custom(func(t *rapid.T) string { return simulate(t, test.mutant, 1, 0) })
			fault := ""
			for seed := 0; seed < seeds && fault == ""; seed++ {
				if fault = cases.Example(seed); fault != "" {
					t.Logf("case %d: %s", seed, fault)
				}
			}
			qt.Assert(t, fault != "", qt.Equals, test.caught, qt.Commentf("%s", fault))
		})
	}
}
