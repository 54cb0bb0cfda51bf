package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccafault"
)

// Classify says how a request counts that ended in a kind, with the status of the
// server's answer where there is one, after the given time. A latency of zero
// means that the service has no goal.
func Classify(k yuccafault.Kind, status int, took, latency time.Duration) Outcome {
	switch k {
	case yuccafault.None:
		return judgeAnswer(status, took, latency)
	case yuccafault.Shed, yuccafault.NoServer, yuccafault.Unready, yuccafault.Throttled, yuccafault.Leaving:
		return Shed
	case yuccafault.ExpiredBeforeSend, yuccafault.ExpiredAfterSend:
		return Late
	case yuccafault.Malformed, yuccafault.UnknownService, yuccafault.Canceled, yuccafault.KeyMismatch, yuccafault.Large,
		yuccafault.KeyInProgress, yuccafault.ReplayUnavailable, yuccafault.Poison:
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
