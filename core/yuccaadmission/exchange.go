package yuccaadmission

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccalog"
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
	// failureLinesPerSecond limits the log lines about messages that were not sent or not
	// answered.
	failureLinesPerSecond = 1
)

// SlotExchange is the service that calls Tick on a Picker and exchanges slots
// with the other entries. Create one with NewSlotExchange.
type SlotExchange struct {
	*yuccakernel.Worker

	picker *Picker
	bus    yuccapeer.Bus
	// failures is the logger of messages that were not sent or not answered.
	failures zerolog.Logger
}

// NewSlotExchange returns a slot exchange for the picker. Call it before the
// bus starts.
func NewSlotExchange(picker *Picker, bus yuccapeer.Bus, log zerolog.Logger) *SlotExchange {
	s := &SlotExchange{picker: picker, bus: bus, failures: log.Sample(yuccalog.NewRateSampler(failureLinesPerSecond))}
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
			started := calls.TryGo(func() error {
				s.send(ctx, cmd)
				return nil
			})
			if !started {
				s.failures.Info().Int("calls", maxConcurrentCalls).Msg("slot_message_dropped")
			}
		}
	}
	_ = calls.Wait()
}

func (s *SlotExchange) publish() {
	s.picker.mu.Lock()
	message := s.picker.core.SlotReport()
	s.picker.mu.Unlock()
	body, err := proto.Marshal(message)
	if err != nil {
		s.failures.Error().Err(err).Str("topic", reportTopic).Msg("slot_message_not_encoded")
		return
	}
	s.bus.Publish(reportTopic, body)
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
	body, err := proto.Marshal(o.Loan)
	if err != nil {
		s.failures.Error().Err(err).Str("topic", offerTopic).Msg("slot_message_not_encoded")
		return
	}
	if _, err := s.bus.Call(ctx, o.To, offerTopic, body); err != nil {
		s.logUnanswered(err, o.To, offerTopic)
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
		s.failures.Error().Err(err).Str("topic", lendTopic).Msg("slot_message_not_encoded")
		return
	}
	reply, err := s.bus.Call(ctx, b.To, lendTopic, body)
	if err == nil {
		err = ctx.Err()
	}
	var loan Loan
	if err == nil {
		err = proto.Unmarshal(reply, &loan)
	}
	if err != nil {
		s.logUnanswered(err, b.To, lendTopic)
		return
	}
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.core.HandleLoan(time.Now(), b.To, &loan)
	s.picker.execute()
}

// logUnanswered logs that another entry has not answered a message. The slots stay where
// they are, or come back when the loan ends.
func (s *SlotExchange) logUnanswered(err error, to, topic string) {
	s.failures.Info().Err(err).Str("peer", to).Str("topic", topic).Msg("slot_message_unanswered")
}
