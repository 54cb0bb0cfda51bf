package yuccausage

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

const (
	// loanTopic is the bus topic of Loan.
	loanTopic = "account.loan"
	// loanTimeout bounds the wait for a loan. It covers a new session to an entry of another
	// region, which takes three round trips.
	loanTimeout = 150 * time.Millisecond
	// maxLoans is how many loans an entry waits for at the same time. In a surge the other
	// requests are refused at once.
	maxLoans = 32
)

// loans asks other entries to admit requests. It addresses accounts with few requests a
// second in a large fleet: the part of each entry is then less than one request, while the
// limit has room. For each account all entries ask the same one, whose part grows with the
// requests that it admits. The lender counts a loan like a request of its own, so that the
// bound of the limit does not depend on loans.
type loans struct {
	bus Bus
	// waiting is the number of loans that the entry waits for.
	waiting atomic.Int64
}

// borrow asks the lender to admit one request of an account and reports whether it did. After
// an error the lender may have admitted a request that does not run.
func (l *loans) borrow(lender, account string) (granted bool, err error) {
	defer l.waiting.Add(-1)
	if l.waiting.Add(1) > maxLoans {
		return false, nil
	}
	body, err := proto.Marshal(&Loan{Account: account})
	if err != nil {
		return false, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	reply, err := l.bus.Call(ctx, lender, loanTopic, body)
	if err != nil {
		return false, err
	}
	var grant Grant
	if err := proto.Unmarshal(reply, &grant); err != nil {
		return false, yuccaerror.New(yuccaerror.Protocol, "decode grant of entry %s: %w", lender, err)
	}
	return grant.GetGranted(), nil
}

// borrow asks the lender to admit a request of an account and reports whether it did.
func (x *Exchange) borrow(lender, account string) bool {
	granted, err := x.loans.borrow(lender, account)
	if err != nil {
		x.metrics.countFailedLoan()
		x.refused.Warn().Err(err).Str("account", account).Msg("loan_failed")
	}
	return granted
}

// handleLoan admits a request that arrived at another entry, if this entry would admit it as
// its own. It refuses those of an account without a limit, which the other entry has from
// another config: nobody would count them. It returns an error of kind Protocol when the
// message cannot be decoded.
func (x *Exchange) handleLoan(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Loan
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode loan of entry %s: %w", from, err)
	}
	now := time.Now()
	x.mu.Lock()
	limit, _, _ := x.ledger.Usage(now, m.GetAccount())
	granted := limit.Rate > 0
	if granted {
		_, granted = x.ledger.Take(now, m.GetAccount())
	}
	x.mu.Unlock()
	x.metrics.countLent(granted)
	return proto.Marshal(&Grant{Granted: granted})
}
