package yuccaexplain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The time window of the context events shown for an event of a request.
const (
	// contextBefore is the length of the window before the event.
	contextBefore = 3 * time.Second
	// contextAfter is the length of the window after the event.
	contextAfter = 500 * time.Millisecond
)

// contextEvents maps the events about an entry's own state to descriptions: its
// start and stop, its routes, and its connections to the platform and to peers.
var contextEvents = map[string]string{
	"entry_starts":          "the entry started",
	"entry_leaves":          "the entry was told to stop",
	"routes_in_force":       "new routes took effect",
	"routes_refused":        "new routes were rejected",
	"routes_fetched":        "new routes came from another entry",
	"routes_not_fetched":    "another entry did not hand on the routes that it announces",
	"evacuation_changed":    "the evacuated failure domains changed",
	"platform_lost":         "the platform stopped answering",
	"platform_back":         "the platform answers again",
	"history_forgotten":     "the platform's change history did not reach back far enough",
	"reader_changed":        "the entry began or ceased to call the platform for its failure domain",
	"changes_fetched":       "changes came from another entry",
	"changes_not_fetched":   "another entry did not hand on its changes",
	"peer_unreachable":      "another entry could not be reached",
	"peer_lost":             "another entry was lost",
	"platform_restored":     "the platform came back from an older copy of itself",
	"servers_unreachable":   "the entry lost its links to all servers and went on through other entries",
	"servers_reachable":     "the entry reached the servers directly again",
	"server_notice_changed": "a server named another limit, or none",
	"request_struck":        "a server crashed while it ran a request",
	"lines_left_out":        "log lines were left out",
}

// kindDescriptions maps the names of error kinds to descriptions.
var kindDescriptions = map[string]string{
	"shed":         "every server that may take it was so full that it would have been answered too late",
	"empty":        "no server of the service may take it",
	"unready":      "the entry had no routes yet",
	"unauthorized": "the request had no key of a client account, or one that the config in force does not hold",
	"quota":        "the client account had used up its quota",
	"unknown":      "no route matches its host and path",
	"expired":      "its deadline passed before it was sent to a server",
	"overdue":      "its deadline passed while a server worked on it",
	"unreachable":  "no connection to a server could be opened",
	"broken":       "the server sent no complete and valid response, and may have run the request",
	"canceled":     "the caller closed its connection before the response was complete",
	"poison":       "several servers in a row crashed while they ran this request",
	"malformed":    "it is not valid HTTP",
	"large":        "its headers are too long",
	"leaving":      "the entry was stopping",
	"running":      "an earlier request with the same idempotency key was still running",
	"spent":        "its idempotency key was used before, and that response is not kept",
	"conflict":     "its idempotency key was used for a different request",
	"unclaimed":    "the entry had used up its rate of platform calls",
	"unsettled":    "the platform could not tell whether its idempotency key was used before",
	"platform":     "the platform did not answer or answered wrongly",
	"raced":        "another write came first",
	"missing":      "the object does not exist",
	"forgotten":    "the platform's change history did not reach back far enough",
	"refused":      "the rules or settings have errors",
	"usage":        "the command line is invalid",
	"protocol":     "another entry sent an invalid message",
	"internal":     "a defect in the program",
}

// Explain describes how a request ended. It lists the events with the request's
// ID from all entries, in the order of events, each with the context events of
// the same entry around that time. If no event has the ID, the text says that and
// why it may be so.
func Explain(events []Event, id string) string {
	if !Mentions(events, id) {
		return fmt.Sprintf("No line names request %s. A request that a server answered leaves no line. Lines may also have been dropped: look for the event lines_left_out.\n", id)
	}
	var b strings.Builder
	for i, e := range events {
		if e.Fields["request"] != id {
			continue
		}
		b.WriteString(describeOutcome(e))
		b.WriteString(describeContext(events, i))
	}
	return b.String()
}

// Mentions reports whether any event has the request's ID.
func Mentions(events []Event, id string) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.Fields["request"] == id })
}

// describeOutcome describes how a request ended at one entry, with all attempts
// to send it to a server. A caller's retry is an event of its own.
func describeOutcome(e Event) string {
	f := e.Fields
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, status %s: %s.\n", formatTime(e.At), e.Entry, f["kind"], f["status"], describeKind(f["kind"]))
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
	if f["account"] != "" {
		fmt.Fprintf(&b, "  Account %s.\n", f["account"])
	}
	if f["tries"] == "" {
		b.WriteString("  It was given to no server.\n")
	}
	for _, attempt := range strings.Split(f["tries"], ",") {
		b.WriteString(describeAttempt(attempt))
	}
	if f["error"] != "" {
		fmt.Fprintf(&b, "  Cause: %s.\n", f["error"])
	}
	return b.String()
}

// describeKind describes the error kind of a name.
func describeKind(kind string) string {
	if description, ok := kindDescriptions[kind]; ok {
		return description
	}
	return "see the table of kinds"
}

// describeRoute describes the route that a request matched and the time that the
// request took.
func describeRoute(f map[string]string) string {
	if f["route"] == "" {
		return fmt.Sprintf("  No route was known or matched; %s ms after its arrival.\n", f["took"])
	}
	return fmt.Sprintf("  Route %s of version %s, service %s; %s ms after its arrival, of %s ms allowed, for a goal of %s ms.\n",
		f["route"], f["routes"], f["service"], f["took"], f["limit"], f["goal"])
}

// describeAttempt describes one attempt, which has the form
// SERVER/DOMAIN:REASON:ENDING:TIME. It returns "" for any other form.
func describeAttempt(attempt string) string {
	parts := strings.Split(attempt, ":")
	if len(parts) < 4 || len(parts) > 5 {
		return ""
	}
	via := ""
	if len(parts) == 5 {
		via = " through " + parts[4]
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
	return fmt.Sprintf("  Given to %s in %s%s (%s): %s after %s.\n", server, domain, via, reason, parts[2], parts[3])
}

// describeContext lists the context events of the same entry shortly before and
// after the event at position at.
func describeContext(events []Event, at int) string {
	var b strings.Builder
	e := events[at]
	for _, other := range events {
		description, ok := contextEvents[other.Name]
		if !ok || other.Entry != e.Entry || other.At.Before(e.At.Add(-contextBefore)) || other.At.After(e.At.Add(contextAfter)) {
			continue
		}
		fmt.Fprintf(&b, "    %s %s%s\n", formatTime(other.At), description, describeFields(other))
	}
	if b.Len() == 0 {
		return ""
	}
	return "  Around it, the same entry:\n" + b.String()
}

// describeFields lists the fields of a context event that name its subject and
// its cause, in parentheses.
func describeFields(e Event) string {
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

// formatTime formats the time of day in UTC with milliseconds.
func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }
