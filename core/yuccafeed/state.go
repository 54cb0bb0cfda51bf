package yuccafeed

import (
	"slices"

	"yuccawell.example/core/yuccablock"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccaview"
)

// Snapshot is what an entry knows at one moment. It is immutable.
type Snapshot struct {
	// Document is the rules in force; its Version is zero when there are none.
	Document yuccarule.Document
	Rules    yuccarule.Rules
	View     yuccaview.View
	Plan     yuccaplan.Plan
	Table    yuccablock.Table
}

// Ready reports whether there are rules to steer by.
func (s Snapshot) Ready() bool { return s.Document.Version > 0 }

// Message is something learned from the platform or from a peer.
type Message interface{ message() }

type (
	// RulesSeen carries a rules document from any source.
	RulesSeen struct {
		Document yuccarule.Document
		Rules    yuccarule.Rules
	}
	// ListSeen carries the platform's list of instances.
	ListSeen struct{ Instances []yuccastore.Instance }
	// LeavingSeen names an entry that said it is leaving, or with Back set, that
	// it has started again.
	LeavingSeen struct {
		Name string
		Back bool
	}
	// PlanSeen carries a plan from any source.
	PlanSeen struct{ Plan yuccaplan.Plan }
)

func (RulesSeen) message()   {}
func (ListSeen) message()    {}
func (LeavingSeen) message() {}
func (PlanSeen) message()    {}

// State is what the snapshots are made from.
type State struct {
	home    string
	list    []yuccastore.Instance
	leaving []string
	now     Snapshot
}

// NewState returns the state of an entry in region home that knows nothing yet.
func NewState(home string) State { return State{home: home} }

// Snapshot returns what is known.
func (s State) Snapshot() Snapshot { return s.now }

// Update takes a message and reports whether the snapshot changed. Rules and
// plans are taken only when their version is higher than the present one.
func (s State) Update(m Message) (State, bool) {
	switch m := m.(type) {
	case RulesSeen:
		if m.Document.Version <= s.now.Document.Version {
			return s, false
		}
		s.now.Document, s.now.Rules = m.Document, m.Rules
		s.now.Table = yuccablock.New(m.Rules, s.home)
		return s, true
	case PlanSeen:
		if m.Plan.Version <= s.now.Plan.Version || m.Plan.Epoch < s.now.Plan.Epoch {
			return s, false
		}
		s.now.Plan = m.Plan
		return s, true
	case ListSeen:
		s.list = m.Instances
		return s.withView()
	case LeavingSeen:
		if slices.Contains(s.leaving, m.Name) != m.Back {
			return s, false
		}
		s.leaving = slices.DeleteFunc(slices.Clone(s.leaving), func(name string) bool { return name == m.Name })
		if !m.Back {
			s.leaving = append(s.leaving, m.Name)
		}
		return s.withView()
	}
	return s, false
}

func (s State) withView() (State, bool) {
	s.now.View = yuccaview.New(s.list).WithLeaving(s.leaving...)
	return s, true
}
