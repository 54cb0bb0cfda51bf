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

// The topics of messages between keepers.
const (
	askTopic     = "claim.ask"
	releaseTopic = "claim.release"
	seekTopic    = "claim.seek"
	keepTopic    = "claim.keep"
)

const (
	// callTimeout bounds a call of another entry.
	callTimeout = 300 * time.Millisecond
	// suspectTime is how long an entry that did not answer is not asked again.
	suspectTime = 2 * time.Second
)

func (k *Deduplicator) handle() {
	k.opt.Bus.Handle(askTopic, k.onAsk)
	k.opt.Bus.Handle(releaseTopic, k.onRelease)
	k.opt.Bus.Handle(seekTopic, k.onSeek)
	k.opt.Bus.Handle(keepTopic, k.onKeep)
}

// owner returns the entry that writes the object of a range by preference, so
// that few writes lose their condition. Any entry may write it.
func owner(members []string, n int) string {
	best, top := "", uint64(0)
	for _, name := range members {
		score := xxhash.Sum64String(strconv.Itoa(n) + "/" + name)
		if best == "" || score > top {
			best, top = name, score
		}
	}
	return best
}

// ask has a record decided by the range's owner, or here when that one does not
// answer. Both may write the record: it names one try, which runs once.
func (k *Deduplicator) ask(ctx context.Context, a Record) (Record, error) {
	to := owner(k.opt.Members(), k.rangeOf(a.ID))
	if k.remote(to) {
		known, err := k.callAsk(ctx, to, a)
		if err == nil {
			return known, nil
		}
		k.opt.Log.Debug().Err(err).Str("owner", to).Msg("claim_owner_failed")
	}
	return k.worker(a.ID).ask(ctx, a)
}

func (k *Deduplicator) remote(name string) bool {
	return name != "" && name != k.opt.Self && !k.suspect.is(name, time.Now())
}

func (k *Deduplicator) callAsk(ctx context.Context, to string, a Record) (Record, error) {
	body, err := proto.Marshal(&ClaimRequest{Id: a.ID[:], Fingerprint: a.Fingerprint, Attempt: a.Attempt[:], Entry: a.Entry})
	if err != nil {
		return Record{}, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	var reply ClaimReply
	if err := k.call(ctx, to, askTopic, body, &reply); err != nil {
		return Record{}, err
	}
	known, err := recordOf(reply.GetRecord())
	if err == nil && known.ID != a.ID {
		err = yuccaerror.New(yuccaerror.Protocol, "reply of %s is for another key", to)
	}
	return known, err
}

func (k *Deduplicator) call(ctx context.Context, to, topic string, body []byte, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := k.opt.Bus.Call(ctx, to, topic, body)
	if kind := yuccaerror.KindOf(err); kind == yuccaerror.Unreachable || kind == yuccaerror.Broken {
		k.suspect.add(to, time.Now().Add(suspectTime))
	}
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return yuccaerror.New(yuccaerror.Protocol, "reply of %s: %w", to, err)
	}
	return nil
}

func (k *Deduplicator) onAsk(ctx context.Context, _ string, body []byte) ([]byte, error) {
	a, err := askOf(body)
	if err != nil {
		return nil, err
	}
	known, err := k.worker(a.ID).ask(ctx, a)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&ClaimReply{Record: known.object()})
}

func askOf(body []byte) (Record, error) {
	var m ClaimRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return Record{}, yuccaerror.New(yuccaerror.Protocol, "ask: %w", err)
	}
	return recordOf(&RecordObject{Id: m.GetId(), Fingerprint: m.GetFingerprint(), Attempt: m.GetAttempt(), Entry: m.GetEntry()})
}

// release gives a claim back whose try certainly did not and will not run. Only
// the entry that made the try can know that.
func (k *Deduplicator) release(c Claim) {
	k.spawn(func(ctx context.Context) {
		to := owner(k.opt.Members(), k.rangeOf(c.id))
		body, err := proto.Marshal(&ClaimRequest{Id: c.id[:], Attempt: c.try[:], Entry: k.opt.Self})
		if err == nil && k.remote(to) && k.call(ctx, to, releaseTopic, body, &ClaimReply{}) == nil {
			return
		}
		k.worker(c.id).step(Released{c.id, c.try})
	})
}

