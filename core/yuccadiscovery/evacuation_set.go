package yuccadiscovery

import (
	"strings"
	"time"

	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

// RewriteGrace is how long an evacuation that has vanished stays in force after the
// platform has come back from an older copy, so that the operator can write it again.
const RewriteGrace = 5 * time.Second

// EvacuationSet is the set of failure domains that get no new requests. It has no clock:
// the events and the caller of Tick supply the time. It is not safe for concurrent use.
// Create one with NewEvacuationSet.
type EvacuationSet struct {
	// prefix is the prefix of the keys of the evacuations.
	prefix string
	// domains holds the evacuated failure domains with the end of the grace period,
	// which is zero while the evacuation exists.
	domains map[string]time.Time
	// restoredAt is when the platform last came back from an older copy.
	restoredAt time.Time
}

// NewEvacuationSet returns an empty set. The name of a failure domain is the key of its
// evacuation without the prefix.
func NewEvacuationSet(prefix string) *EvacuationSet {
	return &EvacuationSet{prefix: prefix, domains: map[string]time.Time{}}
}

// Domains returns the evacuated failure domains.
func (s *EvacuationSet) Domains() map[string]bool {
	all := map[string]bool{}
	for domain := range s.domains {
		all[domain] = true
	}
	return all
}

// Update applies an event of the watch on the evacuations.
func (s *EvacuationSet) Update(event yuccawatch.Event) {
	switch event := event.(type) {
	case yuccawatch.Restored:
		s.restoredAt = event.At
	case yuccawatch.Listed:
		s.applyList(event)
	case yuccawatch.Changed:
		for _, o := range event.Page.Objects {
			if o.Deleted {
				s.remove(event.At, s.nameOf(o))
				continue
			}
			s.domains[s.nameOf(o)] = time.Time{}
		}
	}
}

func (s *EvacuationSet) applyList(event yuccawatch.Listed) {
	present := map[string]bool{}
	for _, o := range event.Page.Objects {
		if !o.Deleted {
			present[s.nameOf(o)] = true
			s.domains[s.nameOf(o)] = time.Time{}
		}
	}
	for domain := range s.domains {
		if !present[domain] {
			s.remove(event.At, domain)
		}
	}
}

// remove ends an evacuation, after the grace period if there is one.
func (s *EvacuationSet) remove(now time.Time, domain string) {
	if _, ok := s.domains[domain]; !ok {
		return
	}
	if end := s.restoredAt.Add(RewriteGrace); now.Before(end) {
		s.domains[domain] = end
		return
	}
	delete(s.domains, domain)
}

// Tick ends the evacuations whose grace period is over.
func (s *EvacuationSet) Tick(now time.Time) {
	for domain, end := range s.domains {
		if !end.IsZero() && !now.Before(end) {
			delete(s.domains, domain)
		}
	}
}

func (s *EvacuationSet) nameOf(o yuccastore.Object) string {
	return strings.TrimPrefix(o.Key, s.prefix)
}
