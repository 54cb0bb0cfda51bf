package yuccasync_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccalease"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// capacityNode holds the parts of one entry that exchange state, with real
// network connections to its peers.
type capacityNode struct {
	peers   *yuccapeer.Peers
	syncer  *yuccasync.Syncer
	elector *yuccalease.Elector
	planner *yuccasync.Planner
	// rulesUpdated receives the time of every new rules version in force.
	rulesUpdated chan time.Time
}

type capacityFleet struct {
	platform *yuccafake.Platform
	nodes    []*capacityNode
	group    errgroup.Group
}

func newCapacityFleet(b *testing.B, domains, members int) *capacityFleet {
	f := &capacityFleet{platform: yuccafake.NewPlatform()}
	var list []yuccastore.Instance
	for d := range domains {
		for m := range members {
			name, domain := fmt.Sprintf("e%d-%d", d, m), fmt.Sprint("d", d)
			n := &capacityNode{rulesUpdated: make(chan time.Time, 100)}
			n.peers = yuccapeer.New(yuccapeer.Settings{Name: name, Domain: domain, Addr: "127.0.0.1:0", Incarnation: 1}, zerolog.Nop())
			n.syncer = yuccasync.New(yuccasync.Settings{Name: name, Region: "a", Domain: domain, Incarnation: 1}, f.platform, n.peers, zerolog.Nop())
			n.elector = yuccalease.New(name, 1, f.platform, n.syncer, zerolog.Nop())
			n.planner = yuccasync.NewPlanner(n.syncer, f.platform, n.elector, makePlan, zerolog.Nop())
			version := uint64(0)
			n.syncer.Subscribe(func(s yuccasync.Snapshot) {
				n.peers.Update(s.View.Entries())
				if s.Document.Version > version {
					version = s.Document.Version
					n.rulesUpdated <- time.Now()
				}
			})
			if err := n.peers.Start(context.Background(), &f.group); err != nil {
				b.Fatal(err)
			}
			f.nodes = append(f.nodes, n)
			list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Region: "a", Domain: domain, Peer: n.peers.Addr()})
		}
	}
	list = append(list, yuccastore.Instance{Name: "s", Kind: yuccastore.KindServer, Region: "a", Slots: 9, Services: []string{"s"}})
	f.platform.SetInstances(list...)
	for _, n := range f.nodes {
		_ = n.syncer.Start(context.Background(), &f.group)
		_ = n.elector.Start(context.Background(), &f.group)
		_ = n.planner.Start(context.Background(), &f.group)
	}
	return f
}

func (f *capacityFleet) stop() {
	for _, n := range f.nodes {
		_ = n.planner.Stop(context.Background())
		_ = n.syncer.Stop(context.Background())
		_ = n.peers.Stop(context.Background())
	}
	var group errgroup.Group
	for _, n := range f.nodes {
		group.Go(func() error { return n.elector.Stop(context.Background()) })
	}
	_ = group.Wait()
	_ = f.group.Wait()
}

// usage is the cumulative resource usage of the fleet at one moment.
type usage struct {
	// at is the time of the sample.
	at time.Time
	// cpu is the CPU time of the process.
	cpu time.Duration
	// bytes holds the bytes sent and received by each entry.
	bytes []uint64
	// calls is the number of platform calls by all entries.
	calls uint64
}

func (f *capacityFleet) usage() usage {
	u := usage{at: time.Now()}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	for _, n := range f.nodes {
		t := n.peers.Traffic()
		u.bytes = append(u.bytes, t.Sent+t.Received)
	}
	for _, n := range f.platform.Calls() {
		u.calls += n
	}
	return u
}

// report reports the usage between two samples for each of a number of parts,
// less a base usage per second: bytes sent and received by the average and by
// the busiest entry, platform calls of all entries together, and CPU
// milliseconds of one entry.
func report(b *testing.B, name string, from, to usage, parts float64, base rates) rates {
	seconds := to.at.Sub(from.at).Seconds()
	var r rates
	for i := range from.bytes {
		n := float64(to.bytes[i] - from.bytes[i])
		r.mean += n / float64(len(from.bytes))
		r.most = max(r.most, n)
	}
	r.calls = float64(to.calls - from.calls)
	r.cpu = 1000 * (to.cpu - from.cpu).Seconds() / float64(len(from.bytes))
	r = rates{(r.mean - base.mean*seconds) / parts, (r.most - base.most*seconds) / parts, (r.calls - base.calls*seconds) / parts, (r.cpu - base.cpu*seconds) / parts}
	b.ReportMetric(r.mean, name+"-B")
	b.ReportMetric(r.most, name+"-max-B")
	b.ReportMetric(r.calls, name+"-calls")
	b.ReportMetric(r.cpu, name+"-cpu-ms")
	return r
}

// rates holds the results of report.
type rates struct {
	// mean is the bytes sent and received by the average entry.
	mean float64
	// most is the bytes sent and received by the busiest entry.
	most float64
	// calls is the platform calls of all entries together.
	calls float64
	// cpu is the CPU time of one entry in milliseconds.
	cpu float64
}

// applyRules applies a rules version and returns how long each entry took to
// put it in force, at most 10 s.
func (f *capacityFleet) applyRules(version uint64) []time.Duration {
	start := time.Now()
	_, _ = f.platform.Put(context.Background(), yuccasync.RulesKey, encodedRules(version), yuccastore.Cond{})
	took := make([]time.Duration, len(f.nodes))
	for i, n := range f.nodes {
		select {
		case at := <-n.rulesUpdated:
			took[i] = at.Sub(start)
		case <-time.After(10 * time.Second):
			took[i] = 10 * time.Second
		}
	}
	return took
}

const (
	// capacityWarmUp is the time from the start to the first measurement.
	capacityWarmUp = 12 * time.Second
	// capacityIdleWindow is the duration of the measurement without changes.
	capacityIdleWindow = 8 * time.Second
	// capacityRounds is the number of measured changes of the rules.
	capacityRounds = 8
)

// BenchmarkCapacity measures the control traffic of fleets of several shapes,
// per idle second and per change of the rules. Run it with -benchtime 1x.
func BenchmarkCapacity(b *testing.B) {
	for _, shape := range []struct{ domains, members int }{{7, 1}, {7, 8}, {8, 28}, {1, 56}, {1, 105}, {56, 2}} {
		b.Run(fmt.Sprintf("domains=%d/members=%d", shape.domains, shape.members), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newCapacityFleet(b, shape.domains, shape.members)
			f.applyRules(1)
			time.Sleep(capacityWarmUp)
			runtime.GC()
			runtime.ReadMemStats(&after)
			memory := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
			b.ReportMetric(float64(memory)/float64(len(f.nodes))/1e6, "MB")
			idle := f.usage()
			time.Sleep(capacityIdleWindow)
			busy := f.usage()
			base := report(b, "second", idle, busy, busy.at.Sub(idle.at).Seconds(), rates{})
			var took []time.Duration
			ticker := time.NewTicker(time.Second)
			for v := range capacityRounds {
				took = append(took, f.applyRules(uint64(v+2))...)
				<-ticker.C
			}
			ticker.Stop()
			report(b, "change", busy, f.usage(), capacityRounds, base)
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
			f.stop()
		})
	}
}
