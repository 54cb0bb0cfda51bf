package yuccaexplain_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaexplain"
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

const logText = `
  4.1 edge-2 time=2026-05-01T17:19:53.5Z level=info event=request_failed after=120 entry=e2 error="shed: no server for svc" goal=200 kind=shed limit=1000 request=abc route=r1 routes=7 run=no service=svc status=503 took=1.5 tries=
time=2026-05-01T17:19:52.5Z level=warn event=platform_lost entry=e1 error="GET servers: timeout" prefix=servers/
time=2026-05-01T17:19:53Z level=info event=request_failed after=0 entry=e1 error="read tcp 10.0.0.1:1->10.0.0.2:2: i/o timeout" goal=200 kind=overdue limit=1000 request=abc route=r1 routes=7 run=maybe service=svc status=504 took=1000.2 tries=i-1/z1:object:declined:3ms,i-2/z2:room:overdue:990ms
time=2026-05-01T17:19:52.9Z level=warn event=platform_lost entry=e3 prefix=servers/
time=2026-05-01T17:19:52.7Z level=info event=changes_fetched after=41 entry=e1 from=e2 objects=3 prefix=servers/ seq=44
not a line
`

// TestExplain explains a request that failed at two entries, from lines that are
// out of order, have text before their time or are no events.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	events, err := yuccaexplain.Read(strings.NewReader(logText))
	c.Assert(err, qt.IsNil)
	c.Assert(events, qt.HasLen, 5)
	text := yuccaexplain.Explain(events, "abc")
	for _, want := range []string{
		"17:19:53.000 e1: overdue, status 504",
		"It may have run.",
		"Given to i-1 in z1 (the first of the object's order): declined after 3ms.",
		"Given to i-2 in z2 (chosen since the first of the order was busier): overdue after 990ms.",
		"Cause: read tcp 10.0.0.1:1->10.0.0.2:2: i/o timeout.",
		"17:19:52.500 the platform stopped answering (prefix servers/, error GET servers: timeout)",
		"17:19:52.700 changes came from another entry (prefix servers/",
		"17:19:53.500 e2: shed, status 503",
		"It did not run and will not.",
		"come back after 120 ms",
		"It was given to no server.",
	} {
		c.Assert(text, qt.Contains, want)
	}
	c.Assert(strings.Count(text, "the platform stopped answering"), qt.Equals, 1)
	c.Assert(strings.Index(text, "e1: overdue") < strings.Index(text, "e2: shed"), qt.IsTrue)
	c.Assert(yuccaexplain.Explain(events, "other"), qt.Contains, "No line names request other")
}

// TestExplainWithoutRoutes explains a request that arrived before the entry had
// any route. Its line has neither a route nor a limit.
func TestExplainWithoutRoutes(t *testing.T) {
	c := qt.New(t)
	const line = `time=2026-05-01T17:19:53Z level=info event=request_failed after=0 entry=e1 error="unready: no routes yet" kind=unready request=early run=no status=503 took=0.06 tries=`
	events, err := yuccaexplain.Read(strings.NewReader(line))
	c.Assert(err, qt.IsNil)
	text := yuccaexplain.Explain(events, "early")
	c.Assert(text, qt.Contains, "No route was known or matched; 0.06 ms after its arrival.")
	c.Assert(text, qt.Not(qt.Contains), "of version ,")
}

// TestExplainAccounts explains requests that were rejected because of their account or key.
// It guards against a cause or an account that the operator cannot see.
func TestExplainAccounts(t *testing.T) {
	const lines = `
time=2026-05-01T17:19:53Z level=info event=request_failed account="acme corp" entry=e1 error="quota: over its quota" kind=quota request=over run=no status=429 took=0.06 tries=
time=2026-05-01T17:19:53Z level=info event=request_failed entry=e1 error="unauthorized: key revoked in version 5" kind=unauthorized request=revoked run=no status=401 took=0.06 tries=
time=2026-05-01T17:19:52Z level=info event=routes_fetched entry=e1 from=e2 version=5
`
	c := qt.New(t)
	events, err := yuccaexplain.Read(strings.NewReader(lines))
	c.Assert(err, qt.IsNil)
	over := yuccaexplain.Explain(events, "over")
	c.Assert(over, qt.Contains, "status 429: the client account had used up its quota")
	c.Assert(over, qt.Contains, "Account acme corp.")
	c.Assert(over, qt.Contains, "Cause: quota: over its quota.")
	revoked := yuccaexplain.Explain(events, "revoked")
	c.Assert(revoked, qt.Contains, "Cause: unauthorized: key revoked in version 5.")
	c.Assert(revoked, qt.Not(qt.Contains), "Account")
	c.Assert(revoked, qt.Contains, "new routes came from another entry (version 5)")
}

// TestEveryKindIsDescribed explains a request that ended with each kind of error.
func TestEveryKindIsDescribed(t *testing.T) {
	for _, kind := range yuccaerror.Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			events := []yuccaexplain.Event{{Entry: "e1", Fields: map[string]string{"request": "abc", "kind": kind.String()}}}
			qt.Assert(t, yuccaexplain.Explain(events, "abc"), qt.Not(qt.Contains), "see the table")
		})
	}
}
