package main

import (
	"cmp"
	"context"
	"encoding/json"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalease"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// pollInterval is how often apply --wait asks the entries for their versions.
const pollInterval = 100 * time.Millisecond

// entryStatus is the status of a listed entry, or the reason why it could not be
// fetched.
type entryStatus struct {
	yuccasync.Status
	// FetchError is the reason why the status could not be fetched. Empty means
	// that it was fetched.
	FetchError string `json:"fault,omitempty"`
}

// watchInterval is how often status --watch prints the status.
const watchInterval = time.Second

// statusCommand returns the command status.
func (a *app) statusCommand() *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use:     "status [ADDRESS...]",
		Short:   "Show the entries, the versions in force and the slots in use in every region",
		Long:    "status asks every entry that the platform lists. With admin addresses it asks just these, without the platform, and shows the state of the system as each entry knows it.",
		Example: "  yuccactl status\n  yuccactl status --watch\n  yuccactl status --json\n  yuccactl status 10.0.0.7:9100 10.0.0.8:9100",
		RunE: func(c *cobra.Command, addrs []string) error {
			if len(addrs) > 0 {
				return a.showDiscovery(addrs)
			}
			store, err := a.openStore()
			if err != nil {
				return err
			}
			defer store.Close()
			for {
				if err := a.showStatus(c.Context(), store, watch); err != nil || !watch {
					return err
				}
				select {
				case <-time.After(watchInterval):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().BoolVar(&watch, "watch", false, "print the status every second")
	return c
}

// showStatus fetches and prints the status of all listed entries. With watch set it
// clears the terminal first.
func (a *app) showStatus(ctx context.Context, store yuccastore.Store, watch bool) error {
	all, err := fetchAllStatus(ctx, store)
	if err != nil {
		return err
	}
	return a.output(all, func() {
		plain := isPlain(a.out)
		if watch && !plain {
			a.printf("\x1b[H\x1b[2J")
		}
		a.printEntries(all)
		a.printPlan(latestPlan(all), planLeaseHolder(ctx, store))
		a.printUsage(sumUsage(all), plain)
	})
}

// printEntries prints a table with a line per entry.
func (a *app) printEntries(all []entryStatus) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(cells ...string) { _, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n")) }
	row("ENTRY", "REGION", "DOMAIN", "STATE", "RULES", "PLAN", "SERVERS")
	for _, e := range all {
		row(e.Name, e.Region, e.Domain, e.state(), formatUint(e.Rules), formatUint(e.Plan), formatUint(uint64(e.Servers)))
	}
}

// latestPlan returns the status of the entry with the latest plan: the highest
// epoch, then the highest plan version.
func latestPlan(all []entryStatus) entryStatus {
	var best entryStatus
	for _, e := range all {
		if e.Epoch > best.Epoch || e.Epoch == best.Epoch && e.Plan > best.Plan {
			best = e
		}
	}
	return best
}

// planLeaseHolder returns the name of the entry that holds the planner's lease, or
// "nobody" when none does or the lease can't be read.
func planLeaseHolder(ctx context.Context, store yuccastore.Store) string {
	o, err := store.Get(ctx, yuccalease.Key)
	var r yuccalease.Record
	if err != nil || json.Unmarshal(o.Value, &r) != nil || r.Holder == "" {
		return "nobody"
	}
	return r.Holder
}

// printPlan prints the plan of an entry, the holder of the planner's lease and the
// traffic that the plan still moves. It prints nothing when the entry has no plan.
func (a *app) printPlan(e entryStatus, holder string) {
	if e.Plan == 0 {
		return
	}
	a.printf("\nplan %d of epoch %d, made %s ago; %s plans\n", e.Plan, e.Epoch, time.Since(e.PlannedAt).Round(time.Second), holder)
	for _, r := range e.Ramps {
		a.printf("moving: %s from %s, %s left, done about %s\n", r.Service, r.From, formatPercent(r.Remaining), r.End.UTC().Format(time.RFC3339))
	}
}

// sumUsage returns the slots in use at all entries, added up by service and region
// and sorted by region, then service.
func sumUsage(all []entryStatus) []yuccasync.BudgetUsage {
	var total []yuccasync.BudgetUsage
	for _, e := range all {
		for _, u := range e.Use {
			i := slices.IndexFunc(total, func(t yuccasync.BudgetUsage) bool { return t.Service == u.Service && t.Region == u.Region })
			if i < 0 {
				total = append(total, u)
				continue
			}
			total[i].InFlight += u.InFlight
			total[i].Slots += u.Slots
		}
	}
	slices.SortFunc(total, func(x, y yuccasync.BudgetUsage) int {
		return cmp.Or(strings.Compare(x.Region, y.Region), strings.Compare(x.Service, y.Service))
	})
	return total
}

// printUsage prints a bar with the slots in use per region and service.
func (a *app) printUsage(total []yuccasync.BudgetUsage, plain bool) {
	if len(total) == 0 {
		return
	}
	a.printf("\n%-12s %-12s %-31s %s\n", "REGION", "SERVICE", "IN USE", "SLOTS")
	for _, u := range total {
		used, whole := float64(u.InFlight), float64(u.Slots)
		a.printf("%-12s %-12s %s %d of %d\n", u.Region, u.Service, colorByUsage(usageBar(used, whole, plain), used, whole, plain), u.InFlight, u.Slots)
	}
}

// state returns the text of the STATE column.
func (e entryStatus) state() string {
	switch {
	case e.FetchError != "":
		return e.FetchError
	case e.Leaving:
		return "leaving"
	case !e.Ready:
		return "not ready"
	}
	return "ready"
}

// fetchAllStatus returns the status of every entry that the platform lists, sorted
// by name.
func fetchAllStatus(ctx context.Context, store yuccastore.Store) ([]entryStatus, error) {
	list, err := store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var all []entryStatus
	for _, i := range list.Instances {
		if i.Kind == yuccastore.KindEntry && i.Admin != "" {
			all = append(all, fetchStatus(i))
		}
	}
	slices.SortFunc(all, func(x, y entryStatus) int { return strings.Compare(x.Name, y.Name) })
	return all, nil
}

// fetchStatus fetches the status from the admin address of an instance.
func fetchStatus(i yuccastore.Instance) entryStatus {
	s := entryStatus{Status: yuccasync.Status{Name: i.Name, Region: i.Region, Domain: i.Domain}}
	status, body, err := getAdminPage(i.Admin, "/status")
	switch {
	case err != nil:
		s.FetchError = "unreachable"
	case status != fasthttp.StatusOK:
		s.FetchError = "no status"
	case json.Unmarshal(body, &s) != nil:
		s.FetchError = "status unreadable"
	}
	return s
}

// waitForVersion waits until every listed entry has the version in force. When ctx
// ends first, it returns the names of the entries that don't have it, with an
// error of kind PlatformUnavailable.
func waitForVersion(ctx context.Context, store yuccastore.Store, version uint64) ([]string, error) {
	var outdated []string
	for {
		all, err := fetchAllStatus(ctx, store)
		if err == nil {
			outdated = outdatedEntries(all, version)
			if len(outdated) == 0 {
				return nil, nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return outdated, yuccaerror.New(yuccaerror.PlatformUnavailable, "version %d is accepted but not in force at %s", version, strings.Join(outdated, ", "))
		}
	}
}

// outdatedEntries returns the names of the entries with rules older than version.
func outdatedEntries(all []entryStatus, version uint64) []string {
	var names []string
	for _, e := range all {
		if e.Rules < version {
			names = append(names, e.Name)
		}
	}
	return names
}

// versionCommand returns the command version.
func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the command",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			v := readBuildInfo()
			return a.output(v, func() { a.printf("yuccactl %s %s\n", v.Version, v.Revision) })
		},
	}
}

// buildInfo is the JSON output of version.
type buildInfo struct {
	// Version is the module version.
	Version string `json:"version"`
	// Revision is the commit.
	Revision string `json:"revision"`
}

// readBuildInfo returns the version and revision that the Go toolchain recorded, or
// "unknown" where it recorded none.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}

// formatUint returns a number in decimal.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
