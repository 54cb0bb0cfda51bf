package main

import (
	"cmp"
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

const (
	// defaultApplyTimeout is the default time limit of apply, including --wait.
	defaultApplyTimeout = 30 * time.Second
	// versionPrefix starts the first line of the rules that show prints. The
	// version follows it.
	versionPrefix = "# version "
)

// checkCommand returns the command check.
func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every problem in a rules file",
		Example: "  yuccactl check rules.txt",
		Args:    exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, problems, err := readRules(args[0])
			if err != nil {
				return err
			}
			if a.jsonOutput && problems != nil {
				_ = a.output(problems, nil)
			}
			if err := yuccarule.ProblemsError(problems); err != nil {
				return err
			}
			return a.output([]yuccarule.Problem{}, func() { a.printf("%s: no faults\n", args[0]) })
		},
	}
}

// showCommand returns the command show.
func (a *app) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the rules in force",
		Example: "  yuccactl show > rules.txt",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := a.openStore()
			if err != nil {
				return err
			}
			defer store.Close()
			d, _, _, err := currentRules(c.Context(), store)
			if err != nil {
				return err
			}
			return a.output(d, func() {
				a.printf("%s%d by %s at %s\n", versionPrefix, d.Version, d.Author, d.SubmittedAt.Format(time.RFC3339))
				a.printf("%s", stripVersionLine(d.Text))
			})
		},
	}
}

// diffCommand returns the command diff.
func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what a rules file would change",
		Example: "  yuccactl diff rules.txt",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, rules, err := readValidRules(args[0])
			if err != nil {
				return err
			}
			store, err := a.openStore()
			if err != nil {
				return err
			}
			defer store.Close()
			_, now, _, err := currentRules(c.Context(), store)
			if err != nil {
				return err
			}
			changes := yuccarule.Diff(now, rules)
			return a.output(changes, func() { a.printChanges(changes) })
		},
	}
}

// printChanges prints one change per line.
func (a *app) printChanges(changes []yuccarule.Change) {
	for _, c := range changes {
		a.printf("%s\n", c)
	}
}

// applyResult is the JSON output of apply.
type applyResult struct {
	// Version is the version of the accepted rules.
	Version uint64 `json:"version"`
	// Changes lists the differences from the rules that were in force before.
	Changes []yuccarule.Change `json:"changes"`
	// OutdatedEntries names the entries that don't have the version in force yet.
	OutdatedEntries []string `json:"behind,omitempty"`
}

// applyCommand returns the command apply.
func (a *app) applyCommand() *cobra.Command {
	var wait bool
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a rules file in force",
		Long: "apply puts a rules file in force. A file that show printed carries its version;\n" +
			"when another version is in force by then, apply rejects it and shows the\n" +
			"difference.",
		Example: "  yuccactl show > rules.txt\n  vi rules.txt\n  yuccactl apply rules.txt --wait",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			return a.apply(ctx, args[0], wait)
		},
	}
	c.Flags().BoolVar(&wait, "wait", false, "wait until every live entry has the rules in force")
	c.Flags().DurationVar(&timeout, "timeout", defaultApplyTimeout, "how long apply may take, including --wait")
	return c
}

// apply puts a rules file in force and prints the changes. With wait set it returns
// when every live entry has them in force, or with an error when ctx ends first.
func (a *app) apply(ctx context.Context, path string, wait bool) error {
	text, rules, err := readValidRules(path)
	if err != nil {
		return err
	}
	store, err := a.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	now, before, tag, err := currentRules(ctx, store)
	if err != nil && !yuccaerror.Is(err, yuccaerror.NotFound) {
		return err
	}
	changes := yuccarule.Diff(before, rules)
	if base, ok := baseVersion(text); ok && base != now.Version {
		a.printChanges(changes)
		return yuccaerror.New(yuccaerror.WriteConflict, "%s is based on version %d, version %d by %s is in force; print the rules again with yuccactl show and redo the change", path, base, now.Version, now.Author)
	}
	result := applyResult{Version: now.Version + 1, Changes: changes}
	if err := a.submit(ctx, store, text, now, tag); err != nil {
		return err
	}
	var waitErr error
	if wait {
		result.OutdatedEntries, waitErr = waitForVersion(ctx, store, result.Version)
	}
	printErr := a.output(result, func() {
		a.printChanges(changes)
		a.printf("version %d accepted\n", result.Version)
		if wait && waitErr == nil {
			a.printf("version %d in force at every live entry\n", result.Version)
		}
	})
	return cmp.Or(waitErr, printErr)
}

