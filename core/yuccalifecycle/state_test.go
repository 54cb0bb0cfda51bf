package yuccalifecycle_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalifecycle"
)

func run(l yuccalifecycle.State, events ...yuccalifecycle.Event) (yuccalifecycle.State, yuccalifecycle.Command) {
	var cmd yuccalifecycle.Command
	for _, m := range events {
		l, cmd = l.Update(m)
	}
	return l, cmd
}

func TestUpdate(t *testing.T) {
	unreachable := yuccalifecycle.Failed{Kind: yuccaerror.Unreachable, WithinBudget: true}
	broken := yuccalifecycle.Failed{Kind: yuccaerror.ConnectionLost, WithinBudget: true}
	admitted, picked, sendStarted := yuccalifecycle.Admitted{}, yuccalifecycle.Picked{}, yuccalifecycle.SendStarted{}
	tests := []struct {
		name       string
		idempotent bool
		events     []yuccalifecycle.Event
		action     yuccalifecycle.Action
		kind       yuccaerror.Kind
		ran        yuccaerror.RunStatus
	}{
		{"admitted and answered", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.ResponseStarted{}}, yuccalifecycle.Relay, yuccaerror.None, ""},
		{"refused", false, []yuccalifecycle.Event{yuccalifecycle.Refused{Kind: yuccaerror.Shed}}, yuccalifecycle.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"connect fails, another server picked", false, []yuccalifecycle.Event{admitted, picked, unreachable}, yuccalifecycle.Pick, yuccaerror.None, ""},
		{"connect fails, no budget", false, []yuccalifecycle.Event{admitted, picked, yuccalifecycle.Failed{Kind: yuccaerror.Unreachable}}, yuccalifecycle.ReplyError, yuccaerror.Unreachable, yuccaerror.NotRun},
		{"broken after sending", false, []yuccalifecycle.Event{admitted, picked, sendStarted, broken}, yuccalifecycle.ReplyError, yuccaerror.ConnectionLost, yuccaerror.MayHaveRun},
		{"broken but idempotent", true, []yuccalifecycle.Event{admitted, picked, sendStarted, broken}, yuccalifecycle.Pick, yuccaerror.None, ""},
		{"declined", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Declined{WithinBudget: true}}, yuccalifecycle.Pick, yuccaerror.None, ""},
		{"declined, no budget", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Declined{}}, yuccalifecycle.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"broken, then declined", true, []yuccalifecycle.Event{admitted, picked, sendStarted, broken, picked, sendStarted, yuccalifecycle.Declined{}}, yuccalifecycle.ReplyError, yuccaerror.Shed, yuccaerror.MayHaveRun},
		{"declined, then declined", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Declined{WithinBudget: true}, picked, sendStarted, yuccalifecycle.Declined{}}, yuccalifecycle.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"declined, then unreachable", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Declined{WithinBudget: true}, picked, yuccalifecycle.Failed{Kind: yuccaerror.Unreachable}}, yuccalifecycle.ReplyError, yuccaerror.Unreachable, yuccaerror.NotRun},
		{"quarantined after an attempt", true, []yuccalifecycle.Event{admitted, picked, sendStarted, broken, yuccalifecycle.Refused{Kind: yuccaerror.Quarantined}}, yuccalifecycle.ReplyError, yuccaerror.Quarantined, yuccaerror.MayHaveRun},
		{"one of two hedged attempts fails", true, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Hedged{}, sendStarted, broken}, yuccalifecycle.Wait, yuccaerror.None, ""},
		{"both hedged attempts fail", true, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Hedged{}, sendStarted, broken, yuccalifecycle.Failed{Kind: yuccaerror.ConnectionLost}}, yuccalifecycle.ReplyError, yuccaerror.ConnectionLost, yuccaerror.MayHaveRun},
		{"broken, then refused", true, []yuccalifecycle.Event{admitted, picked, sendStarted, broken, yuccalifecycle.Refused{Kind: yuccaerror.Shed}}, yuccalifecycle.ReplyError, yuccaerror.ConnectionLost, yuccaerror.MayHaveRun},
		{"deadline before sending", false, []yuccalifecycle.Event{admitted, picked, yuccalifecycle.TimedOut{}}, yuccalifecycle.ReplyError, yuccaerror.ExpiredBeforeSend, yuccaerror.NotRun},
		{"deadline after sending", false, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.TimedOut{}}, yuccalifecycle.ReplyError, yuccaerror.ExpiredAfterSend, yuccaerror.MayHaveRun},
		{"broken during the response", true, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.ResponseStarted{}, broken}, yuccalifecycle.Close, yuccaerror.ConnectionLost, ""},
		{"caller disconnects", true, []yuccalifecycle.Event{admitted, picked, sendStarted, yuccalifecycle.Disconnected{}}, yuccalifecycle.Close, yuccaerror.Canceled, ""},
		{"event after the end", true, []yuccalifecycle.Event{yuccalifecycle.Refused{Kind: yuccaerror.Shed}, admitted}, yuccalifecycle.Done, yuccaerror.None, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, cmd := run(yuccalifecycle.New(test.idempotent), test.events...)
			qt.Assert(t, cmd, qt.Equals, yuccalifecycle.Command{Action: test.action, Kind: test.kind, Ran: test.ran})
		})
	}
}

