package yuccaquota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yuccawell.example/core/yuccaquota"
)

const simStep = 5 * time.Millisecond

// node is one entry's decision in the simulation.
type node interface {
	take(now time.Time) bool
	// tick returns the messages to send.
	tick(now time.Time, list []string) []message
	receive(now time.Time, from string, body any)
	interval() time.Duration
}

// message goes to one entry, or to all others if to is empty.
type message struct {
	to   string
	body any
}

// sim runs entries with one account on a virtual clock.
type sim struct {
	entries int
	limit   yuccaquota.Limit
	new     func(s *sim, name string, incarnation uint64, now time.Time) node
	// load returns the arrival rate at an entry as a fraction of the limit's rate.
	load func(at time.Duration, entry int) float64
	// cut reports whether two entries cannot reach each other.
	cut func(at time.Duration, a, b int) bool
	// down reports whether an entry is stopped; it restarts when it is not any more.
	down func(at time.Duration, entry int) bool
	// list returns the entries that an entry knows from the platform; nil means all.
	list func(at time.Duration, entry int) []string
	// loss is the probability that a message is lost, and late that it takes a second.
	loss, late float64
	seed       uint64

	names    []string
	admitted []int
	offered  []int
}

// run returns the simulation after the time d.
func (s *sim) run(d time.Duration) *sim {
	type delivery struct {
		from, to int
		body     any
	}
	rng := rand.New(rand.NewPCG(s.seed, 1))
	start := time.Unix(1_800_000_000, 0)
	steps := int(d / simStep)
	s.admitted, s.offered = make([]int, steps), make([]int, steps)
	for i := range s.entries {
		s.names = append(s.names, fmt.Sprint("e", i))
	}
	nodes, next := make([]node, s.entries), make([]time.Duration, s.entries)
	queue := map[int][]delivery{}
	for step := range steps {
		at := time.Duration(step) * simStep
		now := start.Add(at)
		for i := range nodes {
			switch down := s.down != nil && s.down(at, i); {
			case down:
				nodes[i] = nil
			case nodes[i] == nil:
				nodes[i] = s.new(s, s.names[i], uint64(step+1), now)
				next[i] = at + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
			}
		}
		for _, v := range queue[step] {
			if nodes[v.to] != nil {
				nodes[v.to].receive(now, s.names[v.from], v.body)
			}
		}
		delete(queue, step)
		for i, n := range nodes {
			if n == nil {
				continue
			}
			for at >= next[i] {
				list := s.names
				if s.list != nil {
					list = s.list(at, i)
				}
				next[i] += n.interval()
				for _, m := range n.tick(now, list) {
					for j := range nodes {
						if j == i || m.to != "" && m.to != s.names[j] || s.cut != nil && s.cut(at, i, j) || rng.Float64() < s.loss {
							continue
						}
						delay := 1500*time.Microsecond + time.Duration(rng.Int64N(int64(8*time.Millisecond)))
						if i%3 != j%3 {
							delay += 18500 * time.Microsecond
						}
						if rng.Float64() < s.late {
							delay += time.Second
						}
						due := step + 1 + int(delay/simStep)
						queue[due] = append(queue[due], delivery{i, j, m.body})
						if rng.Float64() < s.late {
							queue[due+9] = append(queue[due+9], delivery{i, j, m.body})
						}
					}
				}
			}
		}
		// The entries take turns in arbitrary order.
		for _, i := range rng.Perm(s.entries) {
			if nodes[i] == nil {
				continue
			}
			for range poisson(rng, s.load(at, i)*s.limit.Rate*simStep.Seconds()) {
				s.offered[step]++
				if nodes[i].take(now) || s.borrow(now, at, nodes, i) {
					s.admitted[step]++
				}
			}
		}
	}
	return s
}

// borrower is a node whose requests another one may admit.
type borrower interface {
	// lender returns the name of the entry to ask, empty if there is none.
	lender(now time.Time) string
}

// borrow asks the lender of the account to admit a request of entry i.
func (s *sim) borrow(now time.Time, at time.Duration, nodes []node, i int) bool {
	b, ok := nodes[i].(borrower)
	if !ok {
		return false
	}
	lender := slices.Index(s.names, b.lender(now))
	if lender < 0 {
		return false
	}
	cut := s.cut != nil && (s.cut(at, i, lender) || s.cut(at, lender, i))
	return nodes[lender] != nil && !cut && nodes[lender].take(now)
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); n++ {
		p *= rng.Float64()
	}
	return n
}

// worst returns the largest sum of 5 s as a fraction of the bound.
func (s *sim) worst() float64 {
	window := int(5 * time.Second / simStep)
	sum, largest := 0, 0
	for i, n := range s.admitted {
		sum += n
		if i >= window {
			sum -= s.admitted[i-window]
		}
		largest = max(largest, sum)
	}
	return float64(largest) / ((s.limit.Rate*5+s.limit.Burst)*1.1 + 20)
}

// use returns the part of the quota, or of the requests if they are fewer, that was
// admitted between two times.
func (s *sim) use(from, to time.Duration) float64 {
	admitted, offered := 0, 0
	for i := int(from / simStep); i < int(to/simStep); i++ {
		admitted += s.admitted[i]
		offered += s.offered[i]
	}
	return float64(admitted) / min(float64(offered), s.limit.Rate*(to-from).Seconds())
}

// ledgerNode is the decision of this package.
type ledgerNode struct{ *yuccaquota.Ledger }

func newLedgerNode(s *sim, name string, incarnation uint64, now time.Time) node {
	l := yuccaquota.NewLedger(name, incarnation, now)
	l.Apply(now, l.Prepare(map[string]yuccaquota.Limit{"a": s.limit}))
	return ledgerNode{l}
}

func (n ledgerNode) interval() time.Duration     { return n.Interval() }
func (n ledgerNode) take(now time.Time) bool     { _, ok := n.Take(now, "a"); return ok }
func (n ledgerNode) lender(now time.Time) string { return n.Lender(now, "a") }
func (n ledgerNode) tick(now time.Time, list []string) []message {
	r := n.Tick(now, list)
	r.Usages = slices.Clone(r.Usages)
	if !r.Needed() {
		return nil
	}
	return []message{{body: r}}
}
func (n ledgerNode) receive(now time.Time, from string, body any) {
	n.Receive(now, from, body.(yuccaquota.Report))
}
