package yuccapeer

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccasleep"
)

const (
	// handshakeTimeout limits the exchange of Hello messages.
	handshakeTimeout = 3 * time.Second
	// writeTimeout limits one write to a stream or connection and the opening
	// of a stream.
	writeTimeout = 3 * time.Second
	// requestTimeout limits the handling of a message from a peer.
	requestTimeout = 5 * time.Second
	// callTimeout limits a call with a context that has no deadline, and the
	// opening of a session for any call.
	callTimeout = 2 * time.Second
	// maxSilentIntervals is how many heartbeat intervals of the peer may pass
	// without a frame before the session is closed.
	maxSilentIntervals = 3
	// maxSilence is the longest time without a frame, whatever interval the
	// peer announced.
	maxSilence = time.Minute
	// sendQueueLength is the capacity of a session's send queue in frames.
	sendQueueLength = 256
	// minWriteGap is the shortest time between two writes to a session. Frames that are
	// queued meanwhile are written together, since a gateway of a large fleet forwards more
	// frames than it can write, and its peers wake up for, one by one.
	minWriteGap = 10 * time.Millisecond
	// maxWriteBytes is the length from which no further frame is added to a write.
	maxWriteBytes = 64 << 10
	// maxConcurrentCalls limits the calls of one peer that are handled at a
	// time.
	maxConcurrentCalls = 64
)

// session is a connection to a peer. Published frames use its first stream,
// each call a stream of its own.
type session struct {
	// peer is the Hello that the other side sent.
	peer *Hello
	// dialed is true when this entry opened the connection.
	dialed bool
	// addr is the remote address of the connection.
	addr string
	// mux multiplexes the streams on the connection.
	mux *yamux.Session
	// stream is the first stream.
	stream net.Conn
	// reader reads from stream.
	reader *bufio.Reader
	// sendQueue holds encoded frames to be written to stream.
	sendQueue chan []byte
	// lastUsed is when the session was opened or last used for a call in either
	// direction, in Unix nanoseconds.
	lastUsed atomic.Int64
	// closeOnce makes close safe to call repeatedly.
	closeOnce sync.Once
	// done is closed when the session is closed.
	done chan struct{}
}

// messageReceiver handles the messages that arrive on a session.
type messageReceiver interface {
	// handlePublished handles a published frame.
	handlePublished(f *Frame)
	// handleRequest handles a call and returns the reply.
	handleRequest(ctx context.Context, s *session, f *Frame) *Frame
	// heartbeatInterval returns how often a session must send something.
	heartbeatInterval() time.Duration
}

// muxConfig returns the settings of yamux. Its keep-alive is off since sessions
// send heartbeats of their own.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = requestTimeout
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// dialSession opens a session on a connection that this entry opened.
func dialSession(conn net.Conn, own *Hello) (*session, error) {
	mux, err := yamux.Client(conn, muxConfig())
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

// acceptSession opens a session on a connection that a peer opened.
func acceptSession(ctx context.Context, conn net.Conn, own *Hello) (*session, error) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close()
		return nil, yuccaerror.New(yuccaerror.Protocol, "peer opened no stream for its hello: %w", err)
	}
	return newSession(mux, stream, own, false)
}

// newSession exchanges Hello messages on the first stream and returns the
// session. It closes mux on an error.
func newSession(mux *yamux.Session, stream net.Conn, own *Hello, dialed bool) (*session, error) {
	s := &session{
		dialed:    dialed,
		addr:      mux.RemoteAddr().String(),
		mux:       mux,
		stream:    stream,
		reader:    bufio.NewReader(stream),
		sendQueue: make(chan []byte, sendQueueLength),
		done:      make(chan struct{}),
	}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	var err error
	s.peer, err = exchangeHello(stream, s.reader, own)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	s.markUsed()
	return s, nil
}

func (s *session) markUsed() { s.lastUsed.Store(time.Now().UnixNano()) }

// idle returns the time since the session was opened or last used for a call in
// either direction.
func (s *session) idle() time.Duration { return time.Since(time.Unix(0, s.lastUsed.Load())) }

func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.mux.Close()
	})
}

// run serves the session until it ends and returns the reason.
func (s *session) run(ctx context.Context, r messageReceiver) error {
	defer s.close()
	var group errgroup.Group
	group.Go(func() error { return s.closeWith(s.sendLoop(ctx, r)) })
	group.Go(func() error { return s.closeWith(s.receiveLoop(r)) })
	group.Go(func() error { return s.closeWith(s.acceptCalls(ctx, r)) })
	return group.Wait()
}

