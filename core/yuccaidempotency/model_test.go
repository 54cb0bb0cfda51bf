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

// mutant is a deliberate fault in the protocol, which the model must detect.
type mutant int

const (
	// noMutation leaves the protocol as it is.
	noMutation mutant = iota
	// runWithoutClaim runs a request although its key could not be claimed.
	runWithoutClaim
	// ignoreLostWrite treats a write with a lost reply as if it had no effect.
	ignoreLostWrite
	// writeWithoutCondition writes the shard object without checking its tag.
	writeWithoutCondition
	// releaseByOwner lets the entry that decided a claim release it when its
	// reply is lost.
	releaseByOwner
	// compareEntryOnly treats any record that names the own entry as that of
	// the own attempt.
	compareEntryOnly
	// releaseAfterRun releases a claim although its request may have run.
	releaseAfterRun
)

// model is one shard, the store and two to five entries. Every message between
// them is held until the test case delivers, loses or delays it.
type model struct {
	t       *rapid.T
	mutant  mutant
	entries []*node
	// versions holds all versions of the shard object, oldest first.
	versions []version
	// parts holds the part objects by key.
	parts map[string][]yuccaidempotency.Record
	// calls holds the commands that have not ended.
	calls []*call
	// attempts holds all attempts, ended ones included.
	attempts []*attempt
	// replies holds the decisions that have not been delivered.
	replies []reply
	// releases holds the releases that have not been delivered.
	releases []yuccaidempotency.Released
	// runs counts the runs of each key's request.
	runs map[yuccaidempotency.ID]int
	// violation describes the first violation found, "" for none.
	violation string
}

// node is one entry.
type node struct {
	name        string
	incarnation int
	alive       bool
	state       yuccaidempotency.Shard
}

// version is one version of the shard object.
type version struct {
	tag   string
	open  []yuccaidempotency.Record
	parts []yuccaidempotency.Part
}

// call is a command on its way to the store and back.
type call struct {
	by          *node
	incarnation int
	cmd         yuccaidempotency.Command
	before      version
	applied     bool
	answered    bool
	result      yuccaidempotency.Message
}

// attempt is one call of Begin.
type attempt struct {
	record      yuccaidempotency.Record
	by          *node
	incarnation int
	ended       bool
}

// reply is a decision on its way to its attempt.
type reply struct {
	attempt *attempt
	record  yuccaidempotency.Record
}

var (
	start  = time.Unix(1_800_000_000, 0)
	limits = yuccaidempotency.Limits{Expiry: time.Hour, MaxOpenRecords: 3, MaxKeys: 100, MaxWrites: 3}
)

const (
	// keys is the number of idempotency keys in one case.
	keys = 2
	// steps is the number of actions in one case.
	steps = 400
)

// simulate runs one random case and returns the violation found, or "".
func simulate(t *rapid.T, mutation mutant) string {
	m := &model{t: t, mutant: mutation, versions: []version{{}}, parts: map[string][]yuccaidempotency.Record{}, runs: map[yuccaidempotency.ID]int{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "entries") {
		m.entries = append(m.entries, &node{name: fmt.Sprint("e", i), alive: true, state: yuccaidempotency.NewShard(limits)})
	}
	actions := []func(){
		m.advance, m.advance, m.advance, m.advance, m.advance, m.advance, m.advance, m.advance,
		m.ask, m.ask, m.deliver, m.deliver, m.release, m.redirect, m.timeout, m.crash,
	}
	for range steps {
		actions[m.pick(len(actions), "action")]()
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

// pick draws a number below n bit by bit. The integer ranges of rapid prefer
// their ends and rarely reach the middle of a long history.
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

// chance returns true in one of four cases.
func (m *model) chance(label string) bool { return m.pick(4, label) == 0 }

// node draws an entry.
func (m *model) node() *node { return m.entries[m.pick(len(m.entries), "entry")] }

// now returns the current version of the shard object.
func (m *model) now() version { return m.versions[len(m.versions)-1] }

// ask makes a new attempt on one entry and sends it to any entry, since the
// entries' lists of members may differ.
func (m *model) ask() {
	by := m.node()
	if !by.alive {
		return
	}
	r := yuccaidempotency.Record{Entry: by.name}
	r.ID[0] = byte(m.pick(keys, "key"))
	binary.BigEndian.PutUint64(r.Attempt[:], uint64(len(m.attempts)+1))
	m.attempts = append(m.attempts, &attempt{record: r, by: by, incarnation: by.incarnation})
	m.step(m.node(), yuccaidempotency.ClaimRequested{Record: r})
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
			t := m.attempts[binary.BigEndian.Uint64(cmd.Attempt[:])-1]
			m.replies = append(m.replies, reply{t, cmd.Record})
		case yuccaidempotency.GiveUp:
			if t := m.attempts[binary.BigEndian.Uint64(cmd.Attempt[:])-1]; m.mutant == runWithoutClaim && !t.ended {
				m.run(t)
			}
		default:
			m.calls = append(m.calls, &call{by: n, incarnation: n.incarnation, cmd: cmd, before: m.now()})
		}
	}
}

// advance moves one store call on: it takes effect, is answered, or loses its
// reply before or after it takes effect.
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
	if c.by.incarnation != c.incarnation {
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
		if _, ok := cmd.(yuccaidempotency.Write); ok && m.mutant == ignoreLostWrite {
			m.replyWithStaleLoad(c)
		}
	}
}

