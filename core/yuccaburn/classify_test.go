package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
)

func TestClassify(t *testing.T) {
	const goal = 300 * time.Millisecond
	tests := []struct {
		kind   yuccaerror.Kind
		status int
		took   time.Duration
		want   yuccaburn.Outcome
	}{
		{yuccaerror.None, 200, goal, yuccaburn.Good},
		{yuccaerror.None, 404, goal, yuccaburn.Good},
		{yuccaerror.None, 200, goal + 1, yuccaburn.Late},
		{yuccaerror.None, 500, 0, yuccaburn.Broken},
		{yuccaerror.Shed, 503, 0, yuccaburn.Shed},
		{yuccaerror.ExpiredAfterSend, 504, 0, yuccaburn.Late},
		{yuccaerror.ConnectionLost, 502, 0, yuccaburn.Broken},
		{yuccaerror.Malformed, 400, 0, yuccaburn.Ignored},
		{yuccaerror.Canceled, 499, 0, yuccaburn.Ignored},
	}
	for _, test := range tests {
		qt.Assert(t, yuccaburn.Classify(test.kind, test.status, test.took, goal), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
