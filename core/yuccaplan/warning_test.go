package yuccaplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func causesOf(all []Warning) []Cause {
	var causes []Cause
	for _, w := range all {
		causes = append(causes, w.Cause)
	}
	return causes
}

// TestWarningAckPending checks the warning for an entry that has not applied the
// plan of a move.
func TestWarningAckPending(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, shiftRule)
	old := in.Last.Version
	in.Last = Make(in)
	in = in.acked()
	c.Assert(Warnings(in, in.Last), qt.HasLen, 0)
	in.Acks[3].Version = old
	in.Now = in.Now.Add(2 * staleAge)
	all := Warnings(in, in.Last)
	c.Assert(causesOf(all), qt.DeepEquals, []Cause{CauseAckPending})
	c.Assert(all[0].Text, qt.Equals, "moves wait for entry e3, which has plan 1 and not 2")
}

// TestWarningNoCapacity checks the warning for a region that has lost all servers.
func TestWarningNoCapacity(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, "").withoutServers("a")
	c.Assert(causesOf(Warnings(in, Make(in))), qt.Contains, CauseNoCapacity)
}

// TestWarningLinkOverload sends half of a route over a link with too little
// bandwidth for that share of a peak.
func TestWarningLinkOverload(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, "link a b cap=8Mbit # t\nevent e service=s start=2027-03-27T14:00:00Z lead=30m length=1h factor=4 # t\n")
	for i := range in.Demands {
		in.Demands[i].Bytes = 2e5
	}
	p := Make(in)
	c.Assert(causesOf(Warnings(in, p)), qt.HasLen, 0)
	for i := range p.Routes {
		if p.Routes[i].From == "a" {
			p.Routes[i].Shares = []Share{{"a", 0.5}, {"b", 0.5}}
		}
	}
	in.Now = in.Now.Add(time.Second)
	all := Warnings(in, p)
	c.Assert(causesOf(all), qt.DeepEquals, []Cause{CauseRegionOverload, CauseLinkOverload})
	c.Assert([]float64{all[1].Need, all[1].Have}, qt.DeepEquals, []float64{1.2e6, 1e6})
}
