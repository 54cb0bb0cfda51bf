package yuccaidempotency_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaidempotency"
)

// cluster is a number of entries that share one platform store.
type cluster struct {
	platform *yuccafake.Platform
	net      *yuccafake.Net
	names    []string
	dedups   []*yuccaidempotency.Deduplicator
}

func newCluster(t testing.TB, n int, change func(*yuccaidempotency.Options)) *cluster {
	f := &cluster{platform: yuccafake.NewPlatform(), net: yuccafake.NewNet()}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("e", i))
	}
	for i := range n {
		f.dedups = append(f.dedups, f.start(i, change))
	}
	t.Cleanup(func() {
		for _, k := range f.dedups {
			_ = k.Stop(context.Background())
		}
	})
	return f
}

func (f *cluster) start(i int, change func(*yuccaidempotency.Options)) *yuccaidempotency.Deduplicator {
	opt := yuccaidempotency.Options{
		Store:            f.platform,
		Bus:              f.net.Bus(f.names[i]),
		Self:             f.names[i],
		Members:          func() []string { return f.names },
		MinWriteInterval: time.Millisecond,
		Log:              zerolog.Nop(),
	}
	if change != nil {
		change(&opt)
	}
	return yuccaidempotency.New(opt)
}

func request(key string) yuccaidempotency.Request {
	return yuccaidempotency.Request{Service: "orders", Key: key, Fingerprint: 1}
}

var response = &yuccaidempotency.Response{Status: 201, Header: []yuccaidempotency.Field{{Name: "Location", Value: "/orders/1"}}, Body: []byte("done")}

func TestRepeatGetsFirstResponse(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f := newCluster(t, 3, nil)
	claim, err := f.dedups[0].Begin(ctx, request("k"))
	c.Assert(err, qt.IsNil)
	_, err = f.dedups[1].Begin(ctx, request("k"))
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.KeyInProgress)
	other := request("k")
	other.Fingerprint = 2
	_, err = f.dedups[2].Begin(ctx, other)
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.KeyMismatch)
	f.dedups[0].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
	for _, k := range f.dedups {
		again, err := k.Begin(ctx, request("k"))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Replay, qt.DeepEquals, response)
	}
}

func TestResponsesSurvivePlannedStop(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f := newCluster(t, 3, nil)
	claim, err := f.dedups[0].Begin(ctx, request("k"))
	c.Assert(err, qt.IsNil)
	f.dedups[0].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
	c.Assert(f.dedups[0].Stop(ctx), qt.IsNil)
	f.net.SetDisconnected("e0", true)
	f.names = f.names[1:]
	again, err := f.dedups[1].Begin(ctx, request("k"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Replay, qt.DeepEquals, response)
}

func TestResponsesOfCrashedEntryAreUnavailable(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f := newCluster(t, 3, nil)
	claim, err := f.dedups[0].Begin(ctx, request("k"))
	c.Assert(err, qt.IsNil)
	f.dedups[0].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
	f.net.SetDisconnected("e0", true)
	_, err = f.dedups[1].Begin(ctx, request("k"))
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.ReplayUnavailable)
	f.dedups[0] = f.start(0, nil)
	f.net.SetDisconnected("e0", false)
	_, err = f.dedups[0].Begin(ctx, request("k"))
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.ReplayUnavailable)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		f := newCluster(t, 3, nil)
		claim, err := f.dedups[0].Begin(ctx, request("k"))
		c.Assert(err, qt.IsNil)
		f.dedups[0].End(claim, yuccaidempotency.Outcome{})
		time.Sleep(time.Second)
		again, err := f.dedups[1].Begin(ctx, request("k"))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Replay, qt.IsNil)
	})
}

func TestStoreFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults yuccafake.PlatformFaults
		want   yuccaerror.Kind
	}{
		{"down", yuccafake.PlatformFaults{Down: true}, yuccaerror.KeyStateUnknown},
		{"slower than the timeout", yuccafake.PlatformFaults{Slow: time.Minute}, yuccaerror.KeyStateUnknown},
		{"short delay", yuccafake.PlatformFaults{Slow: 10 * time.Millisecond}, yuccaerror.None},
		{"loses one reply", yuccafake.PlatformFaults{LostReplies: 1}, yuccaerror.None},
		{"loses three replies", yuccafake.PlatformFaults{LostReplies: 3}, yuccaerror.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				f := newCluster(t, 2, nil)
				f.platform.Fail(test.faults)
				_, err := f.dedups[0].Begin(ctx, request("k"))
				c.Assert(yuccaerror.KindOf(err), qt.Equals, test.want)
				c.Assert(err == nil || test.want.Attributes().RunStatus == yuccaerror.MayHaveRun, qt.IsTrue)
				f.platform.Fail(yuccafake.PlatformFaults{})
				time.Sleep(time.Minute)
				_, err = f.dedups[1].Begin(ctx, request("k"))
				c.Assert(err == nil, qt.Equals, test.want != yuccaerror.None)
			})
		})
	}
}

func TestKeysExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		f := newCluster(t, 2, func(o *yuccaidempotency.Options) { o.MaxOpenRecords, o.Shards = 4, 1 })
		for i := range 20 {
			_, err := f.dedups[i%2].Begin(ctx, request(fmt.Sprint("old", i)))
			c.Assert(err, qt.IsNil)
		}
		page, err := f.platform.List(ctx, yuccaidempotency.KeyPrefix, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(len(page.Objects) > 3, qt.IsTrue)
		time.Sleep(2 * time.Hour)
		_, err = f.dedups[0].Begin(ctx, request("new"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		page, err = f.platform.List(ctx, yuccaidempotency.KeyPrefix, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(len(page.Objects) <= 2, qt.IsTrue, qt.Commentf("%d objects", len(page.Objects)))
	})
}

func TestConcurrentClaims(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f := newCluster(t, 5, func(o *yuccaidempotency.Options) { o.MaxOpenRecords = 16 })
	var mu sync.Mutex
	runs := map[string]int{}
	var group errgroup.Group
	for i := range 400 {
		key := fmt.Sprint("k", i%40)
		group.Go(func() error {
			if i%50 == 0 {
				f.platform.Fail(yuccafake.PlatformFaults{LostReplies: 2})
				f.net.SetDisconnected(f.names[i%5], i%100 == 0)
			}
			claim, err := f.dedups[i%5].Begin(ctx, request(key))
			if err != nil || claim.Replay != nil {
				return nil
			}
			mu.Lock()
			runs[key]++
			mu.Unlock()
			f.dedups[i%5].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(len(runs) > 0, qt.IsTrue)
	for key, n := range runs {
		c.Assert(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	f := newCluster(b, 1, func(o *yuccaidempotency.Options) { o.MaxKeysPerShard = 1 << 30 })
	ctx := context.Background()
	n := 0
	var mu sync.Mutex
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			n++
			key := fmt.Sprint(n)
			mu.Unlock()
			claim, err := f.dedups[0].Begin(ctx, request(key))
			if err != nil {
				b.Error(err)
				return
			}
			f.dedups[0].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
		}
	})
	calls := f.platform.Calls()
	b.ReportMetric(float64(calls["put"]+calls["get"]+calls["delete"])/float64(b.N), "calls/op")
}

// BenchmarkDifferentMemberLists has five entries that each consider themselves
// the owner of every shard, so that their writes conflict.
func BenchmarkDifferentMemberLists(b *testing.B) {
	f := newCluster(b, 5, func(o *yuccaidempotency.Options) {
		self := []string{o.Self}
		o.Members, o.MaxKeysPerShard = func() []string { return self }, 1<<30
	})
	ctx := context.Background()
	var n, unsettled atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := n.Add(1)
			if _, err := f.dedups[i%5].Begin(ctx, request(fmt.Sprint(i))); err != nil {
				unsettled.Add(1)
			}
		}
	})
	calls := f.platform.Calls()
	b.ReportMetric(float64(calls["put"]+calls["get"]+calls["delete"])/float64(b.N), "calls/op")
	b.ReportMetric(float64(unsettled.Load())/float64(b.N), "unsettled/op")
}

// BenchmarkSequentialCallers has callers that each wait for a claim before they
// begin the next, through seven entries and a store with a delay of 3 ms, at
// the default MinWriteInterval.
func BenchmarkSequentialCallers(b *testing.B) {
	for _, callers := range []int{12, 48, 480} {
		b.Run(fmt.Sprint("callers ", callers), func(b *testing.B) {
			f := newCluster(b, 7, func(o *yuccaidempotency.Options) { o.MinWriteInterval, o.MaxKeysPerShard = 0, 1<<30 })
			f.platform.Fail(yuccafake.PlatformFaults{Slow: 3 * time.Millisecond})
			ctx := context.Background()
			var n atomic.Int64
			var group errgroup.Group
			begun := time.Now()
			for range callers {
				group.Go(func() error {
					for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
						if _, err := f.dedups[i%7].Begin(ctx, request(fmt.Sprint(i))); err != nil {
							return err
						}
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				b.Fatal(err)
			}
			took := time.Since(begun).Seconds()
			calls := f.platform.Calls()
			sum := float64(calls["put"] + calls["get"] + calls["delete"])
			b.ReportMetric(sum/float64(b.N), "calls/op")
			b.ReportMetric(sum/took, "calls/s")
			b.ReportMetric(float64(b.N)/took, "claims/s")
			b.ReportMetric(took*1000*float64(callers)/float64(b.N), "ms/claim")
		})
	}
}

func BenchmarkRepeat(b *testing.B) {
	f := newCluster(b, 1, nil)
	ctx := context.Background()
	claim, err := f.dedups[0].Begin(ctx, request("k"))
	if err != nil {
		b.Fatal(err)
	}
	f.dedups[0].End(claim, yuccaidempotency.Outcome{MayHaveRun: true, Response: response})
	for b.Loop() {
		if again, err := f.dedups[0].Begin(ctx, request("k")); err != nil || again.Replay == nil {
			b.Fatal(err)
		}
	}
}
