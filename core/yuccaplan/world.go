package yuccaplan

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// place is a service in a region.
type place struct{ service, region string }

// world is the input arranged for the planner's questions.
type world struct {
	in       Input
	opt      options
	now      time.Time
	next     uint64
	capacity map[place]int
	drained  map[string]bool
	members  []Member
	acks     map[string]uint64
	usage    map[place]Usage
	load     map[place]reading
	demand   map[demandKey]Demand
	// expected is the number of requests in flight by the place they go to.
	expected map[place]float64
	// booked is the rate of bytes by the link they come over.
	booked map[direction]float64
	links  map[direction]float64
	// rows are the last plan's budgets of each place, in order of entry.
	rows map[place][]int
	// normal is the baselines of this plan.
	normal []Baseline
}

type demandKey struct{ entry, service, region string }

// reading is what all entries together measured of a place.
type reading struct {
	latency time.Duration
	age     time.Duration
	count   int
}

func newWorld(in Input, opt options) *world {
	w := &world{in: in, opt: opt, now: in.Now.UTC().Round(0), next: in.Last.Version + 1}
	if w.now.Before(in.Last.Made) {
		w.now = in.Last.Made
	}
	w.drained = map[string]bool{}
	for _, d := range in.Rules.Drains {
		if d.Kind == yuccarule.DrainRegion {
			w.drained[d.Name] = true
		}
	}
	w.capacity = capacities(in)
	w.members = roster(in, w.now)
	w.acks = map[string]uint64{}
	for _, a := range in.Acks {
		w.acks[a.Entry] = max(w.acks[a.Entry], min(a.Version, in.Last.Version))
	}
	w.readLoad()
	w.links = linkCaps(in.Rules)
	w.expectAll()
	w.rows = map[place][]int{}
	for i, b := range in.Last.Budgets {
		p := place{b.Service, b.Region}
		w.rows[p] = append(w.rows[p], i)
	}
	return w
}

// capacities adds up the slots of each service in each region. A server that
// runs several services divides its slots among them by weight.
func capacities(in Input) map[place]int {
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
	all := map[place]int{}
	for _, i := range in.View.Servers() {
		if i.Leaving || drained[i.Addr] {
			continue
		}
		addServer(all, weights, i)
	}
	return all
}

func addServer(all map[place]int, weights map[string]int, i yuccastore.Instance) {
	total := 0
	for _, name := range i.Services {
		total += weights[name]
	}
	passed := 0
	for _, name := range i.Services {
		if weights[name] == 0 {
			continue
		}
		before := i.Slots * passed / total
		passed += weights[name]
		all[place{name, i.Region}] += i.Slots*passed/total - before
	}
}

// roster is the entries of the view and those that left it too recently to be
// known as ended.
func roster(in Input, now time.Time) []Member {
	var all []Member
	for _, e := range in.View.Entries() {
		all = append(all, Member{Name: e.Name, Region: e.Region})
	}
	present := len(all)
	for _, m := range in.Last.Members {
		_, ok := slices.BinarySearchFunc(all[:present], m.Name, compareMember)
		if ok {
			continue
		}
		if m.Gone.IsZero() {
			m.Gone = now
		}
		if now.Before(m.Gone.Add(lifetime + skew)) {
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

// inForce reports whether every entry is known to have a plan in force.
func (w *world) inForce(version uint64) bool {
	for _, m := range w.members {
		if w.acks[m.Name] < version {
			return false
		}
	}
	return len(w.members) > 0
}

func (w *world) readLoad() {
	region := map[string]string{}
	for _, m := range w.members {
		region[m.Name] = m.Region
	}
	w.usage, w.load, w.demand = map[place]Usage{}, map[place]reading{}, map[demandKey]Demand{}
	for _, d := range w.in.Load {
		w.demand[demandKey{d.Entry, d.Service, d.Region}] = d
		from := place{d.Service, region[d.Entry]}
		u := w.usage[from]
		w.usage[from] = Usage{Service: d.Service, From: from.region, Busy: u.Busy + d.Busy, Bytes: u.Bytes + d.Bytes}
		to := place{d.Service, d.Region}
		r := w.load[to]
		r.age = max(r.age, d.Age)
		if d.Latency > 0 {
			r.latency = (r.latency*time.Duration(r.count) + d.Latency) / time.Duration(r.count+1)
			r.count++
		}
		w.load[to] = r
	}
	for _, u := range w.in.Last.Usage {
		if _, ok := w.usage[place{u.Service, u.From}]; !ok {
			w.usage[place{u.Service, u.From}] = u
		}
	}
}

// expectAll books the load by the routes of the last plan.
func (w *world) expectAll() {
	w.expected, w.booked = map[place]float64{}, map[direction]float64{}
	for _, r := range w.in.Last.Routes {
		u, ok := w.usage[place{r.Service, r.From}]
		if !ok {
			continue
		}
		for _, share := range r.Shares {
			w.book(u, share.Region, share.Part)
		}
	}
}

// age is the age of what is known of a place; staleAge when nothing is.
func (w *world) age(p place) time.Duration {
	r, ok := w.load[p]
	if !ok {
		return staleAge
	}
	return r.age
}

// usable returns the regions that may take new traffic of a service, in the
// order of its rule.
func (w *world) usable(s yuccarule.Service) []string {
	var all []string
	for _, r := range s.Regions {
		if !w.drained[r] && w.capacity[place{s.Name, r}] > 0 {
			all = append(all, r)
		}
	}
	return all
}
