package yuccaconfig_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
)

// settings is a settings type that requires a name and a size of at least 1.
type settings struct {
	Name string
	Wait yuccaconfig.Duration
	Size int
}

func (s *settings) Validate() []yuccaconfig.Problem {
	var problems []yuccaconfig.Problem
	if s.Name == "" {
		problems = append(problems, yuccaconfig.Problem{Key: "name", Message: "missing", Allowed: "a name"})
	}
	if s.Size < 1 {
		problems = append(problems, yuccaconfig.Problem{Key: "size", Message: "too small", Allowed: "1 or more"})
	}
	return problems
}

// TestParse checks that a valid text is decoded, and that an invalid one is
// reported with all its problems of the same stage.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"valid", "name='a'\nwait='250ms'\nsize=3", nil},
		{"two values wrong", "wait='1s'", []string{"f.toml: name: missing; allowed: a name", "f.toml: size: too small"}},
		{"two unknown keys", "name='a'\nsize=1\nsice=2\nmame='b'", []string{"sice: unknown key", "mame: unknown key"}},
		{"bad duration", "name='a'\nsize=1\nwait='soon'", []string{"is not a duration"}},
		{"bad type", "name=3", []string{"f.toml: name"}},
		{"bad syntax", "name=", []string{"f.toml: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s settings
			err := yuccaconfig.Parse("f.toml", []byte(test.text), &s)
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				c.Assert(time.Duration(s.Wait), qt.Equals, 250*time.Millisecond)
				return
			}
			c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.Invalid)
			for _, part := range test.want {
				c.Assert(strings.Contains(err.Error(), part), qt.IsTrue, qt.Commentf("%q in %q", part, err))
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	err := yuccaconfig.Load("no-such-file.toml", &settings{})
	qt.Assert(t, yuccaerror.KindOf(err), qt.Equals, yuccaerror.Invalid)
}
