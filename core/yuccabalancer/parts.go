package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaoverload"
	"yuccawell.example/core/yuccapace"
	"yuccawell.example/core/yuccaswitch"
)

// parts are the mechanisms that a Core is put together from, or their replacements.
type parts struct {
	// maxCrowdingWeight is the weight of the extra slot time when all slots are in use.
	maxCrowdingWeight float64
	// spilloverBurst is how many requests may leave their region at once.
	spilloverBurst float64
	// maxShiftPerSecond is the greatest part of a region's requests that may move to
	// another region within a second.
	maxShiftPerSecond float64
	// newPace returns the pace of a server that has started or recovered.
	newPace func(slowUntil time.Time) yuccapace.Pace
	// newLine returns what tells the rejected callers of a service when to return.
	newLine func() returnLine
	// request and result select what is used of a request and of its result.
	request func(yuccaadmission.Request) yuccaadmission.Request
	result  func(yuccaadmission.Result) yuccaadmission.Result
}

// returnLine tells rejected callers when to return. See yuccaoverload.Line.
type returnLine interface {
	Complete(now time.Time)
	Join(now time.Time, soonest, left time.Duration, random uint64) time.Duration
}

// newParts returns the parts without the mechanisms that are off.
func newParts(off yuccaswitch.Set) parts {
	p := parts{
		maxCrowdingWeight: maxCrowdingWeight,
		spilloverBurst:    spilloverBurst,
		maxShiftPerSecond: maxShiftPerSecond,
		newPace:           yuccapace.New,
		newLine:           func() returnLine { return &yuccaoverload.Line{} },
	}
	if off.Has(yuccaswitch.Crowding) {
		p.maxCrowdingWeight = 0
	}
	if off.Has(yuccaswitch.Spillover) {
		p.spilloverBurst = 0
	}
	if off.Has(yuccaswitch.Split) {
		p.maxShiftPerSecond = 0
	}
	if off.Has(yuccaswitch.Ramp) {
		p.newPace = func(time.Time) yuccapace.Pace { return yuccapace.Pace{} }
	}
	if off.Has(yuccaswitch.Line) {
		p.newLine = func() returnLine { return yuccaoverload.Independent{} }
	}
	p.request = requestFilter(off)
	p.result = resultFilter(off)
	return p
}

// requestFilter returns a function that clears the fields of a request which only mechanisms
// that are off use.
func requestFilter(off yuccaswitch.Set) func(yuccaadmission.Request) yuccaadmission.Request {
	noAffinity, noClasses := off.Has(yuccaswitch.Affinity), off.Has(yuccaswitch.Classes)
	return func(r yuccaadmission.Request) yuccaadmission.Request {
		if noAffinity {
			r.Object = 0
		}
		if noClasses {
			r.Priority = 0
		}
		return r
	}
}

// resultFilter is requestFilter for results.
func resultFilter(off yuccaswitch.Set) func(yuccaadmission.Result) yuccaadmission.Result {
	noReports, noSlowness := off.Has(yuccaswitch.Reports), off.Has(yuccaswitch.Slowness)
	return func(r yuccaadmission.Result) yuccaadmission.Result {
		if noReports {
			r.Load = nil
		}
		if noSlowness && r.Load != nil {
			load := *r.Load
			load.Slowness = 0
			r.Load = &load
		}
		return r
	}
}
