package yuccaplan

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// scenario is a random fleet and a sequence of changes to it.
type scenario struct {
	// Entries is the number of entries.
	Entries int
	// Servers is the number of backend servers.
	Servers int
	// Shared makes every server run all services.
	Shared bool
	// FixedLimits keeps the capacities and shift limits as they are.
	FixedLimits bool
	// Ramping starts the scenario with a shift in progress and fresh measurements.
	Ramping bool
	Steps   []step
}

// step is one change in a scenario.
type step struct {
	// Kind is one of the step constants.
	Kind int
	// Pick is a random number that selects an entry, a server or rules.
	Pick int
	// Value is a random number with a meaning that depends on Kind.
	Value int
	// After is the time since the previous step.
	After time.Duration
}

const (
	// stepPlan makes a plan.
	stepPlan = iota
	// stepApply makes an entry apply a plan.
	stepApply
	// stepAck makes entries acknowledge their plans.
	stepAck
	// stepServer makes a server leave or return.
	stepServer
	// stepEntry hides an entry from the list of instances or lists it again.
	stepEntry
	// stepRules changes the rules.
	stepRules
	// stepLoad changes the reported load.
	stepLoad
	// stepRestart loses all state except the stored plans.
	stepRestart
	// stepKindCount is the number of kinds.
	stepKindCount
)

func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			Entries:     rapid.IntRange(1, 7).Draw(t, "entries"),
			Servers:     rapid.IntRange(1, 9).Draw(t, "servers"),
			Shared:      rapid.Bool().Draw(t, "shared"),
			FixedLimits: rapid.Bool().Draw(t, "fixed limits"),
			Ramping:     rapid.Bool().Draw(t, "ramping"),
		}
		s.Steps = rapid.SliceOfN(rapid.Custom(drawStep), 60, 180).Draw(t, "steps")
		return s
	})
}

func drawStep(t *rapid.T) step {
	kind := rapid.IntRange(0, 5*stepKindCount).Draw(t, "kind")
	if kind >= stepKindCount {
		kind %= 3
	}
	return step{
		Kind:  kind,
		Pick:  rapid.IntRange(0, 20).Draw(t, "pick"),
		Value: rapid.IntRange(0, 100).Draw(t, "value"),
		After: time.Duration(rapid.IntRange(0, 12000).Draw(t, "after")) * time.Millisecond,
	}
}

var (
	scenarioRegions  = []string{"a", "b", "c"}
	scenarioServices = []string{"s", "u"}
	scenarioStart    = time.Date(2027, 3, 27, 12, 0, 0, 0, time.UTC)
)

// testEntry is the actual state of an entry, which the planner may not know.
type testEntry struct {
	yuccastore.Instance
	// plan is the plan that the entry uses.
	plan Plan
	// moves are the changes of the entry's routes, by service and region of
	// origin.
	moves map[serviceRegion][]appliedMove
	// acked is the plan version that the entry has reported.
	acked uint64
	// hidden is set while the entry is missing from the list of instances
	// although it runs.
	hidden bool
	// hiddenSince is the time of the last change of hidden.
	hiddenSince time.Time
}

// appliedMove is a change of a route that an entry has applied.
type appliedMove struct {
	at   time.Time
	part fraction
}

// scenarioRun is the state of a scenario while it runs.
type scenarioRun struct {
	// plan is the planner under test.
	plan        func(Input) Plan
	fixedLimits bool
	now         time.Time
	text        string
	rules       yuccarule.Rules
	version     uint64
	entries     []*testEntry
	servers     []yuccastore.Instance
	load        []Demand
	// plans holds all plans made, oldest first.
	plans []Plan
	// capacity is the number of slots by plan version, service and region.
	capacity map[uint64]map[serviceRegion]int
}

const scenarioRules = `region a domains=a1 # t
region b domains=b1 # t
region c domains=c1 # t
link a b cap=100Mbit # t
link a c cap=40Mbit # t
service s host=s regions=a,b,c weight=3 # t
service u host=u regions=a,b # t
`

