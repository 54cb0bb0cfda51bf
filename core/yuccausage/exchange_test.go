package yuccausage_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaquota"
	"yuccawell.example/core/yuccausage"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// TestEntriesShareQuota sends all requests of an account to one entry of three, and then
// cuts that entry off from the others.
func TestEntriesShareQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := yuccafake.NewNet()
		names := []string{"e0", "e1", "e2"}
		var group errgroup.Group
		var exchanges []*yuccausage.Exchange
		for _, name := range names {
			x := yuccausage.New(name, 1, net.Bus(name), func() []string { return names }, zerolog.Nop())
			x.SetQuotas(map[string]yuccaquota.Limit{"a": {Rate: 100, Burst: 10}, "free": {}})
			c.Assert(x.Start(t.Context(), &group), qt.IsNil)
			exchanges = append(exchanges, x)
		}
		admit := func(d time.Duration) (admitted int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				c.Assert(exchanges[0].Take(time.Now(), "free"), qt.IsNil)
				err := exchanges[0].Take(time.Now(), "a")
				if err == nil {
					admitted++
					continue
				}
				c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.QuotaExceeded)
				c.Assert(yuccaerror.RetryAfter(err) > 0, qt.IsTrue)
			}
			return admitted
		}
		admit(15 * time.Second)
		shared := admit(10 * time.Second)
		c.Assert(shared >= 900 && shared <= 1000, qt.IsTrue, qt.Commentf("%d", shared))
		net.SetDisconnected("e0", true)
		admit(5 * time.Second)
		alone := admit(10 * time.Second)
		c.Assert(alone >= 290 && alone <= 340, qt.IsTrue, qt.Commentf("%d", alone))
		for _, x := range exchanges {
			c.Assert(x.Stop(context.Background()), qt.IsNil)
		}
		c.Assert(group.Wait(), qt.IsNil)
		net.Wait()
	})
}

// bus counts what is published.
type bus struct {
	handler                 yuccapeer.Handler
	messages, length, calls int
}

func (b *bus) Handle(topic string, h yuccapeer.Handler) {
	if topic == "account.usage" {
		b.handler = h
	}
}
func (b *bus) Publish(_ string, body []byte) { b.messages, b.length = b.messages+1, b.length+len(body) }

func (b *bus) Call(context.Context, string, string, []byte) ([]byte, error) {
	b.calls++
	return nil, yuccaerror.New(yuccaerror.Unreachable, "no other entry")
}

// TestLittleIsDoneWithoutQuotas guards against messages, and against more than a tick each
// second, in deployments whose config has no account with a quota. The first quota has to
// take effect at once all the same.
func TestLittleIsDoneWithoutQuotas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var group errgroup.Group
		b := &bus{}
		var ticks atomic.Int64
		entries := func() []string {
			ticks.Add(1)
			return []string{"e0"}
		}
		x := yuccausage.New("e0", 1, b, entries, zerolog.Nop())
		c.Assert(x.Start(t.Context(), &group), qt.IsNil)
		c.Assert(x.Take(time.Now(), "a"), qt.IsNil)
		x.SetQuotas(map[string]yuccaquota.Limit{"a": {}})
		time.Sleep(10 * time.Second)
		c.Assert(b.messages, qt.Equals, 0)
		c.Assert(ticks.Load() <= 11, qt.IsTrue, qt.Commentf("%d", ticks.Load()))
		x.SetQuotas(map[string]yuccaquota.Limit{"a": {Rate: 10, Burst: 10}})
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		c.Assert(b.messages > 0, qt.IsTrue)
		c.Assert(x.Take(time.Now(), "a"), qt.IsNil)
		c.Assert(x.Stop(context.Background()), qt.IsNil)
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestMalformedUsageIsRejected guards against a message that ends the process or that is
// taken in part.
func TestMalformedUsageIsRejected(t *testing.T) {
	b := &bus{}
	yuccausage.New("e0", 1, b, func() []string { return nil }, zerolog.Nop())
	for _, body := range [][]byte{{0xff}, {0x4a, 0x01, 0x05}, {0x4a, 0xff, 0xff, 0xff, 0xff, 0x0f}} {
		_, err := b.handler(t.Context(), "e1", body)
		qt.Assert(t, yuccaerror.KindOf(err), qt.Equals, yuccaerror.Protocol)
	}
}

// FuzzUsage guards against a message of another entry that ends the process.
func FuzzUsage(f *testing.F) {
	f.Add([]byte{0x08, 0x01, 0x10, 0x01, 0x38, 0x01})
	f.Fuzz(func(t *testing.T, body []byte) {
		b := &bus{}
		x := yuccausage.New("e0", 1, b, func() []string { return []string{"e0", "e1"} }, zerolog.Nop())
		x.SetQuotas(map[string]yuccaquota.Limit{"a": {Rate: 1}})
		_, _ = b.handler(t.Context(), "e1", body)
		_ = x.Take(time.Now(), "a")
	})
}

// TestRefusedCountersAreBounded guards against a metric that grows with the accounts.
func TestRefusedCountersAreBounded(t *testing.T) {
	c := qt.New(t)
	x := yuccausage.New("e0", 1, &bus{}, func() []string { return nil }, zerolog.Nop())
	limits := map[string]yuccaquota.Limit{}
	for i := range 500 {
		limits[fmt.Sprint("a", i)] = yuccaquota.Limit{Rate: 1}
	}
	x.SetQuotas(limits)
	for name := range limits {
		c.Assert(x.Take(time.Now(), name), qt.IsNotNil)
	}
	r := prometheus.NewRegistry()
	r.MustRegister(x.Collectors()...)
	families, err := r.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "yucca_quota_refused_total" {
			c.Assert(f.GetMetric(), qt.HasLen, 101)
			return
		}
	}
	c.Fatal("no metric of refused requests")
}
