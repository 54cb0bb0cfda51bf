// Package yuccaexplain explains in prose how a failed request ended, from the
// logs of the entries (the proxy instances of the system).
//
// Read parses logs into events, and Explain describes the events of one request
// with the events of the same entry shortly before and after it.
//
//	events, err := yuccaexplain.Read(os.Stdin)
//	fmt.Print(yuccaexplain.Explain(events, "9c41d07be2a35f68"))
package yuccaexplain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the length of the longest log line that Read accepts, in bytes.
const maxLineBytes = 1 << 20

// Event is one log line with a time and an event name.
type Event struct {
	// At is the time of the event by the clock of its entry.
	At time.Time
	// Name is the event name, such as request_failed.
	Name string
	// Entry is the name of the entry that logged the event.
	Entry string
	// Fields are all values of the line by key, including time, event and entry.
	Fields map[string]string
}

// Read returns the events of a log sorted by time, then by entry. It ignores any
// text before the time of a line, and skips lines without a time and an event
// name. It fails if r fails or if a line is longer than 1 MiB.
func Read(r io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if e, ok := parseLine(lines.Text()); ok {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Entry, b.Entry)) })
	return all, lines.Err()
}

// parseLine returns the event of a line, and false if the line has none.
func parseLine(line string) (Event, bool) {
	start := strings.Index(line, "time=")
	if start < 0 {
		return Event{}, false
	}
	fields := parseFields(line[start:])
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil || fields["event"] == "" {
		return Event{}, false
	}
	return Event{At: at, Name: fields["event"], Entry: fields["entry"], Fields: fields}, true
}

// parseFields parses key=value pairs. Values that contain spaces are quoted.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text = strings.TrimLeft(text, " "); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			return fields
		}
		fields[key], text = cutValue(rest)
	}
	return fields
}

// cutValue returns the value at the start of text, without its quotes, and the
// text after it. If the closing quote is missing, the value is all of text.
func cutValue(text string) (string, string) {
	if !strings.HasPrefix(text, `"`) {
		v, rest, _ := strings.Cut(text, " ")
		return v, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), text[i+1:]
		}
	}
	return text, ""
}
