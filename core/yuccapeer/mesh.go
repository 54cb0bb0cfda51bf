package yuccapeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccastore"
)

// RendezvousTop returns the count members with the highest rendezvous hash for
// a role, the highest first, or all if there are fewer. Entries that see the
// same members choose the same ones, and the loss of a member moves only the
// role of that member.
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

// mesh lists the entries that an entry keeps sessions with. It is immutable.
type mesh struct {
	// self is the name of the entry.
	self string
	// domain is the failure domain of the entry.
	domain string
	// domainPeers maps the other members of the entry's failure domain to their
	// addresses, "" where only a session is known.
	domainPeers map[string]string
	// gatewayPeers maps the gateways of the other failure domains to their
	// addresses as in domainPeers; empty when the entry is not a gateway.
	gatewayPeers map[string]string
	// gateway is true when the entry is a gateway of its failure domain.
	gateway bool
}

// newMesh returns the mesh of the entry self.
func newMesh(self, domain string, entries []yuccastore.Instance, rule gatewayRule) mesh {
	m := mesh{self: self, domain: domain, domainPeers: map[string]string{}, gatewayPeers: map[string]string{}}
	domains := map[string][]string{domain: {self}}
	addrs := map[string]string{}
	for _, e := range entries {
		if e.Name == self {
			continue
		}
		addrs[e.Name] = e.Peer
		if e.Domain == domain {
			m.domainPeers[e.Name] = e.Peer
		}
		if rule.alive(e.Name) {
			domains[e.Domain] = append(domains[e.Domain], e.Name)
		}
	}
	m.gateway = slices.Contains(rule.gateways(domain, domains[domain]), self)
	if !m.gateway {
		return m
	}
	for other, names := range domains {
		if other == domain {
			continue
		}
		for _, name := range rule.gateways(other, names) {
			m.gatewayPeers[name] = addrs[name]
		}
	}
	return m
}

// addr returns the address of a peer that a session is kept with, and false for
// any other peer.
func (m mesh) addr(name string) (string, bool) {
	if addr, ok := m.domainPeers[name]; ok {
		return addr, true
	}
	addr, ok := m.gatewayPeers[name]
	return addr, ok
}

// forwardTo returns the peers that a received message is forwarded to and the
// Forward value to send with it.
func (m mesh) forwardTo(scope Forward) (map[string]string, Forward) {
	switch {
	case scope == Forward_FORWARD_TO_GATEWAYS && m.gateway:
		return m.gatewayPeers, Forward_FORWARD_TO_DOMAIN
	case scope == Forward_FORWARD_TO_DOMAIN:
		return m.domainPeers, Forward_FORWARD_NONE
	}
	return nil, Forward_FORWARD_NONE
}
