package yuccaexplain

import (
	"fmt"
	"strings"
	"time"
)

// before and after bound the lines on what the entry believed that are shown
// beside a request's own.
const (
	before = 3 * time.Second
	after  = 500 * time.Millisecond
)

// beliefs are the events that say what an entry knows or lost.
var beliefs = map[string]string{
	"entry_starts":       "the entry started",
	"entry_leaves":       "the entry was told to stop",
	"routes_in_force":    "new routes came into force",
	"routes_refused":     "new routes were refused",
	"evacuation_changed": "the evacuated failure domains changed",
	"platform_lost":      "the platform stopped answering",
	"platform_back":      "the platform answers again",
	"history_forgotten":  "the platform forgot its history",
	"peer_unreachable":   "another entry could not be reached",
	"peer_lost":          "another entry was lost",
	"request_struck":     "a server died while it ran a request",
	"lines_left_out":     "log lines were left out",
}

// meanings say in plain words what each kind of failure is.
var meanings = map[string]string{
	"shed":        "every server that may take it was so full that it would have been answered too late",
	"empty":       "no server of the service may take it",
	"unready":     "the entry did not know the routes yet",
	"unknown":     "no route names its host and path",
	"expired":     "its time was over before it was sent to a server",
	"overdue":     "its time was over while a server worked on it",
	"unreachable": "no server could be connected to",
	"broken":      "the server broke its answer off or gave none that is valid, after it may have run the request",
	"canceled":    "the caller closed its connection before the answer was whole",
	"poison":      "several servers in a row died while they ran this request",
	"malformed":   "it breaks the rules of HTTP",
	"large":       "its head is too long",
	"leaving":     "the entry was stopping",
	"internal":    "a defect of the program",
}

// Explain tells what became of a request: its own lines, in order of time over
// all entries, and what each of those entries believed around them.
func Explain(events []Event, id string) string {
	var b strings.Builder
	found := 0
	for i, e := range events {
		if e.Fields["request"] != id {
			continue
		}
		found++
		b.WriteString(outcome(e))
		b.WriteString(around(events, i))
	}
	if found == 0 {
		return fmt.Sprintf("No line names request %s. A request that is answered by a server leaves none; lines may also have been left out: look for lines_left_out.\n", id)
	}
	return b.String()
}

// outcome describes how one try of a caller ended.
func outcome(e Event) string {
	f := e.Fields
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, status %s: %s.\n", clock(e.At), e.Entry, f["kind"], f["status"], meaning(f["kind"]))
	switch f["run"] {
	case "no":
		b.WriteString("  It did not run and will not.\n")
	default:
		b.WriteString("  It may have run.\n")
	}
	if f["after"] != "" && f["after"] != "0" {
		fmt.Fprintf(&b, "  The caller was told to come back after %s ms.\n", f["after"])
	}
	b.WriteString(describeRoute(f))
	if f["tries"] == "" {
		b.WriteString("  It was given to no server.\n")
	}
	for _, try := range strings.Split(f["tries"], ",") {
		b.WriteString(describe(try))
	}
	if f["error"] != "" {
		fmt.Fprintf(&b, "  Cause: %s.\n", f["error"])
	}
	return b.String()
}

func meaning(kind string) string {
	if m, ok := meanings[kind]; ok {
		return m
	}
	return "see the table of kinds"
}

// describeRoute tells by which route a request went and how long it took.
func describeRoute(f map[string]string) string {
	if f["route"] == "" {
		return fmt.Sprintf("  No route was known or fitted; %s ms after its arrival.\n", f["took"])
	}
	return fmt.Sprintf("  Route %s of version %s, service %s; %s ms after its arrival, of %s ms allowed, for a goal of %s ms.\n",
		f["route"], f["routes"], f["service"], f["took"], f["limit"], f["goal"])
}

// describe puts a try into words: SERVER/DOMAIN:REASON:ENDING:TIME.
func describe(try string) string {
	parts := strings.Split(try, ":")
	if len(parts) != 4 {
		return ""
	}
	server, domain, _ := strings.Cut(parts[0], "/")
	reasons := map[string]string{
		"object":   "the first of the object's order",
		"room":     "chosen since the first of the order was busier",
		"overflow": "in another region than the object's, since that one was full",
	}
	reason := reasons[parts[1]]
	if reason == "" {
		reason = parts[1]
	}
	return fmt.Sprintf("  Given to %s in %s (%s): %s after %s.\n", server, domain, reason, parts[2], parts[3])
}

// around lists what the same entry came to believe shortly before and after.
func around(events []Event, at int) string {
	var b strings.Builder
	e := events[at]
	for _, other := range events {
		what, ok := beliefs[other.Name]
		if !ok || other.Entry != e.Entry || other.At.Before(e.At.Add(-before)) || other.At.After(e.At.Add(after)) {
			continue
		}
		fmt.Fprintf(&b, "    %s %s%s\n", clock(other.At), what, detail(other))
	}
	if b.Len() == 0 {
		return ""
	}
	return "  Around it, the same entry:\n" + b.String()
}

// detail shows the fields of an event that say what it is about.
func detail(e Event) string {
	var parts []string
	for _, key := range []string{"prefix", "version", "domains", "peer", "server", "of", "count", "error"} {
		if v := e.Fields[key]; v != "" {
			parts = append(parts, key+" "+v)
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
