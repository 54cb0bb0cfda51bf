// Package yuccafake holds small fakes of what lies outside the system, for
// tests and for the stand-in programs.
//
//	p := yuccafake.NewPlatform()
//	p.SetInstances(list...)
//	p.Fail(yuccafake.PlatformFaults{Down: true})
//	_, err := p.Get(ctx, "shared/rules") // of kind Platform
package yuccafake

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// PlatformFaults is what the platform does wrong.
type PlatformFaults struct {
	// Down makes every call fail before it has an effect.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LostReplies makes the next writes take effect and lose their answers.
	LostReplies int `json:"lose"`
	// Old makes reads return the version before the present one.
	Old bool `json:"old"`
	// Lag delays what the list of instances shows.
	Lag time.Duration `json:"lag"`
}

// Platform is a yuccastore.Store in memory. Make one with NewPlatform.
type Platform struct {
	mu      sync.Mutex
	seq     uint64
	objects map[string]history
	changed chan struct{}
	lists   []datedList
	faults  PlatformFaults
	calls   map[string]uint64
	onWrite func(yuccastore.Object)
}

type history struct {
	now, before yuccastore.Object
}

type datedList struct {
	at   time.Time
	list yuccastore.Instances
}

// NewPlatform returns a platform without objects and instances.
func NewPlatform() *Platform {
	return &Platform{
		objects: map[string]history{},
		changed: make(chan struct{}),
		lists:   []datedList{{}},
		calls:   map[string]uint64{},
	}
}

// Fail sets what goes wrong from now on.
func (p *Platform) Fail(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns what goes wrong at present.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// OnWrite calls fn with every object whose write takes effect. The calls come
// in order and must not call the platform.
func (p *Platform) OnWrite(fn func(yuccastore.Object)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWrite = fn
}

// Calls returns how often each kind of call was made: get, put, delete, list
// and instances.
func (p *Platform) Calls() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.calls))
	for name, n := range p.calls {
		counts[name] = n
	}
	return counts
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(list ...yuccastore.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{time.Now(), yuccastore.Instances{Instances: slices.Clone(list)}})
}

// SetInstance adds an instance or replaces the one of the same name.
func (p *Platform) SetInstance(i yuccastore.Instance) {
	list := slices.DeleteFunc(p.Listed(), func(old yuccastore.Instance) bool { return old.Name == i.Name })
	p.SetInstances(append(list, i)...)
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.SetInstances(slices.DeleteFunc(p.Listed(), func(old yuccastore.Instance) bool { return old.Name == name })...)
}

// Listed returns the list of instances without its lag.
func (p *Platform) Listed() []yuccastore.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lists[len(p.lists)-1].list.Instances)
}

// Get implements yuccastore.Store.
func (p *Platform) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	if err := p.begin(ctx, "get"); err != nil {
		return yuccastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.visible(key)
	if o.Tag == "" || o.Gone {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.Missing, "no object %s", key)
	}
	return o, nil
}

// Put implements yuccastore.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	if len(value) > yuccastore.MaxValue {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.Large, "value of %s is too large", key)
	}
	o := yuccastore.Object{Key: key, Value: slices.Clone(value)}
	return p.write(ctx, "put", o, cond)
}

// Delete implements yuccastore.Store.
func (p *Platform) Delete(ctx context.Context, key string, cond yuccastore.Cond) error {
	_, err := p.write(ctx, "delete", yuccastore.Object{Key: key, Gone: true}, cond)
	return err
}

// List implements yuccastore.Store.
func (p *Platform) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	if err := p.begin(ctx, "list"); err != nil {
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
	if err := p.begin(ctx, "instances"); err != nil {
		return yuccastore.Instances{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := time.Now().Add(-p.faults.Lag)
	for i := len(p.lists) - 1; i > 0; i-- {
		if !p.lists[i].at.After(shown) {
			return p.lists[i].list, nil
		}
	}
	return p.lists[0].list, nil
}

// begin counts a call and does to it what the faults ask for.
func (p *Platform) begin(ctx context.Context, name string) error {
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

func (p *Platform) visible(key string) yuccastore.Object {
	h := p.objects[key]
	if p.faults.Old && h.before.Tag != "" {
		return h.before
	}
	return h.now
}

func (p *Platform) write(ctx context.Context, name string, o yuccastore.Object, cond yuccastore.Cond) (yuccastore.Object, error) {
	if err := p.begin(ctx, name); err != nil {
		return yuccastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.objects[o.Key]
	exists := h.now.Tag != "" && !h.now.Gone
	if cond.Absent && exists || cond.Tag != "" && (!exists || cond.Tag != h.now.Tag) {
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.WriteConflict, "condition on %s does not hold", o.Key)
	}
	p.seq++
	o.Seq = p.seq
	o.Tag = `"` + strconv.FormatUint(p.seq, 10) + `"`
	p.objects[o.Key] = history{now: o, before: h.now}
	if p.onWrite != nil {
		p.onWrite(o)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		return yuccastore.Object{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "answer lost")
	}
	o.Value = nil
	return o, nil
}

func (p *Platform) page(prefix string, after uint64) (yuccastore.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := yuccastore.Page{Seq: p.seq}
	for key := range p.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		o := p.visible(key)
		if o.Seq > after && (after > 0 || !o.Gone) {
			page.Objects = append(page.Objects, o)
		}
	}
	slices.SortFunc(page.Objects, func(a, b yuccastore.Object) int { return strings.Compare(a.Key, b.Key) })
	return page, p.changed
}
