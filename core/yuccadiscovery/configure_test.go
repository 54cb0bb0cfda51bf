package yuccadiscovery_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccaroute"
)

// manyAccounts returns a config with n accounts of 100 keys.
func manyAccounts(version uint64, n int) yuccaroute.Config {
	c := yuccaroute.Config{Version: version, Accounts: make([]yuccaaccount.Account, n)}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		a.Name = fmt.Sprint("a", i)
		for k := range 100 {
			a.Digests = append(a.Digests, yuccaaccount.DigestOf(fmt.Appendf(nil, "%d-%d-%d", version, i, k)))
		}
	}
	return c
}

// TestManyKeysDoNotBlockRequests puts configs with 100,000 keys in force while another
// goroutine looks keys up and asks for readiness. It guards against a table that is built
// with the lock held. The longest pause must be short against the time that it takes to
// build one; a busy machine may pause the goroutine itself, so one of several rounds
// counts.
func TestManyKeysDoNotBlockRequests(t *testing.T) {
	const rounds = 8
	c := qt.New(t)
	k := yuccadiscovery.NewAggregator(yuccadiscovery.NewServerSet("servers/", decode), yuccadiscovery.NewEvacuationSet("evacuations/"), fixedEntries{}, func(yuccabalancer.Topology) {}, zerolog.Nop())
	var inForce uint64
	k.OnConfig(func(table *yuccaroute.Table) { inForce = table.Version() })
	c.Assert(k.Configure(manyAccounts(1, 1000)), qt.IsNil)
	var longest, took time.Duration
	for round := range uint64(rounds) {
		next := manyAccounts(round+2, 1000)
		var done atomic.Bool
		var group errgroup.Group
		longest = 0
		group.Go(func() error {
			for last := time.Now(); !done.Load(); {
				k.Routes().Accounts().Find([]byte("1-0-0"))
				k.Ready()
				now := time.Now()
				longest, last = max(longest, now.Sub(last)), now
			}
			return nil
		})
		begin := time.Now()
		c.Assert(k.Configure(next), qt.IsNil)
		took = time.Since(begin)
		done.Store(true)
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(inForce, qt.Equals, round+2)
		if longest < took/4 {
			return
		}
	}
	t.Fatalf("the longest pause was %v of %v", longest, took)
}
