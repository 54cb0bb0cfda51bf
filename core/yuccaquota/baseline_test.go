package yuccaquota_test

import (
	"time"

	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaquota"
)

// The nodes of this file are the decisions that docs/design/quota.md compares with the
// ledger.

// divisionNode admits an even part of the limit.
type divisionNode struct{ bucket yuccaquota.SharedBucket }

func newDivisionNode(s *sim, _ string, _ uint64, now time.Time) node {
	n := &divisionNode{}
	part := yuccaquota.Evenly(1, s.entries)
	n.bucket.SetPart(now, s.limit.Rate*part, time.Time{}, max(1, s.limit.Burst*part))
	return n
}

func (n *divisionNode) take(now time.Time) bool              { return n.bucket.Take(now) }
func (n *divisionNode) tick(time.Time, []string) []message   { return nil }
func (n *divisionNode) receive(_ time.Time, _ string, _ any) {}
func (n *divisionNode) interval() time.Duration              { return 100 * time.Millisecond }

// heardNode is what the decisions with a fixed timeout share.
type heardNode struct {
	name   string
	limit  yuccaquota.Limit
	heard  map[string]time.Time
	listed int
}

func (n *heardNode) interval() time.Duration { return 100 * time.Millisecond }

// part returns the fraction of the listed entries that has been heard within 600 ms.
func (n *heardNode) part(now time.Time) float64 {
	heard := 1
	for _, at := range n.heard {
		if now.Sub(at) < 600*time.Millisecond {
			heard++
		}
	}
	return min(1, float64(heard)/float64(max(1, n.listed)))
}

// ownerNode asks the account's owner for the tokens that it has used. The owner hands out
// the tokens of the limit's bucket ahead of need. Without an answer for 600 ms an entry
// uses its even part.
type ownerNode struct {
	heardNode
	owner      string
	pool       yuccaquota.SharedBucket
	bucket     yuccaquota.SharedBucket
	granted    float64
	used       float64
	answeredAt time.Time
	// asked holds the requests that the owner answers with its next tick.
	asked map[string]float64
}

// tokens is a request for tokens, or the grant of the owner.
type tokens struct {
	wanted, granted float64
	grant           bool
}

func newOwnerNode(s *sim, name string, _ uint64, now time.Time) node {
	n := &ownerNode{heardNode: heardNode{name: name, limit: s.limit, heard: map[string]time.Time{}}, asked: map[string]float64{}}
	n.pool.SetPart(now, 0, time.Time{}, s.limit.Burst+1)
	return n
}

func (n *ownerNode) take(now time.Time) bool {
	n.used++
	if n.granted >= 1 {
		n.granted--
		return true
	}
	return n.bucket.Take(now)
}

func (n *ownerNode) tick(now time.Time, list []string) []message {
	n.listed, n.owner = len(list), yuccapeer.RendezvousTop("a", list, 1)[0]
	even := 0.0
	if n.owner != n.name && now.Sub(n.answeredAt) > 600*time.Millisecond {
		even = yuccaquota.Evenly(n.limit.Rate, n.listed)
	}
	n.bucket.SetPart(now, even, time.Time{}, max(1, 0.1*even))
	n.pool.SetPart(now, n.limit.Rate*n.part(now), time.Time{}, n.limit.Burst+1)
	wanted := max(1, 1.5*n.used) - n.granted
	n.used = 0
	if n.owner == n.name {
		n.asked[n.name] = wanted
		return n.grant(now)
	}
	return []message{{n.owner, tokens{wanted: max(0, wanted)}}}
}

// grant gives the entries that have asked one token after the other.
func (n *ownerNode) grant(now time.Time) []message {
	grants := map[string]float64{}
	for given := true; given; {
		given = false
		for name, wanted := range n.asked {
			if grants[name]+1 <= wanted && n.pool.Take(now) {
				grants[name]++
				given = true
			}
		}
	}
	n.granted += grants[n.name]
	var messages []message
	for name := range n.asked {
		if name != n.name {
			messages = append(messages, message{name, tokens{granted: grants[name], grant: true}})
		}
	}
	clear(n.asked)
	return messages
}

func (n *ownerNode) receive(now time.Time, from string, body any) {
	n.heard[from] = now
	if v := body.(tokens); v.grant {
		n.granted, n.answeredAt = n.granted+v.granted, now
	} else {
		n.asked[from] = v.wanted
	}
}

// exchangeNode deducts what others have admitted from its own copy of the bucket, and
// extrapolates their rates between two reports.
type exchangeNode struct {
	heardNode
	tokens   float64
	updated  time.Time
	admitted float64
	others   map[string]*reported
}

type reported struct {
	admitted, rate float64
	at             time.Time
	// extrapolated is what has been deducted beyond the last report.
	extrapolated float64
}

func newExchangeNode(s *sim, name string, _ uint64, now time.Time) node {
	return &exchangeNode{heardNode: heardNode{name: name, limit: s.limit, heard: map[string]time.Time{}, listed: s.entries}, updated: now, others: map[string]*reported{}}
}

func (n *exchangeNode) refill(now time.Time) {
	elapsed := now.Sub(n.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	n.updated = now
	part := n.part(now)
	n.tokens += n.limit.Rate * part * elapsed
	for _, o := range n.others {
		if now.Sub(o.at) < 600*time.Millisecond {
			n.tokens -= o.rate * elapsed
			o.extrapolated += o.rate * elapsed
		}
	}
	n.tokens = min(n.tokens, max(1, n.limit.Burst*part))
}

func (n *exchangeNode) take(now time.Time) bool {
	n.refill(now)
	if n.tokens < 1 {
		return false
	}
	n.tokens--
	n.admitted++
	return true
}

func (n *exchangeNode) tick(_ time.Time, list []string) []message {
	n.listed = len(list)
	return []message{{body: n.admitted}}
}

func (n *exchangeNode) receive(now time.Time, from string, body any) {
	n.refill(now)
	n.heard[from] = now
	admitted := body.(float64)
	o := n.others[from]
	if o == nil {
		n.others[from] = &reported{admitted: admitted, at: now}
		return
	}
	if admitted < o.admitted {
		o.admitted = 0
	}
	n.tokens -= admitted - o.admitted - o.extrapolated
	if elapsed := now.Sub(o.at).Seconds(); elapsed > 0 {
		o.rate = (admitted - o.admitted) / elapsed
	}
	o.admitted, o.at, o.extrapolated = admitted, now, 0
}

// decisions returns the decisions that are compared.
func decisions() map[string]func(*sim, string, uint64, time.Time) node {
	return map[string]func(*sim, string, uint64, time.Time) node{
		"division": newDivisionNode,
		"owner":    newOwnerNode,
		"exchange": newExchangeNode,
		"lending":  newLedgerNode,
	}
}
