package yuccaswitch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaswitch"
)

// TestParse guards against a misspelt name that leaves a mechanism on without a word.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		names    []string
		expected string
		kind     yuccaerror.Kind
	}{
		{nil, "", yuccaerror.None},
		{[]string{"ramp", "line", "ramp"}, "line,ramp", yuccaerror.None},
		{[]string{"ramp", "ramps"}, "", yuccaerror.Usage},
		{[]string{""}, "", yuccaerror.Usage},
	} {
		c := qt.New(t)
		off, err := yuccaswitch.Parse(test.names)
		c.Assert(yuccaerror.KindOf(err), qt.Equals, test.kind, qt.Commentf("%q", test.names))
		c.Assert(off.String(), qt.Equals, test.expected)
	}
}
