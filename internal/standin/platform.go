// Package standin holds small stand-ins for the systems that bramleyhinge uses: platform, model engine,
// plain service and rating service. Each has fault switches.
package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxEvents is the largest number of events that are kept for watches.
const maxEvents = 4096

// PlatformFaults are the fault switches of a Platform.
type PlatformFaults struct {
	// Down refuses all calls.
	Down bool `json:"down"`
	// Delay is added before each response.
	Delay time.Duration `json:"slow"`
	// LostAnswers is the number of further writes to keys with the prefix LostKeyPrefix that take effect but
	// get no response.
	LostAnswers   int    `json:"lost"`
	LostKeyPrefix string `json:"match"`
	// OmitEvents keeps changes out of the event history, so that watches miss them.
	OmitEvents bool `json:"gap"`
	// Snapshot saves the current objects. StaleReads serves reads from the last snapshot and takes one first
	// if there is none.
	Snapshot   bool `json:"mark"`
	StaleReads bool `json:"stale"`
}

// Platform is an in-memory object API with an instance list. It implements storer.Store and storer.Lister.
type Platform struct {
	mu        sync.Mutex
	objects   map[string]storer.Object
	snapshot  map[string]storer.Object
	events    []storer.Object
	revision  model.Revision
	changed   chan struct{}
	faults    PlatformFaults
	instances map[model.InstanceID]model.Instance
	writes    int
	reads     int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects:   map[string]storer.Object{},
		changed:   make(chan struct{}),
		instances: map[model.InstanceID]model.Instance{},
	}
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Snapshot || f.StaleReads && p.snapshot == nil {
		p.snapshot = make(map[string]storer.Object, len(p.objects))
		for k, o := range p.objects {
			p.snapshot[k] = o
		}
	}
	p.faults = f
	p.wakeWatches()
}

// Calls returns the number of writes and reads so far. A watch counts as one read, however long it waits.
func (p *Platform) Calls() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// Get implements storer.Store.
func (p *Platform) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := p.beginCall(ctx, key, false); err != nil {
		return storer.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.readableObjects()[key]
	if !ok {
		return storer.Object{}, &storer.Error{Kind: storer.KindNotFound, Key: key}
	}
	return o, nil
}

// readableObjects returns the objects that reads use: those of the snapshot if StaleReads is set.
func (p *Platform) readableObjects() map[string]storer.Object {
	if p.faults.StaleReads {
		return p.snapshot
	}
	return p.objects
}

// List implements storer.Store.
func (p *Platform) List(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := p.beginCall(ctx, prefix, false); err != nil {
		return storer.Listing{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := storer.Listing{Revision: p.revision}
	for key, o := range p.readableObjects() {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	return l, nil
}

// Put implements storer.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error) {
	if len(value) > storer.MaxValueBytes {
		return 0, &storer.Error{Kind: storer.KindTooLarge, Key: key}
	}
	if err := p.beginCall(ctx, key, true); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.expect(key, expect); err != nil {
		return 0, err
	}
	p.revision++
	o := storer.Object{Key: key, Revision: p.revision, Value: slices.Clone(value)}
	p.objects[key] = o
	p.publishEvent(o)
	return o.Revision, p.loseAnswer(key)
}

// Delete implements storer.Store.
func (p *Platform) Delete(ctx context.Context, key string, expect model.Revision) error {
	if err := p.beginCall(ctx, key, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[key]; !ok {
		return &storer.Error{Kind: storer.KindNotFound, Key: key}
	}
	if err := p.expect(key, expect); err != nil {
		return err
	}
	p.revision++
	delete(p.objects, key)
	p.publishEvent(storer.Object{Key: key, Revision: p.revision, Deleted: true})
	return p.loseAnswer(key)
}

func (p *Platform) expect(key string, expect model.Revision) error {
	if current := p.objects[key].Revision; current != expect {
		return &storer.Error{Kind: storer.KindConflict, Key: key, Current: current}
	}
	return nil
}

func (p *Platform) publishEvent(o storer.Object) {
	if !p.faults.OmitEvents {
		p.events = append(p.events, o)
	}
	if len(p.events) > maxEvents {
		p.events = slices.Clone(p.events[len(p.events)-maxEvents/2:])
	}
	p.wakeWatches()
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// loseAnswer returns an unknown outcome for a change that has taken effect, as long as LostAnswers for the
// key remain.
func (p *Platform) loseAnswer(key string) error {
	if p.faults.LostAnswers > 0 && strings.HasPrefix(key, p.faults.LostKeyPrefix) {
		p.faults.LostAnswers--
		return &storer.Error{Kind: storer.KindUnknown, Key: key}
	}
	return nil
}

func (p *Platform) beginCall(ctx context.Context, key string, write bool) error {
	p.mu.Lock()
	down, delay := p.faults.Down, p.faults.Delay
	if write {
		p.writes++
	} else {
		p.reads++
	}
	p.mu.Unlock()
	if down {
		return &storer.Error{Kind: storer.KindUnavailable, Key: key, Cause: errors.New("down")}
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return &storer.Error{Kind: storer.KindUnavailable, Key: key, Cause: ctx.Err()}
	case <-time.After(delay):
		return nil
	}
}

// Renew implements storer.Store. There are no connections.
func (*Platform) Renew() {}

// Watch implements storer.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, from model.Revision, wait time.Duration) (storer.Listing, error) {
	if err := p.beginCall(ctx, prefix, false); err != nil {
		return storer.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := p.eventsSince(prefix, from)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-ctx.Done():
			return storer.Listing{}, &storer.Error{Kind: storer.KindUnavailable, Key: prefix, Cause: ctx.Err()}
		case <-timer.C:
			return l, nil
		case <-changed:
		}
	}
}

func (p *Platform) eventsSince(prefix string, from model.Revision) (storer.Listing, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return storer.Listing{}, nil, &storer.Error{Kind: storer.KindUnavailable, Key: prefix, Cause: errors.New("down")}
	}
	if len(p.events) > 0 && p.events[0].Revision > from+1 && len(p.events) >= maxEvents/2 {
		return storer.Listing{}, nil, &storer.Error{Kind: storer.KindCompacted, Key: prefix}
	}
	l := storer.Listing{Revision: p.revision}
	for _, o := range p.events {
		if o.Revision > from && strings.HasPrefix(o.Key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, p.changed, nil
}

// Instances implements storer.Lister.
func (p *Platform) Instances(ctx context.Context) ([]model.Instance, error) {
	if err := p.beginCall(ctx, "instances", false); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]model.Instance, 0, len(p.instances))
	for _, i := range p.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b model.Instance) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list, nil
}

// SetInstance adds an instance to the instance list or replaces it.
func (p *Platform) SetInstance(i model.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.Instance] = i
}

// RemoveInstance removes an instance from the instance list.
func (p *Platform) RemoveInstance(id model.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}