// TestRunStatusMatchesAttempts guards against a wrong statement on whether a
// request ran, and against a second run of one that is not idempotent. It feeds
// random events and counts the attempts that may have run.
func TestRunStatusMatchesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 30 {
			checkRandomEvents(t)
		}
	})
}

// checkRandomEvents feeds random events to one request until it ends.
func checkRandomEvents(t *rapid.T) {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	l := yuccalifecycle.New(idempotent)
	l, cmd := l.Update(yuccalifecycle.Admitted{})
	sent, declined := 0, 0
	for !cmd.Final() {
		var m yuccalifecycle.Event
		budget := rapid.Bool().Draw(t, "budget")
		switch l.Phase() {
		case yuccalifecycle.Waiting:
			m = rapid.SampledFrom([]yuccalifecycle.Event{yuccalifecycle.Picked{}, yuccalifecycle.Picked{}, yuccalifecycle.Picked{}, yuccalifecycle.Refused{Kind: yuccaerror.NoServer}, yuccalifecycle.TimedOut{}}).Draw(t, "m")
		case yuccalifecycle.Chosen:
			m = rapid.SampledFrom([]yuccalifecycle.Event{yuccalifecycle.SendStarted{}, yuccalifecycle.SendStarted{}, yuccalifecycle.SendStarted{}, yuccalifecycle.Failed{Kind: yuccaerror.Unreachable, WithinBudget: budget}, yuccalifecycle.TimedOut{}}).Draw(t, "m")
		default:
			m = rapid.SampledFrom([]yuccalifecycle.Event{yuccalifecycle.ResponseStarted{}, yuccalifecycle.Declined{WithinBudget: budget}, yuccalifecycle.Declined{WithinBudget: true}, yuccalifecycle.Failed{Kind: yuccaerror.ConnectionLost, WithinBudget: budget}, yuccalifecycle.TimedOut{}, yuccalifecycle.Finished{}}).Draw(t, "m")
		}
		switch m.(type) {
		case yuccalifecycle.SendStarted:
			sent++
		case yuccalifecycle.Declined:
			declined++
		}
		l, cmd = l.Update(m)
	}
	if !idempotent && sent-declined > 1 {
		t.Fatalf("a request that is not idempotent was sent %d times, declined %d times", sent, declined)
	}
	if cmd.Action == yuccalifecycle.ReplyError && cmd.Ran == yuccaerror.MayHaveRun && sent == declined {
		t.Fatalf("error %s says that the request may have run, but the servers declined all %d attempts", cmd.Kind, sent)
	}
	if cmd.Ran == yuccaerror.NotRun && sent > declined {
		t.Fatalf("error %s says that the request did not run, but it was sent %d times and declined %d times", cmd.Kind, sent, declined)
	}
}
