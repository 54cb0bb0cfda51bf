package yuccaerror_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
)

func TestTableIsComplete(t *testing.T) {
	c := qt.New(t)
	names := map[string]yuccaerror.Kind{}
	for _, k := range yuccaerror.Kinds() {
		attributes := k.Attributes()
		c.Assert(attributes.Name, qt.Not(qt.Equals), "", qt.Commentf("kind %d", k))
		c.Assert(attributes.Status >= 400 && attributes.Status < 600, qt.IsTrue, qt.Commentf("%s", k))
		c.Assert(attributes.Status == 503 || attributes.Status == 429, qt.Equals, attributes.RetryAfter > 0, qt.Commentf("%s: a 503 or 429, and no other status, needs a Retry-After value", k))
		_, duplicate := names[attributes.Name]
		c.Assert(duplicate, qt.IsFalse, qt.Commentf("name %s is used by two kinds", attributes.Name))
		names[attributes.Name] = k
	}
}

func TestKindOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want yuccaerror.Kind
	}{
		{"nil", nil, yuccaerror.None},
		{"plain", errors.New("x"), yuccaerror.Internal},
		{"new", yuccaerror.New(yuccaerror.Shed, "full"), yuccaerror.Shed},
		{"wrapped", fmt.Errorf("more: %w", yuccaerror.New(yuccaerror.Shed, "full")), yuccaerror.Shed},
		{"first kind wins", yuccaerror.Wrap(yuccaerror.ConnectionLost, yuccaerror.New(yuccaerror.Shed, "full")), yuccaerror.Shed},
		{"wrap nil", yuccaerror.Wrap(yuccaerror.ConnectionLost, nil), yuccaerror.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, yuccaerror.KindOf(test.err), qt.Equals, test.want)
		})
	}
}