// replyWithStaleLoad answers the read after a lost write with the content from
// before the write.
func (m *model) replyWithStaleLoad(c *call) {
	last := m.calls[len(m.calls)-1]
	if _, ok := last.cmd.(yuccaidempotency.Schedule); ok && last.by == c.by {
		last.applied = true
		m.answer(last)
		m.calls = slices.DeleteFunc(m.calls, func(other *call) bool { return other == last })
		last = m.calls[len(m.calls)-1]
	}
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
		if cmd.Tag != m.now().tag && m.mutant != writeWithoutCondition {
			return yuccaidempotency.WriteFailed{}
		}
		v := version{strconv.Itoa(len(m.versions)), slices.Clone(cmd.Open), slices.Clone(cmd.Parts)}
		m.versions = append(m.versions, v)
		return yuccaidempotency.Written{Tag: v.tag}
	}
	return nil
}

func (m *model) loaded(v version, cmd yuccaidempotency.Command) yuccaidempotency.Message {
	known := cmd.(yuccaidempotency.Load).KnownParts
	l := yuccaidempotency.Loaded{Now: start, Tag: v.tag, Open: slices.Clone(v.open), Parts: slices.Clone(v.parts)}
	for _, p := range v.parts {
		if !slices.Contains(known, p) {
			l.PartRecords = append(l.PartRecords, m.parts[p.Key]...)
		}
	}
	return l
}

// deliver passes a reply to its attempt, or loses it.
func (m *model) deliver() {
	if len(m.replies) == 0 {
		return
	}
	i := m.pick(len(m.replies), "reply")
	r := m.replies[i]
	m.replies = slices.Delete(m.replies, i, i+1)
	if m.chance("reply lost") {
		if m.mutant == releaseByOwner {
			m.releases = append(m.releases, yuccaidempotency.Released{ID: r.attempt.record.ID, Attempt: r.attempt.record.Attempt})
		}
		return
	}
	if r.attempt.ended || !r.attempt.by.alive || r.attempt.incarnation != r.attempt.by.incarnation {
		return
	}
	mine := r.record.Attempt == r.attempt.record.Attempt || m.mutant == compareEntryOnly && r.record.Entry == r.attempt.record.Entry
	if mine {
		m.run(r.attempt)
		return
	}
	r.attempt.ended = true
}

// run sends a request to its backend server; sometimes it certainly does not
// arrive.
func (m *model) run(t *attempt) {
	t.ended = true
	id := t.record.ID
	if m.chance("not sent") {
		if m.runs[id] > 0 {
			m.violation = fmt.Sprintf("key %d: answered %q although it ran", id[0], yuccaerror.NotRun)
		}
		m.releases = append(m.releases, yuccaidempotency.Released{ID: id, Attempt: t.record.Attempt})
		return
	}
	if m.mutant == releaseAfterRun && m.chance("released") {
		m.releases = append(m.releases, yuccaidempotency.Released{ID: id, Attempt: t.record.Attempt})
	}
	m.runs[id]++
	if m.runs[id] > 1 {
		m.violation = fmt.Sprintf("key %d ran %d times", id[0], m.runs[id])
	}
}

// redirect sends an attempt without a reply to its own entry's Shard, as an
// entry does when the owner does not answer.
func (m *model) redirect() {
	if len(m.attempts) == 0 {
		return
	}
	if t := m.attempts[m.pick(len(m.attempts), "attempt")]; !t.ended && t.by.alive && t.incarnation == t.by.incarnation {
		m.step(t.by, yuccaidempotency.ClaimRequested{Record: t.record})
	}
}

// timeout ends an attempt that its caller no longer waits for.
func (m *model) timeout() {
	if len(m.attempts) == 0 {
		return
	}
	if t := m.attempts[m.pick(len(m.attempts), "attempt")]; !t.ended {
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

// crash stops an entry, or starts a stopped one with an empty memory.
func (m *model) crash() {
	n := m.node()
	if n.alive && !m.chance("crash") {
		return
	}
	n.alive = !n.alive
	n.incarnation++
	n.state = yuccaidempotency.NewShard(limits)
}
