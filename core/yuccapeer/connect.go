package yuccapeer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccastore"
)

const (
	// connectInterval is how often the sessions are compared with the mesh.
	connectInterval = 200 * time.Millisecond
	// dialTimeout limits the TCP connect of one dial.
	dialTimeout = 2 * time.Second
	// passiveDialDelay is how long the entry with the higher name waits for the
	// other one to open the session before it dials itself.
	passiveDialDelay = 500 * time.Millisecond
	// lostAfterFailures is how many dials in a row must fail before a peer
	// counts as lost. A lost peer is not chosen as a gateway.
	lostAfterFailures = 2
	// baseBackoff is the base delay of the exponential backoff, before jitter.
	// Every failed dial in a row doubles the delay.
	baseBackoff = 200 * time.Millisecond
	// maxBackoff is the longest delay between two dials.
	maxBackoff = 10 * time.Second
	// failureTTL is how long the failed dials of a peer outside the mesh are
	// remembered, so that a lost peer does not return to the mesh at once.
	failureTTL = 5 * time.Second
	// idleTimeout is how long a session outside the mesh is kept without a
	// call.
	idleTimeout = time.Minute
)

// target is the state of the dials to one peer or seed address.
type target struct {
	// since is when the entry first wanted a session to the peer.
	since time.Time
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
	// failures is how many dials in a row have failed.
	failures int
	// dialing is closed when the current dial ends; nil when none is in
	// progress.
	dialing chan struct{}
}

// backoff returns the delay after a number of failed dials. The jitter from 0
// to 1 selects a delay between half and all of the exponential value.
func backoff(failures int, jitter float64) time.Duration {
	delay := min(maxBackoff, baseBackoff<<min(failures, 16))
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// due reports whether to dial now. The entry with the lower name dials first,
// so that a pair rarely opens two sessions.
func (t *target) due(now time.Time, lower bool) bool {
	return t.dialing == nil && now.After(t.nextDial) && (lower || now.Sub(t.since) > passiveDialDelay)
}

// failuresExpired reports whether the failures of a peer outside the mesh are
// old enough to be forgotten.
func (t *target) failuresExpired(now time.Time) bool {
	return t.dialing == nil && now.Sub(t.nextDial) > failureTTL
}

// maintainSessions dials the peers of the mesh and closes idle sessions until
// the bus stops.
func (p *Peers) maintainSessions() error {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		p.dialDue(time.Now())
		p.closeIdle()
		select {
		case <-ticker.C:
		case <-p.meshChanged:
		case <-p.ctx.Done():
			return nil
		}
	}
}

// updateMesh drops the state of unknown origins and recalculates the mesh.
func (p *Peers) updateMesh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.settings.Name: true}
	for _, e := range p.entries {
		known[e.Name] = true
	}
	for name := range p.sessions {
		known[name] = true
	}
	p.duplicates.retain(known)
	p.rebuildMesh()
}

// rebuildMesh chooses the peers to keep sessions with and triggers dials. The
// caller holds mu.
func (p *Peers) rebuildMesh() {
	p.mesh = newMesh(p.settings.Name, p.settings.Domain, p.members(), p.mayBeAlive)
	select {
	case p.meshChanged <- struct{}{}:
	default:
	}
}

// members returns the entries that take part in the bus: the known ones that have a peer
// address, and those that have opened a session before the list named them. The latter
// come without an address. The caller holds mu.
func (p *Peers) members() []yuccastore.Instance {
	var all []yuccastore.Instance
	known := map[string]bool{}
	for _, e := range p.entries {
		known[e.Name] = true
		if e.Peer != "" {
			all = append(all, e)
		}
	}
	for name, s := range p.sessions {
		if !known[name] {
			all = append(all, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Domain: s.peer.Domain})
		}
	}
	return all
}

// mayBeAlive reports whether a peer is connected or has not failed often enough
// to count as lost. The caller holds mu.
func (p *Peers) mayBeAlive(name string) bool {
	_, connected := p.sessions[name]
	t, tried := p.targets[name]
	return connected || !tried || t.failures < lostAfterFailures
}

// dialDue dials the peers of the mesh that are due, and the seeds while there
// is no session. It forgets the expired failures of all others.
func (p *Peers) dialDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]string{}
	for _, group := range []map[string]string{p.mesh.domainPeers, p.mesh.gatewayPeers} {
		for name, addr := range group {
			if addr != "" {
				wanted[name] = addr
			}
		}
	}
	if len(p.sessions) == 0 {
		for _, addr := range p.settings.Seeds {
			wanted[addr] = addr
		}
	}
	changed := false
	for name := range p.targets {
		if _, ok := wanted[name]; !ok && p.targets[name].failuresExpired(now) {
			delete(p.targets, name)
			changed = true
		}
	}
	for name, addr := range wanted {
		if _, connected := p.sessions[name]; connected {
			delete(p.targets, name)
			continue
		}
		if t := p.target(name, now); t.due(now, p.settings.Name < name) {
			p.startDial(name, addr, t)
		}
	}
	if changed {
		p.rebuildMesh()
	}
}

// target returns the dial state of a peer, a new one if there is none. The
// caller holds mu.
func (p *Peers) target(name string, now time.Time) *target {
	t, ok := p.targets[name]
	if !ok {
		t = &target{since: now}
		p.targets[name] = t
	}
	return t
}

// startDial dials a peer in the background unless a dial is in progress. The
// caller holds mu.
func (p *Peers) startDial(name, addr string, t *target) {
	if t.dialing != nil || p.ctx.Err() != nil {
		return
	}
	t.dialing = make(chan struct{})
	p.group.Go(func() error { return p.dialTarget(name, addr, t) })
}

