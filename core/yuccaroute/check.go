package yuccaroute

import (
	"fmt"
	"math"
	"strings"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccaerror"
)

// Check returns an error of kind Invalid that describes the first invalid value
// of the config.
func (c Config) Check() error {
	if c.Version == 0 {
		return yuccaerror.New(yuccaerror.Invalid, "config version is 0; versions start at 1")
	}
	known := map[string]bool{}
	for _, s := range c.Services {
		known[s.Name] = true
	}
	for _, r := range c.Routes {
		if err := r.check(known); err != nil {
			return yuccaerror.New(yuccaerror.Invalid, "route %q: %w", r.Name, err)
		}
	}
	return yuccaerror.Wrap(yuccaerror.Invalid, yuccaaccount.Check(c.Accounts))
}

func (r Route) check(known map[string]bool) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	case r.MaxAttempts < 1:
		return fmt.Errorf("max tries %d is less than 1", r.MaxAttempts)
	case len(r.Services) == 0:
		return fmt.Errorf("no services; at least one is required")
	}
	total := 0.0
	for _, p := range r.Services {
		if !known[p.Service] {
			return fmt.Errorf("unknown service %q", p.Service)
		}
		if p.Weight < 0 || math.IsNaN(p.Weight) || math.IsInf(p.Weight, 0) {
			return fmt.Errorf("weight %v of service %q is not a finite number of at least 0", p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return fmt.Errorf("sum of the service weights is 0")
	}
	return nil
}
