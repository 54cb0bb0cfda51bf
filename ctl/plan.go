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

const planHorizon = 7 * 24 * time.Hour

func (a *app) planCommand() *cobra.Command {
	var horizon time.Duration
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what a rules file would move, and how fast",
		Long: "plan shows what a rules file would move, at which times, what headroom each step\n" +
			"leaves in regions and on links, when drains end and which events they collide\n" +
			"with. It changes nothing.",
		Example: "  yuccactl plan rules.txt\n  yuccactl plan rules.txt --json",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.plan(c.Context(), args[0], horizon)
		},
	}
	c.Flags().DurationVar(&horizon, "horizon", planHorizon, "look this far ahead")
	return c
}

func (a *app) plan(ctx context.Context, path string, horizon time.Duration) error {
	_, rules, err := soundRules(path)
	if err != nil {
		return err
	}
	store, err := a.store()
	if err != nil {
		return err
	}
	defer store.Close()
	in, err := planInput(ctx, store, rules)
	if err != nil {
		return err
	}
	f := yuccaplan.Simulate(in, horizon)
	return a.show(f, func() { a.printForecast(f) })
}

// planInput reads the list of instances and the current plan.
func planInput(ctx context.Context, store yuccastore.Store, rules yuccarule.Rules) (yuccaplan.Input, error) {
	in := yuccaplan.Input{Now: time.Now().UTC().Truncate(time.Second), Rules: rules}
	list, err := store.Instances(ctx)
	if err != nil {
		return in, err
	}
	in.View = yuccamembership.NewView(list.Instances)
	o, err := store.Get(ctx, yuccasync.PlanKey)
	if yuccaerror.Is(err, yuccaerror.Missing) {
		return in, nil
	}
	if err != nil {
		return in, err
	}
	in.Last, err = yuccaplan.Decode(o.Value)
	in.Version = in.Last.Rules + 1
	return in, err
}

func (a *app) printForecast(f yuccaplan.Forecast) {
	for _, w := range f.Warnings {
		a.printf("warning %s: %s\n", w.Cause, w.Text)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tSERVICE\tFROM\tSHARES\tREFUSED")
	for _, step := range f.Steps {
		for _, r := range step.Routes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", printTime(step.At), r.Service, r.From, printShares(r.Shares), printShares(r.Unroutable))
		}
	}
	_ = w.Flush()
	if len(f.Steps) > 0 {
		a.printRoom("now", f.Steps[0])
		a.printRoom("after the last step", f.Steps[len(f.Steps)-1])
	}
	for _, d := range f.Drains {
		a.printf("drain %s %s: %s\n", d.Kind, d.Name, printEnd(d.End))
	}
	if !f.Ended {
		a.printf("moves are left at the horizon\n")
	}
}

func (a *app) printRoom(when string, step yuccaplan.Step) {
	a.printf("\nheadroom %s, %s\n", when, printTime(step.At))
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREGION\tBUSY\tSLOTS\tFREE")
	for _, r := range step.Room {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%.1f\n", r.Service, r.Region, r.Busy, r.Slots, float64(r.Slots)-r.Busy)
	}
	fmt.Fprintln(w, "LINK\t\tMB/s\tCAP\tFREE")
	for _, l := range step.Links {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\n", l.From, l.To, l.Bytes/1e6, l.Cap/1e6, (l.Cap-l.Bytes)/1e6)
	}
	_ = w.Flush()
}

func printShares(all []yuccaplan.Share) string {
	words := make([]string, len(all))
	for i, s := range all {
		words[i] = fmt.Sprintf("%s=%.2f%%", s.Region, 100*s.Part)
	}
	return strings.Join(words, ",")
}

func printTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func printEnd(t time.Time) string {
	if t.IsZero() {
		return "does not end"
	}
	return "done at " + printTime(t)
}
