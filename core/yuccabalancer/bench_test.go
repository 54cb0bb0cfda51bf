package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// BenchmarkChoose measures one choice and its result, with the servers of the service in
// one region and requests for many objects.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			core := newCore(topology(servers, 4, "a"))
			at := time.Duration(0)
			object := uint64(firstObject)
			b.ReportAllocs()
			for range b.N {
				at += time.Millisecond
				object = object*6364136223846793005 + 1442695040888963407
				choice := core.Choose(request(at, object%5000+1))
				if choice.Kind != yuccaerror.None {
					b.Fatal(choice.Kind)
				}
				core.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond})
			}
		})
	}
}
