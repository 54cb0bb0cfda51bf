package yuccalog_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccalog"
)

func TestNewWritesKeyValueLine(t *testing.T) {
	tests := []struct {
		level string
		want  string
	}{
		{"info", `time=\S+ level=info event=server_ejected busy=3 server=10.0.0.7:80\n`},
		{"error", ``},
		{"nonsense", `time=\S+ level=info event=server_ejected busy=3 server=10.0.0.7:80\n`},
	}
	for _, test := range tests {
		t.Run(test.level, func(t *testing.T) {
			var out bytes.Buffer
			log := yuccalog.New(&out, test.level)
			log.Info().Str("server", "10.0.0.7:80").Int("busy", 3).Msg("server_ejected")
			qt.Assert(t, out.String(), qt.Matches, test.want)
		})
	}
}
