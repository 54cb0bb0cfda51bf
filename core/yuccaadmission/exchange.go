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
	// reportTopic carries slot reports.
	reportTopic = "busy"
	// lendTopic carries loan requests and, as replies, loans.
	lendTopic = "lend"
	// offerTopic carries loans that were not requested at that moment.
	offerTopic = "offer"
	// reportInterval is the interval at which slot reports are published.
	reportInterval = 200 * time.Millisecond
	// maxConcurrentCalls is the number of calls to other entries in flight at
	// once. Further ones are dropped.
	maxConcurrentCalls = 16
)

// SlotExchange is the service that calls Tick on a Picker and exchanges slots
// with the other entries. Create one with NewSlotExchange.
type SlotExchange struct {
	*yuccakernel.Worker

	picker *Picker
	bus    yuccapeer.Bus
}

// NewSlotExchange returns a slot exchange for the picker. Call it before the
// bus starts.
func NewSlotExchange(picker *Picker, bus yuccapeer.Bus) *SlotExchange {
	s := &SlotExchange{picker: picker, bus: bus}
	s.Worker = yuccakernel.NewWorker(s.work)
	bus.Handle(reportTopic, s.handleReport)
	bus.Handle(lendTopic, s.handleLoanRequest)
	bus.Handle(offerTopic, s.handleOffer)
	return s
}

func (s *SlotExchange) work(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	publish := time.NewTicker(reportInterval)
	defer publish.Stop()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			s.picker.tick(time.Now())
		case <-publish.C:
			s.publish()
		case cmd := <-s.picker.outbox:
			calls.TryGo(func() error {
				s.send(ctx, cmd)
				return nil
			})
		}
	}
	_ = calls.Wait()
}

func (s *SlotExchange) publish() {
	s.picker.mu.Lock()
	message := s.picker.core.SlotReport()
	s.picker.mu.Unlock()
	if body, err := proto.Marshal(message); err == nil {
		s.bus.Publish(reportTopic, body)
	}
}

func (s *SlotExchange) handleReport(_ context.Context, from string, body []byte) ([]byte, error) {
	var b SlotReport
	if err := proto.Unmarshal(body, &b); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleReport(time.Now(), from, &b)
	s.picker.execute()
	return nil, nil
}

func (s *SlotExchange) handleLoanRequest(_ context.Context, from string, body []byte) ([]byte, error) {
	var w LoanRequest
	if err := proto.Unmarshal(body, &w); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	loan := s.picker.core.Lend(time.Now(), from, &w)
	s.picker.mu.Unlock()
	return proto.Marshal(loan)
}

// send sends the message of a command to another entry.
func (s *SlotExchange) send(ctx context.Context, cmd Command) {
	switch cmd := cmd.(type) {
	case Borrow:
		s.requestLoan(ctx, cmd)
	case Offer:
		s.sendOffer(ctx, cmd)
	}
}

func (s *SlotExchange) sendOffer(ctx context.Context, o Offer) {
	ctx, cancel := context.WithTimeout(ctx, LoanTimeout)
	defer cancel()
	if body, err := proto.Marshal(o.Loan); err == nil {
		_, _ = s.bus.Call(ctx, o.To, offerTopic, body)
	}
}

func (s *SlotExchange) handleOffer(_ context.Context, from string, body []byte) ([]byte, error) {
	var loan Loan
	if err := proto.Unmarshal(body, &loan); err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleLoan(time.Now(), from, &loan)
	s.picker.execute()
	return nil, nil
}

func (s *SlotExchange) requestLoan(ctx context.Context, b Borrow) {
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
	s.picker.execute()
}
