package main

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
)

// TestSettings changes one part of the example settings and checks the problems
// that are reported.
func TestSettings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"example", "", "", nil},
		{"unknown key", "log    =", "lag    =", []string{"lag: unknown key"}},
		{"no name", `name   = "e1"`, `name = ""`, []string{"name: missing"}},
		{"no port", "127.0.1.1:7101", "127.0.1.1", []string{"addr: not an address"}},
		{"host name instead of IP address", "127.0.1.1:7102", "localhost:7102", []string{"peer: not an address"}},
		{"store without scheme", "http://127", "127", []string{"store: not an address"}},
		{"short ttl", `"5s"`, `"10ms"`, []string{"ttl: too short"}},
		{"negative linger", `"10s"`, `"-1s"`, []string{"linger: negative"}},
		{"keys too short", `"1h"`, `"10s"`, []string{"keys: too short"}},
		{"bad seed", "127.0.1.2:7102", "nowhere", []string{"seeds: not an address: nowhere"}},
		{"not a duration", `"5s"`, `"soon"`, []string{"is not a duration"}},
		{"several problems", "127.0.1.1", "x", []string{"addr: ", "peer: ", "admin: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := defaultSettings()
			err := yuccaconfig.Parse("entry.toml", []byte(strings.ReplaceAll(exampleSettings, test.old, test.new)), &cfg)
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(yuccaerror.Is(err, yuccaerror.Invalid), qt.IsTrue)
			for _, want := range test.want {
				c.Assert(err.Error(), qt.Contains, want)
			}
		})
	}
}

// TestCommands checks the exit code of each command line, and the error if it
// fails.
func TestCommands(t *testing.T) {
	tests := []struct {
		args []string
		exit int
		want string
	}{
		{[]string{"settings"}, 0, ""},
		{[]string{"run", "--settings", "no-such-file"}, 1, "read settings"},
		{[]string{"run", "--nope"}, 2, "unknown flag"},
		{[]string{"version"}, 0, ""},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			cmd := command()
			cmd.SetOut(&out)
			cmd.SetArgs(test.args)
			err := cmd.Execute()
			c.Assert(yuccaerror.KindOf(err).Attributes().ExitCode, qt.Equals, test.exit, qt.Commentf("%v", err))
			if err != nil {
				c.Assert(err.Error(), qt.Contains, test.want)
			}
		})
	}
}
