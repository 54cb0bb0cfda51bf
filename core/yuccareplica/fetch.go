package yuccareplica

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// handleFetch answers another entry's request. Changes are passed on only while this
// entry is in settled contact with the platform, first lists at any time: an entry that
// starts while the platform is unavailable is to know what the others use.
func (r *Replica) handleFetch(_ context.Context, from string, body []byte) ([]byte, error) {
	var request FetchRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode request for changes from entry %s: %w", from, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	settled := r.contactDuration(time.Now()) >= settleTime
	var reply FetchReply
	for _, w := range r.watched {
		after, asked := request.GetAfter()[w.prefix]
		switch {
		case !asked:
		case after == 0, w.durable && w.copy.changed > after:
			if changes := w.list(); changes != nil {
				reply.Changes = append(reply.Changes, changes)
			}
		case settled:
			if page, ok := w.copy.since(after); ok {
				reply.Changes = append(reply.Changes, encodeChanges(w.prefix, after, page))
			}
		}
	}
	if len(reply.Changes) == 0 && !settled {
		return nil, yuccaerror.New(yuccaerror.PlatformUnavailable, "entry %s is not in settled contact with the platform", r.fleet.self)
	}
	return proto.Marshal(&reply)
}

// list returns all objects under the prefix, nil if there has been no list yet or the
// objects are too long for one message.
func (w *watched) list() *Changes {
	page, ok := w.copy.all()
	if !ok {
		return nil
	}
	changes := encodeChanges(w.prefix, 0, page)
	changes.List = true
	return changes
}

// fetchFrom returns the entry to ask for missing changes, or an empty name.
func (r *Replica) fetchFrom(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := fetchDelay
	if r.contactDuration(now) > 0 {
		delay = readerFetchDelay
	}
	known := make([]knownCopy, len(r.watched))
	for i, w := range r.watched {
		known[i] = knownCopy{w.copy.seq, w.durable}
		if w.copy.seq == 0 {
			return r.firstListFrom(now)
		}
	}
	return r.fleet.behind(now, known, r.near, delay)
}

// firstListFrom returns the entry to ask for the first lists, if the platform has not
// answered for a while. The caller holds mu.
func (r *Replica) firstListFrom(now time.Time) string {
	if now.Sub(r.startedAt) < firstListDelay {
		return ""
	}
	return r.fleet.firstUsable(now, slices.Sorted(maps.Keys(r.fleet.received)), r.near)
}

// fetch asks another entry for the changes that this one misses.
func (r *Replica) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &FetchRequest{After: map[string]uint64{}}
	r.mu.Lock()
	for _, w := range r.watched {
		request.After[w.prefix] = w.copy.seq
	}
	r.mu.Unlock()
	reply, err := r.callFetch(ctx, from, request)
	if err != nil || len(reply.GetChanges()) == 0 {
		r.log.Warn().Err(err).Str("from", from).Msg("changes_not_fetched")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fleet.recordFailure(time.Now(), from)
		return
	}
	for _, changes := range reply.GetChanges() {
		r.log.Info().Str("from", from).Str("prefix", changes.GetPrefix()).Uint64("after", changes.GetAfter()).Uint64("seq", changes.GetSeq()).Int("objects", len(changes.GetObjects())).Msg("changes_fetched")
		r.offer(changes)
	}
}

func (r *Replica) callFetch(ctx context.Context, from string, request *FetchRequest) (*FetchReply, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	body, err = r.bus.Call(ctx, from, topicFetch, body)
	if err != nil {
		return nil, err
	}
	var reply FetchReply
	if err := proto.Unmarshal(body, &reply); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode changes from entry %s: %w", from, err)
	}
	return &reply, nil
}
