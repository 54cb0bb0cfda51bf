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
	applyTimeout = 30 * time.Second
	versionMark  = "# version "
)

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every fault of a rules file",
		Example: "  yuccactl check rules.txt",
		Args:    exactly(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, faults, err := readRules(args[0])
			if err != nil {
				return err
			}
			if a.json && faults != nil {
				_ = a.show(faults, nil)
			}
			if err := yuccarule.ProblemsError(faults); err != nil {
				return err
			}
			return a.show([]yuccarule.Problem{}, func() { a.printf("%s: no faults\n", args[0]) })
		},
	}
}

func (a *app) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the rules in force",
		Example: "  yuccactl show > rules.txt",
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := a.store()
			if err != nil {
				return err
			}
			defer store.Close()
			d, _, _, err := current(c.Context(), store)
			if err != nil {
				return err
			}
			return a.show(d, func() {
				a.printf("%s%d by %s at %s\n", versionMark, d.Version, d.By, d.At.Format(time.RFC3339))
				a.printf("%s", withoutMark(d.Text))
			})
		},
	}
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what a rules file would change",
		Example: "  yuccactl diff rules.txt",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, rules, err := soundRules(args[0])
			if err != nil {
				return err
			}
			store, err := a.store()
			if err != nil {
				return err
			}
			defer store.Close()
			_, now, _, err := current(c.Context(), store)
			if err != nil {
				return err
			}
			changes := yuccarule.Diff(now, rules)
			return a.show(changes, func() { a.printChanges(changes) })
		},
	}
}

func (a *app) printChanges(changes []yuccarule.Change) {
	for _, c := range changes {
		a.printf("%s\n", c)
	}
}

// applied is what apply prints as JSON.
type applied struct {
	Version uint64             `json:"version"`
	Changes []yuccarule.Change `json:"changes"`
	// OutdatedEntries names the entries that do not have the version in force.
	OutdatedEntries []string `json:"behind,omitempty"`
}

func (a *app) applyCommand() *cobra.Command {
	var wait bool
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a rules file in force",
		Long: "apply puts a rules file in force. A file that show printed carries its version;\n" +
			"when another version came between, apply refuses and shows the difference.",
		Example: "  yuccactl show > rules.txt\n  vi rules.txt\n  yuccactl apply rules.txt --wait",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			return a.apply(ctx, args[0], wait)
		},
	}
	c.Flags().BoolVar(&wait, "wait", false, "return when every live entry has the rules in force")
	c.Flags().DurationVar(&timeout, "timeout", applyTimeout, "give up after this long")
	return c
}

func (a *app) apply(ctx context.Context, path string, wait bool) error {
	text, rules, err := soundRules(path)
	if err != nil {
		return err
	}
	store, err := a.store()
	if err != nil {
		return err
	}
	defer store.Close()
	now, before, tag, err := current(ctx, store)
	if err != nil && !yuccaerror.Is(err, yuccaerror.Missing) {
		return err
	}
	changes := yuccarule.Diff(before, rules)
	if base, ok := baseVersion(text); ok && base != now.Version {
		a.printChanges(changes)
		return yuccaerror.New(yuccaerror.WriteConflict, "%s is based on version %d, version %d by %s is in force", path, base, now.Version, now.By)
	}
	result := applied{Version: now.Version + 1, Changes: changes}
	if err := a.submit(ctx, store, text, now, tag); err != nil {
		return err
	}
	var waitErr error
	if wait {
		result.OutdatedEntries, waitErr = waitInForce(ctx, store, result.Version)
	}
	printErr := a.show(result, func() {
		a.printChanges(changes)
		a.printf("version %d accepted\n", result.Version)
		if wait && waitErr == nil {
			a.printf("version %d in force at every live entry\n", result.Version)
		}
	})
	return cmp.Or(waitErr, printErr)
}

// submit writes a new version. When another operator's write comes first, the
// error is of kind Raced and shows who it was.
func (a *app) submit(ctx context.Context, store yuccastore.Store, text string, before yuccarule.Document, tag string) error {
	d := before.Next(uuid.NewString(), a.set.Operator, time.Now().UTC(), withoutMark(text))
	value, err := d.Encode()
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	mine := func(o yuccastore.Object) bool {
		got, _, err := yuccarule.DecodeDocument(o.Value)
		return err == nil && got.HasSubmission(d.ID)
	}
	o, _, err := yuccastore.PutConfirmed(ctx, store, yuccasync.RulesKey, value, yuccastore.Cond{Tag: tag, Absent: tag == ""}, mine)
	if !yuccaerror.Is(err, yuccaerror.WriteConflict) {
		return err
	}
	other, rules, decodeErr := yuccarule.DecodeDocument(o.Value)
	if decodeErr != nil {
		return err
	}
	ours, _ := yuccarule.Parse("file", []byte(text))
	a.printChanges(yuccarule.Diff(rules, ours))
	return yuccaerror.New(yuccaerror.WriteConflict, "version %d by %s came between", other.Version, other.By)
}

func current(ctx context.Context, store yuccastore.Store) (yuccarule.Document, yuccarule.Rules, string, error) {
	o, err := store.Get(ctx, yuccasync.RulesKey)
	if err != nil {
		return yuccarule.Document{}, yuccarule.Rules{}, "", err
	}
	d, rules, err := yuccarule.DecodeDocument(o.Value)
	return d, rules, o.Tag, err
}

// readRules reads a rules file with its faults.
func readRules(path string) (string, yuccarule.Rules, []yuccarule.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", yuccarule.Rules{}, nil, yuccaerror.New(yuccaerror.Invalid, "read rules: %w", err)
	}
	rules, faults := yuccarule.Parse(path, text)
	return string(text), rules, faults, nil
}

// soundRules reads a rules file and refuses one with faults.
func soundRules(path string) (string, yuccarule.Rules, error) {
	text, rules, faults, err := readRules(path)
	if err != nil {
		return "", yuccarule.Rules{}, err
	}
	return text, rules, yuccarule.ProblemsError(faults)
}

// baseVersion reads the version that show printed on the first line.
func baseVersion(text string) (uint64, bool) {
	first, _, _ := strings.Cut(text, "\n")
	rest, ok := strings.CutPrefix(first, versionMark)
	if !ok {
		return 0, false
	}
	digits, _, _ := strings.Cut(rest, " ")
	version, err := strconv.ParseUint(digits, 10, 64)
	return version, err == nil
}

func withoutMark(text string) string {
	if _, ok := baseVersion(text); !ok {
		return text
	}
	_, rest, _ := strings.Cut(text, "\n")
	return rest
}
