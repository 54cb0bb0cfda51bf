package yuccacapacity

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the names of the entries for a caller of the given failure domain. Callers
// spread their connections evenly over the entries of a response, so an entry is in a part
// of the responses: its capacity as a share of the largest one. The key selects the part;
// callers that use the same key again keep their entries. Each response has entries of two
// failure domains if the named entries have.
func (c Choice) Answer(domain string, key uint64) []string {
	names := make([]string, 0, len(c.named))
	if c.alike {
		for _, m := range c.named {
			names = append(names, m.Name)
		}
		return names
	}
	eligible := func(m member) bool { return !c.local[domain] || m.Domain == domain }
	largest := 0.0
	for _, m := range c.named {
		if eligible(m) {
			largest = max(largest, m.usable)
		}
	}
	domains := map[string]bool{}
	for _, m := range c.named {
		if eligible(m) && position(m.Name, key)*largest < m.usable {
			names = append(names, m.Name)
			domains[m.Domain] = true
		}
	}
	if len(domains) > 1 {
		return names
	}
	return append(c.another(domains, key), names...)
}

// another returns the name of an entry of another failure domain than the given ones, none
// if there is none. Over all keys, each entry is chosen in proportion to its capacity.
func (c Choice) another(domains map[string]bool, key uint64) []string {
	var best []string
	var bestScore float64
	for _, m := range c.named {
		score := -math.Log(position(m.Name, key)) / m.usable
		if !domains[m.Domain] && (best == nil || score < bestScore) {
			best, bestScore = []string{m.Name}, score
		}
	}
	return best
}

// position returns a uniformly distributed number in [0, 1) for an entry and a key.
func position(name string, key uint64) float64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(name)
	return float64(d.Sum64()>>11) / (1 << 53)
}
