package yuccapoison

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

const (
	// stoppedTopic is the bus topic of the question for a StoppedList.
	stoppedTopic = "poison.stopped"
	// learnInterval is the time between two looks for entries that have been connected.
	learnInterval = 50 * time.Millisecond
	// maxAskedAtOnce is the number of entries that are asked after one look, so that a
	// restart of all entries makes few calls at a time.
	maxAskedAtOnce = 2
)

// learn asks each entry, when it has been connected, which requests are stopped. An entry that
// has just started, or returns after a partition, would let them crash servers again.
func (s *CrashLimiter) learn(ctx context.Context) {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	asked := map[string]bool{}
	for {
		connected := s.bus.Connected()
		for name := range asked {
			if !slices.Contains(connected, name) {
				delete(asked, name)
			}
		}
		fresh := slices.DeleteFunc(connected, func(name string) bool { return asked[name] })
		for _, name := range fresh[:min(maxAskedAtOnce, len(fresh))] {
			asked[name] = true
			s.ask(ctx, name)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask asks an entry which requests are stopped. What is new goes to the others too: one that
// was asked before may not have known it. An entry of an older build does not answer.
func (s *CrashLimiter) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.bus.Call(ctx, name, stoppedTopic, nil)
	if err != nil {
		s.log.Debug().Err(err).Str("entry", name).Msg("stopped_requests_not_known")
		return
	}
	list, err := s.merge(name, body)
	switch {
	case err != nil:
		s.log.Warn().Err(err).Str("entry", name).Msg("stopped_requests_not_known")
	case len(list.GetRequests()) > 0:
		s.log.Info().Str("from", name).Int("requests", len(list.GetRequests())).Msg("stopped_requests_learned")
		s.publishStopped(list)
	}
}

// merge records the stopped requests of a list and returns those that are new.
func (s *CrashLimiter) merge(from string, body []byte) (*StoppedList, error) {
	var list StoppedList
	if err := proto.Unmarshal(body, &list); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode stopped requests of %s: %w", from, err)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list.Requests = slices.DeleteFunc(list.Requests, func(r *StoppedRequest) bool {
		return !s.records.stop(Fingerprint(r.GetFingerprint()), timeAgo(now, r.GetCrashedMsAgo()), now)
	})
	return &list, nil
}

// publishStopped tells all other entries which requests are stopped.
func (s *CrashLimiter) publishStopped(list *StoppedList) {
	body, err := proto.Marshal(list)
	if err != nil {
		s.log.Error().Err(err).Msg("stopped_requests_not_encoded")
		return
	}
	s.bus.Publish(stoppedTopic, body)
}

// onAsked returns the requests that are stopped. A question is empty; a published list is
// merged first.
func (s *CrashLimiter) onAsked(_ context.Context, from string, body []byte) ([]byte, error) {
	if len(body) > 0 {
		_, err := s.merge(from, body)
		return nil, err
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &StoppedList{}
	for p, r := range s.records {
		if r.stopped(now) {
			list.Requests = append(list.Requests, &StoppedRequest{Fingerprint: uint64(p), CrashedMsAgo: msAgo(now, r.at)})
		}
	}
	return proto.Marshal(list)
}
