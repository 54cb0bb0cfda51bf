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

const (
	askTimeout   = 2 * time.Second
	waitInterval = 100 * time.Millisecond
)

// entryStatus is an entry's status, or why it gave none.
type entryStatus struct {
	yuccasync.Status
	Fault string `json:"fault,omitempty"`
}

const watchInterval = time.Second

func (a *app) statusCommand() *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use:     "status [ADDRESS...]",
		Short:   "Show the entries, the versions in force and the use of every region",
		Long:    "status asks every entry that the platform lists. With admin addresses it asks these, and shows what each entry takes for true.",
		Example: "  yuccactl status\n  yuccactl status --watch\n  yuccactl status --json\n  yuccactl status 10.0.0.7:9100 10.0.0.8:9100",
		RunE: func(c *cobra.Command, addrs []string) error {
			if len(addrs) > 0 {
				return a.showBeliefs(addrs)
			}
			store, err := a.store()
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
	c.Flags().BoolVar(&watch, "watch", false, "show again every second")
	return c
}

func (a *app) showStatus(ctx context.Context, store yuccastore.Store, watch bool) error {
	all, err := askAll(ctx, store)
	if err != nil {
		return err
	}
	return a.show(all, func() {
		plain := isPlain(a.out)
		if watch && !plain {
			a.printf("\x1b[H\x1b[2J")
		}
		a.printEntries(all)
		a.printPlan(newest(all), holder(ctx, store))
		a.printUse(sumUse(all), plain)
	})
}

func (a *app) printEntries(all []entryStatus) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(cells ...string) { _, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n")) }
	row("ENTRY", "REGION", "DOMAIN", "STATE", "RULES", "PLAN", "SERVERS")
	for _, e := range all {
		row(e.Name, e.Region, e.Domain, e.state(), number(e.Rules), number(e.Plan), number(uint64(e.Servers)))
	}
}

// newest returns the status of the entry with the latest plan.
func newest(all []entryStatus) entryStatus {
	var best entryStatus
	for _, e := range all {
		if e.Epoch > best.Epoch || e.Epoch == best.Epoch && e.Plan > best.Plan {
			best = e
		}
	}
	return best
}

// holder names the entry that holds the planner's lease, as far as the platform
// says.
func holder(ctx context.Context, store yuccastore.Store) string {
	o, err := store.Get(ctx, yuccalease.Key)
	var r yuccalease.Record
	if err != nil || json.Unmarshal(o.Value, &r) != nil || r.Holder == "" {
		return "nobody"
	}
	return r.Holder
}

// printPlan prints whose plan is in force and what it still moves.
func (a *app) printPlan(e entryStatus, holder string) {
	if e.Plan == 0 {
		return
	}
	a.printf("\nplan %d of epoch %d, made %s ago; %s plans\n", e.Plan, e.Epoch, time.Since(e.Made).Round(time.Second), holder)
	for _, r := range e.Ramps {
		a.printf("moving: %s from %s, %s left, done about %s\n", r.Service, r.From, percent(r.Left), r.End.UTC().Format(time.RFC3339))
	}
}

// sumUse adds the entries' use up by service and region.
func sumUse(all []entryStatus) []yuccasync.BudgetUsage {
	var total []yuccasync.BudgetUsage
	for _, e := range all {
		for _, u := range e.Use {
			i := slices.IndexFunc(total, func(t yuccasync.BudgetUsage) bool { return t.Service == u.Service && t.Region == u.Region })
			if i < 0 {
				total = append(total, u)
				continue
			}
			total[i].Busy += u.Busy
			total[i].Slots += u.Slots
		}
	}
	slices.SortFunc(total, func(x, y yuccasync.BudgetUsage) int {
		return cmp.Or(strings.Compare(x.Region, y.Region), strings.Compare(x.Service, y.Service))
	})
	return total
}

func (a *app) printUse(total []yuccasync.BudgetUsage, plain bool) {
	if len(total) == 0 {
		return
	}
	a.printf("\n%-12s %-12s %-31s %s\n", "REGION", "SERVICE", "IN USE", "SLOTS")
	for _, u := range total {
		used, whole := float64(u.Busy), float64(u.Slots)
		a.printf("%-12s %-12s %s %d of %d\n", u.Region, u.Service, paint(bar(used, whole, plain), used, whole, plain), u.Busy, u.Slots)
	}
}

func (e entryStatus) state() string {
	switch {
	case e.Fault != "":
		return e.Fault
	case e.Leaving:
		return "leaving"
	case !e.Ready:
		return "not ready"
	}
	return "ready"
}

// askAll asks every entry of the platform's list for its status.
func askAll(ctx context.Context, store yuccastore.Store) ([]entryStatus, error) {
	list, err := store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var all []entryStatus
	for _, i := range list.Instances {
		if i.Kind == yuccastore.KindEntry && i.Admin != "" {
			all = append(all, ask(i))
		}
	}
	slices.SortFunc(all, func(x, y entryStatus) int { return strings.Compare(x.Name, y.Name) })
	return all, nil
}

func ask(i yuccastore.Instance) entryStatus {
	s := entryStatus{Status: yuccasync.Status{Name: i.Name, Region: i.Region, Domain: i.Domain}}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+i.Admin+"/status", askTimeout)
	switch {
	case err != nil:
		s.Fault = "unreachable"
	case status != fasthttp.StatusOK:
		s.Fault = "no status"
	case json.Unmarshal(body, &s) != nil:
		s.Fault = "status unreadable"
	}
	return s
}

// waitInForce returns when every live entry has the version in force. When ctx
// ends first, it names those that do not.
func waitInForce(ctx context.Context, store yuccastore.Store, version uint64) ([]string, error) {
	var behind []string
	for {
		all, err := askAll(ctx, store)
		if err == nil {
			behind = behindOf(all, version)
			if len(behind) == 0 {
				return nil, nil
			}
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return behind, yuccaerror.New(yuccaerror.PlatformUnavailable, "version %d is accepted but not in force at %s", version, strings.Join(behind, ", "))
		}
	}
}

func behindOf(all []entryStatus, version uint64) []string {
	var names []string
	for _, e := range all {
		if e.Rules < version {
			names = append(names, e.Name)
		}
	}
	return names
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the command",
		Args:  exactly(0),
		RunE: func(*cobra.Command, []string) error {
			v := buildVersion()
			return a.show(v, func() { a.printf("yuccactl %s %s\n", v.Version, v.Revision) })
		},
	}
}

type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
}

func buildVersion() build {
	b := build{Version: "unknown", Revision: "unknown"}
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

func number(n uint64) string { return strconv.FormatUint(n, 10) }
