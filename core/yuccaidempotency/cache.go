package yuccaidempotency

import (
	"container/list"
	"sync"
	"time"
)

// responseCache holds the first response to each idempotency key, so that
// repeated requests get the same response. It also counts the claims in
// progress on this entry. Its size is bounded by maxBytes and expiry: add
// evicts the oldest items.
type responseCache struct {
	// maxBytes is the limit of totalBytes.
	maxBytes int
	// expiry is the age at which add evicts an item.
	expiry time.Duration

	mu sync.Mutex
	// inProgress counts the claims of a key that were begun on this entry and
	// have not ended.
	inProgress map[ID]int
	// items maps a key to its element in order.
	items map[ID]*list.Element
	// order lists the items as *cacheItem, newest first.
	order *list.List
	// totalBytes is the sum of the sizes of all items.
	totalBytes int
}

// cacheItem is one cached response.
type cacheItem struct {
	id       ID
	response *Response
	// size is the memory that the item takes in bytes, as estimated by
	// responseSize.
	size int
	// storedAt is when the item was added.
	storedAt time.Time
}

func newResponseCache(maxBytes int, expiry time.Duration) *responseCache {
	return &responseCache{
		maxBytes:   maxBytes,
		expiry:     expiry,
		inProgress: map[ID]int{},
		items:      map[ID]*list.Element{},
		order:      list.New(),
	}
}

// begin records that a claim of the key is in progress on this entry.
func (a *responseCache) begin(id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress[id]++
}

// end undoes one begin of the key.
func (a *responseCache) end(id ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress[id]--; a.inProgress[id] <= 0 {
		delete(a.inProgress, id)
	}
}

// add caches a response, unless it is nil, larger than maxCachedBytes, or the
// key already has one. It then evicts the oldest items until the cache is
// within its bounds.
func (a *responseCache) add(id ID, response *Response, now time.Time) {
	size := responseSize(response)
	if response == nil || size > maxCachedBytes {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.items[id]; ok {
		return
	}
	a.items[id] = a.order.PushFront(&cacheItem{id, response, size, now})
	a.totalBytes += size
	for e := a.order.Back(); e != nil; e = a.order.Back() {
		old := e.Value.(*cacheItem)
		if a.totalBytes <= a.maxBytes && now.Sub(old.storedAt) < a.expiry {
			return
		}
		a.order.Remove(e)
		delete(a.items, old.id)
		a.totalBytes -= old.size
	}
}

// lookup returns the cached response to a key. If there is none, it reports
// whether a claim of the key is in progress on this entry.
func (a *responseCache) lookup(id ID) (response *Response, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.items[id]; ok {
		return e.Value.(*cacheItem).response, false
	}
	return nil, a.inProgress[id] > 0
}

// all returns copies of the items, newest first.
func (a *responseCache) all() []cacheItem {
	a.mu.Lock()
	defer a.mu.Unlock()
	var copies []cacheItem
	for e := a.order.Front(); e != nil; e = e.Next() {
		copies = append(copies, *e.Value.(*cacheItem))
	}
	return copies
}

// itemOverheadBytes is the estimated memory of an item beside its body and
// header fields.
const itemOverheadBytes = 256

// responseSize estimates the memory that a response takes in the cache, in
// bytes. It returns 0 for nil.
func responseSize(a *Response) int {
	if a == nil {
		return 0
	}
	n := itemOverheadBytes + len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
