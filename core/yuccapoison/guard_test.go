package yuccapoison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccapoison"
)

// newGuards returns the guards of n entries on one network.
func newGuards(n int, alive func(string) bool) []*yuccapoison.Guard {
	net := yuccafake.NewNet()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
	}
	var guards []*yuccapoison.Guard
	for _, name := range names {
		guards = append(guards, yuccapoison.New(yuccapoison.Options{
			Bus:     net.Bus(name),
			Self:    name,
			Members: func() []string { return names },
			Alive:   alive,
			Log:     zerolog.Nop(),
		}))
	}
	return guards
}

// attempt sends one attempt through an entry and returns the error of Check.
func attempt(g *yuccapoison.Guard, p yuccapoison.Fingerprint, server string, died bool) error {
	if err := g.Check(p); err != nil {
		return err
	}
	g.Start(p, server)
	time.Sleep(time.Millisecond)
	o := yuccapoison.Answered
	if died {
		o = yuccapoison.Broken
	}
	g.End(yuccapoison.Run{Fingerprint: p, Server: server, Started: time.Now()}, o)
	return nil
}

// TestPoisonIsQuarantinedAtEveryEntry has one fingerprint crash a server at
// each of two entries. Every entry then rejects it, and only it, until the
// quarantine ends.
func TestPoisonIsQuarantinedAtEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		guards := newGuards(3, nil)
		c.Assert(attempt(guards[0], 1, "s1", true), qt.IsNil)
		c.Assert(attempt(guards[1], 1, "s2", true), qt.IsNil)
		for _, g := range guards {
			c.Assert(yuccaerror.KindOf(g.Check(1)), qt.Equals, yuccaerror.Quarantined)
			c.Assert(g.Check(2), qt.IsNil)
		}
		time.Sleep(11 * time.Minute)
		c.Assert(guards[2].Check(1), qt.IsNil)
	})
}

// TestPoisonOnTwoServersAtOnce has a fingerprint in flight on two servers
// that die at the same time.
func TestPoisonOnTwoServersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		guards := newGuards(2, nil)
		guards[0].Start(1, "s1")
		guards[1].Start(1, "s2")
		time.Sleep(time.Millisecond)
		guards[0].End(yuccapoison.Run{Fingerprint: 1, Server: "s1", Started: time.Now()}, yuccapoison.Broken)
		guards[1].End(yuccapoison.Run{Fingerprint: 1, Server: "s2", Started: time.Now()}, yuccapoison.Broken)
		c.Assert(yuccaerror.KindOf(guards[0].Check(1)), qt.Equals, yuccaerror.Quarantined)
	})
}

// TestRegionOutageQuarantinesNothing has eight servers die at the same time.
// A frequent fingerprint was in flight on all of them, but it is known as
// good, so neither it nor any other one is quarantined.
func TestRegionOutageQuarantinesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		guards := newGuards(2, nil)
		const frequent = 1
		for range 16 {
			c.Assert(attempt(guards[0], frequent, "s0", false), qt.IsNil)
		}
		for i := range 8 {
			guards[0].Start(frequent, fmt.Sprint("s", i))
			guards[0].Start(yuccapoison.Fingerprint(100+i), fmt.Sprint("s", i))
		}
		time.Sleep(time.Millisecond)
		for i := range 8 {
			guards[0].End(yuccapoison.Run{Fingerprint: frequent, Server: fmt.Sprint("s", i), Started: time.Now()}, yuccapoison.Broken)
			guards[0].End(yuccapoison.Run{Fingerprint: yuccapoison.Fingerprint(100 + i), Server: fmt.Sprint("s", i), Started: time.Now()}, yuccapoison.Broken)
		}
		for i := range 8 {
			c.Assert(attempt(guards[1], yuccapoison.Fingerprint(100+i), "s9", false), qt.IsNil)
		}
		c.Assert(attempt(guards[1], frequent, "s9", false), qt.IsNil)
	})
}

// TestClosedConnectionIsNoCrash breaks connections of servers that stay
// alive.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		guards := newGuards(2, func(string) bool { return true })
		for i := range 5 {
			c.Assert(attempt(guards[i%2], 1, fmt.Sprint("s", i), true), qt.IsNil)
		}
		c.Assert(guards[0].Check(1), qt.IsNil)
	})
}

// TestOneSuspectRunsAtATime makes three fingerprints suspects of one server.
// While the first runs, the second is rejected after 2 s; when it has ended,
// the next may run.
func TestOneSuspectRunsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		guards := newGuards(3, nil)
		for p := range yuccapoison.Fingerprint(3) {
			guards[p].Start(p, "s1")
		}
		time.Sleep(time.Millisecond)
		for p := range yuccapoison.Fingerprint(3) {
			guards[p].End(yuccapoison.Run{Fingerprint: p, Server: "s1", Started: time.Now()}, yuccapoison.Broken)
		}
		c.Assert(guards[0].Check(0), qt.IsNil)
		guards[0].Start(0, "s2")
		waitStart := time.Now()
		c.Assert(yuccaerror.KindOf(guards[1].Check(1)), qt.Equals, yuccaerror.Shed)
		c.Assert(time.Since(waitStart) >= 2*time.Second, qt.IsTrue)
		guards[0].End(yuccapoison.Run{Fingerprint: 0, Server: "s2", Started: time.Now()}, yuccapoison.Answered)
		c.Assert(guards[1].Check(1), qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(guards[2].Check(2), qt.IsNil)
		time.Sleep(2 * time.Second)
	})
}

func BenchmarkPassedRequest(b *testing.B) {
	g := newGuards(1, nil)[0]
	p := yuccapoison.Fingerprint(0)
	for b.Loop() {
		p++
		if g.Check(p) != nil {
			b.Fatal("Check rejected a new fingerprint, want nil")
		}
		g.Start(p, "s1")
		g.End(yuccapoison.Run{Fingerprint: p, Server: "s1", Started: time.Now()}, yuccapoison.Answered)
	}
}
