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
		row := k.Attributes()
		c.Assert(row.Name, qt.Not(qt.Equals), "", qt.Commentf("kind %d", k))
		c.Assert(row.Status >= 400 && row.Status < 600, qt.IsTrue, qt.Commentf("%s", k))
		c.Assert(row.Status == 503, qt.Equals, row.RetryAfter > 0, qt.Commentf("%s: a 503 carries Retry-After", k))
		_, twice := names[row.Name]
		c.Assert(twice, qt.IsFalse, qt.Commentf("name %s stands twice", row.Name))
		names[row.Name] = k
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
		{"first kind wins", yuccaerror.Wrap(yuccaerror.Broken, yuccaerror.New(yuccaerror.Shed, "full")), yuccaerror.Shed},
		{"wrap nil", yuccaerror.Wrap(yuccaerror.Broken, nil), yuccaerror.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, yuccaerror.KindOf(test.err), qt.Equals, test.want)
		})
	}
}
