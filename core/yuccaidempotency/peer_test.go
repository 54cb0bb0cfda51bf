package yuccaidempotency_test

import (
	"context"
	"testing"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccastore"
)

// FuzzPeerMessages sends arbitrary bytes to every topic of a Deduplicator and
// stores them as a shard object that it reads.
func FuzzPeerMessages(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x10, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	cluster := newCluster(f, 1, func(o *yuccaidempotency.Options) { o.Shards = 1 })
	peer := cluster.net.Bus("peer")
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := context.Background()
		for _, topic := range []string{"claim.ask", "claim.release", "claim.seek", "claim.keep"} {
			_, _ = peer.Call(ctx, "e0", topic, body)
		}
		other := newCluster(t, 1, func(o *yuccaidempotency.Options) { o.Shards = 1 })
		if _, err := other.platform.Put(ctx, yuccaidempotency.KeyPrefix+"000", body, yuccastore.Cond{}); err != nil {
			t.Fatal(err)
		}
		_, err := other.dedups[0].Begin(ctx, request("k"))
		if err != nil && yuccaerror.KindOf(err).Attributes().RunStatus != yuccaerror.MayHaveRun {
			t.Fatalf("%v: the kind says that the request did not run, want a kind that says it may have run", err)
		}
	})
}
