package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Classify says how a request counts that ended in a kind, with the status of the
// server's answer where there is one, after the given time. A latency of zero
// means that the service has no goal.
func Classify(k yuccaerror.Kind, status int, took, latency time.Duration) Outcome {
	switch k {
	case yuccaerror.None:
		return judgeAnswer(status, took, latency)
	case yuccaerror.Shed, yuccaerror.NoServer, yuccaerror.Unready, yuccaerror.Throttled, yuccaerror.Leaving:
		return Shed
	case yuccaerror.ExpiredBeforeSend, yuccaerror.ExpiredAfterSend:
		return Late
	case yuccaerror.Malformed, yuccaerror.UnknownService, yuccaerror.Canceled, yuccaerror.KeyMismatch, yuccaerror.Large,
		yuccaerror.KeyInProgress, yuccaerror.ReplayUnavailable, yuccaerror.Poison:
		return Ignored
	}
	return Broken
}

const serverError = 500

func judgeAnswer(status int, took, latency time.Duration) Outcome {
	switch {
	case status >= serverError:
		return Broken
	case latency > 0 && took > latency:
		return Late
	}
	return Good
}
