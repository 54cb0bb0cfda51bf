package yuccaplan

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// serviceRegion identifies a service in a region. Depending on the use, it is the
// region of the servers or the region where requests arise.
type serviceRegion struct{ service, region string }

// planner holds an input, the indexes over it and the state of the plan that is
// being made.
type planner struct {
	// in is the input of the plan.
	in Input
	// opt disables safety checks in tests.
	opt faultOptions
	// now is the time of the plan. It is never before the last plan's time.
	now time.Time
	// nextVersion is the version of the plan if it differs from the last one.
	nextVersion uint64
	// capacity is the number of slots by service and region of the servers.
	capacity map[serviceRegion]int
	// drained holds the regions that the rules drain.
	drained map[string]bool
	// members are the entries that may use a plan, ordered by name.
	members []Member
	// ackedVersions is the highest plan version that each entry has applied.
	ackedVersions map[string]uint64
	// usage is the load by service and region of origin.
	usage map[serviceRegion]Usage
	// measurements are the measurements by service and region of the servers,
	// merged over all entries.
	measurements map[serviceRegion]measurement
	// demand holds the demand of single entries.
	demand map[demandKey]Demand
	// expectedInFlight is the expected number of requests in flight by service
	// and region of the servers.
	expectedInFlight map[serviceRegion]float64
	// linkLoad is the expected load of each link, in bytes per second.
	linkLoad map[linkDirection]float64
	// linkCaps is the cap of each link, in bytes per second.
	linkCaps map[linkDirection]float64
	// lastBudgets holds, by service and region, the indexes of the last plan's
	// budgets, ordered by entry.
	lastBudgets map[serviceRegion][]int
	// baselines are the latency baselines of the plan that is being made.
	baselines []Baseline
}

// demandKey identifies one entry's demand for a service in a region.
type demandKey struct{ entry, service, region string }

// measurement is the merged measurement of all entries for a service in a region.
type measurement struct {
	// latency is the mean of the entries' latencies; 0 when none is known.
	latency time.Duration
	// age is the age of the oldest measurement.
	age time.Duration
	// count is the number of entries with a latency.
	count int
}

// newPlanner indexes an input.
func newPlanner(in Input, opt faultOptions) *planner {
	w := &planner{in: in, opt: opt, now: in.Now.UTC().Round(0), nextVersion: in.Last.Version + 1}
	if w.now.Before(in.Last.CreatedAt) {
		w.now = in.Last.CreatedAt
	}
	w.drained = map[string]bool{}
	for _, d := range in.Rules.Drains {
		if d.Kind == yuccarule.DrainRegion {
			w.drained[d.Name] = true
		}
	}
	w.capacity = capacities(in)
	w.members = planMembers(in, w.now)
	w.ackedVersions = map[string]uint64{}
	for _, a := range in.Acks {
		w.ackedVersions[a.Entry] = max(w.ackedVersions[a.Entry], min(a.Version, in.Last.Version))
	}
	w.aggregateDemand()
	w.linkCaps = linkCaps(in.Rules)
	w.projectLoad()
	w.lastBudgets = map[serviceRegion][]int{}
	for i, b := range in.Last.Budgets {
		p := serviceRegion{b.Service, b.Region}
		w.lastBudgets[p] = append(w.lastBudgets[p], i)
	}
	return w
}

// capacities returns the number of slots of each service in each region. Servers
// that are leaving or drained do not count. A server with several services
// divides its slots among them by weight.
func capacities(in Input) map[serviceRegion]int {
	drained := map[string]bool{}
	for _, d := range in.Rules.Drains {
		if d.Kind == yuccarule.DrainServer {
			drained[d.Name] = true
		}
	}
	weights := map[string]int{}
	for _, s := range in.Rules.Services {
		weights[s.Name] = max(s.Priority, 1)
	}
	all := map[serviceRegion]int{}
	for _, i := range in.View.Servers() {
		if i.Leaving || drained[i.Addr] {
			continue
		}
		addServer(all, weights, i)
	}
	return all
}

