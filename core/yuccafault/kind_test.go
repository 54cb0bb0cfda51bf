package yuccafault_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafault"
)

func TestTableIsComplete(t *testing.T) {
	c := qt.New(t)
	names := map[string]yuccafault.Kind{}
	for _, k := range yuccafault.Kinds() {
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
		want yuccafault.Kind
	}{
		{"nil", nil, yuccafault.None},
		{"plain", errors.New("x"), yuccafault.Internal},
		{"new", yuccafault.New(yuccafault.Shed, "full"), yuccafault.Shed},
		{"wrapped", fmt.Errorf("more: %w", yuccafault.New(yuccafault.Shed, "full")), yuccafault.Shed},
		{"first kind wins", yuccafault.Wrap(yuccafault.Broken, yuccafault.New(yuccafault.Shed, "full")), yuccafault.Shed},
		{"wrap nil", yuccafault.Wrap(yuccafault.Broken, nil), yuccafault.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, yuccafault.KindOf(test.err), qt.Equals, test.want)
		})
	}
}
