package yuccapoison

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// startTimeout is how long a turn is kept for a run that does not start.
const startTimeout = 500 * time.Millisecond

// turn waits a short time for the turn of a dead server's suspects. An arbiter
// that does not answer is replaced by this entry.
func (g *Guard) turn(p Fingerprint, server string) bool {
	to := arbiter(g.opt.Members(), server)
	granted := false
	err := error(nil)
	if to == "" || to == g.opt.Self {
		granted = g.take(context.Background(), p, server)
	} else {
		err = g.callTurn(to, &ProbeRequest{Fingerprint: uint64(p), Server: server})
		granted = err == nil
	}
	if err != nil && !yuccaerror.Is(err, yuccaerror.Shed) {
		granted = g.take(context.Background(), p, server)
	}
	if granted {
		g.hold(p, server)
	}
	return granted
}

// hold keeps a turn until the run that it was taken for has ended. A request
// that found no server never starts.
func (g *Guard) hold(p Fingerprint, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &grant{dead: server}
	g.held[p] = h
	time.AfterFunc(startTimeout, func() { g.leave(p, func(now *grant) bool { return now == h && h.on == "" }) })
}

func (g *Guard) callTurn(to string, m *ProbeRequest) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = g.opt.Bus.Call(ctx, to, turnTopic, body)
	return err
}

// take tries for the turn until turnWait has passed.
func (g *Guard) take(ctx context.Context, p Fingerprint, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, turnWait)
	defer cancel()
	for {
		var ok bool
		g.mu.Lock()
		g.state, ok = g.state.AcquireProbe(p, server, time.Now())
		changed := g.changed
		g.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (g *Guard) onTurn(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m ProbeRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "turn: %w", err)
	}
	p := Fingerprint(m.GetFingerprint())
	if m.GetRelease() {
		g.step(ProbeReleased{p})
		return nil, nil
	}
	if !g.take(ctx, p, m.GetServer()) {
		return nil, yuccaerror.New(yuccaerror.Shed, "the turn is taken")
	}
	return nil, nil
}

// leave gives the turn of a print back if it is the one that is meant.
func (g *Guard) leave(p Fingerprint, meant func(*grant) bool) {
	g.mu.Lock()
	h, ok := g.held[p]
	if !ok || !meant(h) {
		g.mu.Unlock()
		return
	}
	delete(g.held, p)
	g.mu.Unlock()
	server := h.dead
	g.step(ProbeReleased{p})
	if to := arbiter(g.opt.Members(), server); to != "" && to != g.opt.Self {
		if err := g.callTurn(to, &ProbeRequest{Fingerprint: uint64(p), Server: server, Release: true}); err != nil {
			g.opt.Log.Info().Err(err).Str("arbiter", to).Msg("turn_not_given_back")
		}
	}
}
