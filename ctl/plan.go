package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// defaultPlanHorizon is how far ahead a forecast looks by default.
const defaultPlanHorizon = 7 * 24 * time.Hour

// planCommand returns the command plan.
func (a *app) planCommand() *cobra.Command {
	var horizon time.Duration
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Forecast the traffic that a rules file would move, and when",
		Long: "plan shows which traffic a rules file would move at which times, the headroom that\n" +
			"each step leaves in regions and on links, when drains end and which events they\n" +
			"collide with. It changes nothing.",
		Example: "  yuccactl plan rules.txt\n  yuccactl plan rules.txt --json",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.plan(c.Context(), args[0], horizon)
		},
	}
	c.Flags().DurationVar(&horizon, "horizon", defaultPlanHorizon, "how far ahead to forecast")
	return c
}

// plan prints the forecast for a rules file.
func (a *app) plan(ctx context.Context, path string, horizon time.Duration) error {
	_, rules, err := readValidRules(path)
	if err != nil {
		return err
	}
	store, err := a.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	in, err := planInput(ctx, store, rules)
	if err != nil {
		return err
	}
	f := yuccaplan.Simulate(in, horizon)
	return a.output(f, func() { a.printForecast(f) })
}

// planInput returns the planner's input: the given rules with the instances and
// the plan in force that the platform has.
func planInput(ctx context.Context, store yuccastore.Store, rules yuccarule.Rules) (yuccaplan.Input, error) {
	in := yuccaplan.Input{Now: time.Now().UTC().Truncate(time.Second), Rules: rules}
	list, err := store.Instances(ctx)
	if err != nil {
		return in, err
	}
	in.View = yuccamembership.NewView(list.Instances)
	o, err := store.Get(ctx, yuccasync.PlanKey)
	if yuccaerror.Is(err, yuccaerror.NotFound) {
		return in, nil
	}
	if err != nil {
		return in, err
	}
	in.Last, err = yuccaplan.Decode(o.Value)
	in.RulesVersion = in.Last.RulesVersion + 1
	return in, err
}

// printForecast prints a forecast as text.
func (a *app) printForecast(f yuccaplan.Forecast) {
	for _, w := range f.Warnings {
		a.printf("warning %s: %s\n", w.Cause, w.Text)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tSERVICE\tFROM\tSHARES\tREFUSED")
	for _, step := range f.Steps {
		for _, r := range step.Routes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", formatTime(step.At), r.Service, r.From, formatShares(r.Shares), formatShares(r.Unroutable))
		}
	}
	_ = w.Flush()
	if len(f.Steps) > 0 {
		a.printHeadroom("now", f.Steps[0])
		a.printHeadroom("after the last step", f.Steps[len(f.Steps)-1])
	}
	for _, d := range f.Drains {
		a.printf("drain %s %s: %s\n", d.Kind, d.Name, formatDrainEnd(d.End))
	}
	if !f.Settled {
		a.printf("moves are left at the horizon\n")
	}
}

// printHeadroom prints the free slots of services and the free bandwidth of links
// after a step.
func (a *app) printHeadroom(when string, step yuccaplan.Step) {
	a.printf("\nheadroom %s, %s\n", when, formatTime(step.At))
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREGION\tBUSY\tSLOTS\tFREE")
	for _, r := range step.Headroom {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%.1f\n", r.Service, r.Region, r.InFlight, r.Slots, float64(r.Slots)-r.InFlight)
	}
	fmt.Fprintln(w, "LINK\t\tMB/s\tCAP\tFREE")
	for _, l := range step.Links {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\n", l.From, l.To, l.Bytes/1e6, l.Cap/1e6, (l.Cap-l.Bytes)/1e6)
	}
	_ = w.Flush()
}

// formatShares returns the shares as REGION=PERCENT, separated by commas.
func formatShares(shares []yuccaplan.Share) string {
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = fmt.Sprintf("%s=%.2f%%", s.Region, 100*s.Fraction)
	}
	return strings.Join(parts, ",")
}

// formatTime returns a time in UTC as RFC 3339.
func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// formatDrainEnd returns when a drain ends. The zero time means that it doesn't.
func formatDrainEnd(t time.Time) string {
	if t.IsZero() {
		return "does not end"
	}
	return "done at " + formatTime(t)
}
