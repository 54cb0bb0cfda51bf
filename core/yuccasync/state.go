package yuccasync

import (
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// Snapshot is the state that an entry knows at one moment. It is immutable.
type Snapshot struct {
	// Document is the rules document in force; its Version is zero when there
	// is none.
	Document yuccarule.Document
	// Rules are the parsed rules of Document.
	Rules yuccarule.Rules
	// View is the set of known instances.
	View yuccamembership.View
	// Plan is the plan in force. Its Epoch is zero when no lease holder has
	// published one.
	Plan yuccaplan.Plan
	// Table is the locator table of Rules for the entry's region.
	Table yuccalocator.Table
}

// Ready reports whether there are rules to route by.
func (s Snapshot) Ready() bool { return s.Document.Version > 0 }

// Message is an update from the platform or from a peer.
type Message interface{ message() }

type (
	// RulesUpdate carries a rules document from any source.
	RulesUpdate struct {
		// Document is the document as stored.
		Document yuccarule.Document
		// Rules are the parsed rules of Document.
		Rules yuccarule.Rules
	}
	// ViewUpdate carries the set of known instances.
	ViewUpdate struct{ View yuccamembership.View }
	// PlanUpdate carries a plan from any source.
	PlanUpdate struct{ Plan yuccaplan.Plan }
)

func (RulesUpdate) message() {}
func (ViewUpdate) message()  {}
func (PlanUpdate) message()  {}

// State computes snapshots from updates. It is immutable.
type State struct {
	// region is the region of the entry.
	region string
	// snapshot is the latest snapshot.
	snapshot Snapshot
}

// NewState returns the empty state of an entry in a region.
func NewState(region string) State { return State{region: region} }

// Snapshot returns the latest snapshot.
func (s State) Snapshot() Snapshot { return s.snapshot }

// Update applies a message and reports whether the snapshot changed. It accepts
// rules only with a higher version than the present ones. It accepts a plan
// only with a higher epoch, or with a higher version under the same epoch.
func (s State) Update(m Message) (State, bool) {
	switch m := m.(type) {
	case RulesUpdate:
		if m.Document.Version <= s.snapshot.Document.Version {
			return s, false
		}
		s.snapshot.Document, s.snapshot.Rules = m.Document, m.Rules
		s.snapshot.Table = yuccalocator.New(m.Rules, s.region)
		return s, true
	case PlanUpdate:
		if !newer(m.Plan.Epoch, m.Plan.Version, s.snapshot.Plan) {
			return s, false
		}
		s.snapshot.Plan = m.Plan
		return s, true
	case ViewUpdate:
		if m.View.Equal(s.snapshot.View) {
			return s, false
		}
		s.snapshot.View = m.View
		return s, true
	}
	return s, false
}

// withBootstrapPlan adds a plan while no lease holder has published one. It
// derives the plan from data that is the same at every entry. The epoch and
// version of the plan are zero.
func (s State) withBootstrapPlan() State {
	if s.snapshot.Plan.Epoch > 0 || !s.snapshot.Ready() {
		return s
	}
	s.snapshot.Plan = yuccaplan.Make(yuccaplan.Input{Rules: s.snapshot.Rules, RulesVersion: s.snapshot.Document.Version, View: s.snapshot.View})
	s.snapshot.Plan.Version = 0
	return s
}
