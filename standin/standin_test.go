package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// TestCheckGuarantees checks that each violated guarantee fails the evaluation of
// a load.
func TestCheckGuarantees(t *testing.T) {
	tests := []struct {
		name  string
		rows  []row
		total yuccafake.Total
		want  yuccaerror.Kind
	}{
		{"all guarantees kept", []row{{Succeeded: 5, Rejected: 2}}, yuccafake.Total{Tokens: 5}, yuccaerror.None},
		{"lost", []row{{Succeeded: 5, Lost: 1}}, yuccafake.Total{Tokens: 5}, yuccaerror.Invalid},
		{"corrupted", []row{{Succeeded: 5}, {Succeeded: 5, Corrupted: 1}}, yuccafake.Total{Tokens: 5}, yuccaerror.Invalid},
		{"run twice", []row{{Succeeded: 5}}, yuccafake.Total{Tokens: 5, DuplicatePosts: 1}, yuccaerror.Invalid},
		{"none succeeded", []row{{Rejected: 5}}, yuccafake.Total{}, yuccaerror.Invalid},
		{"no rows", nil, yuccafake.Total{}, yuccaerror.Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, yuccaerror.KindOf(checkGuarantees(test.rows, test.total)), qt.Equals, test.want)
		})
	}
}

// TestWorldSettingsAreValid writes the settings files of each deployment and loads
// those of yucca-standin as its commands do.
func TestWorldSettingsAreValid(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			c.Assert(d.write(dir), qt.IsNil)
			for file, set := range map[string]yuccaconfig.Validator{
				"store.toml": &storeSettings{}, "server.toml": &serverSettings{}, "link.toml": &linkSettings{}, "load.toml": &loadSettings{},
			} {
				c.Assert(yuccaconfig.Load(filepath.Join(dir, file), set), qt.IsNil, qt.Commentf("%s", file))
			}
			entries, err := filepath.Glob(filepath.Join(dir, "entry-*.toml"))
			c.Assert(err, qt.IsNil)
			c.Assert(entries, qt.HasLen, worldEntries)
		})
	}
}

// TestInForceDelays checks that the delays come from the rules_in_force events of
// a log and from no other event.
func TestInForceDelays(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "entry.log")
	text := "time=2027-03-27T20:00:00.25Z level=info event=rules_in_force at=2027-03-27T20:00:00Z entry=e1 version=2\n" +
		"time=2027-03-27T20:00:01Z level=info event=leaving entry=e1\n"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	delays, err := readDelays(path)
	c.Assert(err, qt.IsNil)
	c.Assert(delays, qt.DeepEquals, []time.Duration{250 * time.Millisecond})
	var out bytes.Buffer
	c.Assert(printDelays(&out, delays), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "1 times, p50 250ms")
	c.Assert(yuccaerror.KindOf(printDelays(&out, nil)), qt.Equals, yuccaerror.Invalid)
}
