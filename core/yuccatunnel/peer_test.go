package yuccatunnel_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccatunnel"
)

// TestCandidates checks through which entries a server is reached.
func TestCandidates(t *testing.T) {
	near := yuccatunnel.Peer{Name: "near", Region: "r", Domain: "z1", Addr: "a"}
	region := yuccatunnel.Peer{Name: "region", Region: "r", Domain: "z2", Addr: "b"}
	far := yuccatunnel.Peer{Name: "far", Region: "q", Domain: "z3", Addr: "c"}
	old := yuccatunnel.Peer{Name: "old", Region: "r", Domain: "z1"}
	tests := []struct {
		name    string
		peers   []yuccatunnel.Peer
		regions []string
		noBody  bool
		want    []yuccatunnel.Peer
	}{
		{"nearest to the server first", []yuccatunnel.Peer{far, region, near}, nil, false, []yuccatunnel.Peer{near, region, far}},
		{"an entry that carries no tunnels", []yuccatunnel.Peer{old, far}, nil, false, []yuccatunnel.Peer{far}},
		{"only in some regions", []yuccatunnel.Peer{far, region}, []string{"r"}, false, []yuccatunnel.Peer{region}},
		{"no body, allowed regions first", []yuccatunnel.Peer{near, region, far}, []string{"q"}, true, []yuccatunnel.Peer{far, near, region}},
		{"nobody", nil, nil, false, []yuccatunnel.Peer{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			to := yuccarelay.Server{Name: "i-1", Region: "r", Domain: "z1", Regions: test.regions, NoBody: test.noBody}
			got := yuccatunnel.Candidates(test.peers, to)
			qt.Assert(t, append([]yuccatunnel.Peer{}, got...), qt.DeepEquals, test.want)
		})
	}
}
