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

// scenario is a fleet and what happens to it.
type scenario struct {
	Entries, Servers int
	Shared           bool
	// Steady keeps capacities and caps as they are.
	Steady bool
	// Warm starts with a shift under way and fresh measurements.
	Warm  bool
	Steps []step
}

// step is one thing that happens, some time after the one before.
type step struct {
	Kind, Pick, Value int
	After             time.Duration
}

const (
	stepPlan = iota
	stepTake
	stepAck
	stepServer
	stepEntry
	stepRules
	stepLoad
	stepRestart
	stepKinds
)

func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			Entries: rapid.IntRange(1, 7).Draw(t, "entries"),
			Servers: rapid.IntRange(1, 9).Draw(t, "servers"),
			Shared:  rapid.Bool().Draw(t, "shared"),
			Steady:  rapid.Bool().Draw(t, "steady"),
			Warm:    rapid.Bool().Draw(t, "warm"),
		}
		s.Steps = rapid.SliceOfN(rapid.Custom(drawStep), 60, 180).Draw(t, "steps")
		return s
	})
}

func drawStep(t *rapid.T) step {
	kind := rapid.IntRange(0, 5*stepKinds).Draw(t, "kind")
	if kind >= stepKinds {
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
	driveRegions  = []string{"a", "b", "c"}
	driveServices = []string{"s", "u"}
	driveStart    = time.Date(2027, 3, 27, 12, 0, 0, 0, time.UTC)
)

// holder is an entry as it is in truth, whatever the planner knows.
type holder struct {
	yuccastore.Instance
	plan Plan
	// moves are the changes of its routes, by route.
	moves map[place][]taken
	acked uint64
	// hidden is set while the list leaves it out by mistake.
	hidden bool
	since  time.Time
}

type taken struct {
	at   time.Time
	part part
}

// drive is a run of a scenario.
type drive struct {
	plan    func(Input) Plan
	steady  bool
	now     time.Time
	text    string
	rules   yuccarule.Rules
	version uint64
	entries []*holder
	servers []yuccastore.Instance
	load    []Demand
	plans   []Plan
	// capacity is that of each place by plan version.
	capacity map[uint64]map[place]int
}

const driveRules = `region a domains=a1 # t
region b domains=b1 # t
region c domains=c1 # t
link a b cap=100Mbit # t
link a c cap=40Mbit # t
service s host=s regions=a,b,c weight=3 # t
service u host=u regions=a,b # t
`

const driveCaps = "cap s step=10% every=1m # t\ncap u step=4% every=2m # t\n"

func (s scenario) run(plan func(Input) Plan) error {
	d := &drive{plan: plan, now: driveStart, capacity: map[uint64]map[place]int{}, steady: s.Steady}
	d.setRules(driveCaps)
	for i := range s.Entries {
		d.entries = append(d.entries, &holder{moves: map[place][]taken{}, Instance: yuccastore.Instance{
			Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: driveRegions[i%3]}})
	}
	for i := range s.Servers {
		services := driveServices[i%2 : i%2+1]
		if s.Shared {
			services = driveServices
		}
		d.servers = append(d.servers, yuccastore.Instance{Name: fmt.Sprint("b", i), Addr: fmt.Sprint("10.0.0.", i, ":80"),
			Kind: yuccastore.KindServer, Region: driveRegions[i/2%3], Slots: 3 + i, Services: services})
	}
	if s.Warm {
		d.setRules(driveCaps + "shift s from=a to=b share=60% # t\n")
		d.load = []Demand{{Entry: "e0", Service: "s", Region: "b", Busy: 0.1, Latency: 30 * time.Millisecond}}
	}
	for i, st := range s.Steps {
		d.now = d.now.Add(st.After)
		d.endHidden()
		if err := d.step(st); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (d *drive) setRules(extra string) {
	rules, faults := yuccarule.Parse("r", []byte(driveRules+extra))
	if len(faults) > 0 {
		return
	}
	d.rules, d.text = rules, extra
	d.version++
}

func (d *drive) step(st step) error {
	e := d.entries[st.Pick%len(d.entries)]
	switch st.Kind {
	case stepPlan:
		return d.makePlan()
	case stepTake:
		return d.take(e, st.Value)
	case stepAck:
		for _, e := range d.entries[st.Pick%len(d.entries):] {
			e.acked = e.plan.Version
		}
	case stepServer:
		s := &d.servers[st.Pick%len(d.servers)]
		s.Leaving = !d.steady && !s.Leaving
	case stepEntry:
		e.hidden, e.since = !e.hidden && st.Value%3 == 0, d.now
	case stepRules:
		d.setRules(rulesAt(st, d.steady))
	case stepLoad:
		d.report(st)
	case stepRestart:
		// Only what the platform keeps outlives a restart of everything.
		return d.reload()
	}
	return nil
}

// endHidden ends the entries that the list has left out for long, as the planner
// assumes. One that comes back holds no plan.
func (d *drive) endHidden() {
	for _, e := range d.entries {
		if e.hidden && d.now.Sub(e.since) > lifetime {
			e.plan, e.acked, e.moves = Plan{}, 0, map[place][]taken{}
		}
	}
}

// rulesAt draws an edit of the rules. The caps stay in a steady scenario.
func rulesAt(st step, steady bool) string {
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
	caps := driveCaps
	if !steady && st.Value%2 == 0 {
		caps = fmt.Sprintf("cap s step=%d%% every=%dm # t\n", st.Value%12+1, st.Pick%3+1)
	}
	return caps + strings.Join(lines, "\n") + "\n"
}

func (d *drive) report(st step) {
	d.load = nil
	for i, e := range d.entries {
		if (i+st.Pick)%3 == 0 {
			continue
		}
		for _, s := range driveServices {
			for _, r := range driveRegions[:st.Value%3+1] {
				d.load = append(d.load, Demand{Entry: e.Name, Service: s, Region: r, Busy: float64((st.Value+i)%7) / 4,
					Rate: 5, Refused: float64(st.Pick % 3), Bytes: float64(st.Value * 1000),
					Latency: time.Duration(st.Value%40+20) * time.Millisecond, Age: time.Duration(st.Pick) * 5 * time.Second})
			}
		}
	}
}

func (d *drive) last() Plan {
	if len(d.plans) == 0 {
		return Plan{}
	}
	return d.plans[len(d.plans)-1]
}

func (d *drive) input() Input {
	in := Input{Now: d.now, Rules: d.rules, Version: d.version, Epoch: 1, Last: d.last(), Load: d.load}
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

func (d *drive) makePlan() error {
	in := d.input()
	p := d.plan(in)
	if again := d.plan(in); !reflect.DeepEqual(p, again) {
		return fmt.Errorf("the same input gives two plans")
	}
	if err := checkShares(p); err != nil {
		return err
	}
	in.Last = p
	if next := d.plan(in); next.Version != p.Version {
		return fmt.Errorf("plan %d follows from no change of input: %s", next.Version, difference(p, next))
	}
	if p.Version == d.last().Version {
		return nil
	}
	d.capacity[p.Version] = capacities(in)
	d.plans = append(d.plans, p)
	return d.checkMoves(p)
}

func difference(a, b Plan) string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		name := x.Type().Field(i).Name
		if name != "Version" && name != "Made" && name != "Until" && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			return fmt.Sprintf("%s %v, then %v", name, x.Field(i), y.Field(i))
		}
	}
	return "nothing"
}

func (d *drive) reload() error {
	text, err := json.Marshal(d.plans)
	if err != nil {
		return err
	}
	d.plans, d.load = nil, nil
	return json.Unmarshal(text, &d.plans)
}

// take gives an entry any plan later than its own that has not lapsed.
func (d *drive) take(e *holder, value int) error {
	i := len(d.plans) - 1 - value%4
	if i < 0 || d.plans[i].Version <= e.plan.Version || d.plans[i].Lapsed(d.now) {
		return nil
	}
	if err := d.takeMoves(e, d.plans[i]); err != nil {
		return err
	}
	e.plan = d.plans[i]
	if err := d.checkSlots(); err != nil {
		return err
	}
	return d.checkLinks()
}

// takeMoves checks that no window of the entry's own moves exceeds the cap.
func (d *drive) takeMoves(e *holder, p Plan) error {
	for _, route := range p.Routes {
		old, ok := e.plan.Route(route.Service, route.From)
		if !ok {
			continue
		}
		key := place{route.Service, route.From}
		if moved := movedBetween(old, route); moved > 0 {
			e.moves[key] = append(e.moves[key], taken{d.now, moved})
		}
		c := d.rules.ShiftLimit(route.Service)
		var sum part
		for _, m := range e.moves[key] {
			if m.at.After(d.now.Add(-c.Window)) {
				sum += m.part
			}
		}
		if d.steady && sum+toPart(route.SpillPart) > part(c.Step) {
			return fmt.Errorf("%s moves %d of %s from %s in a window, the cap is %d", e.Name, sum, route.Service, route.From, c.Step)
		}
	}
	return nil
}

// checkMoves checks the plan's own moves against the rule in force.
func (d *drive) checkMoves(p Plan) error {
	for _, route := range p.Routes {
		c := d.rules.ShiftLimit(route.Service)
		var sum, now part
		for i := 1; i < len(d.plans); i++ {
			a, _ := d.plans[i-1].Route(route.Service, route.From)
			b, _ := d.plans[i].Route(route.Service, route.From)
			now = movedBetween(a, b)
			if d.plans[i].Made.After(p.Made.Add(-c.Window)) {
				sum += now
			}
		}
		if now > 0 && sum > part(c.Step) {
			return fmt.Errorf("plan %d moves %d of %s from %s in a window, the cap is %d", p.Version, sum, route.Service, route.From, c.Step)
		}
	}
	return nil
}

// movedBetween is how much of a route moves. What led nowhere does not move
// when it is first given a region.
func movedBetween(a, b Route) part {
	from := spreadOf(a)
	if len(from) == 0 {
		return 0
	}
	return from.towards(spreadOf(b))
}

func checkShares(p Plan) error {
	for _, r := range p.Routes {
		var sum part
		for _, n := range spreadOf(r) {
			sum += n
		}
		if sum != whole && sum != 0 {
			return fmt.Errorf("plan %d gives away %d of %s from %s", p.Version, sum, r.Service, r.From)
		}
	}
	return nil
}

// checkSlots checks what the entries may use together, each on its own plan,
// against the most that a region had since the oldest of those plans.
func (d *drive) checkSlots() error {
	oldest := uint64(math.MaxUint64)
	for _, e := range d.entries {
		if e.plan.Version > 0 {
			oldest = min(oldest, e.plan.Version)
		}
	}
	for _, s := range driveServices {
		for _, r := range driveRegions {
			used, limit, held := 0, 0, ""
			for _, e := range d.entries {
				b, _ := e.plan.BudgetAt(d.now, e.Name, s, r)
				used += b.Slots + b.Reserve
				held += fmt.Sprintf(" %s/%d:%d", e.Name, e.plan.Version, b.Slots+b.Reserve)
			}
			for v := oldest; v <= d.last().Version; v++ {
				limit = max(limit, d.capacity[v][place{s, r}])
			}
			if used > limit {
				return fmt.Errorf("entries may use %d slots of %s in %s, there are %d:%s", used, s, r, limit, held)
			}
		}
	}
	return nil
}

func (d *drive) checkLinks() error {
	used := map[direction]float64{}
	for _, e := range d.entries {
		for _, b := range e.plan.Budgets {
			if b.Entry == e.Name {
				used[direction{b.Region, e.Region}] += b.Rate
			}
		}
	}
	for way, limit := range linkCaps(d.rules) {
		if used[way] > limit {
			return fmt.Errorf("entries may take %.0f B/s from %s to %s, the cap is %.0f", used[way], way.from, way.to, limit)
		}
	}
	return nil
}