// addServer adds the slots of one server to all. Rounding loses no slot.
func addServer(all map[serviceRegion]int, weights map[string]int, i yuccastore.Instance) {
	total := 0
	for _, name := range i.Services {
		total += weights[name]
	}
	weightSum := 0
	for _, name := range i.Services {
		if weights[name] == 0 {
			continue
		}
		allocated := i.Slots * weightSum / total
		weightSum += weights[name]
		all[serviceRegion{name, i.Region}] += i.Slots*weightSum/total - allocated
	}
}

// planMembers returns the entries of the view, and those that are missing from it
// but may still run with an unexpired plan. The result is ordered by name.
func planMembers(in Input, now time.Time) []Member {
	var all []Member
	for _, e := range in.View.Entries() {
		all = append(all, Member{Name: e.Name, Region: e.Region})
	}
	listed := len(all)
	for _, m := range in.Last.Members {
		_, ok := slices.BinarySearchFunc(all[:listed], m.Name, compareMember)
		if ok {
			continue
		}
		if m.MissingSince.IsZero() {
			m.MissingSince = now
		}
		if now.Before(m.MissingSince.Add(planLifetime + maxClockSkew)) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return compareMember(a, b.Name) })
	return all
}

func compareMember(m Member, name string) int {
	switch {
	case m.Name < name:
		return -1
	case m.Name > name:
		return 1
	}
	return 0
}

// appliedEverywhere reports whether every entry is known to have applied the plan
// version or a later one. It returns false without entries.
func (w *planner) appliedEverywhere(version uint64) bool {
	for _, m := range w.members {
		if w.ackedVersions[m.Name] < version {
			return false
		}
	}
	return len(w.members) > 0
}

// aggregateDemand indexes the reported demand by entry, by region of origin and by
// region of the servers. Where no entry reported, it uses the last plan's usage.
func (w *planner) aggregateDemand() {
	region := map[string]string{}
	for _, m := range w.members {
		region[m.Name] = m.Region
	}
	w.usage, w.measurements, w.demand = map[serviceRegion]Usage{}, map[serviceRegion]measurement{}, map[demandKey]Demand{}
	for _, d := range w.in.Demands {
		w.demand[demandKey{d.Entry, d.Service, d.Region}] = d
		from := serviceRegion{d.Service, region[d.Entry]}
		u := w.usage[from]
		w.usage[from] = Usage{Service: d.Service, From: from.region, InFlight: u.InFlight + d.InFlight, Bytes: u.Bytes + d.Bytes}
		to := serviceRegion{d.Service, d.Region}
		r := w.measurements[to]
		r.age = max(r.age, d.Age)
		if d.Latency > 0 {
			r.latency = (r.latency*time.Duration(r.count) + d.Latency) / time.Duration(r.count+1)
			r.count++
		}
		w.measurements[to] = r
	}
	for _, u := range w.in.Last.Usage {
		if _, ok := w.usage[serviceRegion{u.Service, u.From}]; !ok {
			w.usage[serviceRegion{u.Service, u.From}] = u
		}
	}
}

// projectLoad computes the expected load of regions and links from the usage and
// the routes of the last plan.
func (w *planner) projectLoad() {
	w.expectedInFlight, w.linkLoad = map[serviceRegion]float64{}, map[linkDirection]float64{}
	for _, r := range w.in.Last.Routes {
		u, ok := w.usage[serviceRegion{r.Service, r.From}]
		if !ok {
			continue
		}
		for _, share := range r.Shares {
			w.addExpectedLoad(u, share.Region, share.Fraction)
		}
	}
}

// measurementAge returns the age of the oldest measurement of a service in a
// region, or staleAge if there is none.
func (w *planner) measurementAge(p serviceRegion) time.Duration {
	r, ok := w.measurements[p]
	if !ok {
		return staleAge
	}
	return r.age
}

// usableRegions returns the regions that may receive new traffic of a service, in
// the order of the service's rule.
func (w *planner) usableRegions(s yuccarule.Service) []string {
	var all []string
	for _, r := range s.Regions {
		if !w.drained[r] && w.capacity[serviceRegion{s.Name, r}] > 0 {
			all = append(all, r)
		}
	}
	return all
}