// closeWith closes the session and returns err.
func (s *session) closeWith(err error) error {
	s.close()
	return err
}

// sendLoop writes the frames of the send queue. When none is queued for an
// interval it writes a heartbeat, which announces the interval to the peer.
func (s *session) sendLoop(ctx context.Context, r messageReceiver) error {
	announced := time.Duration(0)
	var written time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.done:
			return nil
		case <-timer.C:
			announced = r.heartbeatInterval()
			timer.Reset(announced)
			if err := s.write(encodeFrame(&Frame{MaxIntervalMs: uint32(announced / time.Millisecond)})); err != nil {
				return err
			}
		case body := <-s.sendQueue:
			if announced == r.heartbeatInterval() {
				timer.Reset(announced)
			}
			yuccasleep.For(ctx, minWriteGap-time.Since(written))
			if err := s.write(s.withQueued(body)); err != nil {
				return err
			}
			written = time.Now()
		}
	}
}

// withQueued returns an encoded frame with those that are queued behind it.
func (s *session) withQueued(body []byte) []byte {
	// The other sessions send the same slice.
	frames := slices.Clip(body)
	for len(frames) < maxWriteBytes {
		select {
		case next := <-s.sendQueue:
			frames = append(frames, next...)
		default:
			return frames
		}
	}
	return frames
}

// write writes encoded frames to the first stream.
func (s *session) write(body []byte) error {
	_ = s.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.stream.Write(body); err != nil {
		return yuccaerror.New(yuccaerror.ConnectionLost, "write frame: %w", err)
	}
	return nil
}

// receiveLoop passes published frames to r. It ends with an error when the peer
// is silent for too long.
func (s *session) receiveLoop(r messageReceiver) error {
	limit := max(handshakeTimeout, maxSilentIntervals*r.heartbeatInterval())
	for {
		_ = s.stream.SetReadDeadline(time.Now().Add(limit))
		f, err := readFrame(s.reader)
		if err != nil {
			return err
		}
		if f.MaxIntervalMs > 0 {
			limit = min(maxSilence, maxSilentIntervals*time.Duration(f.MaxIntervalMs)*time.Millisecond)
		}
		if f.Topic != "" {
			r.handlePublished(f)
		}
	}
}

// acceptCalls handles calls, at most maxConcurrentCalls at a time, until the
// connection fails or is closed.
func (s *session) acceptCalls(ctx context.Context, r messageReceiver) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for {
		stream, err := s.mux.Accept()
		if err != nil {
			break
		}
		group.Go(func() error {
			defer stream.Close()
			return s.handleCall(ctx, r, stream)
		})
	}
	return group.Wait()
}

// handleCall reads one call, handles it and writes the reply. A violation of
// the protocol closes the session.
func (s *session) handleCall(ctx context.Context, r messageReceiver, stream net.Conn) error {
	_ = stream.SetDeadline(time.Now().Add(requestTimeout))
	f, err := readFrame(bufio.NewReader(stream))
	if yuccaerror.Is(err, yuccaerror.Protocol) {
		return s.closeWith(err)
	}
	if err != nil {
		return nil
	}
	s.markUsed()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, _ = stream.Write(encodeFrame(r.handleRequest(ctx, s, f)))
	return nil
}

// call sends a message on a new stream and waits for its reply. See Bus.Call
// for the errors.
func (s *session) call(ctx context.Context, f *Frame) ([]byte, error) {
	s.markUsed()
	stream, err := s.mux.Open()
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "open stream to entry %s: %w", s.peer.Name, err)
	}
	defer stream.Close()
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(callTimeout)
	}
	_ = stream.SetDeadline(end)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := stream.Write(encodeFrame(f)); err != nil {
		return nil, yuccaerror.New(yuccaerror.ConnectionLost, "send message to entry %s: %w", s.peer.Name, err)
	}
	reply, err := readFrame(bufio.NewReader(stream))
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.ConnectionLost, "read reply of entry %s: %w", s.peer.Name, err)
	}
	return reply.Body, replyError(s.peer.Name, reply.Kind)
}

// replyError returns an error of the kind that a reply names, nil for "".
func replyError(from, kind string) error {
	if kind == "" {
		return nil
	}
	for _, k := range yuccaerror.Kinds() {
		if k.String() == kind {
			return yuccaerror.New(k, "entry %s replied with an error", from)
		}
	}
	return yuccaerror.New(yuccaerror.Protocol, "entry %s replied with the unknown error kind %q", from, kind)
}
