package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// freshCopy is how old an entry's counts may be before the report says that
// some are missing.
const freshCopy = time.Minute

func (a *app) reportCommand() *cobra.Command {
	var svg string
	var over time.Duration
	c := &cobra.Command{
		Use:   "report",
		Short: "Show how much of each service's error budget is spent",
		Long: "report shows, for each goal, the part of its error budget that is spent and how\n" +
			"fast it burns: at a burn of 1 the budget is used up in exactly the goal's window.",
		Example: "  yuccactl report\n  yuccactl report --svg burn.svg --over 1h",
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return a.report(c.Context(), svg, over)
		},
	}
	c.Flags().StringVar(&svg, "svg", "", "also draw the budgets' use into this file")
	c.Flags().DurationVar(&over, "over", 0, "the time that the drawing covers (default the longest goal's window)")
	return c
}

func (a *app) report(ctx context.Context, svg string, over time.Duration) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	defer store.Close()
	d, rules, _, err := current(ctx, store)
	if err != nil {
		return err
	}
	list, err := store.Instances(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	keep, entries, err := gather(list, now)
	if err != nil {
		return err
	}
	r := yuccaburn.NewReport(now, rules.Goals, keep.Windows())
	r.Missing = keep.Gaps(now, entries, freshCopy)
	if svg != "" {
		if err := drawBurn(svg, now, rules.Goals, keep.Windows(), over); err != nil {
			return err
		}
	}
	return a.show(r, func() { a.printReport(r, d, rules) })
}

// gather asks every live entry for its counts and for those that it keeps.
func gather(list yuccastore.Instances, now time.Time) (yuccaburn.SnapshotSet, []string, error) {
	var keep yuccaburn.SnapshotSet
	var names []string
	answers := 0
	for _, i := range list.Instances {
		if i.Kind != yuccastore.KindEntry || i.Admin == "" {
			continue
		}
		names = append(names, i.Name)
		shared, err := askBurn(i.Admin)
		if err != nil {
			continue
		}
		if keep, err = yuccaburn.ImportSnapshots(keep, shared, now); err != nil {
			return keep, nil, fmt.Errorf("counts of %s: %w", i.Name, err)
		}
		answers++
	}
	if answers == 0 {
		return keep, nil, yuccaerror.New(yuccaerror.Unreachable, "no entry gave its counts")
	}
	return keep, names, nil
}

func askBurn(admin string) ([]yuccaburn.ExportedSnapshot, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+admin+"/burn", askTimeout)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	if status != fasthttp.StatusOK {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "status %d", status)
	}
	var shared []yuccaburn.ExportedSnapshot
	return shared, yuccaerror.Wrap(yuccaerror.Protocol, json.Unmarshal(body, &shared))
}

func (a *app) printReport(r yuccaburn.Report, d yuccarule.Document, rules yuccarule.Rules) {
	a.printf("service-level burn at %s, rules version %d\n\n", r.At.UTC().Format(time.RFC3339), d.Version)
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SERVICE\tREGION\tGOAL\tWINDOW\tREQUESTS\tSHED\tLATE\tBROKEN\tMOVING\tSPENT\tLEFT\t5M\t1H\t6H\t3D\tALERT\t")
	for _, l := range r.Goals {
		fmt.Fprintf(w, "%s\t%s\t%s in %s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			l.Service, orAll(l.Region), percent(l.Goal.Share), l.Goal.Latency, days(l.Goal.Window),
			l.Count.Total, l.Count.Shed, l.Count.Late, l.Count.Broken, l.Count.Moving,
			percent(l.Spent), percent(l.Left), times(l.Rates[0]), times(l.Rates[2]), times(l.Rates[3]), times(l.Rates[4]), orNone(l.Alert))
	}
	_ = w.Flush()
	a.printMoves(rules)
	for _, g := range r.Missing {
		a.printf("missing: %s since %s: %s\n", g.Entry, sinceText(g.Since), g.Reason)
	}
}

func (a *app) printMoves(rules yuccarule.Rules) {
	for _, s := range rules.Services {
		if rules.HasTrafficMove(s.Name) {
			a.printf("under way: a shift or drain moves %s\n", s.Name)
		}
	}
}

func orAll(region string) string {
	if region == "" {
		return "all"
	}
	return region
}

func orNone(alert string) string {
	if alert == "" {
		return "-"
	}
	return strings.ToUpper(alert)
}

// percent prints a fraction in percent, to a ten-thousandth of a percent.
func percent(f float64) string {
	return strconv.FormatFloat(math.Round(f*1e6)/1e4, 'f', -1, 64) + "%"
}

func times(r yuccaburn.Rate) string { return fmt.Sprintf("%.3gx", r.Burn) }

func days(d time.Duration) string {
	const day = 24 * time.Hour
	if d%day == 0 {
		return fmt.Sprintf("%dd", d/day)
	}
	return d.String()
}

func sinceText(t time.Time) string {
	if t.IsZero() {
		return "ever"
	}
	return t.UTC().Format(time.RFC3339)
}