const scenarioCaps = "cap s step=10% every=1m # t\ncap u step=4% every=2m # t\n"

// run runs the scenario against a planner. The error names the first violation.
func (s scenario) run(plan func(Input) Plan) error {
	d := &scenarioRun{plan: plan, now: scenarioStart, capacity: map[uint64]map[serviceRegion]int{}, fixedLimits: s.FixedLimits}
	d.setRules(scenarioCaps)
	for i := range s.Entries {
		d.entries = append(d.entries, &testEntry{moves: map[serviceRegion][]appliedMove{}, Instance: yuccastore.Instance{
			Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: scenarioRegions[i%3]}})
	}
	for i := range s.Servers {
		services := scenarioServices[i%2 : i%2+1]
		if s.Shared {
			services = scenarioServices
		}
		d.servers = append(d.servers, yuccastore.Instance{Name: fmt.Sprint("b", i), Addr: fmt.Sprint("10.0.0.", i, ":80"),
			Kind: yuccastore.KindServer, Region: scenarioRegions[i/2%3], Slots: 3 + i, Services: services})
	}
	if s.Ramping {
		d.setRules(scenarioCaps + "shift s from=a to=b share=60% # t\n")
		d.load = []Demand{{Entry: "e0", Service: "s", Region: "b", InFlight: 0.1, Latency: 30 * time.Millisecond}}
	}
	for i, st := range s.Steps {
		d.now = d.now.Add(st.After)
		d.expireHidden()
		if err := d.step(st); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (d *scenarioRun) setRules(extra string) {
	rules, faults := yuccarule.Parse("r", []byte(scenarioRules+extra))
	if len(faults) > 0 {
		return
	}
	d.rules, d.text = rules, extra
	d.version++
}

func (d *scenarioRun) step(st step) error {
	e := d.entries[st.Pick%len(d.entries)]
	switch st.Kind {
	case stepPlan:
		return d.makePlan()
	case stepApply:
		return d.applyPlan(e, st.Value)
	case stepAck:
		for _, e := range d.entries[st.Pick%len(d.entries):] {
			e.acked = e.plan.Version
		}
	case stepServer:
		s := &d.servers[st.Pick%len(d.servers)]
		s.Leaving = !d.fixedLimits && !s.Leaving
	case stepEntry:
		e.hidden, e.hiddenSince = !e.hidden && st.Value%3 == 0, d.now
	case stepRules:
		d.setRules(editedRules(st, d.fixedLimits))
	case stepLoad:
		d.setLoad(st)
	case stepRestart:
		// Only the plans that the platform stores survive a full restart.
		return d.reload()
	}
	return nil
}

// expireHidden resets the entries that have been missing from the list for longer
// than the lifetime of a plan. The planner assumes that they have stopped. When
// such an entry returns, it has no plan.
func (d *scenarioRun) expireHidden() {
	for _, e := range d.entries {
		if e.hidden && d.now.Sub(e.hiddenSince) > planLifetime {
			e.plan, e.acked, e.moves = Plan{}, 0, map[serviceRegion][]appliedMove{}
		}
	}
}

// editedRules returns the rules that a step sets. With fixed limits, the shift
// limits stay as they are.
func editedRules(st step, fixedLimits bool) string {
	lines := []string{}
	if st.Pick%4 != 0 {
		lines = append(lines, fmt.Sprintf("shift s from=a to=b share=%d%% # t", st.Value%90+5))
	}
	if st.Pick%3 == 0 {
		lines = append(lines, "drain region c # t")
	}
	if st.Pick%5 == 0 {
		lines = append(lines, "shift u from=b to=a share=50% # t")
	}
	if st.Pick%7 == 0 {
		lines = append(lines, "drain server 10.0.0.1:80 # t")
	}
	caps := scenarioCaps
	if !fixedLimits && st.Value%2 == 0 {
		caps = fmt.Sprintf("cap s step=%d%% every=%dm # t\n", st.Value%12+1, st.Pick%3+1)
	}
	return caps + strings.Join(lines, "\n") + "\n"
}

func (d *scenarioRun) setLoad(st step) {
	d.load = nil
	for i, e := range d.entries {
		if (i+st.Pick)%3 == 0 {
			continue
		}
		for _, s := range scenarioServices {
			for _, r := range scenarioRegions[:st.Value%3+1] {
				d.load = append(d.load, Demand{Entry: e.Name, Service: s, Region: r, InFlight: float64((st.Value+i)%7) / 4,
					Rate: 5, Rejected: float64(st.Pick % 3), Bytes: float64(st.Value * 1000),
					Latency: time.Duration(st.Value%40+20) * time.Millisecond, Age: time.Duration(st.Pick) * 5 * time.Second})
			}
		}
	}
}

func (d *scenarioRun) last() Plan {
	if len(d.plans) == 0 {
		return Plan{}
	}
	return d.plans[len(d.plans)-1]
}

func (d *scenarioRun) input() Input {
	in := Input{Now: d.now, Rules: d.rules, RulesVersion: d.version, Epoch: 1, Last: d.last(), Demands: d.load}
	list := slices.Clone(d.servers)
	for _, e := range d.entries {
		if !e.hidden {
			list = append(list, e.Instance)
		}
		in.Acks = append(in.Acks, Ack{Entry: e.Name, Version: e.acked})
	}
	in.View = yuccamembership.NewView(list)
	return in
}

func (d *scenarioRun) makePlan() error {
	in := d.input()
	p := d.plan(in)
	if again := d.plan(in); !reflect.DeepEqual(p, again) {
		return fmt.Errorf("two different plans from the same input")
	}
	if err := checkShares(p); err != nil {
		return err
	}
	in.Last = p
	if next := d.plan(in); next.Version != p.Version {
		return fmt.Errorf("plan %d was made with no change of input: %s", next.Version, difference(p, next))
	}
	if p.Version == d.last().Version {
		return nil
	}
	d.capacity[p.Version] = capacities(in)
	d.plans = append(d.plans, p)
	return d.checkMoves(p)
}

// difference describes the first field in which two plans differ, apart from
// version and times.
func difference(a, b Plan) string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		name := x.Type().Field(i).Name
		if name != "Version" && name != "CreatedAt" && name != "ExpiresAt" && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			return fmt.Sprintf("%s %v, then %v", name, x.Field(i), y.Field(i))
		}
	}
	return "nothing"
}

