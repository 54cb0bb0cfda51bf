package yuccaidempotency

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

// The topics of messages between Deduplicators.
const (
	// claimTopic asks the owner of a shard to claim a key; body ClaimRequest,
	// reply ClaimReply.
	claimTopic = "claim.ask"
	// releaseTopic asks the owner of a shard to release a claim; body
	// ClaimRequest, empty reply.
	releaseTopic = "claim.release"
	// lookupTopic asks for a cached response; body LookupRequest, reply
	// LookupReply.
	lookupTopic = "claim.seek"
	// handoffTopic carries the cached responses of a stopping entry; body
	// HandoffRequest, empty reply.
	handoffTopic = "claim.keep"
)

const (
	// callTimeout limits one call to another entry.
	callTimeout = 300 * time.Millisecond
	// unresponsiveTTL is how long an entry is not called after a call to it
	// failed.
	unresponsiveTTL = 2 * time.Second
)

func (k *Deduplicator) registerHandlers() {
	k.opt.Bus.Handle(claimTopic, k.handleClaim)
	k.opt.Bus.Handle(releaseTopic, k.handleRelease)
	k.opt.Bus.Handle(lookupTopic, k.handleLookup)
	k.opt.Bus.Handle(handoffTopic, k.handleHandoff)
}

// shardOwner returns the member with the highest rendezvous hash for a shard,
// or "" if there are no members. The other entries send it their claims, so
// that few conditional writes conflict. Any entry may still write the shard.
func shardOwner(members []string, n int) string {
	best, top := "", uint64(0)
	for _, name := range members {
		score := xxhash.Sum64String(strconv.Itoa(n) + "/" + name)
		if best == "" || score > top {
			best, top = name, score
		}
	}
	return best
}

// claim returns the record that decides the key of a. The shard's owner writes
// it or, when the call to the owner fails, this entry. Both may write the
// record: it names one attempt, which runs once.
func (k *Deduplicator) claim(ctx context.Context, a Record) (Record, error) {
	to := shardOwner(k.opt.Members(), k.shardIndex(a.ID))
	if k.callable(to) {
		known, err := k.claimRemotely(ctx, to, a)
		if err == nil {
			return known, nil
		}
		k.opt.Log.Debug().Err(err).Str("owner", to).Msg("claim_owner_failed")
	}
	return k.worker(a.ID).claim(ctx, a)
}

// callable reports whether name is another entry that is not marked as
// unresponsive.
func (k *Deduplicator) callable(name string) bool {
	return name != "" && name != k.opt.Self && !k.unresponsive.contains(name, time.Now())
}

// claimRemotely has another entry claim the key of a and returns the record
// that decides it.
func (k *Deduplicator) claimRemotely(ctx context.Context, to string, a Record) (Record, error) {
	body, err := proto.Marshal(&ClaimRequest{Id: a.ID[:], Fingerprint: a.Fingerprint, Attempt: a.Attempt[:], Entry: a.Entry})
	if err != nil {
		return Record{}, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	var reply ClaimReply
	if err := k.call(ctx, to, claimTopic, body, &reply); err != nil {
		return Record{}, err
	}
	known, err := recordFromProto(reply.GetRecord())
	if err == nil && known.ID != a.ID {
		err = yuccaerror.New(yuccaerror.Protocol, "reply of entry %s is for a different idempotency key", to)
	}
	return known, err
}

// call sends a message to another entry and decodes its reply. An entry that is
// unreachable or breaks the connection is marked as unresponsive.
func (k *Deduplicator) call(ctx context.Context, to, topic string, body []byte, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replyBody, err := k.opt.Bus.Call(ctx, to, topic, body)
	if kind := yuccaerror.KindOf(err); kind == yuccaerror.Unreachable || kind == yuccaerror.ConnectionLost {
		k.unresponsive.add(to, time.Now().Add(unresponsiveTTL))
	}
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(replyBody, reply); err != nil {
		return yuccaerror.New(yuccaerror.Protocol, "decode reply of entry %s: %w", to, err)
	}
	return nil
}

func (k *Deduplicator) handleClaim(ctx context.Context, _ string, body []byte) ([]byte, error) {
	a, err := decodeClaim(body)
	if err != nil {
		return nil, err
	}
	known, err := k.worker(a.ID).claim(ctx, a)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&ClaimReply{Record: known.toProto()})
}

// decodeClaim decodes the body of a message on claimTopic or releaseTopic. The
// error is of kind Protocol.
func decodeClaim(body []byte) (Record, error) {
	var m ClaimRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return Record{}, yuccaerror.New(yuccaerror.Protocol, "decode claim message: %w", err)
	}
	return recordFromProto(&RecordObject{Id: m.GetId(), Fingerprint: m.GetFingerprint(), Attempt: m.GetAttempt(), Entry: m.GetEntry()})
}

// release releases a claim in the background. The request certainly did not run
// and will not run. Only the entry that made the attempt can know that, so only
// it releases the claim.
func (k *Deduplicator) release(c Claim) {
	k.spawn(func(ctx context.Context) {
		to := shardOwner(k.opt.Members(), k.shardIndex(c.id))
		body, err := proto.Marshal(&ClaimRequest{Id: c.id[:], Attempt: c.attempt[:], Entry: k.opt.Self})
		if err == nil && k.callable(to) && k.call(ctx, to, releaseTopic, body, &ClaimReply{}) == nil {
			return
		}
		k.worker(c.id).step(Released{c.id, c.attempt})
	})
}

