// Package yuccafake holds small fakes of what surrounds the system, for tests and
// for the stand-in programs. An entry is a proxy instance of the system.
//
//   - Platform is the platform's store of objects and its list of instances, in
//     memory; API serves it over HTTP.
//   - Server is a backend server that records what it ran in an ExecutionLog.
//   - FaultyServer is a backend server that fails at a chosen step of an exchange.
//   - TCPProxy is a network link with delay, rate limit and failures.
//   - Net is the network between entries, in memory.
//
// Each fake misbehaves on demand, for example:
//
//	p := yuccafake.NewPlatform()
//	p.SetInstances(list...)
//	p.Fail(yuccafake.PlatformFaults{Down: true})
//	_, err := p.Get(ctx, "shared/rules") // error of kind PlatformUnavailable
package yuccafake

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// PlatformFaults are the faults of a Platform. The zero value works correctly.
type PlatformFaults struct {
	// Down makes every call fail before it has an effect.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LostReplies is how many of the next writes take effect but return an error.
	LostReplies int `json:"lose"`
	// StaleReads makes reads return the previous version of each object that has one.
	StaleReads bool `json:"old"`
	// Lag is the time until Instances returns a change of the list.
	Lag time.Duration `json:"lag"`
}

// Platform is an in-memory yuccastore.Store. Make one with NewPlatform.
type Platform struct {
	mu sync.Mutex
	// seq is the sequence number of the latest write.
	seq     uint64
	objects map[string]versions
	// changed is closed and replaced by each write.
	changed chan struct{}
	// snapshots holds every list of instances, oldest first; the first one is empty.
	snapshots []instanceSnapshot
	faults    PlatformFaults
	// calls counts the calls of each kind.
	calls   map[string]uint64
	onWrite func(yuccastore.Object)
}

// versions are the latest two versions of an object.
type versions struct {
	// current is the latest version.
	current yuccastore.Object
	// previous is the version before; its Tag is empty if there is none.
	previous yuccastore.Object
}

// instanceSnapshot is the list of instances as set at a time.
type instanceSnapshot struct {
	at   time.Time
	list yuccastore.Instances
}

// NewPlatform returns a platform without objects and instances.
func NewPlatform() *Platform {
	return &Platform{
		objects:   map[string]versions{},
		changed:   make(chan struct{}),
		snapshots: []instanceSnapshot{{}},
		calls:     map[string]uint64{},
	}
}

// Fail replaces the faults.
func (p *Platform) Fail(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the present faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// OnWrite sets a function that is called with each written or deleted object, in
// the order of the writes. The function must not call the platform, because the
// platform holds its lock during the call.
func (p *Platform) OnWrite(fn func(yuccastore.Object)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWrite = fn
}

// Calls returns the number of calls of each kind: get, put, delete, list and
// instances.
func (p *Platform) Calls() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.calls))
	for name, n := range p.calls {
		counts[name] = n
	}
	return counts
}

// Snapshot is a copy of a Platform's objects.
type Snapshot struct {
	seq     uint64
	objects map[string]versions
}

// Snapshot returns a copy of the objects.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{p.seq, maps.Clone(p.objects)}
}

// Restore brings the platform back from a copy: what was written since is gone. The
// sequence numbers of later writes are in the next era.
func (p *Platform) Restore(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seq, ok := yuccastore.NewSeq(yuccastore.Era(p.seq)+1, yuccastore.Change(s.seq))
	if !ok {
		panic("the platform has come back too often")
	}
	p.seq, p.objects = seq, maps.Clone(s.objects)
	p.notify()
}

// notify makes the waiting calls look for changes. The caller holds mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(list ...yuccastore.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, instanceSnapshot{time.Now(), yuccastore.Instances{Instances: slices.Clone(list)}})
}

// SetInstance adds an instance or replaces the one of the same name.
func (p *Platform) SetInstance(i yuccastore.Instance) {
	list := slices.DeleteFunc(p.CurrentInstances(), func(old yuccastore.Instance) bool { return old.Name == i.Name })
	p.SetInstances(append(list, i)...)
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.SetInstances(slices.DeleteFunc(p.CurrentInstances(), func(old yuccastore.Instance) bool { return old.Name == name })...)
}

