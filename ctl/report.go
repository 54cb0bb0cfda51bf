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

// maxSnapshotAge is the age from which the report lists an entry's counts as
// incomplete.
const maxSnapshotAge = time.Minute

// reportCommand returns the command report.
func (a *app) reportCommand() *cobra.Command {
	var svg string
	var over time.Duration
	c := &cobra.Command{
		Use:   "report",
		Short: "Show how much of each service's error budget is spent",
		Long: "report shows, for each goal, the part of its error budget that is spent and its\n" +
			"burn rate: at a rate of 1 the budget is used up in exactly the goal's window.",
		Example: "  yuccactl report\n  yuccactl report --svg burn.svg --over 1h",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return a.report(c.Context(), svg, over)
		},
	}
	c.Flags().StringVar(&svg, "svg", "", "also draw the spent budgets into this SVG file")
	c.Flags().DurationVar(&over, "over", 0, "length of time that the drawing covers (default the longest window of a goal)")
	return c
}

// report prints the error budgets and, when svg names a file, draws them there.
func (a *app) report(ctx context.Context, svg string, over time.Duration) error {
	store, err := a.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	d, rules, _, err := currentRules(ctx, store)
	if err != nil {
		return err
	}
	list, err := store.Instances(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	snapshots, entries, err := collectSnapshots(list, now)
	if err != nil {
		return err
	}
	r := yuccaburn.NewReport(now, rules.Goals, snapshots.Windows())
	r.Missing = snapshots.Gaps(now, entries, maxSnapshotAge)
	if svg != "" {
		if err := drawChart(svg, now, rules.Goals, snapshots.Windows(), over); err != nil {
			return err
		}
	}
	return a.output(r, func() { a.printReport(r, d, rules) })
}

// collectSnapshots fetches the snapshots of every listed entry: its own and its
// replicas of others. It also returns the names of all listed entries. It skips
// entries whose counts can't be fetched. When that is all of them, its error is of
// kind Unreachable.
func collectSnapshots(list yuccastore.Instances, now time.Time) (yuccaburn.SnapshotSet, []string, error) {
	var snapshots yuccaburn.SnapshotSet
	var names []string
	answers := 0
	for _, i := range list.Instances {
		if i.Kind != yuccastore.KindEntry || i.Admin == "" {
			continue
		}
		names = append(names, i.Name)
		exported, err := fetchSnapshots(i.Admin)
		if err != nil {
			continue
		}
		if snapshots, err = yuccaburn.ImportSnapshots(snapshots, exported, now); err != nil {
			return snapshots, nil, fmt.Errorf("decode counts from entry %s: %w", i.Name, err)
		}
		answers++
	}
	if answers == 0 {
		return snapshots, nil, yuccaerror.New(yuccaerror.Unreachable, "no entry returned its counts; check that the admin addresses of the entries can be reached")
	}
	return snapshots, names, nil
}

// fetchSnapshots fetches the snapshots from the admin address of an entry.
func fetchSnapshots(admin string) ([]yuccaburn.ExportedSnapshot, error) {
	status, body, err := getAdminPage(admin, "/burn")
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	if status != fasthttp.StatusOK {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "admin page /burn: HTTP status %d", status)
	}
	var exported []yuccaburn.ExportedSnapshot
	return exported, yuccaerror.Wrap(yuccaerror.Protocol, json.Unmarshal(body, &exported))
}

// printReport prints the report as text. The document d holds the rules.
func (a *app) printReport(r yuccaburn.Report, d yuccarule.Document, rules yuccarule.Rules) {
	a.printf("service-level burn at %s, rules version %d\n\n", r.At.UTC().Format(time.RFC3339), d.Version)
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SERVICE\tREGION\tGOAL\tWINDOW\tREQUESTS\tSHED\tLATE\tBROKEN\tMOVING\tSPENT\tLEFT\t5M\t1H\t6H\t3D\tALERT\t")
	for _, b := range r.Goals {
		fmt.Fprintf(w, "%s\t%s\t%s in %s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			b.Service, regionOrAll(b.Region), formatPercent(b.Goal.Share), b.Goal.Latency, formatDays(b.Goal.Window),
			b.Count.Total, b.Count.Shed, b.Count.Late, b.Count.Broken, b.Count.Moving,
			formatPercent(b.Spent), formatPercent(b.Left), formatBurnRate(b.Rates[0]), formatBurnRate(b.Rates[2]), formatBurnRate(b.Rates[3]), formatBurnRate(b.Rates[4]), alertOrDash(b.Alert))
	}
	_ = w.Flush()
	a.printTrafficMoves(rules)
	for _, g := range r.Missing {
		a.printf("missing: %s since %s: %s\n", g.Entry, formatSince(g.Since), g.Reason)
	}
}

// printTrafficMoves prints the services that have a shift or drain in progress.
func (a *app) printTrafficMoves(rules yuccarule.Rules) {
	for _, s := range rules.Services {
		if rules.HasTrafficMove(s.Name) {
			a.printf("under way: a shift or drain moves %s\n", s.Name)
		}
	}
}

// regionOrAll returns a region, or "all" for the empty one.
func regionOrAll(region string) string {
	if region == "" {
		return "all"
	}
	return region
}

// alertOrDash returns an alert in capitals, or "-" for none.
func alertOrDash(alert string) string {
	if alert == "" {
		return "-"
	}
	return strings.ToUpper(alert)
}

// formatPercent returns a fraction as a percentage, rounded to four decimals.
func formatPercent(f float64) string {
	return strconv.FormatFloat(math.Round(f*1e6)/1e4, 'f', -1, 64) + "%"
}

// formatBurnRate returns a burn rate with three significant digits, such as 14.4x.
func formatBurnRate(r yuccaburn.Rate) string { return fmt.Sprintf("%.3gx", r.Burn) }

// formatDays returns a duration in days when it is a multiple of one.
func formatDays(d time.Duration) string {
	const day = 24 * time.Hour
	if d%day == 0 {
		return fmt.Sprintf("%dd", d/day)
	}
	return d.String()
}

// formatSince returns a time in UTC as RFC 3339, or "ever" for the zero time.
func formatSince(t time.Time) string {
	if t.IsZero() {
		return "ever"
	}
	return t.UTC().Format(time.RFC3339)
}
