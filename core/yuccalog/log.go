// Package yuccalog makes the loggers of the processes. They write one line of
// key=value pairs for each event.
//
// New returns a logger that writes at once. For a logger that never blocks a
// request, put a Writer between NewJSON and NewKeyValueWriter; a RateSampler
// limits the lines of one event, and a DropReporter logs how many lines are
// missing.
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

// Timestamps have fractions of a second, so that the events of several entries
// (the proxy instances of the system) can be sorted.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes lines of at least the given level to w. The
// level is one of zerolog's, such as debug, info, warn and error; any other text
// means info.
func New(w io.Writer, level string) zerolog.Logger { return NewJSON(NewKeyValueWriter(w), level) }

// NewJSON is like New, but writes each event as a line of JSON.
func NewJSON(w io.Writer, level string) zerolog.Logger {
	return zerolog.New(w).Level(parseLevel(level)).With().Timestamp().Logger()
}

// NewKeyValueWriter returns a writer that converts the JSON lines of a logger from
// NewJSON to key=value lines.
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

// parseLevel returns the level of a name, and info for an unknown one.
func parseLevel(level string) zerolog.Level {
	known, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.InfoLevel
	}
	return known
}
