package yuccametrics_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccametrics"
	"yuccawell.example/core/yuccarelay"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// accountCounts returns the counts of yucca_account_requests_total by account.
func accountCounts(c *qt.C, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	counts := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "yucca_account_requests_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "account" {
					counts[l.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}

// TestAccountsAreBounded records requests of many accounts and of none. It guards against
// a series for each of many accounts, and against requests that are counted nowhere.
func TestAccountsAreBounded(t *testing.T) {
	c := qt.New(t)
	r := yuccametrics.New()
	r.Observe(yuccarelay.Record{})
	c.Assert(accountCounts(c, r.Registry()), qt.HasLen, 0)
	for range 2 {
		for i := range 150 {
			r.Observe(yuccarelay.Record{Account: fmt.Sprint("a", i), Kind: yuccaerror.QuotaExceeded})
		}
	}
	counts := accountCounts(c, r.Registry())
	c.Assert(counts, qt.HasLen, 101)
	c.Assert(counts["a0"], qt.Equals, 2.0)
	c.Assert(counts["(others)"], qt.Equals, 100.0)
}