// CurrentInstances returns the latest list of instances, whatever the lag.
func (p *Platform) CurrentInstances() []yuccastore.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.snapshots[len(p.snapshots)-1].list.Instances)
}

// Get implements yuccastore.Store.
func (p *Platform) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	if err := p.beginCall(ctx, "get"); err != nil {
		return yuccastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.visibleObject(key)
	if o.Tag == "" || o.Deleted {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.NotFound, "no object %s", key)
	}
	return o, nil
}

// Put implements yuccastore.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	if len(value) > yuccastore.MaxValue {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.TooLarge, "value of %s is too large", key)
	}
	o := yuccastore.Object{Key: key, Value: slices.Clone(value)}
	return p.write(ctx, "put", o, cond)
}

// Delete implements yuccastore.Store.
func (p *Platform) Delete(ctx context.Context, key string, cond yuccastore.Cond) error {
	_, err := p.write(ctx, "delete", yuccastore.Object{Key: key, Deleted: true}, cond)
	return err
}

// List implements yuccastore.Store.
func (p *Platform) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	if err := p.beginCall(ctx, "list"); err != nil {
		return yuccastore.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed := p.page(prefix, after)
		if len(page.Objects) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return yuccastore.Page{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "%w", ctx.Err())
		}
		if p.Faults().Down {
			return yuccastore.Page{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "platform is down")
		}
	}
}

// Instances implements yuccastore.Store.
func (p *Platform) Instances(ctx context.Context) (yuccastore.Instances, error) {
	if err := p.beginCall(ctx, "instances"); err != nil {
		return yuccastore.Instances{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.faults.Lag)
	for i := len(p.snapshots) - 1; i > 0; i-- {
		if !p.snapshots[i].at.After(cutoff) {
			return p.snapshots[i].list, nil
		}
	}
	return p.snapshots[0].list, nil
}

// beginCall counts a call and applies the faults Slow and Down to it.
func (p *Platform) beginCall(ctx context.Context, name string) error {
	p.mu.Lock()
	p.calls[name]++
	f := p.faults
	p.mu.Unlock()
	if f.Slow > 0 {
		timer := time.NewTimer(f.Slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "%w", ctx.Err())
	}
	if f.Down {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "platform is down")
	}
	return nil
}

// visibleObject returns the version of an object that reads see. The caller holds
// mu.
func (p *Platform) visibleObject(key string) yuccastore.Object {
	v := p.objects[key]
	if p.faults.StaleReads && v.previous.Tag != "" {
		return v.previous
	}
	return v.current
}

// write applies a conditional write or delete.
func (p *Platform) write(ctx context.Context, name string, o yuccastore.Object, cond yuccastore.Cond) (yuccastore.Object, error) {
	if err := p.beginCall(ctx, name); err != nil {
		return yuccastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.objects[o.Key]
	exists := v.current.Tag != "" && !v.current.Deleted
	if cond.Absent && exists || cond.Tag != "" && (!exists || cond.Tag != v.current.Tag) {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.WriteConflict, "write condition on %s does not hold", o.Key)
	}
	p.seq++
	o.Seq = p.seq
	o.Tag = `"` + strconv.FormatUint(p.seq, 10) + `"`
	p.objects[o.Key] = versions{current: o, previous: v.current}
	if p.onWrite != nil {
		p.onWrite(o)
	}
	p.notify()
	if p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "the write took effect but its reply was lost")
	}
	o.Value = nil
	return o, nil
}

// page returns the objects under a prefix that were written after a sequence
// number, and the channel that the next write closes. With after 0 it leaves
// deleted objects out.
func (p *Platform) page(prefix string, after uint64) (yuccastore.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := yuccastore.Page{Seq: p.seq}
	for key := range p.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		o := p.visibleObject(key)
		if o.Seq > after && (after > 0 || !o.Deleted) {
			page.Objects = append(page.Objects, o)
		}
	}
	slices.SortFunc(page.Objects, func(a, b yuccastore.Object) int { return strings.Compare(a.Key, b.Key) })
	return page, p.changed
}
