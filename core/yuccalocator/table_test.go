package yuccalocator_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

func TestRegion(t *testing.T) {
	rules, faults := yuccarule.Parse("r", []byte(`region a domains=a1 # t
region b domains=b1 # t
site duomo region=b # t
block 10.0.0.0/8 site=a # t
block 10.1.0.0/16 site=duomo # t
block 2001:db8::/32 site=b # t
`))
	qt.Assert(t, faults, qt.HasLen, 0)
	table := yuccalocator.New(rules, "default")
	tests := []struct{ addr, want string }{
		{"10.2.0.1", "a"},
		{"10.1.0.1", "b"},
		{"::ffff:10.1.0.1", "b"},
		{"2001:db8::1", "b"},
		{"192.0.2.1", "default"},
	}
	for _, test := range tests {
		t.Run(test.addr, func(t *testing.T) {
			qt.Assert(t, table.Region(netip.MustParseAddr(test.addr)), qt.Equals, test.want)
		})
	}
}

func TestRank(t *testing.T) {
	entries := []yuccastore.Instance{
		{Name: "1", Region: "a"}, {Name: "2", Region: "b"}, {Name: "3", Region: "b", Leaving: true}, {Name: "4", Region: "b"},
	}
	tests := []struct {
		region string
		spread uint64
		want   []string
	}{
		{"a", 0, []string{"1", "2", "4"}},
		{"b", 0, []string{"2", "4", "1"}},
		{"b", 1, []string{"4", "2", "1"}},
	}
	for _, test := range tests {
		var got []string
		for _, e := range yuccalocator.Rank(entries, test.region, test.spread) {
			got = append(got, e.Name)
		}
		qt.Assert(t, got, qt.DeepEquals, test.want)
	}
}

func TestRankPutsFullEntriesLast(t *testing.T) {
	entries := []yuccastore.Instance{{Name: "1", Region: "a"}, {Name: "2", Region: "a"}, {Name: "3", Region: "b"}}
	var got []string
	for _, e := range yuccalocator.RankFullLast(entries, "a", 0, func(name string) bool { return name == "1" }) {
		got = append(got, e.Name)
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"2", "1", "3"})
}
