package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBar(t *testing.T) {
	tests := []struct {
		used  float64
		whole float64
		want  string
	}{
		{0, 10, "[------------------------]   0%"},
		{5, 10, "[############------------]  50%"},
		{20, 10, "[########################] 100%"},
		{1, 0, "[------------------------]   0%"},
	}
	for _, test := range tests {
		qt.Assert(t, colorByUsage(usageBar(test.used, test.whole, true), test.used, test.whole, true), qt.Equals, test.want)
	}
	qt.Assert(t, isPlain(&bytes.Buffer{}), qt.IsTrue)
	qt.Assert(t, colorByUsage("x", 9, 10, false), qt.Equals, "\x1b[31mx\x1b[0m")
}
