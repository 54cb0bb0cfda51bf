package yuccarule

import (
	"fmt"
	"slices"
	"strings"
)

// checker finds what is wrong between rules that are each well formed.
type checker struct {
	file   string
	rules  Rules
	faults []Problem
	seen   map[string]int
	shares map[string]Share
}

func check(file string, rules Rules, read []statement) []Problem {
	c := &checker{file: file, rules: rules, seen: map[string]int{}, shares: map[string]Share{}}
	for _, s := range read {
		c.double(s)
		c.references(s)
	}
	c.cycles(read)
	c.emptied(read)
	return c.faults
}

func (c *checker) fail(s statement, column int, wrong, right string) {
	c.faults = append(c.faults, Problem{c.file, s.line.number, column, wrong, right})
}

// double refuses a second rule for the same thing.
func (c *checker) double(s statement) {
	for _, id := range identities(s.rule) {
		if first, ok := c.seen[id]; ok {
			c.fail(s, 1, fmt.Sprintf("%s stands already in line %d", id, first), "each rule once")
			return
		}
	}
	for _, id := range identities(s.rule) {
		c.seen[id] = s.line.number
	}
}

// identities returns the names that a rule claims for itself alone.
func identities(rule any) []string {
	switch v := rule.(type) {
	case Region:
		ids := []string{"region " + v.Name, "site " + v.Name}
		for _, d := range v.Domains {
			ids = append(ids, "domain "+d)
		}
		return ids
	case Link:
		ends := []string{v.A, v.B}
		slices.Sort(ends)
		return []string{"link " + strings.Join(ends, " ")}
	case Service:
		ids := []string{"service " + v.Name}
		for _, h := range v.Hosts {
			ids = append(ids, "host "+h)
		}
		return ids
	case ShiftLimit:
		return []string{"cap " + v.Service}
	case Shift:
		return []string{"shift " + v.Service + " from " + v.From + " to " + v.To}
	case Drain:
		return []string{"drain " + string(v.Kind) + " " + v.Name}
	case Peak:
		return []string{"event " + v.Name}
	case Goal:
		return []string{"goal " + v.Service}
	case Site:
		return []string{"site " + v.Name}
	case CIDRBlock:
		return []string{"block " + v.Prefix.String()}
	}
	return nil
}

// references refuses names that no rule declares.
func (c *checker) references(s statement) {
	switch v := s.rule.(type) {
	case Link:
		c.region(s, 1, v.A)
		c.region(s, 2, v.B)
		if v.A == v.B {
			c.fail(s, s.word(2), "a link joins a region to itself", "two regions")
		}
	case Service:
		for _, name := range v.Regions {
			c.regionKey(s, "regions", name)
		}
	case ShiftLimit:
		c.service(s, s.word(1), v.Service)
	case Shift:
		c.shift(s, v)
	case Drain:
		if v.Kind == DrainRegion {
			c.region(s, 2, v.Name)
		}
	case Peak:
		c.service(s, s.key("service"), v.Service)
	case Goal:
		c.service(s, s.word(1), v.Service)
	case Site:
		c.regionKey(s, "region", v.Region)
	case CIDRBlock:
		c.site(s, v.Site)
	}
}

func (c *checker) shift(s statement, v Shift) {
	c.service(s, s.word(1), v.Service)
	c.regionKey(s, "from", v.From)
	c.regionKey(s, "to", v.To)
	if v.From == v.To {
		c.fail(s, s.key("to"), "a shift ends where it starts", "two regions")
	}
	service, ok := c.rules.Service(v.Service)
	if ok && !slices.Contains(service.Regions, v.To) {
		c.fail(s, s.key("to"), fmt.Sprintf("service %s does not run in %s", v.Service, v.To), "one of "+strings.Join(service.Regions, ", "))
	}
	if c.rules.Drained(DrainRegion, v.To) {
		c.fail(s, s.key("to"), fmt.Sprintf("region %s is drained", v.To), "a region that is in use")
	}
	from := v.Service + " " + v.From
	c.shares[from] += v.Share
	if c.shares[from] > Whole {
		c.fail(s, s.key("share"), fmt.Sprintf("shifts of %s from %s add up to %s", v.Service, v.From, c.shares[from]), "at most 100%")
	}
}

func (c *checker) region(s statement, at int, name string) {
	if !c.hasRegion(name) {
		c.fail(s, s.word(at), fmt.Sprintf("unknown region %q", name), "a region with a rule of its own")
	}
}

func (c *checker) regionKey(s statement, key, name string) {
	if !c.hasRegion(name) {
		c.fail(s, s.key(key), fmt.Sprintf("unknown region %q", name), "a region with a rule of its own")
	}
}

func (c *checker) hasRegion(name string) bool {
	return slices.ContainsFunc(c.rules.Regions, func(r Region) bool { return r.Name == name })
}

func (c *checker) service(s statement, column int, name string) {
	if _, ok := c.rules.Service(name); !ok {
		c.fail(s, column, fmt.Sprintf("unknown service %q", name), "a service with a rule of its own")
	}
}

func (c *checker) site(s statement, name string) {
	known := c.hasRegion(name) || slices.ContainsFunc(c.rules.Sites, func(v Site) bool { return v.Name == name })
	if !known {
		c.fail(s, s.key("site"), fmt.Sprintf("unknown site %q", name), "a region or a site with a rule of its own")
	}
}

// cycles refuses shifts of one service that lead back to where they start.
func (c *checker) cycles(read []statement) {
	for _, s := range read {
		v, ok := s.rule.(Shift)
		if ok && v.From != v.To && c.leads(v.Service, v.To, v.From, map[string]bool{}) {
			c.fail(s, s.key("to"), fmt.Sprintf("shifts of %s form a cycle through %s", v.Service, v.From), "shifts that do not lead back")
		}
	}
}

func (c *checker) leads(service, from, to string, seen map[string]bool) bool {
	if from == to {
		return true
	}
	if seen[from] {
		return false
	}
	seen[from] = true
	for _, v := range c.rules.Shifts {
		if v.Service == service && v.From == from && c.leads(service, v.To, to, seen) {
			return true
		}
	}
	return false
}

// emptied refuses drains that leave a service without a region.
func (c *checker) emptied(read []statement) {
	for _, s := range read {
		v, ok := s.rule.(Service)
		if !ok {
			continue
		}
		left := slices.ContainsFunc(v.Regions, func(name string) bool { return !c.rules.Drained(DrainRegion, name) })
		if !left {
			c.fail(s, s.key("regions"), fmt.Sprintf("drains leave service %s without a region", v.Name), "one region in use at least")
		}
	}
}

// word returns the column of the word with the given index.
func (s statement) word(i int) int {
	if i < len(s.line.words) {
		return s.line.words[i].column
	}
	return 1
}

// key returns the column of the value of a key.
func (s statement) key(name string) int {
	for _, w := range s.line.words {
		key, _, ok := strings.Cut(w.text, "=")
		if ok && key == name {
			return w.column + len([]rune(key)) + 1
		}
	}
	return 1
}
