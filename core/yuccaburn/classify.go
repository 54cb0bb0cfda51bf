package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Classify returns how a request counts against its goal. The kind k is its
// error, or yuccaerror.None when a backend server answered it, in which case
// status is the HTTP status of that answer. The request took the time took, and
// latency is the limit of the goal. A latency of zero means that the service has
// no goal.
func Classify(k yuccaerror.Kind, status int, took, latency time.Duration) Outcome {
	switch k {
	case yuccaerror.None:
		return classifyResponse(status, took, latency)
	case yuccaerror.Shed, yuccaerror.NoServer, yuccaerror.Unready, yuccaerror.Throttled, yuccaerror.Leaving:
		return Shed
	case yuccaerror.ExpiredBeforeSend, yuccaerror.ExpiredAfterSend:
		return Late
	case yuccaerror.Malformed, yuccaerror.UnknownService, yuccaerror.Unauthorized, yuccaerror.QuotaExceeded, yuccaerror.Canceled, yuccaerror.KeyMismatch, yuccaerror.TooLarge,
		yuccaerror.KeyInProgress, yuccaerror.ReplayUnavailable, yuccaerror.Quarantined:
		return Ignored
	}
	return Broken
}

// minServerErrorStatus is the first HTTP status of the class of server errors.
const minServerErrorStatus = 500

func classifyResponse(status int, took, latency time.Duration) Outcome {
	switch {
	case status >= minServerErrorStatus:
		return Broken
	case latency > 0 && took > latency:
		return Late
	}
	return Good
}
