// Package yuccastore talks to the platform: its object API and its list of
// instances.
//
// Use Store wherever something has to be agreed or kept. Every method returns
// errors of these kinds only: Platform when no answer came, Raced when a
// condition did not hold, Missing when there is no such object, Large when a
// value is over MaxValue and Unclaimed when the call budget is used up.
//
// An error of kind Platform on a write means nothing about whether the write
// took effect. PutConfirmed is the way to find out.
package yuccastore

import (
	"context"
	"time"
)

// MaxValue is the largest value the platform keeps, in bytes.
const MaxValue = 1 << 20

// Object is one value kept by the platform.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Tag changes with every write of the object. It is empty for an object
	// that does not exist.
	Tag string `json:"tag"`
	// Seq rises with every write of any object.
	Seq uint64 `json:"seq"`
	// Gone marks an object that was deleted.
	Gone bool `json:"gone,omitempty"`
}

// Page is an answer to List.
type Page struct {
	// Seq is what to pass as after in the next call.
	Seq     uint64   `json:"seq"`
	Objects []Object `json:"objects"`
}

// Cond is the condition of a write. The zero value writes without one.
type Cond struct {
	// Tag, when not empty, must be the object's present tag.
	Tag string
	// Absent requires that the object does not exist.
	Absent bool
}

// Kind says what an instance is for.
type Kind string

// The kinds of instances.
const (
	KindEntry  Kind = "entry"
	KindServer Kind = "server"
)

// Instance is one row of the platform's list.
type Instance struct {
	// Name is the identity of the instance, apart from its address.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Addr is the address for requests as host:port.
	Addr string `json:"addr"`
	// Peer is the address for other entries. Only entries have one.
	Peer string `json:"peer,omitempty"`
	// Admin is the address for operators. Only entries have one.
	Admin  string `json:"admin,omitempty"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Slots is how many requests a server works on at once.
	Slots int `json:"slots,omitempty"`
	// Conns is how many connections a server takes.
	Conns    int      `json:"conns,omitempty"`
	Services []string `json:"services,omitempty"`
	// Leaving marks an instance that is about to end.
	Leaving bool `json:"leaving,omitempty"`
}

// Instances is the platform's list, which lags behind the truth.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Store is the platform as the rest of the system sees it.
type Store interface {
	// Get returns the object under key.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value under key if cond holds and returns the object as
	// written, without its value.
	Put(ctx context.Context, key string, value []byte, cond Cond) (Object, error)
	// Delete removes the object under key if cond holds.
	Delete(ctx context.Context, key string, cond Cond) error
	// List returns the objects whose keys start with prefix and that changed
	// after the given sequence number, deleted ones included. It waits up to
	// wait for one to change.
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// Instances returns the platform's list of instances.
	Instances(ctx context.Context) (Instances, error)
}
