package yuccaidempotency_test

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
)

// mutant breaks one part of the mechanism.
type mutant int

const (
	sound mutant = iota
	// runWhenDown runs a request whose key could not be claimed.
	runWhenDown
	// forgetLost takes a write without an answer for one without an effect.
	forgetLost
	// ignoreTag writes without a condition.
	ignoreTag
	// releaseForwarded lets the entry that was asked take a try back.
	releaseForwarded
	// trustEntry takes any record of its own name for its own.
	trustEntry
	// releaseRun gives a claim back although its request may have run.
	releaseRun
)

// model is one range of keys, the store and two to five entries, with every
// message between them held until the case delivers, loses or delays it.
type model struct {
	t        *rapid.T
	mutant   mutant
	entries  []*node
	versions []version
	parts    map[string][]yuccaidempotency.Record
	calls    []*call
	tries    []*try
	replies  []reply
	releases []yuccaidempotency.Released
	runs     map[yuccaidempotency.ID]int
	fault    string
}

type node struct {
	name  string
	boot  int
	alive bool
	state yuccaidempotency.Shard
}

type version struct {
	tag   string
	open  []yuccaidempotency.Record
	parts []yuccaidempotency.Part
}

// call is a command on its way to the store and back.
type call struct {
	by       *node
	boot     int
	cmd      yuccaidempotency.Command
	before   version
	applied  bool
	answered bool
	result   yuccaidempotency.Message
}

type try struct {
	record yuccaidempotency.Record
	by     *node
	boot   int
	ended  bool
}

type reply struct {
	try    *try
	record yuccaidempotency.Record
}

var (
	start  = time.Unix(1_800_000_000, 0)
	limits = yuccaidempotency.Limits{Expiry: time.Hour, MaxOpenRecords: 3, Keys: 100, Rounds: 3}
)

const (
	keys  = 2
	steps = 400
)

// simulate draws one case and returns what was broken, empty if nothing was.
func simulate(t *rapid.T, broken mutant) string {
	m := &model{t: t, mutant: broken, versions: []version{{}}, parts: map[string][]yuccaidempotency.Record{}, runs: map[yuccaidempotency.ID]int{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "entries") {
		m.entries = append(m.entries, &node{name: fmt.Sprint("e", i), alive: true, state: yuccaidempotency.NewShard(limits)})
	}
	actions := []func(){
		m.advance, m.advance, m.advance, m.advance, m.advance, m.advance, m.advance, m.advance,
		m.ask, m.ask, m.deliver, m.deliver, m.release, m.redirect, m.timeout, m.crash,
	}
	for range steps {
		actions[m.pick(len(actions), "action")]()
		if m.fault != "" {
			return m.fault
		}
	}
	return ""
}

// pick draws a number below n bit by bit, since rapid's ranges prefer their ends
// and hardly ever reach the middle of a long history.
func (m *model) pick(n int, label string) int {
	v := 0
	for range bits.Len(uint(n-1)) + 1 {
		v *= 2
		if rapid.Bool().Draw(m.t, label) {
			v++
		}
	}
	return v % n
}

func (m *model) chance(label string) bool { return m.pick(4, label) == 0 }
func (m *model) node() *node              { return m.entries[m.pick(len(m.entries), "entry")] }
func (m *model) now() version             { return m.versions[len(m.versions)-1] }

// ask sends or re-sends a key to an entry, which asks any entry's range: views
// of membership differ.
func (m *model) ask() {
	by := m.node()
	if !by.alive {
		return
	}
	r := yuccaidempotency.Record{Entry: by.name}
	r.ID[0] = byte(m.pick(keys, "key"))
	binary.BigEndian.PutUint64(r.Attempt[:], uint64(len(m.tries)+1))
	m.tries = append(m.tries, &try{record: r, by: by, boot: by.boot})
	m.step(m.node(), yuccaidempotency.Asked{Record: r})
}

func (m *model) step(n *node, msg yuccaidempotency.Message) {
	if !n.alive {
		return
	}
	var cmds []yuccaidempotency.Command
	n.state, cmds = n.state.Update(msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case yuccaidempotency.Decide:
			t := m.tries[binary.BigEndian.Uint64(cmd.Attempt[:])-1]
			m.replies = append(m.replies, reply{t, cmd.Record})
		case yuccaidempotency.GiveUp:
			if t := m.tries[binary.BigEndian.Uint64(cmd.Attempt[:])-1]; m.mutant == runWhenDown && !t.ended {
				m.run(t)
			}
		default:
			m.calls = append(m.calls, &call{by: n, boot: n.boot, cmd: cmd, before: m.now()})
		}
	}
}

// advance moves one call: it takes effect, is answered, or loses its answer,
// before or after its effect.
func (m *model) advance() {
	if len(m.calls) == 0 {
		return
	}
	i := m.pick(len(m.calls), "call")
	c := m.calls[i]
	switch {
	case !c.applied && !m.chance("fails"):
		c.applied = true
		c.result = m.apply(c)
	case !c.answered:
		c.answered = true
		m.answer(c)
	}
	if c.answered && (c.applied || m.chance("lost")) {
		m.calls = slices.Delete(m.calls, i, i+1)
	}
}

