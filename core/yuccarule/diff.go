package yuccarule

// Change is one rule that differs between two versions. Before is empty for a
// rule that was added, After for one that was removed.
type Change struct {
	Before string `json:"before"`
	After  string `json:"after"`
}

// String prints the change as lines that start with - and +.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.After
	case c.After == "":
		return "- " + c.Before
	}
	return "- " + c.Before + "\n+ " + c.After
}

// Diff returns what changes from one version to another, in the order of the
// canonical form. It returns nothing when both mean the same.
func Diff(from, to Rules) []Change {
	before, after := from.lines(), to.lines()
	old := index(before)
	current := index(after)
	var changes []Change
	for _, l := range before {
		if _, ok := current[l.id]; !ok {
			changes = append(changes, Change{Before: l.text})
		}
	}
	for _, l := range after {
		if was := old[l.id]; was != l.text {
			changes = append(changes, Change{Before: was, After: l.text})
		}
	}
	return changes
}

func index(lines []printed) map[string]string {
	byID := make(map[string]string, len(lines))
	for _, l := range lines {
		byID[l.id] = l.text
	}
	return byID
}
