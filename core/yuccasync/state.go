package yuccasync

import (
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// Snapshot is what an entry knows at one moment. It is immutable.
type Snapshot struct {
	// Document is the rules in force; its Version is zero when there are none.
	Document yuccarule.Document
	Rules    yuccarule.Rules
	View     yuccamembership.View
	Plan     yuccaplan.Plan
	Table    yuccalocator.Table
}

// Ready reports whether there are rules to steer by.
func (s Snapshot) Ready() bool { return s.Document.Version > 0 }

// Message is something learned from the platform or from a peer.
type Message interface{ message() }

type (
	// RulesUpdate carries a rules document from any source.
	RulesUpdate struct {
		Document yuccarule.Document
		Rules    yuccarule.Rules
	}
	// ViewUpdate carries the instances that exist.
	ViewUpdate struct{ View yuccamembership.View }
	// PlanUpdate carries a plan from any source.
	PlanUpdate struct{ Plan yuccaplan.Plan }
)

func (RulesUpdate) message() {}
func (ViewUpdate) message()  {}
func (PlanUpdate) message()  {}

// State is what the snapshots are made from.
type State struct {
	home string
	now  Snapshot
}

// NewState returns the state of an entry in region home that knows nothing yet.
func NewState(home string) State { return State{home: home} }

// Snapshot returns what is known.
func (s State) Snapshot() Snapshot { return s.now }

// Update takes a message and reports whether the snapshot changed. Rules are
// taken only when their version is higher than the present one, a plan only
// when its epoch is, or its version under the same epoch.
func (s State) Update(m Message) (State, bool) {
	switch m := m.(type) {
	case RulesUpdate:
		if m.Document.Version <= s.now.Document.Version {
			return s, false
		}
		s.now.Document, s.now.Rules = m.Document, m.Rules
		s.now.Table = yuccalocator.New(m.Rules, s.home)
		return s, true
	case PlanUpdate:
		if !newer(m.Plan.Epoch, m.Plan.Version, s.now.Plan) {
			return s, false
		}
		s.now.Plan = m.Plan
		return s, true
	case ViewUpdate:
		if m.View.Equal(s.now.View) {
			return s, false
		}
		s.now.View = m.View
		return s, true
	}
	return s, false
}

// withBootstrap derives a plan from what every entry knows alike while no
// holder of the lease has published one. Its epoch and version are zero.
func (s State) withBootstrap() State {
	if s.now.Plan.Epoch > 0 || !s.now.Ready() {
		return s
	}
	s.now.Plan = yuccaplan.Make(yuccaplan.Input{Rules: s.now.Rules, Version: s.now.Document.Version, View: s.now.View})
	s.now.Plan.Version = 0
	return s
}
