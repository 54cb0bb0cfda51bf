package yuccapeer

import (
	"net"
	"time"
)

const (
	// unlistedTTL is how long an entry that the list lacks is remembered after its last
	// session. It covers the restart of an entry while the list cannot be read: the entry
	// then knows no peers, so that they must dial it.
	unlistedTTL = time.Minute
	// maxUnlisted bounds the entries that are remembered.
	maxUnlisted = 1024
)

// unlistedPeer is an entry that opened or accepted a session although the list of
// entries does not name it.
type unlistedPeer struct {
	// domain is its failure domain.
	domain string
	// addr is the address at which it accepts sessions.
	addr string
	// lostAt is when its last session ended; zero while there is one.
	lostAt time.Time
}

// remember keeps the address of an entry that the list lacks. The caller holds mu.
func (p *Peers) remember(peer *Hello) {
	if _, known := p.unlisted[peer.Name]; peer.Addr == "" || !known && len(p.unlisted) >= maxUnlisted {
		return
	}
	p.unlisted[peer.Name] = unlistedPeer{domain: peer.Domain, addr: peer.Addr}
}

// markLost records that the session to an entry has ended. The caller holds mu.
func (p *Peers) markLost(name string, now time.Time) {
	if u, ok := p.unlisted[name]; ok {
		u.lostAt = now
		p.unlisted[name] = u
	}
}

// forgetUnlisted removes the entries whose last session ended unlistedTTL ago and
// reports whether there were any. The caller holds mu.
func (p *Peers) forgetUnlisted(now time.Time) bool {
	changed := false
	for name, u := range p.unlisted {
		if !u.lostAt.IsZero() && now.Sub(u.lostAt) > unlistedTTL {
			delete(p.unlisted, name)
			changed = true
		}
	}
	return changed
}

// isListed reports whether the list of entries names an entry. The caller holds mu.
func (p *Peers) isListed(name string) bool {
	for _, e := range p.entries {
		if e.Name == name {
			return true
		}
	}
	return false
}

// ownAddr returns the address that other entries reach this one at, empty if the
// listener accepts connections on all addresses.
func (p *Peers) ownAddr() string {
	if p.listener == nil {
		return ""
	}
	addr, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok || addr.IP.IsUnspecified() {
		return ""
	}
	return addr.String()
}
