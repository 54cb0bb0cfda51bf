package yuccarule

import (
	"fmt"
	"slices"
	"strings"
)

// checker finds problems between rules that are each well formed.
type checker struct {
	file     string
	rules    Rules
	problems []Problem
	// definedAt maps each name that a rule claims to the rule's line.
	definedAt map[string]int
	// shiftTotals is the sum of the shifts by "SERVICE REGION", the region being
	// that of the callers.
	shiftTotals map[string]Share
}

func check(file string, rules Rules, statements []statement) []Problem {
	c := &checker{file: file, rules: rules, definedAt: map[string]int{}, shiftTotals: map[string]Share{}}
	for _, s := range statements {
		c.duplicates(s)
		c.references(s)
	}
	c.cycles(statements)
	c.drainedServices(statements)
	return c.problems
}

func (c *checker) report(s statement, column int, message, expected string) {
	c.problems = append(c.problems, Problem{c.file, s.line.number, column, message, expected})
}

// duplicates reports a rule that claims a name which an earlier rule has.
func (c *checker) duplicates(s statement) {
	for _, id := range identities(s.rule) {
		if first, ok := c.definedAt[id]; ok {
			c.report(s, 1, fmt.Sprintf("%s is already defined in line %d", id, first), "one rule for each name")
			return
		}
	}
	for _, id := range identities(s.rule) {
		c.definedAt[id] = s.line.number
	}
}

// identities returns the names that no other rule may claim. The first one
// identifies the rule.
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

// references reports names that no rule defines.
func (c *checker) references(s statement) {
	switch v := s.rule.(type) {
	case Link:
		c.requireRegion(s, 1, v.A)
		c.requireRegion(s, 2, v.B)
		if v.A == v.B {
			c.report(s, s.wordColumn(2), "the link connects a region to itself", "two regions")
		}
	case Service:
		for _, name := range v.Regions {
			c.requireRegionValue(s, "regions", name)
		}
	case ShiftLimit:
		c.requireService(s, s.wordColumn(1), v.Service)
	case Shift:
		c.shift(s, v)
	case Drain:
		if v.Kind == DrainRegion {
			c.requireRegion(s, 2, v.Name)
		}
	case Peak:
		c.requireService(s, s.valueColumn("service"), v.Service)
	case Goal:
		c.requireService(s, s.wordColumn(1), v.Service)
	case Site:
		c.requireRegionValue(s, "region", v.Region)
	case CIDRBlock:
		c.requireSite(s, v.Site)
	}
}

func (c *checker) shift(s statement, v Shift) {
	c.requireService(s, s.wordColumn(1), v.Service)
	c.requireRegionValue(s, "from", v.From)
	c.requireRegionValue(s, "to", v.To)
	if v.From == v.To {
		c.report(s, s.valueColumn("to"), "the shift goes to the region it comes from", "two regions")
	}
	service, ok := c.rules.Service(v.Service)
	if ok && !slices.Contains(service.Regions, v.To) {
		c.report(s, s.valueColumn("to"), fmt.Sprintf("service %s does not run in %s", v.Service, v.To), "one of "+strings.Join(service.Regions, ", "))
	}
	if c.rules.Drained(DrainRegion, v.To) {
		c.report(s, s.valueColumn("to"), fmt.Sprintf("region %s is drained", v.To), "a region that is not drained")
	}
	from := v.Service + " " + v.From
	c.shiftTotals[from] += v.Share
	if c.shiftTotals[from] > Whole {
		c.report(s, s.valueColumn("share"), fmt.Sprintf("shifts of %s from %s add up to %s", v.Service, v.From, c.shiftTotals[from]), "at most 100%")
	}
}

func (c *checker) requireRegion(s statement, at int, name string) {
	if !c.hasRegion(name) {
		c.report(s, s.wordColumn(at), fmt.Sprintf("unknown region %q", name), "a region that the file defines")
	}
}

func (c *checker) requireRegionValue(s statement, key, name string) {
	if !c.hasRegion(name) {
		c.report(s, s.valueColumn(key), fmt.Sprintf("unknown region %q", name), "a region that the file defines")
	}
}

func (c *checker) hasRegion(name string) bool {
	return slices.ContainsFunc(c.rules.Regions, func(r Region) bool { return r.Name == name })
}

func (c *checker) requireService(s statement, column int, name string) {
	if _, ok := c.rules.Service(name); !ok {
		c.report(s, column, fmt.Sprintf("unknown service %q", name), "a service that the file defines")
	}
}

func (c *checker) requireSite(s statement, name string) {
	known := c.hasRegion(name) || slices.ContainsFunc(c.rules.Sites, func(v Site) bool { return v.Name == name })
	if !known {
		c.report(s, s.valueColumn("site"), fmt.Sprintf("unknown site %q", name), "a region or a site that the file defines")
	}
}

// cycles reports shifts of one service that lead back to where they start.
func (c *checker) cycles(statements []statement) {
	for _, s := range statements {
		v, ok := s.rule.(Shift)
		if ok && v.From != v.To && c.reaches(v.Service, v.To, v.From, map[string]bool{}) {
			c.report(s, s.valueColumn("to"), fmt.Sprintf("shifts of %s form a cycle through %s", v.Service, v.From), "shifts without a cycle")
		}
	}
}

// reaches reports whether shifts of the service lead from one region to another.
func (c *checker) reaches(service, from, to string, seen map[string]bool) bool {
	if from == to {
		return true
	}
	if seen[from] {
		return false
	}
	seen[from] = true
	for _, v := range c.rules.Shifts {
		if v.Service == service && v.From == from && c.reaches(service, v.To, to, seen) {
			return true
		}
	}
	return false
}

// drainedServices reports services with all their regions drained.
func (c *checker) drainedServices(statements []statement) {
	for _, s := range statements {
		v, ok := s.rule.(Service)
		if !ok {
			continue
		}
		left := slices.ContainsFunc(v.Regions, func(name string) bool { return !c.rules.Drained(DrainRegion, name) })
		if !left {
			c.report(s, s.valueColumn("regions"), fmt.Sprintf("drains leave service %s without a region", v.Name), "at least one region that is not drained")
		}
	}
}

// wordColumn returns the column of the word with the given index, 1 when the line has
// no such word.
func (s statement) wordColumn(i int) int {
	if i < len(s.line.words) {
		return s.line.words[i].column
	}
	return 1
}

// valueColumn returns the column of the value of a key, 1 when the line lacks
// the key.
func (s statement) valueColumn(name string) int {
	for _, w := range s.line.words {
		key, _, ok := strings.Cut(w.text, "=")
		if ok && key == name {
			return w.column + len([]rune(key)) + 1
		}
	}
	return 1
}
