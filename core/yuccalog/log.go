// Package yuccalog writes one key=value line per event.
//
//	log := yuccalog.New(os.Stderr, "info")
//	log.Info().Int("busy", 3).Str("server", name).Msg("server_ejected")
//
// prints
//
//	time=2027-03-27T20:00:00.123456789Z level=info event=server_ejected busy=3 server=10.0.0.7:80
package yuccalog

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Times carry fractions of a second, so that events of several entries can be
// put in order.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes lines of at least the given level to w. The
// level is one of debug, info, warn and error; any other word means info.
func New(w io.Writer, level string) zerolog.Logger { return NewJSON(NewKeyValueWriter(w), level) }

// NewJSON is New for a writer that gets the lines before they are formatted.
func NewJSON(w io.Writer, level string) zerolog.Logger {
	return zerolog.New(w).Level(parse(level)).With().Timestamp().Logger()
}

// NewKeyValueWriter returns a writer that turns the lines of a logger from NewJSON into key=value
// lines.
func NewKeyValueWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:           w,
		NoColor:       true,
		TimeFormat:    time.RFC3339Nano,
		TimeLocation:  time.UTC,
		FormatMessage: func(v any) string { return fmt.Sprintf("event=%v", v) },
		FormatLevel:   func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
	}
}

func parse(level string) zerolog.Level {
	known, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.InfoLevel
	}
	return known
}
