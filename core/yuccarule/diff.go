package yuccarule

// Change is one rule that differs between two versions.
type Change struct {
	// Before is the old rule in canonical form, empty for a rule that was added.
	Before string `json:"before"`
	// After is the new rule in canonical form, empty for one that was removed.
	After string `json:"after"`
}

// String prints the old rule on a line that starts with - and the new one on a
// line that starts with +.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.After
	case c.After == "":
		return "- " + c.Before
	}
	return "- " + c.Before + "\n+ " + c.After
}

// Diff returns what changes from one version to another: first the removed rules,
// then the others, each in the order of the canonical form. It returns nil when
// both versions have the same canonical form.
func Diff(from, to Rules) []Change {
	before, after := from.lines(), to.lines()
	oldText := textByID(before)
	newText := textByID(after)
	var changes []Change
	for _, l := range before {
		if _, ok := newText[l.id]; !ok {
			changes = append(changes, Change{Before: l.text})
		}
	}
	for _, l := range after {
		if previous := oldText[l.id]; previous != l.text {
			changes = append(changes, Change{Before: previous, After: l.text})
		}
	}
	return changes
}

func textByID(lines []canonicalLine) map[string]string {
	byID := make(map[string]string, len(lines))
	for _, l := range lines {
		byID[l.id] = l.text
	}
	return byID
}
