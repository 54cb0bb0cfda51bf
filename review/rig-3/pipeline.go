package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pipelineClients is the number of clients that keep a connection.
	pipelineClients = 35
	// maxOutstanding is how many requests a client sends before it has their answers.
	maxOutstanding = 3
	// pauseBetweenSends is the mean pause of a client between two requests.
	pauseBetweenSends = 80 * time.Millisecond
	// connLife is how long a client uses a connection.
	connLife = 6 * time.Second
	// pipelineTimeout is the time limit of the clients that pipeline.
	pipelineTimeout = 5 * time.Second
	// receiveBuffer is the receive buffer of a client in bytes, and readRate how many bytes a
	// second it reads: those of a client behind a link of 8 Mbit/s.
	receiveBuffer, readRate = 8 << 10, 1 << 20
	// readChunk is how many bytes a client reads at a time.
	readChunk = 4 << 10
	// ranDelay is how long a request that was passed on may take to reach its server.
	ranDelay = 300 * time.Millisecond
	// pipelineGap is the pause after the restart of a machine.
	pipelineGap = 2 * time.Second
)

// sizeOf returns the size of the answer for a path. Sizes stand at its end.
func (r *rig) sizeOf(path string) int {
	_, text, _ := strings.Cut(path, "/size/")
	size, _ := strconv.Atoi(text)
	return size
}

// sizes are the sizes of the answers to the idempotent requests of clients that pipeline, and
// orderSizes those of the answers to their orders, which are not idempotent.
var (
	sizes      = []int{5_000, 15_000, 30_000}
	orderSizes = []int{5_000, 30_000}
)

// orderShare is one in how many requests is an order. Nothing is sent before it on the
// connection that has not been answered, and idempotent requests are sent behind it.
const orderShare = 4

// playPipeline lets clients send idempotent requests before they have the answers to earlier
// ones. The trouble is that all machines are stopped and started in turn.
func playPipeline(r *rig, trouble, _ bool) {
	for i := range pipelineClients {
		r.group.Go(func() {
			for r.sleep(time.Duration(rand.IntN(200)) * time.Millisecond) {
				r.pipeline(r.entries[i%len(r.entries)])
			}
		})
	}
	r.sleep(5 * time.Second)
	for _, e := range r.entries {
		if trouble {
			e.stop()
			if err := e.start(); err != nil {
				r.record("machine %s does not start: %v", e.name, err)
			}
		}
		r.sleep(pipelineGap)
	}
	r.sleep(2 * time.Second)
}

// sent is a request that a client has sent on its connection.
type sent struct {
	id    string
	size  int
	order bool
}

// head returns the request as it is sent.
func (q sent) head(host string) string {
	line, length := "GET /records", ""
	if q.order {
		line, length = "POST /orders", "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s/size/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", line, q.size, host,
		field("Attempt-Id"), q.id, field("Time-Remaining"), pipelineTimeout.Milliseconds(), length)
}

func (q sent) String() string {
	if q.order {
		return "order " + q.id
	}
	return "request " + q.id
}

// pipeline uses one connection to an entry.
func (r *rig) pipeline(e *entry) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := dialer.Dial("tcp", e.at(frontPort))
	if err != nil {
		return
	}
	defer c.Close()
	outstanding := make(chan struct{}, maxOutstanding)
	queue := make(chan sent, 1<<16)
	closing := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(queue)
		r.sendUntil(c, outstanding, queue, closing)
	})
	answers := bufio.NewReaderSize(&slowReader{c}, readChunk)
	var unanswered []sent
	var cause error
	for q := range queue {
		if cause != nil {
			unanswered = append(unanswered, q)
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(pipelineTimeout))
		last, err := r.readAnswer(answers, q)
		switch {
		case err != nil:
			cause, unanswered = err, append(unanswered, q)
			close(closing)
		case last:
			cause = errClosingAnswer
			close(closing)
		default:
			<-outstanding
		}
	}
	writer.Wait()
	r.checkUnanswered(e, unanswered, cause)
}

// errClosingAnswer is the cause of requests that were sent behind an answer that closes the
// connection.
var errClosingAnswer = errors.New("an answer before it closes the connection")

// sendUntil sends requests until the connection is closing or has been used for long enough.
func (r *rig) sendUntil(c net.Conn, outstanding chan struct{}, queue chan<- sent, closing <-chan struct{}) {
	take := func(n int) bool {
		for range n {
			select {
			case outstanding <- struct{}{}:
			case <-closing:
				return false
			case <-r.done:
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(connLife); time.Now().Before(end); {
		q := sent{id: strconv.FormatUint(rand.Uint64(), 16), order: rand.IntN(orderShare) == 0}
		places := 1
		q.size = sizes[rand.IntN(len(sizes))]
		if q.order {
			places, q.size = maxOutstanding, orderSizes[rand.IntN(len(orderSizes))]
		}
		if !take(places) {
			return
		}
		_, err := io.WriteString(c, q.head(r.host))
		queue <- q
		if err != nil {
			return
		}
		for range places - 1 {
			<-outstanding
		}
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(pauseBetweenSends))):
		case <-closing:
			return
		}
	}
}

// readAnswer reads the answer to a request and reports whether it closes the connection.
func (r *rig) readAnswer(answers *bufio.Reader, q sent) (last bool, err error) {
	resp, err := http.ReadResponse(answers, &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, fmt.Errorf("after %d of %d bytes: %w", len(body), q.size, err)
	}
	if resp.StatusCode == http.StatusOK && !bytes.Equal(body, answerTo(q.id, q.size)) {
		return false, errors.New("the answer belongs to another request")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[resp.StatusCode]++
	return resp.Close, nil
}

// checkUnanswered records the requests of a connection that a server ran although they got no
// complete answer. Those that no server ran were not passed on.
func (r *rig) checkUnanswered(e *entry, unanswered []sent, cause error) {
	select {
	case <-r.done:
		// The case is over.
		return
	default:
	}
	time.Sleep(ranDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range unanswered {
		if server, ok := r.ranBy[q.id]; ok {
			r.lost++
			if q.order {
				r.lostOrders++
			}
			r.line("%v of %s ran on server %s and got no complete answer: %v", q, e.name, server, cause)
		}
	}
}

// slowReader reads from a connection at readRate.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p[:min(len(p), readChunk)])
	time.Sleep(time.Duration(float64(n) / readRate * float64(time.Second)))
	return n, err
}