func (d *scenarioRun) reload() error {
	text, err := json.Marshal(d.plans)
	if err != nil {
		return err
	}
	d.plans, d.load = nil, nil
	return json.Unmarshal(text, &d.plans)
}

// applyPlan makes an entry apply one of the four latest plans, if that is later
// than its own and has not expired. It then checks the limits.
func (d *scenarioRun) applyPlan(e *testEntry, value int) error {
	i := len(d.plans) - 1 - value%4
	if i < 0 || d.plans[i].Version <= e.plan.Version || d.plans[i].Expired(d.now) {
		return nil
	}
	if err := d.applyMoves(e, d.plans[i]); err != nil {
		return err
	}
	e.plan = d.plans[i]
	if err := d.checkSlots(); err != nil {
		return err
	}
	return d.checkLinks()
}

// applyMoves records the route changes that a plan brings to an entry. It checks
// that the entry's moves in a window, plus spillover, stay within the shift limit.
func (d *scenarioRun) applyMoves(e *testEntry, p Plan) error {
	for _, route := range p.Routes {
		old, ok := e.plan.Route(route.Service, route.From)
		if !ok {
			continue
		}
		key := serviceRegion{route.Service, route.From}
		if moved := movedBetween(old, route); moved > 0 {
			e.moves[key] = append(e.moves[key], appliedMove{d.now, moved})
		}
		c := d.rules.ShiftLimit(route.Service)
		var sum fraction
		for _, m := range e.moves[key] {
			if m.at.After(d.now.Add(-c.Window)) {
				sum += m.part
			}
		}
		if d.fixedLimits && sum+toFraction(route.SpilloverFraction) > fraction(c.Step) {
			return fmt.Errorf("%s moves %d of %s from %s in a window, the cap is %d", e.Name, sum, route.Service, route.From, c.Step)
		}
	}
	return nil
}

