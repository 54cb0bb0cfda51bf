package yuccarelay

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalifecycle"
	"yuccawell.example/core/yuccaretry"
)

const (
	// resumeStallTimeout bounds the wait for the next byte of a download that
	// can continue from another server.
	resumeStallTimeout = time.Second
	// resumeHeaderTimeout bounds the wait for the response to a range request.
	resumeHeaderTimeout = 5 * time.Second
	// resumeHeaderFactor is the ratio of that bound to the 99th percentile of the service's
	// latency, if that makes it longer.
	resumeHeaderFactor = 2
	// resumePickInterval is the interval at which a free slot is requested.
	resumePickInterval = 50 * time.Millisecond
	// resumePickTimeout bounds the wait for a free slot after a connection
	// broke.
	resumePickTimeout = 2 * time.Second
	// maxResumes is the number of servers that may be asked to continue one download, and
	// of the times that one may be given up as too slow.
	maxResumes = 16
	// rateWindowBytes is the number of body bytes over which a server's rate is
	// measured.
	rateWindowBytes = 256 << 10
	// slowFactor is the ratio to the median time per window above which a
	// server is too slow.
	slowFactor = 10
	// minSlowTime is the time spent waiting for a server before it can count as
	// too slow.
	minSlowTime = 500 * time.Millisecond
)

var errRange = errors.New("response to the range request is not the rest of the same body")

// resumer continues a download from another server, with a range request for
// the rest of the body.
type resumer struct {
	task *task
	// etag is the entity tag of the first response.
	etag string
	// first is the offset in the file of the first byte of the body.
	first int64
	// last is the offset in the file of the last byte of the body.
	last int64
	// total is the size of the file in bytes.
	total int64
	// resumes counts the servers that were asked to continue the body.
	resumes int
	// slowTimes counts how often a server was too slow.
	slowTimes int
	// windowBytes counts the body bytes since the start of the rate window.
	windowBytes int64
	// windowWait is the time spent waiting for the server since the start of
	// the rate window.
	windowWait time.Duration
}

// newResumer returns nil if the download cannot be resumed. Resuming needs a GET
// request, a body of known length and a strong ETag.
func newResumer(t *task, x *exchange) *resumer {
	r := &resumer{task: t, etag: string(x.head.Peek(fasthttp.HeaderETag))}
	if t.relay.opt.NoResume || !t.ctx.IsGet() || !strings.HasPrefix(r.etag, `"`) || x.bodyLeft <= 0 {
		return nil
	}
	switch x.status() {
	case fasthttp.StatusOK:
		r.last, r.total = x.bodyLeft-1, x.bodyLeft
	case fasthttp.StatusPartialContent:
		if !r.parseContentRange(x) {
			return nil
		}
	default:
		return nil
	}
	x.readTimeout = resumeStallTimeout
	return r
}

// parseContentRange sets first, last and total from Content-Range and reports
// whether they match the length of the body.
func (r *resumer) parseContentRange(x *exchange) bool {
	text := string(x.head.Peek(fasthttp.HeaderContentRange))
	n, err := fmt.Sscanf(text, "bytes %d-%d/%d", &r.first, &r.last, &r.total)
	return err == nil && n == 3 && r.last-r.first+1 == x.bodyLeft
}

// isTooSlow records a read of n bytes and the time spent waiting for it. It
// reports whether the server is so much slower than the median that another
// server should continue the download.
func (r *resumer) isTooSlow(n int, waited time.Duration) bool {
	if r == nil {
		return false
	}
	r.windowBytes += int64(n)
	r.windowWait += waited
	if r.windowBytes < rateWindowBytes && r.windowWait < minSlowTime {
		return false
	}
	took := time.Duration(float64(r.windowWait) * rateWindowBytes / float64(max(r.windowBytes, 1)))
	waitedLong := r.windowWait >= minSlowTime
	times := r.task.relay.downloadTimes
	median, known := times.Quantile(r.task.service, 0.5)
	times.Observe(time.Now(), r.task.service, took)
	r.windowBytes, r.windowWait = 0, 0
	if !known || !waitedLong || took <= slowFactor*median || r.exhausted() || r.slowTimes >= maxResumes {
		return false
	}
	r.slowTimes++
	return true
}

