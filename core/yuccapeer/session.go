package yuccapeer

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
)

const (
	greetTimeout   = 3 * time.Second
	writeTimeout   = 3 * time.Second
	requestTimeout = 5 * time.Second
	callTimeout    = 2 * time.Second
	// silentIntervals is how many intervals without a frame make a connection
	// silent.
	silentIntervals = 3
	maxSilence      = time.Minute
	queueLength     = 256
	maxRequests     = 64
)

// session is one connection to a peer. Published messages travel on its first
// stream, every call on a stream of its own.
type session struct {
	peer   *Hello
	dialed bool
	addr   string
	mux    *yamux.Session
	stream net.Conn
	reader *bufio.Reader
	out    chan []byte
	used   atomic.Int64
	once   sync.Once
	done   chan struct{}
}

// receiver is what a session hands arriving messages to.
type receiver interface {
	published(f *Frame)
	requested(ctx context.Context, s *session, f *Frame) *Frame
	// interval is how often a session must send something.
	interval() time.Duration
}

func muxSettings() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = requestTimeout
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// dialSession opens a session over a connection that this entry opened.
func dialSession(conn net.Conn, own *Hello) (*session, error) {
	mux, err := yamux.Client(conn, muxSettings())
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	stream, err := mux.Open()
	if err != nil {
		_ = mux.Close()
		return nil, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	return newSession(mux, stream, own, true)
}

// acceptSession opens a session over a connection that a peer opened.
func acceptSession(ctx context.Context, conn net.Conn, own *Hello) (*session, error) {
	mux, err := yamux.Server(conn, muxSettings())
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	stream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close()
		return nil, yuccaerror.New(yuccaerror.Protocol, "no greeting: %w", err)
	}
	return newSession(mux, stream, own, false)
}

func newSession(mux *yamux.Session, stream net.Conn, own *Hello, dialed bool) (*session, error) {
	s := &session{
		dialed: dialed,
		addr:   mux.RemoteAddr().String(),
		mux:    mux,
		stream: stream,
		reader: bufio.NewReader(stream),
		out:    make(chan []byte, queueLength),
		done:   make(chan struct{}),
	}
	_ = stream.SetDeadline(time.Now().Add(greetTimeout))
	var err error
	s.peer, err = greet(stream, s.reader, own)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	s.touch()
	return s, nil
}

func (s *session) touch() { s.used.Store(time.Now().UnixNano()) }

// idle returns how long ago the session was last used for a call.
func (s *session) idle() time.Duration { return time.Since(time.Unix(0, s.used.Load())) }

func (s *session) close() {
	s.once.Do(func() {
		close(s.done)
		_ = s.mux.Close()
	})
}

// run carries messages until the session ends and returns why it did.
func (s *session) run(ctx context.Context, r receiver) error {
	defer s.close()
	var group errgroup.Group
	group.Go(func() error { return s.end(s.send(ctx, r)) })
	group.Go(func() error { return s.end(s.receive(r)) })
	group.Go(func() error { return s.end(s.accept(ctx, r)) })
	return group.Wait()
}

func (s *session) end(err error) error {
	s.close()
	return err
}

// send writes queued messages and, when there are none, signs of life.
func (s *session) send(ctx context.Context, r receiver) error {
	told := time.Duration(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.done:
			return nil
		case <-timer.C:
			told = r.interval()
			timer.Reset(told)
			if err := s.write(encode(&Frame{MaxIntervalMs: uint32(told / time.Millisecond)})); err != nil {
				return err
			}
		case body := <-s.out:
			if told == r.interval() {
				timer.Reset(told)
			}
			if err := s.write(body); err != nil {
				return err
			}
		}
	}
}

func (s *session) write(body []byte) error {
	_ = s.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.stream.Write(body); err != nil {
		return yuccaerror.New(yuccaerror.Broken, "write: %w", err)
	}
	return nil
}

// receive hands on published messages. A peer that is silent for too long ends
// the session.
func (s *session) receive(r receiver) error {
	limit := max(greetTimeout, silentIntervals*r.interval())
	for {
		_ = s.stream.SetReadDeadline(time.Now().Add(limit))
		f, err := readFrame(s.reader)
		if err != nil {
			return err
		}
		if f.MaxIntervalMs > 0 {
			limit = min(maxSilence, silentIntervals*time.Duration(f.MaxIntervalMs)*time.Millisecond)
		}
		if f.Topic != "" {
			r.published(f)
		}
	}
}

// accept answers calls, a bounded number at once.
func (s *session) accept(ctx context.Context, r receiver) error {
	var group errgroup.Group
	group.SetLimit(maxRequests)
	for {
		stream, err := s.mux.Accept()
		if err != nil {
			break
		}
		group.Go(func() error {
			defer stream.Close()
			return s.answer(ctx, r, stream)
		})
	}
	return group.Wait()
}

func (s *session) answer(ctx context.Context, r receiver, stream net.Conn) error {
	_ = stream.SetDeadline(time.Now().Add(requestTimeout))
	f, err := readFrame(bufio.NewReader(stream))
	if yuccaerror.Is(err, yuccaerror.Protocol) {
		return s.end(err)
	}
	if err != nil {
		return nil
	}
	s.touch()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, _ = stream.Write(encode(r.requested(ctx, s, f)))
	return nil
}

// call sends a message and waits for its reply.
func (s *session) call(ctx context.Context, f *Frame) ([]byte, error) {
	s.touch()
	stream, err := s.mux.Open()
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s: %w", s.peer.Name, err)
	}
	defer stream.Close()
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(callTimeout)
	}
	_ = stream.SetDeadline(end)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := stream.Write(encode(f)); err != nil {
		return nil, yuccaerror.New(yuccaerror.Broken, "entry %s: %w", s.peer.Name, err)
	}
	reply, err := readFrame(bufio.NewReader(stream))
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.Broken, "entry %s: %w", s.peer.Name, err)
	}
	return reply.Body, replyError(s.peer.Name, reply.Kind)
}

// replyError turns the kind in a reply back into an error.
func replyError(from, kind string) error {
	if kind == "" {
		return nil
	}
	for _, k := range yuccaerror.Kinds() {
		if k.String() == kind {
			return yuccaerror.New(k, "reply of entry %s", from)
		}
	}
	return yuccaerror.New(yuccaerror.Protocol, "reply of entry %s has the unknown kind %q", from, kind)
}