// submit writes the rules in text as the version after before, if tag is still the
// tag of the stored rules. When another operator's write comes first, it prints
// the difference from the rules of that operator, and its error is of kind
// WriteConflict and names the operator.
func (a *app) submit(ctx context.Context, store yuccastore.Store, text string, before yuccarule.Document, tag string) error {
	d := before.Next(uuid.NewString(), a.settings.Operator, time.Now().UTC(), stripVersionLine(text))
	value, err := d.Encode()
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	isSubmission := func(o yuccastore.Object) bool {
		got, _, err := yuccarule.DecodeDocument(o.Value)
		return err == nil && got.HasSubmission(d.ID)
	}
	o, _, err := yuccastore.PutConfirmed(ctx, store, yuccasync.RulesKey, value, yuccastore.Cond{Tag: tag, Absent: tag == ""}, isSubmission)
	if !yuccaerror.Is(err, yuccaerror.WriteConflict) {
		return err
	}
	other, rules, decodeErr := yuccarule.DecodeDocument(o.Value)
	if decodeErr != nil {
		return err
	}
	submitted, _ := yuccarule.Parse("file", []byte(text))
	a.printChanges(yuccarule.Diff(rules, submitted))
	return yuccaerror.New(yuccaerror.WriteConflict, "version %d by %s was applied first; check the difference and apply again", other.Version, other.Author)
}

// currentRules returns the stored rules document, its parsed rules and its tag for
// conditional writes. Its error is of kind NotFound when no rules are stored.
func currentRules(ctx context.Context, store yuccastore.Store) (yuccarule.Document, yuccarule.Rules, string, error) {
	o, err := store.Get(ctx, yuccasync.RulesKey)
	if err != nil {
		return yuccarule.Document{}, yuccarule.Rules{}, "", err
	}
	d, rules, err := yuccarule.DecodeDocument(o.Value)
	return d, rules, o.Tag, err
}

// readRules reads a rules file. It returns its text, the parsed rules and the
// problems found in them. Its error is of kind Invalid when the file can't be read.
func readRules(path string) (string, yuccarule.Rules, []yuccarule.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", yuccarule.Rules{}, nil, yuccaerror.New(yuccaerror.Invalid, "read rules file: %w", err)
	}
	rules, problems := yuccarule.Parse(path, text)
	return string(text), rules, problems, nil
}

// readValidRules reads a rules file. It returns an error for a file with problems.
func readValidRules(path string) (string, yuccarule.Rules, error) {
	text, rules, problems, err := readRules(path)
	if err != nil {
		return "", yuccarule.Rules{}, err
	}
	return text, rules, yuccarule.ProblemsError(problems)
}

// baseVersion returns the version that show prints on the first line, and whether
// there is one.
func baseVersion(text string) (uint64, bool) {
	first, _, _ := strings.Cut(text, "\n")
	rest, ok := strings.CutPrefix(first, versionPrefix)
	if !ok {
		return 0, false
	}
	digits, _, _ := strings.Cut(rest, " ")
	version, err := strconv.ParseUint(digits, 10, 64)
	return version, err == nil
}

// stripVersionLine returns the text without the version line that show adds.
func stripVersionLine(text string) string {
	if _, ok := baseVersion(text); !ok {
		return text
	}
	_, rest, _ := strings.Cut(text, "\n")
	return rest
}
