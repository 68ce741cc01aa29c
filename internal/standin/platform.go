// Package standin holds small stand-ins for the systems that bramleyhinge meets:
// platform, model engine, plain service and rating service. Each has fault switches.
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

// maxEvents bounds the events kept for watches.
const maxEvents = 4096

// PlatformFaults are the fault switches of a Platform.
type PlatformFaults struct {
	Down          bool          `json:"down"`
	Delay         time.Duration `json:"slow"`
	LostAnswers   int           `json:"lost"`
	LostKeyPrefix string        `json:"match"`
	OmitEvents    bool          `json:"gap"`
	// Mark keeps the present state; Stale serves reads from the last mark.
	Mark       bool `json:"mark"`
	StaleReads bool `json:"stale"`
}

// Platform is an in-memory object API with an instance list; it is a storer.Store.
type Platform struct {
	mu        sync.Mutex
	objects   map[string]storer.Object
	stale     map[string]storer.Object
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
	if f.Mark || f.StaleReads && p.stale == nil {
		p.stale = make(map[string]storer.Object, len(p.objects))
		for k, o := range p.objects {
			p.stale[k] = o
		}
	}
	p.faults = f
	p.wake()
}

// Calls returns the number of writes and reads so far; a waiting watch is one read.
func (p *Platform) Calls() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// Get implements storer.Store.
func (p *Platform) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := p.begin(ctx, key, false); err != nil {
		return storer.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.readable()[key]
	if !ok {
		return storer.Object{}, &storer.Error{Kind: storer.KindNotFound, Key: key}
	}
	return o, nil
}

// readable returns the objects that reads see, older ones under the stale fault.
func (p *Platform) readable() map[string]storer.Object {
	if p.faults.StaleReads {
		return p.stale
	}
	return p.objects
}

// List implements storer.Store.
func (p *Platform) List(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := p.begin(ctx, prefix, false); err != nil {
		return storer.Listing{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := storer.Listing{Revision: p.revision}
	for key, o := range p.readable() {
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
	if err := p.begin(ctx, key, true); err != nil {
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
	p.publish(o)
	return o.Revision, p.lose(key)
}

// Delete implements storer.Store.
func (p *Platform) Delete(ctx context.Context, key string, expect model.Revision) error {
	if err := p.begin(ctx, key, true); err != nil {
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
	p.publish(storer.Object{Key: key, Revision: p.revision, Deleted: true})
	return p.lose(key)
}

func (p *Platform) expect(key string, expect model.Revision) error {
	if current := p.objects[key].Revision; current != expect {
		return &storer.Error{Kind: storer.KindConflict, Key: key, Current: current}
	}
	return nil
}

func (p *Platform) publish(o storer.Object) {
	if !p.faults.OmitEvents {
		p.events = append(p.events, o)
	}
	if len(p.events) > maxEvents {
		p.events = slices.Clone(p.events[len(p.events)-maxEvents/2:])
	}
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lose drops the answer of a change that has taken effect, while the switch says so.
func (p *Platform) lose(key string) error {
	if p.faults.LostAnswers > 0 && strings.HasPrefix(key, p.faults.LostKeyPrefix) {
		p.faults.LostAnswers--
		return &storer.Error{Kind: storer.KindUnknown, Key: key}
	}
	return nil
}

func (p *Platform) begin(ctx context.Context, key string, write bool) error {
	p.mu.Lock()
	down, slow := p.faults.Down, p.faults.Delay
	if write {
		p.writes++
	} else {
		p.reads++
	}
	p.mu.Unlock()
	if down {
		return &storer.Error{Kind: storer.KindUnavailable, Key: key, Cause: errors.New("down")}
	}
	if slow == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return &storer.Error{Kind: storer.KindUnavailable, Key: key, Cause: ctx.Err()}
	case <-time.After(slow):
		return nil
	}
}

// Watch implements storer.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, from model.Revision, wait time.Duration) (storer.Listing, error) {
	if err := p.begin(ctx, prefix, false); err != nil {
		return storer.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := p.since(prefix, from)
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

func (p *Platform) since(prefix string, from model.Revision) (storer.Listing, chan struct{}, error) {
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
	if err := p.begin(ctx, "instances", false); err != nil {
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

// SetInstance adds or replaces a row of the instance list.
func (p *Platform) SetInstance(i model.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.Instance] = i
}

// RemoveInstance removes a row of the instance list.
func (p *Platform) RemoveInstance(id model.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}
