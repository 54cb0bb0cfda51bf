package yuccasleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccasleep"
)

// TestFor sleeps under a context with a timeout and checks the result and the
// time that the sleep took.
func TestFor(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		timeout  time.Duration
		elapsed  time.Duration
		want     bool
	}{
		{"full duration", time.Second, time.Minute, time.Second, true},
		{"context ends first", time.Minute, time.Second, time.Second, false},
		{"zero duration", 0, time.Second, 0, true},
		{"negative duration", -time.Second, time.Second, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
				defer cancel()
				start := time.Now()
				qt.Assert(t, yuccasleep.For(ctx, test.duration), qt.Equals, test.want)
				qt.Assert(t, time.Since(start), qt.Equals, test.elapsed)
			})
		})
	}
}