func (m *model) answer(c *call) {
	if c.by.boot != c.boot {
		return
	}
	lost := !c.applied || m.chance("answer lost")
	switch cmd := c.cmd.(type) {
	case yuccaidempotency.Schedule:
		m.step(c.by, yuccaidempotency.StoreCallAllowed{Now: start})
	case yuccaidempotency.Load:
		if lost {
			c.result = yuccaidempotency.LoadFailed{}
		}
		m.step(c.by, c.result)
	case yuccaidempotency.Seal, yuccaidempotency.Write:
		if !lost {
			m.step(c.by, c.result)
			return
		}
		m.step(c.by, yuccaidempotency.WriteFailed{})
		if _, ok := cmd.(yuccaidempotency.Write); ok && m.mutant == forgetLost {
			m.forget(c)
		}
	}
}

// forget answers the read that follows a lost write with what was there before.
func (m *model) forget(c *call) {
	last := m.calls[len(m.calls)-1]
	if _, ok := last.cmd.(yuccaidempotency.Load); ok && last.by == c.by {
		last.applied = true
		last.result = m.loaded(version{m.now().tag, c.before.open, c.before.parts}, last.cmd)
	}
}

func (m *model) apply(c *call) yuccaidempotency.Message {
	switch cmd := c.cmd.(type) {
	case yuccaidempotency.Load:
		v := m.now()
		if m.chance("stale") {
			v = m.versions[m.pick(len(m.versions), "version")]
		}
		return m.loaded(v, cmd)
	case yuccaidempotency.Seal:
		key := fmt.Sprint("part", len(m.parts))
		m.parts[key] = cmd.Records
		return yuccaidempotency.Sealed{Now: start, Key: key}
	case yuccaidempotency.Write:
		if cmd.Tag != m.now().tag && m.mutant != ignoreTag {
			return yuccaidempotency.WriteFailed{}
		}
		v := version{strconv.Itoa(len(m.versions)), slices.Clone(cmd.Open), slices.Clone(cmd.Parts)}
		m.versions = append(m.versions, v)
		return yuccaidempotency.Written{Tag: v.tag}
	}
	return nil
}

func (m *model) loaded(v version, cmd yuccaidempotency.Command) yuccaidempotency.Message {
	known := cmd.(yuccaidempotency.Load).Known
	l := yuccaidempotency.Loaded{Now: start, Tag: v.tag, Open: slices.Clone(v.open), Parts: slices.Clone(v.parts)}
	for _, p := range v.parts {
		if !slices.Contains(known, p) {
			l.Old = append(l.Old, m.parts[p.Key]...)
		}
	}
	return l
}

// deliver gives a reply to its try, or loses it.
func (m *model) deliver() {
	if len(m.replies) == 0 {
		return
	}
	i := m.pick(len(m.replies), "reply")
	r := m.replies[i]
	m.replies = slices.Delete(m.replies, i, i+1)
	if m.chance("reply lost") {
		if m.mutant == releaseForwarded {
			m.releases = append(m.releases, yuccaidempotency.Released{ID: r.try.record.ID, Attempt: r.try.record.Attempt})
		}
		return
	}
	if r.try.ended || !r.try.by.alive || r.try.boot != r.try.by.boot {
		return
	}
	mine := r.record.Attempt == r.try.record.Attempt || m.mutant == trustEntry && r.record.Entry == r.try.record.Entry
	if mine {
		m.run(r.try)
		return
	}
	r.try.ended = true
}

// run sends a request to its server; sometimes it certainly does not arrive.
func (m *model) run(t *try) {
	t.ended = true
	id := t.record.ID
	if m.chance("not sent") {
		if m.runs[id] > 0 {
			m.fault = fmt.Sprintf("key %d: answered %q although it ran", id[0], yuccaerror.NotRun)
		}
		m.releases = append(m.releases, yuccaidempotency.Released{ID: id, Attempt: t.record.Attempt})
		return
	}
	if m.mutant == releaseRun && m.chance("released") {
		m.releases = append(m.releases, yuccaidempotency.Released{ID: id, Attempt: t.record.Attempt})
	}
	m.runs[id]++
	if m.runs[id] > 1 {
		m.fault = fmt.Sprintf("key %d ran %d times", id[0], m.runs[id])
	}
}

// redirect asks another range for a try whose reply has not come.
func (m *model) redirect() {
	if len(m.tries) == 0 {
		return
	}
	if t := m.tries[m.pick(len(m.tries), "try")]; !t.ended && t.by.alive && t.boot == t.by.boot {
		m.step(t.by, yuccaidempotency.Asked{Record: t.record})
	}
}

// timeout ends a try that its caller no longer waits for.
func (m *model) timeout() {
	if len(m.tries) == 0 {
		return
	}
	if t := m.tries[m.pick(len(m.tries), "try")]; !t.ended {
		t.ended = true
		m.releases = append(m.releases, yuccaidempotency.Released{ID: t.record.ID, Attempt: t.record.Attempt})
	}
}

// release delivers a release to any entry, or loses it.
func (m *model) release() {
	if len(m.releases) == 0 {
		return
	}
	i := m.pick(len(m.releases), "release")
	r := m.releases[i]
	m.releases = slices.Delete(m.releases, i, i+1)
	m.step(m.node(), r)
}

// crash ends an entry, or starts it again without its memory.
func (m *model) crash() {
	n := m.node()
	if n.alive && !m.chance("crash") {
		return
	}
	n.alive = !n.alive
	n.boot++
	n.state = yuccaidempotency.NewShard(limits)
}
