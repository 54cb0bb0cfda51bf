package yuccapoison

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// startTimeout is how long a probe is held for an attempt that has not
// started.
const startTimeout = 500 * time.Millisecond

// acquireProbe waits up to probeWait for the probe of a dead server and
// reports whether it was acquired. If the arbiter does not answer, this
// entry grants the probe itself.
func (g *Guard) acquireProbe(p Fingerprint, server string) bool {
	to := arbiter(g.opt.Members(), server)
	granted := false
	err := error(nil)
	if to == "" || to == g.opt.Self {
		granted = g.acquireLocally(context.Background(), p, server)
	} else {
		err = g.callArbiter(to, &ProbeRequest{Fingerprint: uint64(p), Server: server})
		granted = err == nil
	}
	if err != nil && !yuccaerror.Is(err, yuccaerror.Shed) {
		granted = g.acquireLocally(context.Background(), p, server)
	}
	if granted {
		g.holdProbe(p, server)
	}
	return granted
}

// holdProbe records an acquired probe until the attempt that it was acquired
// for has ended. The probe is released after startTimeout if no attempt has
// started, as when there is no server for the request.
func (g *Guard) holdProbe(p Fingerprint, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &heldProbe{deadServer: server}
	g.probes[p] = h
	time.AfterFunc(startTimeout, func() { g.releaseProbe(p, func(now *heldProbe) bool { return now == h && h.runningOn == "" }) })
}

// callArbiter sends a probe request to the arbiter.
func (g *Guard) callArbiter(to string, m *ProbeRequest) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = g.opt.Bus.Call(ctx, to, probeTopic, body)
	return err
}

// acquireLocally tries for up to probeWait to acquire the probe from this
// entry's own state.
func (g *Guard) acquireLocally(ctx context.Context, p Fingerprint, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
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

// onProbeRequest handles a probe request of another entry.
func (g *Guard) onProbeRequest(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m ProbeRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode probe request: %w", err)
	}
	p := Fingerprint(m.GetFingerprint())
	if m.GetRelease() {
		g.apply(ProbeReleased{p})
		return nil, nil
	}
	if !g.acquireLocally(ctx, p, m.GetServer()) {
		return nil, yuccaerror.New(yuccaerror.Shed, "another request holds the probe")
	}
	return nil, nil
}

// releaseProbe releases the probe that a fingerprint holds if matches
// accepts it, here and at the arbiter.
func (g *Guard) releaseProbe(p Fingerprint, matches func(*heldProbe) bool) {
	g.mu.Lock()
	h, ok := g.probes[p]
	if !ok || !matches(h) {
		g.mu.Unlock()
		return
	}
	delete(g.probes, p)
	g.mu.Unlock()
	server := h.deadServer
	g.apply(ProbeReleased{p})
	if to := arbiter(g.opt.Members(), server); to != "" && to != g.opt.Self {
		if err := g.callArbiter(to, &ProbeRequest{Fingerprint: uint64(p), Server: server, Release: true}); err != nil {
			g.opt.Log.Info().Err(err).Str("arbiter", to).Msg("turn_not_given_back")
		}
	}
}
