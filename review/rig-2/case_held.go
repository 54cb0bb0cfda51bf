package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bookWork, ledgerWork and slowFactor are the work of a booking and of a ledger that is
	// warm at its server, and how much slower the slow servers are.
	bookWork   = 213 * time.Millisecond
	ledgerWork = 420 * time.Millisecond
	slowFactor = 12
	// slowShare is the number of the 12 ledger servers that turn slow.
	slowServers = 4
	// bookTimeout and ledgerTimeout are the timeouts of the routes, and bookLimit and
	// ledgerLimit the time limits of the clients.
	bookTimeout   = 1200 * time.Millisecond
	ledgerTimeout = 2500 * time.Millisecond
	bookLimit     = 4 * time.Second
	ledgerLimit   = 8 * time.Second
	// answerSlack is how much later than the timeout an answer may come.
	answerSlack = 500 * time.Millisecond
	// minLate is the least number of late answers that breaks the rule.
	minLate = 8
	// clerks is the number of clients, and clerkPause the pause of each between two
	// bookings.
	clerks     = 24
	clerkPause = 600 * time.Millisecond
)

// The times of the script.
const (
	heldLength = 40 * time.Second
	slowFrom   = 10 * time.Second
	slowFor    = 9 * time.Second
)

// exchange is a request of a clerk with what became of it.
type exchange struct {
	request
	timeout time.Duration
	sentAt  time.Time
	// answeredAt is zero if there was no answer within the client's time limit.
	answeredAt time.Time
	result     result
}

// caseHeld lets clients send a booking and two ledger requests at once, as
// clients do that send further idempotent requests before the first answer. The rule is
// broken if more than half of the requests without an answer at their route's timeout have
// none half a second later.
func caseHeld(w *world, trouble bool) error {
	slowUntil := &gate{}
	ledger := func(slow bool) func(run) answer {
		return func(r run) answer {
			d := ledgerWork
			if slow && slowUntil.open() {
				d *= slowFactor
			}
			sleepUnlessGone(r, d)
			return whole(400)
		}
	}
	book := func(r run) answer {
		sleepUnlessGone(r, bookWork)
		w.rec.add("backend %s has the answer to %s", r.server, r.id)
		return whole(1500)
	}
	for i := range 12 {
		if _, err := w.addBackend(fmt.Sprint("l-", i), "sortledger", zoneOf(i), 4, ledger(i < slowServers)); err != nil {
			return err
		}
		if _, err := w.addBackend(fmt.Sprint("b-", i), "bookcounter", zoneOf(i), 4, book); err != nil {
			return err
		}
	}
	w.configure(3,
		route{"r-1", "/book/", "non_idempotent", "bookcounter", int(bookTimeout.Milliseconds()), 2, true, nil},
		route{"r-2", "/ledger/", "idempotent", "sortledger", int(ledgerTimeout.Milliseconds()), 2, true, nil})
	if err := w.addEntries(2); err != nil {
		return err
	}
	if trouble {
		background.Go(func() {
			time.Sleep(slowFrom)
			w.rec.add("%d of 12 ledger servers work %d times as long", slowServers, slowFactor)
			slowUntil.set(true)
			time.Sleep(slowFor)
			w.rec.add("the ledger servers work as usual")
			slowUntil.set(false)
		})
	}
	var mu sync.Mutex
	var all []*exchange
	var wg sync.WaitGroup
	end := time.Now().Add(heldLength)
	for k := range clerks {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * clerkPause / clerks)
			for n := 0; time.Now().Before(end); n++ {
				done := bookWithLedgers(w.entries[k%len(w.entries)].front(), k, n)
				mu.Lock()
				all = append(all, done...)
				mu.Unlock()
				time.Sleep(clerkPause)
			}
		})
	}
	wg.Wait()
	return judgeHeld(w, all)
}

// bookWithLedgers sends a booking and two ledger requests on one connection and reads the
// answers.
func bookWithLedgers(front string, clerk, n int) []*exchange {
	c, err := dial(front)
	if err != nil {
		return nil
	}
	defer c.Close()
	id := func(j int) string { return fmt.Sprintf("c%02d-%03d-%d", clerk, n, j) }
	things := func(j int) string {
		return fmt.Sprintf("Cookie: %s=%d\r\n", names["affinity"], (clerk*7+j)%98)
	}
	all := []*exchange{
		{request: request{method: http.MethodPost, path: "/book/bag", id: id(0), body: "bag=" + id(0), limit: bookLimit, extra: things(0)}, timeout: bookTimeout},
		{request: request{method: http.MethodGet, path: "/ledger/day", id: id(1), limit: ledgerLimit, extra: things(1)}, timeout: ledgerTimeout},
		{request: request{method: http.MethodGet, path: "/ledger/week", id: id(2), limit: ledgerLimit, extra: things(2)}, timeout: ledgerTimeout},
	}
	var text strings.Builder
	now := time.Now()
	for _, x := range all {
		x.sentAt = now
		text.WriteString(x.text())
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return all
	}
	for _, x := range all {
		x.result = c.read(x.request, x.sentAt.Add(x.limit))
		if x.result.status == 0 {
			// The client gives the connection up.
			return all
		}
		x.answeredAt = time.Now()
	}
	return all
}

func judgeHeld(w *world, all []*exchange) error {
	var unanswered, late, lateBookings, never int
	for _, x := range all {
		took := "no answer within the time limit"
		if !x.answeredAt.IsZero() {
			took = fmt.Sprintf("after %.3f s: %v", x.answeredAt.Sub(x.sentAt).Seconds(), x.result)
		}
		w.rec.add("%s %s %s: %s", x.id, x.method, x.path, took)
		if !x.answeredAt.IsZero() && x.answeredAt.Sub(x.sentAt) <= x.timeout {
			continue
		}
		unanswered++
		if !x.answeredAt.IsZero() && x.answeredAt.Sub(x.sentAt) <= x.timeout+answerSlack {
			continue
		}
		late++
		if x.method == http.MethodPost {
			lateBookings++
			if x.answeredAt.IsZero() {
				never++
			}
			w.rec.add("LATE: booking %s: %s", x.id, took)
		}
	}
	w.rec.add("%d requests; %d without an answer at their route's timeout, %d of these half a second later, %d of them bookings; %d bookings without an answer within the client's time limit of %v", len(all), unanswered, late, lateBookings, never, bookLimit)
	switch {
	case len(all) < clerks*3:
		return fmt.Errorf("only %d requests were sent", len(all))
	case late >= minLate && 2*late > unanswered && lateBookings >= minLate:
		return fmt.Errorf("%w: CONFIG: %d of %d requests (%d of them bookings) have no answer half a second after their route's timeout, %d bookings have none at all", errBroken, late, unanswered, lateBookings, never)
	}
	return nil
}