// exhausted reports whether the download has been resumed as often as allowed.
func (r *resumer) exhausted() bool { return r.resumes >= maxResumes }

// switchServer returns an exchange with another server that sends the body from
// byte count on, nil if there is none. Only with waitForSlot does it wait for a
// free slot and try several servers.
func (r *resumer) switchServer(count int64, waitForSlot bool) *exchange {
	if r == nil {
		return nil
	}
	r.windowBytes, r.windowWait = 0, 0
	start := r.first + count
	for !r.exhausted() && start <= r.last {
		ticket, ok := r.pickServer(waitForSlot)
		if !ok {
			return nil
		}
		r.resumes++
		if x := r.requestRest(ticket, start); x != nil {
			return x
		}
		if !waitForSlot {
			return nil
		}
	}
	return nil
}

// pickServer picks another server within the retry budget, of which it uses nothing if
// there is none.
func (r *resumer) pickServer(waitForSlot bool) (yuccaadmission.Ticket, bool) {
	t := r.task
	if !t.relay.retries.Update(time.Now(), t.service, yuccaretry.Retry) {
		return yuccaadmission.Ticket{}, false
	}
	ticket, ok := r.awaitServer(waitForSlot)
	if !ok {
		t.relay.retries.Update(time.Now(), t.service, yuccaretry.Unused)
	}
	return ticket, ok
}

// awaitServer asks for another server, repeatedly if waitForSlot is set. That sends
// nothing to a server, so that it does not count as rejected attempts.
func (r *resumer) awaitServer(waitForSlot bool) (yuccaadmission.Ticket, bool) {
	t := r.task
	t.avoidServers = t.avoidServers[max(0, len(t.avoidServers)-1):]
	ticker := time.NewTicker(resumePickInterval)
	defer ticker.Stop()
	for end := time.Now().Add(resumePickTimeout); !t.expired() && time.Now().Before(end); {
		ticket, err := t.tryPick()
		switch yuccaerror.KindOf(err) {
		case yuccaerror.None:
			return ticket, true
		case yuccaerror.Shed, yuccaerror.NoServer:
		default:
			return yuccaadmission.Ticket{}, false
		}
		if !waitForSlot {
			return yuccaadmission.Ticket{}, false
		}
		select {
		case <-ticker.C:
		case <-t.workCtx.Done():
			return yuccaadmission.Ticket{}, false
		}
	}
	return yuccaadmission.Ticket{}, false
}

// requestRest requests the file from offset start on from one server. It
// returns nil if that fails.
func (r *resumer) requestRest(ticket yuccaadmission.Ticket, start int64) *exchange {
	a := r.task.newAttempt(ticket)
	a.extraHeader = []headerField{
		{fasthttp.HeaderRange, r.rangeValue(start)},
		{fasthttp.HeaderIfRange, r.etag},
	}
	a.headerTimeout = r.headerTimeout()
	if _, ok := a.run().(yuccalifecycle.ResponseStarted); !ok {
		return nil
	}
	return r.checkRest(a, start)
}

// headerTimeout returns how long a server may take to respond to the range request. The
// caller gets no byte meanwhile, and another server may be free.
func (r *resumer) headerTimeout() time.Duration {
	usual, _ := r.task.relay.retries.Quantile(r.task.service, hedgeQuantile)
	return min(stallTimeout, max(resumeHeaderTimeout, resumeHeaderFactor*usual))
}

// rangeValue returns the value of the Range header from offset start on.
func (r *resumer) rangeValue(start int64) string {
	if r.last == r.total-1 {
		return fmt.Sprintf("bytes=%d-", start)
	}
	return fmt.Sprintf("bytes=%d-%d", start, r.last)
}

// checkRest returns the exchange of the attempt if its response is the rest of
// the same body, else nil.
func (r *resumer) checkRest(a *attempt, start int64) *exchange {
	x := a.exchange
	want := fmt.Sprintf("bytes %d-%d/%d", start, r.last, r.total)
	same := x.status() == fasthttp.StatusPartialContent &&
		x.bodyLeft == r.last-start+1 &&
		string(x.head.Peek(fasthttp.HeaderContentRange)) == want &&
		string(x.head.Peek(fasthttp.HeaderETag)) == r.etag
	if !same {
		x.finish(errRange)
		return nil
	}
	x.readTimeout = resumeStallTimeout
	return x
}
