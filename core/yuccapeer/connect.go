package yuccapeer

import (
	"context"
	"net"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccastore"
)

const (
	// connectInterval is how often the sessions are compared with the mesh.
	connectInterval = 200 * time.Millisecond
	// lostAfterFailures is how many dials in a row must fail before a peer
	// counts as lost. A lost peer is not chosen as a gateway.
	lostAfterFailures = 2
	// idleTimeout is how long a session outside the mesh is kept without a
	// call.
	idleTimeout = time.Minute
)

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
	p.mesh = newMesh(p.settings.Name, p.settings.Domain, p.members(), gatewayRule{p.mayBeAlive, p.strong, p.mixed()})
	select {
	case p.meshChanged <- struct{}{}:
	default:
	}
}

// members returns the entries that take part in the bus: the known ones that have a peer
// address, and those that the list does not name but that have opened a session. The
// latter come without an address if they did not give it. The caller holds mu.
func (p *Peers) members() []yuccastore.Instance {
	var all []yuccastore.Instance
	known := map[string]bool{}
	for _, e := range p.entries {
		known[e.Name] = true
		if e.Peer != "" {
			all = append(all, e)
		}
	}
	for name, u := range p.unlisted {
		known[name] = true
		all = append(all, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Domain: u.domain, Peer: u.addr})
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

// mixed reports whether a peer is of a build that does not know strong entries. The caller
// holds mu.
func (p *Peers) mixed() bool {
	for _, s := range p.sessions {
		if s.peer.Highest < strongGatewaysVersion {
			return true
		}
	}
	return false
}

// hello returns this entry's Hello.
func (p *Peers) hello() *Hello {
	return &Hello{
		Lowest:      lowestVersion,
		Highest:     highestVersion,
		Name:        p.settings.Name,
		Domain:      p.settings.Domain,
		Incarnation: p.settings.Incarnation,
		Addr:        p.ownAddr(),
	}
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
	listed := p.isListed(s.peer.Name)
	if !listed {
		p.remember(s.peer)
	}
	if !listed || s.peer.Highest < strongGatewaysVersion {
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
		p.markLost(s.peer.Name, time.Now())
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
	return p.unlisted[name].addr
}
