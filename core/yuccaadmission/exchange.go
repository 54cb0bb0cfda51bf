package yuccaadmission

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
)

const (
	busyTopic    = "busy"
	lendTopic    = "lend"
	offerTopic   = "offer"
	busyInterval = 200 * time.Millisecond
	// maxWishes is how many wishes are under way at once.
	maxWishes = 16
)

// SlotExchange is the service that keeps a Picker's time and exchanges slots with the
// other entries. Make one with NewSlotExchange.
type SlotExchange struct {
	*yuccakernel.Worker

	picker *Picker
	bus    yuccapeer.Bus
}

// NewSlotExchange returns a sharer. Call it before the bus starts.
func NewSlotExchange(picker *Picker, bus yuccapeer.Bus) *SlotExchange {
	s := &SlotExchange{picker: picker, bus: bus}
	s.Worker = yuccakernel.NewWorker(s.work)
	bus.Handle(busyTopic, s.heard)
	bus.Handle(lendTopic, s.lend)
	bus.Handle(offerTopic, s.offered)
	return s
}

func (s *SlotExchange) work(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	publish := time.NewTicker(busyInterval)
	defer publish.Stop()
	var wishes errgroup.Group
	wishes.SetLimit(maxWishes)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			s.picker.tick(time.Now())
		case <-publish.C:
			s.publish()
		case cmd := <-s.picker.letters:
			wishes.TryGo(func() error {
				s.send(ctx, cmd)
				return nil
			})
		}
	}
	_ = wishes.Wait()
}

func (s *SlotExchange) publish() {
	s.picker.mu.Lock()
	message := s.picker.core.SlotReport()
	s.picker.mu.Unlock()
	if body, err := proto.Marshal(message); err == nil {
		s.bus.Publish(busyTopic, body)
	}
}

func (s *SlotExchange) heard(_ context.Context, from string, body []byte) ([]byte, error) {
	var b SlotReport
	if err := proto.Unmarshal(body, &b); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleReport(time.Now(), from, &b)
	s.picker.carryOut()
	return nil, nil
}

func (s *SlotExchange) lend(_ context.Context, from string, body []byte) ([]byte, error) {
	var w LoanRequest
	if err := proto.Unmarshal(body, &w); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	loan := s.picker.core.Lend(time.Now(), from, &w)
	s.picker.mu.Unlock()
	return proto.Marshal(loan)
}

// send carries a message to another entry.
func (s *SlotExchange) send(ctx context.Context, cmd Command) {
	switch cmd := cmd.(type) {
	case Borrow:
		s.wish(ctx, cmd)
	case Offer:
		s.offer(ctx, cmd)
	}
}

func (s *SlotExchange) offer(ctx context.Context, o Offer) {
	ctx, cancel := context.WithTimeout(ctx, LoanTimeout)
	defer cancel()
	if body, err := proto.Marshal(o.Loan); err == nil {
		_, _ = s.bus.Call(ctx, o.To, offerTopic, body)
	}
}

func (s *SlotExchange) offered(_ context.Context, from string, body []byte) ([]byte, error) {
	var loan Loan
	if err := proto.Unmarshal(body, &loan); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleLoan(time.Now(), from, &loan)
	s.picker.carryOut()
	return nil, nil
}

func (s *SlotExchange) wish(ctx context.Context, b Borrow) {
	ctx, cancel := context.WithTimeout(ctx, LoanTimeout)
	defer cancel()
	body, err := proto.Marshal(s.picker.core.LoanRequest(b))
	if err != nil {
		return
	}
	reply, err := s.bus.Call(ctx, b.To, lendTopic, body)
	var loan Loan
	if err != nil || ctx.Err() != nil || proto.Unmarshal(reply, &loan) != nil {
		return
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleLoan(time.Now(), b.To, &loan)
	s.picker.carryOut()
}
