package yuccalife_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalife"
)

func run(l yuccalife.State, messages ...yuccalife.Event) (yuccalife.State, yuccalife.Command) {
	var cmd yuccalife.Command
	for _, m := range messages {
		l, cmd = l.Update(m)
	}
	return l, cmd
}

func TestUpdate(t *testing.T) {
	unreachable := yuccalife.Failed{Kind: yuccaerror.Unreachable, WithinBudget: true}
	broken := yuccalife.Failed{Kind: yuccaerror.Broken, WithinBudget: true}
	admitted, picked, left := yuccalife.Admitted{}, yuccalife.Picked{}, yuccalife.SendStarted{}
	tests := []struct {
		name       string
		idempotent bool
		messages   []yuccalife.Event
		action     yuccalife.Action
		kind       yuccaerror.Kind
		ran        yuccaerror.RunStatus
	}{
		{"whole path", false, []yuccalife.Event{admitted, picked, left, yuccalife.ResponseStarted{}}, yuccalife.Relay, yuccaerror.None, ""},
		{"refused", false, []yuccalife.Event{yuccalife.Refused{Kind: yuccaerror.Shed}}, yuccalife.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"connect fails, tried elsewhere", false, []yuccalife.Event{admitted, picked, unreachable}, yuccalife.Pick, yuccaerror.None, ""},
		{"connect fails, no budget", false, []yuccalife.Event{admitted, picked, yuccalife.Failed{Kind: yuccaerror.Unreachable}}, yuccalife.ReplyError, yuccaerror.Unreachable, yuccaerror.NotRun},
		{"broken after a byte left", false, []yuccalife.Event{admitted, picked, left, broken}, yuccalife.ReplyError, yuccaerror.Broken, yuccaerror.MayHaveRun},
		{"broken but idempotent", true, []yuccalife.Event{admitted, picked, left, broken}, yuccalife.Pick, yuccaerror.None, ""},
		{"declined", false, []yuccalife.Event{admitted, picked, left, yuccalife.Declined{WithinBudget: true}}, yuccalife.Pick, yuccaerror.None, ""},
		{"declined, no budget", false, []yuccalife.Event{admitted, picked, left, yuccalife.Declined{}}, yuccalife.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"unsure, then declined", true, []yuccalife.Event{admitted, picked, left, broken, picked, left, yuccalife.Declined{}}, yuccalife.ReplyError, yuccaerror.Shed, yuccaerror.MayHaveRun},
		{"declined, then declined", false, []yuccalife.Event{admitted, picked, left, yuccalife.Declined{WithinBudget: true}, picked, left, yuccalife.Declined{}}, yuccalife.ReplyError, yuccaerror.Shed, yuccaerror.NotRun},
		{"declined, then unreachable", false, []yuccalife.Event{admitted, picked, left, yuccalife.Declined{WithinBudget: true}, picked, yuccalife.Failed{Kind: yuccaerror.Unreachable}}, yuccalife.ReplyError, yuccaerror.Unreachable, yuccaerror.NotRun},
		{"quarantined after a try", true, []yuccalife.Event{admitted, picked, left, broken, yuccalife.Refused{Kind: yuccaerror.Poison}}, yuccalife.ReplyError, yuccaerror.Poison, yuccaerror.MayHaveRun},
		{"one of two fails", true, []yuccalife.Event{admitted, picked, left, yuccalife.Hedged{}, left, broken}, yuccalife.Wait, yuccaerror.None, ""},
		{"both of two fail", true, []yuccalife.Event{admitted, picked, left, yuccalife.Hedged{}, left, broken, yuccalife.Failed{Kind: yuccaerror.Broken}}, yuccalife.ReplyError, yuccaerror.Broken, yuccaerror.MayHaveRun},
		{"ran before, then refused", true, []yuccalife.Event{admitted, picked, left, broken, yuccalife.Refused{Kind: yuccaerror.Shed}}, yuccalife.ReplyError, yuccaerror.Broken, yuccaerror.MayHaveRun},
		{"deadline before sending", false, []yuccalife.Event{admitted, picked, yuccalife.TimedOut{}}, yuccalife.ReplyError, yuccaerror.ExpiredBeforeSend, yuccaerror.NotRun},
		{"deadline after sending", false, []yuccalife.Event{admitted, picked, left, yuccalife.TimedOut{}}, yuccalife.ReplyError, yuccaerror.ExpiredAfterSend, yuccaerror.MayHaveRun},
		{"cut in the answer", true, []yuccalife.Event{admitted, picked, left, yuccalife.ResponseStarted{}, broken}, yuccalife.Close, yuccaerror.Broken, ""},
		{"hung up", true, []yuccalife.Event{admitted, picked, left, yuccalife.Disconnected{}}, yuccalife.Close, yuccaerror.Canceled, ""},
		{"after the end", true, []yuccalife.Event{yuccalife.Refused{Kind: yuccaerror.Shed}, admitted}, yuccalife.Done, yuccaerror.None, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, cmd := run(yuccalife.New(test.idempotent), test.messages...)
			qt.Assert(t, cmd, qt.Equals, yuccalife.Command{Action: test.action, Kind: test.kind, Ran: test.ran})
		})
	}
}

// TestNotRunIsTrue drives lives with arbitrary messages and keeps its own count
// of the tries that may have run.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 30 {
			drive(t)
		}
	})
}

func drive(t *rapid.T) {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	l := yuccalife.New(idempotent)
	l, cmd := l.Update(yuccalife.Admitted{})
	sent, declined := 0, 0
	for !cmd.Final() {
		var m yuccalife.Event
		budget := rapid.Bool().Draw(t, "budget")
		switch l.Phase() {
		case yuccalife.Waiting:
			m = rapid.SampledFrom([]yuccalife.Event{yuccalife.Picked{}, yuccalife.Picked{}, yuccalife.Picked{}, yuccalife.Refused{Kind: yuccaerror.NoServer}, yuccalife.TimedOut{}}).Draw(t, "m")
		case yuccalife.Chosen:
			m = rapid.SampledFrom([]yuccalife.Event{yuccalife.SendStarted{}, yuccalife.SendStarted{}, yuccalife.SendStarted{}, yuccalife.Failed{Kind: yuccaerror.Unreachable, WithinBudget: budget}, yuccalife.TimedOut{}}).Draw(t, "m")
		default:
			m = rapid.SampledFrom([]yuccalife.Event{yuccalife.ResponseStarted{}, yuccalife.Declined{WithinBudget: budget}, yuccalife.Declined{WithinBudget: true}, yuccalife.Failed{Kind: yuccaerror.Broken, WithinBudget: budget}, yuccalife.TimedOut{}, yuccalife.Finished{}}).Draw(t, "m")
		}
		switch m.(type) {
		case yuccalife.SendStarted:
			sent++
		case yuccalife.Declined:
			declined++
		}
		l, cmd = l.Update(m)
	}
	if !idempotent && sent-declined > 1 {
		t.Fatalf("a request that is not idempotent was sent %d times, declined %d times", sent, declined)
	}
	if cmd.Action == yuccalife.ReplyError && cmd.Ran == yuccaerror.MayHaveRun && sent == declined {
		t.Fatalf("answered %s with maybe, though each of %d tries was declined", cmd.Kind, sent)
	}
	if cmd.Ran == yuccaerror.NotRun && sent > declined {
		t.Fatalf("answered %s with not run, sent %d times, declined %d times", cmd.Kind, sent, declined)
	}
}
