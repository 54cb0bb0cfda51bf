package yuccamembership_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccastore"
)

// BenchmarkMembers measures the processing that an entry does with the
// instances once per second, and the decoding of the platform's list.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{7, 56, 590, 5900} {
		list := instanceList(size, 2*size)
		for i := range list {
			list[i].Domain = fmt.Sprint("d", i%56)
			list[i].Region, list[i].Addr, list[i].Services = "palermo", "10.20.30.40:7101", []string{"search"}
		}
		m := yuccamembership.NewTracker()
		m.UpdateList(start, list)
		for _, i := range list[:size] {
			m.ObserveHeartbeat(heartbeat(i.Name, start))
		}
		b.Run(fmt.Sprintf("view/entries=%d", size), func(b *testing.B) {
			for b.Loop() {
				m.UpdateList(start, list)
				m.View(start)
			}
		})
		b.Run(fmt.Sprintf("same/entries=%d", size), func(b *testing.B) {
			for b.Loop() {
				m.View(start)
			}
		})
		b.Run(fmt.Sprintf("list/entries=%d", size), func(b *testing.B) {
			body, _ := json.Marshal(list)
			for b.Loop() {
				var read []yuccastore.Instance
				_ = json.Unmarshal(body, &read)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}