// checkMoves checks that the moves of the plans in a window stay within the shift
// limit in force.
func (d *scenarioRun) checkMoves(p Plan) error {
	for _, route := range p.Routes {
		c := d.rules.ShiftLimit(route.Service)
		var sum, now fraction
		for i := 1; i < len(d.plans); i++ {
			a, _ := d.plans[i-1].Route(route.Service, route.From)
			b, _ := d.plans[i].Route(route.Service, route.From)
			now = movedBetween(a, b)
			if d.plans[i].CreatedAt.After(p.CreatedAt.Add(-c.Window)) {
				sum += now
			}
		}
		if now > 0 && sum > fraction(c.Step) {
			return fmt.Errorf("plan %d moves %d of %s from %s in a window, the cap is %d", p.Version, sum, route.Service, route.From, c.Step)
		}
	}
	return nil
}

// movedBetween returns the fraction of a route that moves between two plans. The
// first split of a route without any region does not count as a move.
func movedBetween(a, b Route) fraction {
	from := splitOf(a)
	if len(from) == 0 {
		return 0
	}
	return from.distanceTo(splitOf(b))
}

// checkShares checks that the shares of each route add up to the whole route or
// to nothing.
func checkShares(p Plan) error {
	for _, r := range p.Routes {
		var sum fraction
		for _, n := range splitOf(r) {
			sum += n
		}
		if sum != wholeRoute && sum != 0 {
			return fmt.Errorf("shares in plan %d add up to %d of %s from %s", p.Version, sum, r.Service, r.From)
		}
	}
	return nil
}

// checkSlots checks that the slots of all entries, each with its own plan, stay
// within the largest capacity that the region has had since the oldest of these
// plans.
func (d *scenarioRun) checkSlots() error {
	oldest := uint64(math.MaxUint64)
	for _, e := range d.entries {
		if e.plan.Version > 0 {
			oldest = min(oldest, e.plan.Version)
		}
	}
	for _, s := range scenarioServices {
		for _, r := range scenarioRegions {
			used, limit, usage := 0, 0, ""
			for _, e := range d.entries {
				b, _ := e.plan.BudgetAt(d.now, e.Name, s, r)
				used += b.Slots + b.Reserve
				usage += fmt.Sprintf(" %s/%d:%d", e.Name, e.plan.Version, b.Slots+b.Reserve)
			}
			for v := oldest; v <= d.last().Version; v++ {
				limit = max(limit, d.capacity[v][serviceRegion{s, r}])
			}
			if used > limit {
				return fmt.Errorf("entries may use %d slots of %s in %s, there are %d:%s", used, s, r, limit, usage)
			}
		}
	}
	return nil
}

// checkLinks checks that the rates of all entries, each with its own plan, stay
// within the caps of the links.
func (d *scenarioRun) checkLinks() error {
	used := map[linkDirection]float64{}
	for _, e := range d.entries {
		for _, b := range e.plan.Budgets {
			if b.Entry == e.Name {
				used[linkDirection{b.Region, e.Region}] += b.Rate
			}
		}
	}
	for link, limit := range linkCaps(d.rules) {
		if used[link] > limit {
			return fmt.Errorf("entries may receive %.0f B/s from %s to %s, the cap is %.0f", used[link], link.from, link.to, limit)
		}
	}
	return nil
}