// dialTarget dials a peer once and serves the resulting session until it ends.
// Only the first of several failures in a row is logged.
func (p *Peers) dialTarget(name, addr string, t *target) error {
	s, err := p.dial(p.ctx, addr)
	registered := err == nil && p.addSession(s)
	failures := p.finishDial(t, err)
	if failures == lostAfterFailures {
		p.updateMesh()
	}
	switch {
	case failures == 1 && p.ctx.Err() == nil:
		p.log.Warn().Err(err).Str("peer", name).Str("addr", addr).Msg("peer_unreachable")
	case registered:
		p.runSession(s)
	case err == nil:
		s.close()
	}
	return nil
}

// finishDial records the end of a dial and returns how many have failed in a
// row.
func (p *Peers) finishDial(t *target, err error) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(t.dialing)
	t.dialing = nil
	t.failures++
	if err == nil {
		t.failures = 0
	}
	t.nextDial = time.Now().Add(backoff(t.failures, rand.Float64()))
	return t.failures
}

// dial opens a session to the peer at an address.
func (p *Peers) dial(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	return dialSession(countedConn{conn, &p.traffic}, p.hello())
}

// hello returns this entry's Hello.
func (p *Peers) hello() *Hello {
	return &Hello{Lowest: lowestVersion, Highest: highestVersion, Name: p.settings.Name, Domain: p.settings.Domain, Incarnation: p.settings.Incarnation}
}

// listen accepts connections, at most maxSessions at a time, until the bus
// stops.
func (p *Peers) listen() error {
	slots := make(chan struct{}, maxSessions)
	for {
		conn, err := p.listener.Accept()
		if p.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			yuccasleep.For(p.ctx, baseBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		p.group.Go(func() error {
			defer func() { <-slots }()
			p.acceptPeer(conn)
			return nil
		})
	}
}

// acceptPeer opens a session on an accepted connection and serves it until it
// ends.
func (p *Peers) acceptPeer(conn net.Conn) {
	s, err := acceptSession(p.ctx, countedConn{conn, &p.traffic}, p.hello())
	if err != nil {
		if p.ctx.Err() == nil {
			p.log.Warn().Err(err).Str("addr", conn.RemoteAddr().String()).Msg("peer_dropped")
		}
		return
	}
	if !p.addSession(s) {
		s.close()
		return
	}
	p.runSession(s)
}

// runSession serves a registered session until it ends and logs the reason.
func (p *Peers) runSession(s *session) {
	p.log.Info().Str("peer", s.peer.Name).Msg("peer_connected")
	err := s.run(p.ctx, p)
	p.removeSession(s)
	if p.ctx.Err() != nil {
		return
	}
	event := p.log.Info()
	name := "peer_lost"
	if yuccaerror.Is(err, yuccaerror.Protocol) {
		event, name = p.log.Warn(), "peer_dropped"
	}
	event.AnErr("error", err).Str("peer", s.peer.Name).Msg(name)
	p.updateMesh()
}

// addSession registers s as the session to its peer and reports whether it did. It
// closes an older session that s replaces, and keeps one that s does not replace.
func (p *Peers) addSession(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.sessions[s.peer.Name]
	if p.ctx.Err() != nil || ok && !replaces(p.settings.Name, s, old) {
		return false
	}
	if ok {
		old.close()
	}
	p.sessions[s.peer.Name] = s
	if p.addr(s.peer.Name) == "" {
		p.rebuildMesh()
	}
	return true
}

// replaces reports whether a new session takes the place of an old one. Both
// ends come to the same decision: first the peer's higher incarnation wins,
// then the session that was dialed by the entry with the lower name, then the
// newer one.
func replaces(self string, s, old *session) bool {
	if s.peer.Incarnation != old.peer.Incarnation {
		return s.peer.Incarnation > old.peer.Incarnation
	}
	return s.dialed == old.dialed || s.dialed == (self < s.peer.Name)
}

// removeSession unregisters s unless another session has replaced it.
func (p *Peers) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[s.peer.Name] == s {
		delete(p.sessions, s.peer.Name)
	}
}

// closeIdle closes the sessions that this entry dialed for calls and that have
// been idle for idleTimeout. With configured seeds it closes none.
func (p *Peers) closeIdle() {
	for _, s := range p.allSessions() {
		p.mu.Lock()
		_, inMesh := p.mesh.addr(s.peer.Name)
		p.mu.Unlock()
		if s.dialed && !inMesh && len(p.settings.Seeds) == 0 && s.idle() > idleTimeout {
			s.close()
		}
	}
}

// sessionTo returns the session to a peer and opens one if there is none. The
// error is of kind Unreachable.
func (p *Peers) sessionTo(ctx context.Context, name string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.mu.Lock()
	s, addr := p.sessions[name], p.addr(name)
	if s != nil || addr == "" {
		p.mu.Unlock()
		if s == nil {
			return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s is not in the list of entries or has no peer address", name)
		}
		return s, nil
	}
	t := p.target(name, time.Now())
	p.startDial(name, addr, t)
	dialing := t.dialing
	p.mu.Unlock()
	if dialing == nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "the peer bus has stopped")
	}
	select {
	case <-dialing:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[name]; s != nil {
		return s, nil
	}
	return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s: no session could be opened", name)
}

// addr returns the address of a peer, "" if the peer is not known. The caller
// holds mu.
func (p *Peers) addr(name string) string {
	for _, e := range p.entries {
		if e.Name == name {
			return e.Peer
		}
	}
	return ""
}
