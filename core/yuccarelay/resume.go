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
	// resumeStall is how long a server that can be replaced may be silent.
	resumeStall = time.Second
	// resumePause is how long to wait before asking for a free slot again.
	resumePause = 50 * time.Millisecond
	// resumeWait bounds the wait for a free slot after a connection broke.
	resumeWait = 2 * time.Second
	// maxResumes is how many times one download is carried on.
	maxResumes = 16
	// rateWindow is the number of bytes over which a server's rate is taken.
	rateWindow = 256 << 10
	// slowFactor is how many times slower than the median a server may be.
	slowFactor = 10
	// slowAfter is how long a server has to be slow.
	slowAfter = 500 * time.Millisecond
)

var errRange = errors.New("answer is not the rest of the same body")

// resume carries a download on from another server.
type resume struct {
	task *task
	tag  string
	// base and last are the first and last offset of the body in the file, whose
	// size is total.
	base, last, total int64
	tries             int
	// bytes came from the present server within the time blocked on it, since
	// the last window.
	bytes   int64
	blocked time.Duration
}

// newResume returns nil when the answer cannot be carried on: that takes a known
// length and a strong ETag.
func newResume(t *task, x *exchange) *resume {
	r := &resume{task: t, tag: string(x.head.Peek(fasthttp.HeaderETag))}
	if t.relay.opt.NoResume || !t.ctx.IsGet() || !strings.HasPrefix(r.tag, `"`) || x.left <= 0 {
		return nil
	}
	switch x.status() {
	case fasthttp.StatusOK:
		r.last, r.total = x.left-1, x.left
	case fasthttp.StatusPartialContent:
		if !r.parse(x) {
			return nil
		}
	default:
		return nil
	}
	x.stall = resumeStall
	return r
}

// parse takes base, last and total from the answer's Content-Range.
func (r *resume) parse(x *exchange) bool {
	text := string(x.head.Peek(fasthttp.HeaderContentRange))
	n, err := fmt.Sscanf(text, "bytes %d-%d/%d", &r.base, &r.last, &r.total)
	return err == nil && n == 3 && r.last-r.base+1 == x.left
}

// slow counts n bytes for which the present server was waited for, and reports
// whether it is so much slower than others that the download is better carried
// on elsewhere.
func (r *resume) slow(n int, waited time.Duration) bool {
	if r == nil {
		return false
	}
	r.bytes += int64(n)
	r.blocked += waited
	if r.bytes < rateWindow && r.blocked < slowAfter {
		return false
	}
	took := time.Duration(float64(r.blocked) * rateWindow / float64(max(r.bytes, 1)))
	long := r.blocked >= slowAfter
	rates := r.task.relay.rates
	median, known := rates.Quantile(r.task.service, 0.5)
	rates.Observe(time.Now(), r.task.service, took)
	r.bytes, r.blocked = 0, 0
	return known && long && took > slowFactor*median && !r.spent()
}

// spent reports whether no further server is asked.
func (r *resume) spent() bool { return r.tries >= maxResumes }

// next returns the rest of the body from another server, after the first count
// bytes; nil when there is none. It waits for a free slot, and asks several
// servers, only when told to.
func (r *resume) next(count int64, waits bool) *exchange {
	if r == nil {
		return nil
	}
	r.bytes, r.blocked = 0, 0
	start := r.base + count
	for !r.spent() && start <= r.last {
		r.tries++
		ticket, ok := r.choose(waits)
		if !ok {
			return nil
		}
		if x := r.from(ticket, start); x != nil {
			return x
		}
		if !waits {
			return nil
		}
	}
	return nil
}

// choose returns another server within the retry budget.
func (r *resume) choose(waits bool) (yuccaadmission.Ticket, bool) {
	t := r.task
	if !t.relay.services.Update(time.Now(), t.service, yuccaretry.Retry) {
		return yuccaadmission.Ticket{}, false
	}
	t.avoid = t.avoid[max(0, len(t.avoid)-1):]
	pause := time.NewTicker(resumePause)
	defer pause.Stop()
	for end := time.Now().Add(resumeWait); !t.expired() && time.Now().Before(end); {
		ticket, err := t.choose()
		switch yuccaerror.KindOf(err) {
		case yuccaerror.None:
			return ticket, true
		case yuccaerror.Shed, yuccaerror.NoServer:
		default:
			return yuccaadmission.Ticket{}, false
		}
		if !waits {
			return yuccaadmission.Ticket{}, false
		}
		select {
		case <-pause.C:
		case <-t.work.Done():
			return yuccaadmission.Ticket{}, false
		}
	}
	return yuccaadmission.Ticket{}, false
}

// from asks one server for the rest of the body.
func (r *resume) from(ticket yuccaadmission.Ticket, start int64) *exchange {
	a := r.task.newAttempt(ticket)
	a.extra = []field{
		{fasthttp.HeaderRange, r.ranges(start)},
		{fasthttp.HeaderIfRange, r.tag},
	}
	if _, ok := a.run().(yuccalifecycle.ResponseStarted); !ok {
		return nil
	}
	return r.accept(a, start)
}

func (r *resume) ranges(start int64) string {
	if r.last == r.total-1 {
		return fmt.Sprintf("bytes=%d-", start)
	}
	return fmt.Sprintf("bytes=%d-%d", start, r.last)
}

// accept checks that the answer is the rest of the same body.
func (r *resume) accept(a *attempt, start int64) *exchange {
	x := a.exchange
	want := fmt.Sprintf("bytes %d-%d/%d", start, r.last, r.total)
	same := x.status() == fasthttp.StatusPartialContent &&
		x.left == r.last-start+1 &&
		string(x.head.Peek(fasthttp.HeaderContentRange)) == want &&
		string(x.head.Peek(fasthttp.HeaderETag)) == r.tag
	if !same {
		x.finish(errRange)
		return nil
	}
	x.stall = resumeStall
	return x
}
