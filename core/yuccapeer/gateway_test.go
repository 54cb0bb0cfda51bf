package yuccapeer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGatewaysAreStrong guards against gateways whose links do not carry what all entries of
// a large fleet publish, and against domains with too few gateways.
func TestGatewaysAreStrong(t *testing.T) {
	tests := []struct {
		name         string
		strong, weak int
		wantStrong   int
	}{
		{"more strong ones than gateways", 5, 40, 2},
		{"as many", 2, 40, 2},
		{"one", 1, 40, 1},
		{"none", 0, 40, 0},
		{"all", 9, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rule := gatewayRule{strong: map[string]bool{"elsewhere": true}}
			var members []string
			for i := range test.strong + test.weak {
				members = append(members, fmt.Sprint("e", i))
				rule.strong[members[i]] = i < test.strong
			}
			chosen := rule.gateways("d", members)
			c.Assert(chosen, qt.HasLen, GatewaysPerDomain)
			c.Assert(chosen[0], qt.Not(qt.Equals), chosen[1])
			strong := slices.DeleteFunc(chosen, func(name string) bool { return !rule.strong[name] })
			c.Assert(strong, qt.HasLen, test.wantStrong)
		})
	}
}

// TestOlderBuildsKeepTheirGateways guards against a domain that nobody forwards for: entries of
// an older build leave that to the entries that they choose, whatever their capacity.
func TestOlderBuildsKeepTheirGateways(t *testing.T) {
	c := qt.New(t)
	members := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
	older := gatewayRule{}.gateways("d", members)
	strong := map[string]bool{}
	for _, name := range members {
		strong[name] = !slices.Contains(older, name)
	}
	for _, name := range older {
		c.Assert(slices.Contains(gatewayRule{strong: strong, mixed: true}.gateways("d", members), name), qt.IsTrue)
		c.Assert(slices.Contains(gatewayRule{strong: strong}.gateways("d", members), name), qt.IsFalse)
	}
}
