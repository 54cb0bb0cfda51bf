// Package yuccamembership tracks the instances of the system: its entries (its
// proxy instances) and the backend servers.
//
// A Tracker combines the instance list of the platform with the heartbeats of
// entries. It returns an immutable View of the instances and a Report on each
// entry.
//
//	m := yuccamembership.NewTracker()
//	m.UpdateList(now, instances)
//	m.ObserveHeartbeat(heartbeat)
//	view := m.View(now)
package yuccamembership

import (
	"cmp"
	"reflect"
	"slices"

	"yuccawell.example/core/yuccastore"
)

// View is an immutable set of instances, ordered by name.
type View struct {
	entries []yuccastore.Instance
	servers []yuccastore.Instance
}

// NewView returns a view of the given instances. Of several with the same name
// it keeps the last one.
func NewView(list []yuccastore.Instance) View {
	byName := make(map[string]yuccastore.Instance, len(list))
	for _, i := range list {
		byName[i.Name] = i
	}
	var v View
	for _, i := range byName {
		if i.Kind == yuccastore.KindEntry {
			v.entries = append(v.entries, i)
		} else {
			v.servers = append(v.servers, i)
		}
	}
	order := func(a, b yuccastore.Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.entries, order)
	slices.SortFunc(v.servers, order)
	return v
}

// Entries returns the entries, ordered by name. The caller must not change the
// slice.
func (v View) Entries() []yuccastore.Instance { return v.entries }

// Servers returns the backend servers, ordered by name. The caller must not
// change the slice.
func (v View) Servers() []yuccastore.Instance { return v.servers }

// Equal reports whether two views hold the same instances.
func (v View) Equal(w View) bool {
	return equalInstances(v.entries, w.entries) && equalInstances(v.servers, w.servers)
}

// equalInstances reports whether two slices hold the same instances. It skips
// the comparison when they share their memory.
func equalInstances(a, b []yuccastore.Instance) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, sameInstance)
}

// sameInstance treats nil and empty Services as equal.
func sameInstance(a, b yuccastore.Instance) bool {
	if !slices.Equal(a.Services, b.Services) {
		return false
	}
	a.Services, b.Services = nil, nil
	return reflect.DeepEqual(a, b)
}

// Entry returns the entry with the given name and whether it exists.
func (v View) Entry(name string) (yuccastore.Instance, bool) {
	for _, e := range v.entries {
		if e.Name == name {
			return e, true
		}
	}
	return yuccastore.Instance{}, false
}

// WithLeaving returns a copy of the view in which the named instances are
// marked as leaving.
func (v View) WithLeaving(names ...string) View {
	mark := func(list []yuccastore.Instance) []yuccastore.Instance {
		list = slices.Clone(list)
		for i := range list {
			list[i].Leaving = list[i].Leaving || slices.Contains(names, list[i].Name)
		}
		return list
	}
	return View{entries: mark(v.entries), servers: mark(v.servers)}
}