func (k *Deduplicator) handleRelease(_ context.Context, _ string, body []byte) ([]byte, error) {
	a, err := decodeClaim(body)
	if err != nil {
		return nil, err
	}
	k.worker(a.ID).step(Released{a.ID, a.Attempt})
	return nil, nil
}

// lookup returns the first response to a claimed key. It looks in this entry's
// cache, on the entry that ran the request, and on the shard's owner, to which
// a stopping entry hands its responses off. The error is of kind KeyInProgress
// when the first request is still running, else ReplayUnavailable.
func (k *Deduplicator) lookup(ctx context.Context, known Record) (*Response, error) {
	response, running := k.cache.lookup(known.ID)
	for _, to := range []string{known.Entry, shardOwner(k.opt.Members(), k.shardIndex(known.ID))} {
		if response != nil || running {
			break
		}
		if k.callable(to) {
			response, running = k.lookupRemotely(ctx, to, known.ID)
		}
	}
	switch {
	case response != nil:
		return response, nil
	case running:
		return nil, yuccaerror.New(yuccaerror.KeyInProgress, "the first request with this idempotency key is still in progress")
	}
	return nil, yuccaerror.New(yuccaerror.ReplayUnavailable, "the first response to this idempotency key is not cached")
}

// lookupRemotely asks another entry for the response to a key. If there is
// none, it reports whether the request is in progress there; a failed call
// counts as no.
func (k *Deduplicator) lookupRemotely(ctx context.Context, to string, id ID) (*Response, bool) {
	body, err := proto.Marshal(&LookupRequest{Id: id[:]})
	if err != nil {
		return nil, false
	}
	var reply LookupReply
	if k.call(ctx, to, lookupTopic, body, &reply) != nil || reply.GetResponse() == nil {
		return nil, reply.GetRunning()
	}
	return responseFromProto(reply.GetResponse()), false
}

func (k *Deduplicator) handleLookup(_ context.Context, _ string, body []byte) ([]byte, error) {
	var m LookupRequest
	if err := proto.Unmarshal(body, &m); err != nil || len(m.GetId()) != len(ID{}) {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode lookup message: malformed, or its ID does not have 16 bytes")
	}
	id := ID(m.GetId())
	response, running := k.cache.lookup(id)
	reply := &LookupReply{Running: running}
	if response != nil {
		reply.Response = responseToProto(id, response)
	}
	return proto.Marshal(reply)
}

func (k *Deduplicator) handleHandoff(_ context.Context, _ string, body []byte) ([]byte, error) {
	var m HandoffRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode handoff message: %w", err)
	}
	for _, h := range m.GetResponses() {
		if len(h.GetId()) == len(ID{}) {
			k.cache.add(ID(h.GetId()), responseFromProto(h), time.Now())
		}
	}
	return nil, nil
}

// handOff sends each cached response to the owner of its shard among the other
// entries.
func (k *Deduplicator) handOff(ctx context.Context) {
	var others []string
	for _, name := range k.opt.Members() {
		if name != k.opt.Self {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return
	}
	batches := map[string]*handoffBatch{}
	for _, h := range k.cache.all() {
		to := shardOwner(others, k.shardIndex(h.id))
		b := batches[to]
		if b == nil {
			b = &handoffBatch{}
			batches[to] = b
		}
		if b.size+h.size > yuccapeer.MaxBodyBytes*3/4 {
			k.sendHandoff(ctx, to, b)
		}
		b.size += h.size
		b.message.Responses = append(b.message.Responses, responseToProto(h.id, h.response))
	}
	for to, b := range batches {
		k.sendHandoff(ctx, to, b)
	}
}

// handoffBatch collects responses for one message on handoffTopic.
type handoffBatch struct {
	message HandoffRequest
	// size is the sum of the responses' sizes in bytes.
	size int
}

// sendHandoff sends a batch and empties it. Responses that cannot be sent are
// lost: a repeated request then fails with ReplayUnavailable.
func (k *Deduplicator) sendHandoff(ctx context.Context, to string, b *handoffBatch) {
	body, err := proto.Marshal(&b.message)
	if err == nil {
		err = k.call(ctx, to, handoffTopic, body, &ClaimReply{})
	}
	k.opt.Log.Info().Int("answers", len(b.message.GetResponses())).Str("to", to).AnErr("failed", err).Msg("answers_handed_over")
	b.message.Reset()
	b.size = 0
}

// unresponsiveSet holds the entries that are not called for a while because a
// call to them failed.
type unresponsiveSet struct {
	mu sync.Mutex
	// until maps an entry's name to the time when it may be called again.
	until map[string]time.Time
}

func newUnresponsiveSet() *unresponsiveSet { return &unresponsiveSet{until: map[string]time.Time{}} }

func (s *unresponsiveSet) add(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[name] = until
}

func (s *unresponsiveSet) contains(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[name])
}
