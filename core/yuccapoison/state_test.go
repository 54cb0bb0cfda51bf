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

// mutant is a deliberate fault in the mechanism, which the test has to
// detect.
type mutant int

const (
	// noFault leaves the mechanism as it is.
	noFault mutant = iota
	// noProbes lets all suspects run at the same time.
	noProbes
	// noReports reports no server death to other entries.
	noReports
	// quarantineFirst rejects a fingerprint after one server death.
	quarantineFirst
)

var limits = yuccapoison.Limits{Suspicion: time.Hour, Quarantine: time.Hour, Passes: 16, MaxFingerprints: 100, ProbeTTL: time.Hour}

// model simulates some entries in front of some servers, with poison
// fingerprints (1 to poisonCount) among the requests.
type model struct {
	t           *rapid.T
	mutant      mutant
	now         time.Time
	entries     []yuccapoison.State
	attempts    []inFlight
	retries     []yuccapoison.Fingerprint
	probes      map[yuccapoison.Fingerprint]bool
	crashes     map[yuccapoison.Fingerprint]int
	poisonCount int
	// causes holds what has made servers die: a poison fingerprint or a
	// spontaneous crash.
	causes    map[string]bool
	next      yuccapoison.Fingerprint
	violation string
}

// inFlight is one attempt in flight.
type inFlight struct {
	fingerprint yuccapoison.Fingerprint
	entry       int
	server      string
	started     time.Time
}

// servers is the number of simulated servers.
const servers = 4

