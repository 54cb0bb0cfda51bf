package yuccapause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccapause"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name     string
		wait     time.Duration
		end      time.Duration
		took     time.Duration
		finished bool
	}{
		{"whole", time.Second, time.Minute, time.Second, true},
		{"ended", time.Minute, time.Second, time.Second, false},
		{"nothing to wait", 0, time.Second, 0, true},
		{"past", -time.Second, time.Second, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), test.end)
				defer cancel()
				start := time.Now()
				qt.Assert(t, yuccapause.For(ctx, test.wait), qt.Equals, test.finished)
				qt.Assert(t, time.Since(start), qt.Equals, test.took)
			})
		})
	}
}