func (k *Deduplicator) onRelease(_ context.Context, _ string, body []byte) ([]byte, error) {
	a, err := askOf(body)
	if err != nil {
		return nil, err
	}
	k.worker(a.ID).step(Released{a.ID, a.Attempt})
	return nil, nil
}

// seek finds the first answer: here, where the first request was made, or where
// that entry handed it over.
func (k *Deduplicator) seek(ctx context.Context, known Record) (*Response, error) {
	answer, running := k.answers.find(known.ID)
	for _, to := range []string{known.Entry, owner(k.opt.Members(), k.rangeOf(known.ID))} {
		if answer != nil || running {
			break
		}
		if k.remote(to) {
			answer, running = k.callSeek(ctx, to, known.ID)
		}
	}
	switch {
	case answer != nil:
		return answer, nil
	case running:
		return nil, yuccaerror.New(yuccaerror.KeyInProgress, "the first request has not ended")
	}
	return nil, yuccaerror.New(yuccaerror.ReplayUnavailable, "the first answer is not held")
}

func (k *Deduplicator) callSeek(ctx context.Context, to string, id ID) (*Response, bool) {
	body, err := proto.Marshal(&LookupRequest{Id: id[:]})
	if err != nil {
		return nil, false
	}
	var reply LookupReply
	if k.call(ctx, to, seekTopic, body, &reply) != nil || reply.GetResponse() == nil {
		return nil, reply.GetRunning()
	}
	return answerOf(reply.GetResponse()), false
}

func (k *Deduplicator) onSeek(_ context.Context, _ string, body []byte) ([]byte, error) {
	var m LookupRequest
	if err := proto.Unmarshal(body, &m); err != nil || len(m.GetId()) != len(ID{}) {
		return nil, yuccaerror.New(yuccaerror.Protocol, "seek cannot be read")
	}
	id := ID(m.GetId())
	answer, running := k.answers.find(id)
	reply := &LookupReply{Running: running}
	if answer != nil {
		reply.Response = heldOf(id, answer)
	}
	return proto.Marshal(reply)
}

func (k *Deduplicator) onKeep(_ context.Context, _ string, body []byte) ([]byte, error) {
	var m HandoffRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "keep: %w", err)
	}
	for _, h := range m.GetResponses() {
		if len(h.GetId()) == len(ID{}) {
			k.answers.keep(ID(h.GetId()), answerOf(h), time.Now())
		}
	}
	return nil, nil
}

// handOver gives each held answer to the owner of its range among the others.
func (k *Deduplicator) handOver(ctx context.Context) {
	var others []string
	for _, name := range k.opt.Members() {
		if name != k.opt.Self {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return
	}
	bundles := map[string]*bundle{}
	for _, h := range k.answers.all() {
		to := owner(others, k.rangeOf(h.id))
		b := bundles[to]
		if b == nil {
			b = &bundle{}
			bundles[to] = b
		}
		if b.size+h.size > yuccapeer.MaxBody*3/4 {
			k.give(ctx, to, b)
		}
		b.size += h.size
		b.call.Responses = append(b.call.Responses, heldOf(h.id, h.answer))
	}
	for to, b := range bundles {
		k.give(ctx, to, b)
	}
}

// bundle collects answers for one message.
type bundle struct {
	call HandoffRequest
	size int
}

func (k *Deduplicator) give(ctx context.Context, to string, b *bundle) {
	body, err := proto.Marshal(&b.call)
	if err == nil {
		err = k.call(ctx, to, keepTopic, body, &ClaimReply{})
	}
	k.opt.Log.Info().Int("answers", len(b.call.GetResponses())).Str("to", to).AnErr("failed", err).Msg("answers_handed_over")
	b.call.Reset()
	b.size = 0
}

// suspects remembers which entries did not answer.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: map[string]time.Time{}} }

func (s *suspects) add(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[name] = until
}

func (s *suspects) is(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[name])
}
