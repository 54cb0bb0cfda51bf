package yuccaidempotency_test

import (
	"context"
	"testing"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccastore"
)

// FuzzPeerMessages sends what may be anything to every topic of a keeper, and
// puts it in place of the objects that it reads.
func FuzzPeerMessages(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x10, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	fleet := newFleet(f, 1, func(o *yuccaidempotency.Options) { o.Shards = 1 })
	peer := fleet.net.Bus("peer")
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := context.Background()
		for _, topic := range []string{"claim.ask", "claim.release", "claim.seek", "claim.keep"} {
			_, _ = peer.Call(ctx, "e0", topic, body)
		}
		other := newFleet(t, 1, func(o *yuccaidempotency.Options) { o.Shards = 1 })
		if _, err := other.platform.Put(ctx, yuccaidempotency.Prefix+"000", body, yuccastore.Cond{}); err != nil {
			t.Fatal(err)
		}
		_, err := other.keepers[0].Begin(ctx, request("k"))
		if err != nil && yuccaerror.KindOf(err).Attributes().Ran != yuccaerror.MayHaveRun {
			t.Fatalf("%v says that the key was not run", err)
		}
	})
}