// simulate runs 200 random actions and returns the first violation, or an
// empty string.
func simulate(t *rapid.T, broken mutant, poisonCount, spontaneous int) string {
	m := &model{t: t, mutant: broken, now: time.Unix(1_800_000_000, 0), poisonCount: poisonCount, next: 100,
		probes: map[yuccapoison.Fingerprint]bool{}, crashes: map[yuccapoison.Fingerprint]int{}, causes: map[string]bool{}}
	for range 2 + m.pick(3, "entries") {
		m.entries = append(m.entries, yuccapoison.NewState(limits))
	}
	for range 200 {
		m.now = m.now.Add(time.Millisecond)
		switch action := m.pick(10, "action"); {
		case action < 3:
			m.next++
			m.send(m.next)
		case action < 5 && poisonCount > 0:
			m.send(yuccapoison.Fingerprint(1 + m.pick(poisonCount, "poison")))
		case action < 7 && len(m.retries) > 0:
			i := m.pick(len(m.retries), "retry")
			p := m.retries[i]
			m.retries = slices.Delete(m.retries, i, i+1)
			m.send(p)
		case action == 7 && spontaneous > 0:
			spontaneous--
			m.causes["spontaneous"] = true
			m.die(fmt.Sprint("s", m.pick(servers, "server")))
		case len(m.attempts) > 0:
			m.end(m.attempts[m.pick(len(m.attempts), "attempt")])
		}
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

// pick draws a number below n bit by bit, since rapid's ranges prefer their
// ends.
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

// send sends a request through a random entry. A suspect that does not get
// the probe is retried later.
func (m *model) send(p yuccapoison.Fingerprint) {
	poison := int(p) <= m.poisonCount
	if poison && slices.ContainsFunc(m.attempts, func(f inFlight) bool { return f.fingerprint == p }) {
		return
	}
	e := m.pick(len(m.entries), "entry")
	s := m.entries[e]
	if s.Quarantined(p, m.now) {
		if !poison && len(m.causes) < 2 {
			m.violation = fmt.Sprintf("fingerprint %d, which crashed no server, is rejected", p)
		}
		return
	}
	deadServer, suspect := s.Suspect(p, m.now)
	if suspect && m.mutant == quarantineFirst && !poison {
		m.violation = fmt.Sprintf("fingerprint %d, which crashed no server, is rejected", p)
		return
	}
	if suspect && m.mutant != noProbes {
		var ok bool
		if m.entries[0], ok = m.entries[0].AcquireProbe(p, deadServer, m.now); !ok {
			if !poison {
				m.retries = append(m.retries, p)
			}
			return
		}
		m.probes[p] = true
	}
	m.attempts = append(m.attempts, inFlight{p, e, fmt.Sprint("s", m.pick(servers, "server")), m.now})
}

// end ends an attempt: a poison request crashes its server, any other
// request passes.
func (m *model) end(f inFlight) {
	if int(f.fingerprint) <= m.poisonCount {
		m.causes[fmt.Sprint(f.fingerprint)] = true
		if m.crashes[f.fingerprint]++; m.crashes[f.fingerprint] > 2 {
			m.violation = fmt.Sprintf("poison fingerprint %d crashed %d servers, want at most 2", f.fingerprint, m.crashes[f.fingerprint])
		}
		m.die(f.server)
		return
	}
	m.attempts = slices.DeleteFunc(m.attempts, func(other inFlight) bool { return other == f })
	m.entries[f.entry], _ = m.entries[f.entry].Update(yuccapoison.Passed{Fingerprint: f.fingerprint})
	m.release(f.fingerprint)
}

// die ends every attempt on a server in random order. The server then runs
// again under the same name.
func (m *model) die(server string) {
	at := m.now
	for {
		var on []int
		for i, f := range m.attempts {
			if f.server == server {
				on = append(on, i)
			}
		}
		if len(on) == 0 {
			return
		}
		i := on[m.pick(len(on), "order")]
		f := m.attempts[i]
		m.attempts = slices.Delete(m.attempts, i, i+1)
		d := yuccapoison.ServerDied{Fingerprint: f.fingerprint, Server: server, Started: f.started, At: at}
		for e := range m.entries {
			if e == f.entry || m.mutant != noReports {
				m.entries[e], _ = m.entries[e].Update(d)
			}
		}
		m.release(f.fingerprint)
		if int(f.fingerprint) > m.poisonCount {
			m.retries = append(m.retries, f.fingerprint)
		}
	}
}

// release returns the probe of a fingerprint if it has one.
func (m *model) release(p yuccapoison.Fingerprint) {
	if m.probes[p] {
		delete(m.probes, p)
		m.entries[0], _ = m.entries[0].Update(yuccapoison.ProbeReleased{Fingerprint: p})
	}
}

// TestPoisonIsStopped checks in random runs that a poison request crashes
// two servers at the most, and that no other request is rejected while there
// is only one cause of crashes.
func TestPoisonIsStopped(t *testing.T) {
	tests := []struct {
		name                     string
		poisonCount, spontaneous int
	}{
		{"one poison fingerprint", 1, 0},
		{"one spontaneous crash", 0, 1},
		{"three poison fingerprints", 3, 0},
		{"two poison fingerprints and three spontaneous crashes", 2, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if violation := simulate(t, noFault, test.poisonCount, test.spontaneous); violation != "" {
					t.Fatal(violation)
				}
			})
		})
	}
}

// seeds is the number of random runs, of which at least one must detect the
// mutant.
const seeds = 500

// TestMutantsAreDetected checks that the simulation detects each fault that
// is put into the mechanism.
func TestMutantsAreDetected(t *testing.T) {
	tests := []struct {
		name     string
		mutant   mutant
		detected bool
	}{
		{"none", noFault, false},
		{"suspects run at once", noProbes, true},
		{"deaths are not reported to other entries", noReports, true},
		{"one death is enough", quarantineFirst, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cases := rapid.Custom(func(t *rapid.T) string { return simulate(t, test.mutant, 1, 0) })
			violation := ""
			for seed := 0; seed < seeds && violation == ""; seed++ {
				if violation = cases.Example(seed); violation != "" {
					t.Logf("case %d: %s", seed, violation)
				}
			}
			qt.Assert(t, violation != "", qt.Equals, test.detected, qt.Commentf("%s", violation))
		})
	}
}
