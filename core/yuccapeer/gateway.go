package yuccapeer

import "slices"

// GatewaysPerDomain is how many entries of a failure domain forward messages
// between it and the other domains.
const GatewaysPerDomain = 2

// gatewayRule chooses the gateways of failure domains. A gateway sends what all entries of
// the other domains publish to each entry of its own domain, which can be more than the
// link of a small entry carries.
type gatewayRule struct {
	// alive reports whether an entry may be chosen.
	alive func(name string) bool
	// strong holds the names of the entries that are chosen before others; nil means that
	// all are alike.
	strong map[string]bool
	// mixed is set while entries of a build run that does not know strong entries.
	mixed bool
}

// gateways returns the gateways of a failure domain with the given live members. Entries
// that see the same members and strong entries choose the same gateways. While builds are
// mixed, the choice of the older build is included, since its entries leave the forwarding
// to those.
func (r gatewayRule) gateways(domain string, members []string) []string {
	plain := RendezvousTop(gatewayRole+domain, members, GatewaysPerDomain)
	if len(r.strong) == 0 {
		return plain
	}
	weak := func(name string) bool { return !r.strong[name] }
	chosen := RendezvousTop(gatewayRole+domain, slices.DeleteFunc(slices.Clone(members), weak), GatewaysPerDomain)
	missing := GatewaysPerDomain - len(chosen)
	for _, name := range plain {
		if !slices.Contains(chosen, name) && (missing > 0 || r.mixed) {
			chosen = append(chosen, name)
			missing--
		}
	}
	return chosen
}

// gatewayRole is the role of a gateway, to which the name of the failure domain is appended.
// All builds must hash the same role.
const gatewayRole = "summarizer "
