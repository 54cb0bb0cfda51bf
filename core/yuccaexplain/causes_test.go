package yuccaexplain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaexplain"
)

// placementLine returns a log line of an entry at a second of a minute.
func placementLine(second float64, service, chosen, late string) string {
	at := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf("  -1.5 e1 time=%s level=info event=placement chosen=%s entry=e1 late=%s service=%s\n", at.Format(time.RFC3339Nano), chosen, late, service)
}

// TestCountCauses guards against counts that are lost or counted twice, and against an
// unreadable line that hides the others.
func TestCountCauses(t *testing.T) {
	c := qt.New(t)
	log := placementLine(0.1, "b", `{"object":5,"refused":2}`, `{"queue":1}`) +
		placementLine(1.9, "a", `{"object":3,"room":1}`, `{"object":2,"queue":1}`) +
		placementLine(2, "a", `{}`, `{}`) +
		placementLine(7.3, "a", `"{\"object\":4}"`, `"{\"object\":1}"`) +
		placementLine(7.4, "a", `none`, `{"queue":9}`) +
		"time=2026-01-01T12:00:07Z event=request_failed entry=e1 service=a\n"
	events, err := yuccaexplain.Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	all := yuccaexplain.CountCauses(events, 2*time.Second)
	c.Assert(all.Services, qt.DeepEquals, []yuccaexplain.ServiceCounts{
		{Service: "a", Counts: yuccaexplain.Counts{Placed: 8, Late: map[string]int{"object": 3, "queue": 1}}},
		{Service: "b", Counts: yuccaexplain.Counts{Placed: 5, Refused: 2, Late: map[string]int{"queue": 1}}},
	})
	c.Assert(all.Services[0].LateCount(), qt.Equals, 4)
	var seconds, placed []int
	for _, p := range all.Periods {
		seconds, placed = append(seconds, p.Start.Second()), append(placed, p.Placed)
	}
	c.Assert(seconds, qt.DeepEquals, []int{0, 2, 6})
	c.Assert(placed, qt.DeepEquals, []int{9, 0, 4})
}

// BenchmarkCountCauses reads and counts the lines of a day. It guards against a report that
// takes minutes for a long log.
func BenchmarkCountCauses(b *testing.B) {
	log := strings.Repeat(placementLine(3, "a", `{"object":3,"room":1}`, `{"object":2,"queue":1}`), 100_000)
	for b.Loop() {
		events, err := yuccaexplain.Read(strings.NewReader(log))
		qt.Assert(b, err, qt.IsNil)
		yuccaexplain.CountCauses(events, 2*time.Second)
	}
}
