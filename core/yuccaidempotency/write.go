package yuccaidempotency

import (
	"slices"
	"time"
)

// write decides the waiting claims that have a known key and writes records of
// the others.
func (r Shard) write(now time.Time) (Shard, []Command) {
	r, cmds := r.takeBatch()
	r.releases = slices.DeleteFunc(r.releases, func(f Record) bool { return r.index[f.ID].Attempt != f.Attempt })
	if len(r.batch) == 0 && len(r.releases) == 0 {
		r.busy = false
		return r, cmds
	}
	if len(r.open) > 0 && len(r.open)+len(r.batch) > r.limits.MaxOpenRecords {
		return r, append(cmds, Seal{Records: r.open})
	}
	return r.writeObject(now, r.open, r.parts, cmds)
}

// takeBatch moves the claims that can be written from waiting to batch and
// decides those that have a known key. Of two claims of one key the second
// waits for the first.
func (r Shard) takeBatch() (Shard, []Command) {
	var cmds []Command
	var rest []pendingClaim
	inBatch := map[ID]bool{}
	r.batch = nil
	for _, p := range r.waiting {
		known, ok := r.index[p.record.ID]
		switch {
		case ok:
			cmds = append(cmds, Decide{p.record.Attempt, known})
		case len(r.index)+len(r.batch) >= r.limits.MaxKeys:
			cmds = append(cmds, GiveUp{p.record.Attempt})
		case inBatch[p.record.ID] || len(r.batch) >= r.limits.MaxOpenRecords:
			rest = append(rest, p)
		default:
			inBatch[p.record.ID] = true
			r.batch = append(r.batch, p)
		}
	}
	r.waiting = rest
	return r, cmds
}

// finishSeal continues a write after its earlier records have moved to a part
// object.
func (r Shard) finishSeal(m Sealed) (Shard, []Command) {
	last := time.Time{}
	for _, o := range r.open {
		if o.At.After(last) {
			last = o.At
		}
	}
	return r.writeObject(m.Now, nil, append(slices.Clone(r.parts), Part{m.Key, last}), nil)
}

// writeObject writes the shard object, without expired and released records.
func (r Shard) writeObject(now time.Time, open []Record, parts []Part, cmds []Command) (Shard, []Command) {
	next := nextContent{expiryCutoff: now.Add(-r.limits.Expiry), released: slices.Clone(r.releases)}
	for _, o := range open {
		if o.At.After(next.expiryCutoff) && !containsClaim(next.released, o) {
			next.open = append(next.open, o)
		}
	}
	for i := range r.batch {
		r.batch[i].record.At = now
		next.open = append(next.open, r.batch[i].record)
	}
	for _, p := range parts {
		if p.Last.After(next.expiryCutoff) {
			next.parts = append(next.parts, p)
		} else {
			next.expiredParts = append(next.expiredParts, p)
		}
	}
	r.next = next
	return r, append(cmds, Write{Tag: r.tag, Open: next.open, Parts: next.parts})
}

// containsClaim reports whether a list has a record of the same key and
// attempt.
func containsClaim(list []Record, o Record) bool {
	return slices.ContainsFunc(list, func(f Record) bool { return f.ID == o.ID && f.Attempt == o.Attempt })
}

// finishWrite replaces the state of the shard by the written content and decides
// the claims of the batch.
func (r Shard) finishWrite(tag string) (Shard, []Command) {
	var cmds []Command
	for _, o := range r.open {
		if !o.At.After(r.next.expiryCutoff) || containsClaim(r.next.released, o) {
			delete(r.index, o.ID)
		}
	}
	if len(r.next.expiredParts) > 0 {
		r = r.dropExpired()
		cmds = append(cmds, Discard{r.next.expiredParts})
	}
	for _, p := range r.batch {
		r.index[p.record.ID] = p.record
		cmds = append(cmds, Decide{p.record.Attempt, p.record})
	}
	r.tag, r.open, r.parts = tag, r.next.open, r.next.parts
	r.releases = slices.DeleteFunc(r.releases, func(f Record) bool { return containsClaim(r.next.released, f) })
	r.batch, r.next, r.busy = nil, nextContent{}, false
	if len(r.waiting) == 0 && len(r.releases) == 0 {
		return r, cmds
	}
	r, more := r.schedule()
	return r, append(cmds, more...)
}

// dropExpired removes the expired records from the index.
func (r Shard) dropExpired() Shard {
	for id, known := range r.index {
		if !known.At.After(r.next.expiryCutoff) {
			delete(r.index, id)
		}
	}
	return r
}

// handleWriteFailure asks for a store call, which reads the shard object again: the write
// may have taken effect, or another entry may have written. Each claim of the batch is
// written at most MaxWrites times, then it fails.
func (r Shard) handleWriteFailure() (Shard, []Command) {
	var cmds []Command
	var retries []pendingClaim
	for _, p := range r.batch {
		if containsClaim(r.releases, p.record) {
			continue
		}
		p.failedWrites++
		if p.failedWrites >= r.limits.MaxWrites {
			cmds = append(cmds, GiveUp{p.record.Attempt})
			continue
		}
		retries = append(retries, p)
	}
	r.loaded, r.batch, r.next = false, nil, nextContent{}
	r.waiting = append(retries, r.waiting...)
	return r, append(cmds, Schedule{})
}

// giveUpWaiting fails all waiting claims, since the store does not answer.
func (r Shard) giveUpWaiting() (Shard, []Command) {
	cmds := make([]Command, 0, len(r.waiting))
	for _, p := range r.waiting {
		cmds = append(cmds, GiveUp{p.record.Attempt})
	}
	r.waiting, r.busy = nil, false
	return r, cmds
}
