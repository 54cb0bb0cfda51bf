package yuccaidempotency

import (
	"container/list"
	"sync"
	"time"
)

// answers holds first answers for repeats, newest first, in bounded memory.
type answers struct {
	maxBytes int
	expiry   time.Duration

	mu      sync.Mutex
	running map[ID]int
	held    map[ID]*list.Element
	order   *list.List
	bytes   int
}

type heldAnswer struct {
	id     ID
	answer *Response
	size   int
	at     time.Time
}

func newAnswers(maxBytes int, expiry time.Duration) *answers {
	return &answers{
		maxBytes: maxBytes,
		expiry:   expiry,
		running:  map[ID]int{},
		held:     map[ID]*list.Element{},
		order:    list.New(),
	}
}

// begin notes that a key is running here.
func (a *answers) begin(id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[id]++
}

// end notes that a key no longer runs here.
func (a *answers) end(id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[id]--; a.running[id] <= 0 {
		delete(a.running, id)
	}
}

// keep holds an answer; the oldest ones make room for it.
func (a *answers) keep(id ID, answer *Response, now time.Time) {
	size := sizeOf(answer)
	if answer == nil || size > maxHeld {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.held[id]; ok {
		return
	}
	a.held[id] = a.order.PushFront(&heldAnswer{id, answer, size, now})
	a.bytes += size
	for e := a.order.Back(); e != nil; e = a.order.Back() {
		old := e.Value.(*heldAnswer)
		if a.bytes <= a.maxBytes && now.Sub(old.at) < a.expiry {
			return
		}
		a.order.Remove(e)
		delete(a.held, old.id)
		a.bytes -= old.size
	}
}

// find returns a held answer, and whether the key runs here at present.
func (a *answers) find(id ID) (answer *Response, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.held[id]; ok {
		return e.Value.(*heldAnswer).answer, false
	}
	return nil, a.running[id] > 0
}

// all returns what is held, newest first.
func (a *answers) all() []heldAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var every []heldAnswer
	for e := a.order.Front(); e != nil; e = e.Next() {
		every = append(every, *e.Value.(*heldAnswer))
	}
	return every
}

// heldOverhead is what an answer takes beside its bytes.
const heldOverhead = 256

func sizeOf(a *Response) int {
	if a == nil {
		return 0
	}
	n := heldOverhead + len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
