package yuccaidempotency

import (
	"slices"
	"time"
)

// write decides the keys that are known and writes records of the others.
func (r Shard) write(now time.Time) (Shard, []Command) {
	r, cmds := r.take()
	r.releases = slices.DeleteFunc(r.releases, func(f Record) bool { return r.index[f.ID].Attempt != f.Attempt })
	if len(r.batch) == 0 && len(r.releases) == 0 {
		r.busy = false
		return r, cmds
	}
	if len(r.open) > 0 && len(r.open)+len(r.batch) > r.limits.MaxOpenRecords {
		return r, append(cmds, Seal{Records: r.open})
	}
	return r.put(now, r.open, r.parts, cmds)
}

// take moves what can be written from waiting to batch and decides what is
// known. Of two tries of a key the second one waits for the first.
func (r Shard) take() (Shard, []Command) {
	var cmds []Command
	var rest []pending
	taken := map[ID]bool{}
	r.batch = nil
	for _, p := range r.waiting {
		known, ok := r.index[p.record.ID]
		switch {
		case ok:
			cmds = append(cmds, Decide{p.record.Attempt, known})
		case len(r.index)+len(r.batch) >= r.limits.Keys:
			cmds = append(cmds, GiveUp{p.record.Attempt})
		case taken[p.record.ID] || len(r.batch) >= r.limits.MaxOpenRecords:
			rest = append(rest, p)
		default:
			taken[p.record.ID] = true
			r.batch = append(r.batch, p)
		}
	}
	r.waiting = rest
	return r, cmds
}

// sealed goes on with a write whose earlier records have moved to a part.
func (r Shard) sealed(m Sealed) (Shard, []Command) {
	last := time.Time{}
	for _, o := range r.open {
		if o.At.After(last) {
			last = o.At
		}
	}
	return r.put(m.Now, nil, append(slices.Clone(r.parts), Part{m.Key, last}), nil)
}

// put writes the range's object without what has expired or was released.
func (r Shard) put(now time.Time, open []Record, parts []Part, cmds []Command) (Shard, []Command) {
	next := content{old: now.Add(-r.limits.Expiry), freed: slices.Clone(r.releases)}
	for _, o := range open {
		if o.At.After(next.old) && !contains(next.freed, o) {
			next.open = append(next.open, o)
		}
	}
	for i := range r.batch {
		r.batch[i].record.At = now
		next.open = append(next.open, r.batch[i].record)
	}
	for _, p := range parts {
		if p.Last.After(next.old) {
			next.parts = append(next.parts, p)
		} else {
			next.expired = append(next.expired, p)
		}
	}
	r.next = next
	return r, append(cmds, Write{Tag: r.tag, Open: next.open, Parts: next.parts})
}

// contains reports whether a list has a record of the same key and try.
func contains(list []Record, o Record) bool {
	return slices.ContainsFunc(list, func(f Record) bool { return f.ID == o.ID && f.Attempt == o.Attempt })
}

// written takes over what was written.
func (r Shard) written(tag string) (Shard, []Command) {
	var cmds []Command
	for _, o := range r.open {
		if !o.At.After(r.next.old) || contains(r.next.freed, o) {
			delete(r.index, o.ID)
		}
	}
	if len(r.next.expired) > 0 {
		r = r.withoutExpired()
		cmds = append(cmds, Discard{r.next.expired})
	}
	for _, p := range r.batch {
		r.index[p.record.ID] = p.record
		cmds = append(cmds, Decide{p.record.Attempt, p.record})
	}
	r.tag, r.open, r.parts = tag, r.next.open, r.next.parts
	r.releases = slices.DeleteFunc(r.releases, func(f Record) bool { return contains(r.next.freed, f) })
	r.batch, r.next, r.busy = nil, content{}, false
	if len(r.waiting) == 0 && len(r.releases) == 0 {
		return r, cmds
	}
	r, more := r.schedule()
	return r, append(cmds, more...)
}

func (r Shard) withoutExpired() Shard {
	for id, known := range r.index {
		if !known.At.After(r.next.old) {
			delete(r.index, id)
		}
	}
	return r
}

// failed reads the object back: the write may have taken effect, or another
// entry may have written.
func (r Shard) failed() (Shard, []Command) {
	var cmds []Command
	var again []pending
	for _, p := range r.batch {
		if contains(r.releases, p.record) {
			continue
		}
		p.rounds++
		if p.rounds >= r.limits.Rounds {
			cmds = append(cmds, GiveUp{p.record.Attempt})
			continue
		}
		again = append(again, p)
	}
	r.loaded, r.batch, r.next = false, nil, content{}
	r.waiting = append(again, r.waiting...)
	return r, append(cmds, Load{r.parts})
}

// giveUp refuses everything that waits, since the store does not answer.
func (r Shard) giveUp() (Shard, []Command) {
	cmds := make([]Command, 0, len(r.waiting))
	for _, p := range r.waiting {
		cmds = append(cmds, GiveUp{p.record.Attempt})
	}
	r.waiting, r.busy = nil, false
	return r, cmds
}
