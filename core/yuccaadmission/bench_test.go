package yuccaadmission_test

import (
	"testing"
	"time"

	"yuccawell.example/core/yuccaadmission"
)

// BenchmarkChoice measures one Admit among 400 servers and one Done.
func BenchmarkChoice(b *testing.B) {
	w := newEnvironment(1, 400, 9)
	core := yuccaadmission.NewCore("e0", 1)
	core.Update(w.plan, w.rules, w.view)
	now := start
	ask := yuccaadmission.Request{Service: "s", From: "a"}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		ask.Now, ask.Random = now, uint64(i)*0x9e3779b97f4a7c15
		a := core.Admit(ask)
		core.Done(a.Ticket, yuccaadmission.Result{Now: now})
	}
}
