package yuccanotice_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccanotice"
)

// TestEntriesAgreeOnSenders has a server name a limit to entries that do not know one
// another. After a moment three of them send requests to it. When one of these dies,
// another one takes its place.
func TestEntriesAgreeOnSenders(t *testing.T) {
	const (
		entries = 12
		senders = 3
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := yuccafake.NewNet()
		var group errgroup.Group
		pickers := map[string]*yuccabalancer.Picker{}
		exchanges := map[string]*yuccanotice.Exchange{}
		for i := range entries {
			name := fmt.Sprint("e", i)
			picker := yuccabalancer.New(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"})
			picker.Update(yuccabalancer.Topology{
				Entries: []string{name},
				Servers: []yuccabalancer.Server{{Name: "i-1", Service: "s", Region: "a", Domain: "a1", Slots: 8}},
			})
			x := yuccanotice.New(name, net.Bus(name), picker, zerolog.Nop())
			c.Assert(x.Start(t.Context(), &group), qt.IsNil)
			pickers[name], exchanges[name] = picker, x
		}
		sending := func() []string {
			var names []string
			for name, picker := range pickers {
				if picker.Sends("i-1") {
					names = append(names, name)
				}
			}
			return names
		}
		exchanges["e0"].ReceiveReport(yuccaadmission.Ticket{Server: "i-1"}, "", limited)
		time.Sleep(2500 * time.Millisecond)
		c.Assert(sending(), qt.HasLen, senders)

		died := sending()[0]
		net.SetDisconnected(died, true)
		delete(pickers, died)
		time.Sleep(10 * time.Second)
		c.Assert(sending(), qt.HasLen, senders)
		for _, x := range exchanges {
			c.Assert(x.Stop(context.Background()), qt.IsNil)
		}
		c.Assert(group.Wait(), qt.IsNil)
		net.Wait()
	})
}

// TestSenders records what entries say about a server, and forgets those that say nothing
// more.
func TestSenders(t *testing.T) {
	c := qt.New(t)
	s := yuccanotice.NewSenders()
	c.Assert(s.Record(start, "i-1", "e1", false), qt.IsFalse)
	c.Assert(s.Record(start, "i-1", "e1", true), qt.IsTrue)
	c.Assert(s.Record(start, "i-1", "e2", true), qt.IsTrue)
	c.Assert(s.Record(start.Add(2*time.Second), "i-1", "e2", true), qt.IsFalse)
	c.Assert(s.Names("i-1"), qt.DeepEquals, []string{"e1", "e2"})
	c.Assert(s.Names("i-2"), qt.HasLen, 0)
	c.Assert(s.Prune(start.Add(4*time.Second)), qt.DeepEquals, []string{"i-1"})
	c.Assert(s.Names("i-1"), qt.DeepEquals, []string{"e2"})
	c.Assert(s.Record(start, "i-1", "e2", false), qt.IsTrue)
	c.Assert(s.Names("i-1"), qt.HasLen, 0)
	for i := range 1000 {
		s.Record(start, "i-1", fmt.Sprint("e", i), true)
	}
	c.Assert(len(s.Names("i-1")) < 1000, qt.IsTrue)
}

// TestReportCountsForTheRunThatSentIt guards against requests to a leaving server whose
// entry went and came back, and against a restarted server that gets none because its run
// before was leaving.
func TestReportCountsForTheRunThatSentIt(t *testing.T) {
	leaving := yuccaadmission.Report{Leaving: true}
	tests := []struct {
		name string
		// before and meanwhile are the reports of run 7 while it is listed, and while the
		// runs of listed are in its place.
		before, meanwhile []yuccaadmission.Report
		listed            []int64
		// back is the run that is listed in the end, and accepts whether it gets requests.
		back    int64
		accepts bool
	}{
		{"leaves while its entry is gone", nil, []yuccaadmission.Report{leaving}, nil, 7, false},
		{"says less while its entry is gone", []yuccaadmission.Report{leaving}, []yuccaadmission.Report{limited}, nil, 7, false},
		{"the next run is listed at once", nil, []yuccaadmission.Report{leaving}, []int64{8}, 8, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker := yuccabalancer.New(yuccabalancer.Location{Entry: "e1", Region: "a", Domain: "a1"})
			list := func(runs ...int64) {
				w := yuccabalancer.Topology{Entries: []string{"e1"}}
				for _, run := range runs {
					w.Servers = append(w.Servers, yuccabalancer.Server{Name: "i-1", Service: "s", Region: "a", Domain: "a1", Addr: "x", Slots: 8, Run: run})
				}
				picker.Update(w)
			}
			x := yuccanotice.New("e1", yuccafake.NewNet().Bus("e1"), picker, zerolog.Nop())
			list(7)
			ticket, err := picker.Pick(yuccaadmission.Request{Service: "s"})
			qt.Assert(t, err, qt.IsNil)
			for _, r := range test.before {
				x.ReceiveReport(ticket, "", r)
			}
			list(test.listed...)
			for _, r := range test.meanwhile {
				x.ReceiveReport(ticket, "", r)
			}
			list(test.back)
			qt.Assert(t, picker.AcceptingAddr("i-1") != "", qt.Equals, test.accepts)
		})
	}
}
