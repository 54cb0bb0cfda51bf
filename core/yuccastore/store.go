// Package yuccastore is the client of the platform that the system runs on: of
// its object store with conditional writes and watches, and of its list of
// instances.
//
// Store is the interface, HTTP the client that implements it, and RateLimited
// limits the calls per second of any Store:
//
//	platform := yuccastore.NewHTTP("http://10.0.0.1:7000")
//	defer platform.Close()
//	store := yuccastore.NewRateLimited(platform, 20)
//	object, err := store.Get(ctx, "config/rules")
//
// Use Store for all state that entries (the proxy instances of the system) must
// agree on or that must outlive a process. Its methods return errors of these
// kinds only: PlatformUnavailable when no valid response came, WriteConflict
// when a condition did not hold, NotFound when the object does not exist, TooLarge
// when a value is longer than MaxValue, and Throttled when the rate limit is
// used up.
//
// An error of kind PlatformUnavailable on a write does not say whether the write
// took effect. PutConfirmed finds out.
package yuccastore

import (
	"context"
	"time"
)

// MaxValue is the size of the largest value that the platform stores, in bytes.
const MaxValue = 1 << 20

// Object is one object in the platform's store.
type Object struct {
	// Key is the object's path, with parts separated by slashes.
	Key string `json:"key"`
	// Value is the object's content, at most MaxValue bytes.
	Value []byte `json:"value,omitempty"`
	// Tag is the object's entity tag, which changes with every write. It is
	// empty for an object that does not exist.
	Tag string `json:"tag"`
	// Seq is the sequence number of the object's last write. It increases with
	// every write of any object, also after the platform has come back from an
	// older copy of itself; see NewSeq.
	Seq uint64 `json:"seq"`
	// Deleted marks a deleted object.
	Deleted bool `json:"gone,omitempty"`
}

// eraShift is the number of low bits of a sequence number that count changes within an
// era.
const eraShift = 40

// NewSeq returns the sequence number of a change in an era of a store that may come back
// from an older copy of itself. The era rises each time, so that sequence numbers never
// go back, although the store gives the numbers of its changes out again. It returns
// false for a change or an era that is too high.
func NewSeq(era, change uint64) (uint64, bool) {
	if change>>eraShift > 0 || era>>(64-eraShift) > 0 {
		return 0, false
	}
	return era<<eraShift | change, true
}

// Era returns the era of a sequence number, zero for a store that has none.
func Era(seq uint64) uint64 { return seq >> eraShift }

// Change returns the number of the change within its era.
func Change(seq uint64) uint64 { return seq & (1<<eraShift - 1) }

// Page is the result of List.
type Page struct {
	// Seq is the sequence number to pass as after in the next call.
	Seq uint64 `json:"seq"`
	// Objects are the objects that changed, deleted ones included.
	Objects []Object `json:"objects"`
}

// Cond is the condition of a write. The zero value is an unconditional write.
type Cond struct {
	// Tag, when not empty, must equal the object's current tag.
	Tag string
	// Absent requires that the object does not exist.
	Absent bool
}

// Kind is the role of an instance.
type Kind string

// The roles of instances.
const (
	// KindEntry is an entry: a proxy instance of the system.
	KindEntry Kind = "entry"
	// KindServer is a backend server.
	KindServer Kind = "server"
)

// Instance is one instance in the platform's list.
type Instance struct {
	// Name identifies the instance. It does not depend on its addresses.
	Name string `json:"name"`
	// Kind is the instance's role.
	Kind Kind `json:"kind"`
	// Addr is the address for requests as host:port.
	Addr string `json:"addr"`
	// Peer is the address for other entries as host:port. Only entries have one.
	Peer string `json:"peer,omitempty"`
	// Admin is the address for operators as host:port. Only entries have one.
	Admin string `json:"admin,omitempty"`
	// Region is the name of the region that the instance runs in.
	Region string `json:"region"`
	// Domain is the name of its failure domain within the region.
	Domain string `json:"domain"`
	// Slots is the number of requests that a backend server handles at once.
	Slots int `json:"slots,omitempty"`
	// Conns is the number of connections that a backend server accepts.
	Conns int `json:"conns,omitempty"`
	// Services are the names of the services that a backend server runs.
	Services []string `json:"services,omitempty"`
	// Leaving marks an instance that is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Instances is the platform's list of instances, which may be out of date.
type Instances struct {
	// Instances are the entries and backend servers that the platform knows.
	Instances []Instance `json:"instances"`
}

// Store is the platform's API: an object store and a list of instances.
type Store interface {
	// Get returns the object under key. A missing object is an error of kind
	// Missing.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value under key if cond holds. It returns the object with its
	// new tag and sequence number, without its value.
	Put(ctx context.Context, key string, value []byte, cond Cond) (Object, error)
	// Delete deletes the object under key if cond holds.
	Delete(ctx context.Context, key string, cond Cond) error
	// List returns the objects with the given key prefix that changed after the
	// sequence number after, deleted ones included. If there are none, it waits
	// up to wait for a change.
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// Instances returns the platform's list of instances.
	Instances(ctx context.Context) (Instances, error)
}
