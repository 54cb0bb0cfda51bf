package yuccapeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccastore"
)

// GatewaysPerDomain is how many entries of a failure domain pass messages between it
// and the other domains.
const GatewaysPerDomain = 2

// RendezvousTop returns the count members with the highest rendezvous hash for a role,
// the highest first. Entries that see the same members choose alike, and the
// loss of one member moves only its own role.
func RendezvousTop(role string, members []string, count int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	all := make([]ranked, len(members))
	for i, name := range members {
		all[i] = ranked{name, xxhash.Sum64String(role + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	chosen := make([]string, 0, count)
	for _, r := range all[:min(count, len(all))] {
		chosen = append(chosen, r.name)
	}
	return chosen
}

// mesh is an entry's immutable picture of which entries it keeps sessions with.
type mesh struct {
	self, domain string
	near         map[string]string
	far          map[string]string
	summarizer   bool
}

// newMesh returns the mesh of the entry self. Members of its own domain are
// near; when it is a summarizer, the summarizers of other domains are far. Both
// map a name to an address. An entry that is not alive is passed over as a
// summarizer.
func newMesh(self, domain string, entries []yuccastore.Instance, alive func(name string) bool) mesh {
	m := mesh{self: self, domain: domain, near: map[string]string{}, far: map[string]string{}}
	domains := map[string][]string{domain: {self}}
	addrs := map[string]string{}
	for _, e := range entries {
		if e.Name == self || e.Peer == "" {
			continue
		}
		addrs[e.Name] = e.Peer
		if e.Domain == domain {
			m.near[e.Name] = e.Peer
		}
		if alive(e.Name) {
			domains[e.Domain] = append(domains[e.Domain], e.Name)
		}
	}
	m.summarizer = slices.Contains(RendezvousTop("summarizer "+domain, domains[domain], GatewaysPerDomain), self)
	if !m.summarizer {
		return m
	}
	for other, names := range domains {
		if other == domain {
			continue
		}
		for _, name := range RendezvousTop("summarizer "+other, names, GatewaysPerDomain) {
			m.far[name] = addrs[name]
		}
	}
	return m
}

// wanted returns the address of a peer that a session is kept with.
func (m mesh) wanted(name string) (string, bool) {
	if addr, ok := m.near[name]; ok {
		return addr, true
	}
	addr, ok := m.far[name]
	return addr, ok
}

// onward returns who a received message is passed on to, and with what reach.
func (m mesh) onward(reach Forward) (map[string]string, Forward) {
	switch {
	case reach == Forward_FORWARD_TO_GATEWAYS && m.summarizer:
		return m.far, Forward_FORWARD_TO_DOMAIN
	case reach == Forward_FORWARD_TO_DOMAIN:
		return m.near, Forward_FORWARD_NONE
	}
	return nil, Forward_FORWARD_NONE
}
