package cli

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// tasks is a group of named goroutines that a process waits for before it ends.
type tasks struct {
	wg sync.WaitGroup

	mu      sync.Mutex
	running map[string]bool
}

// start runs fn in a goroutine. The name must be unique in the group.
func (t *tasks) start(name string, fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]bool{}
	}
	t.running[name] = true
	t.wg.Go(func() {
		fn()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.running, name)
	})
}

// await waits until all have ended, but not beyond a time, and returns the names of those that still run, in order.
func (t *tasks) await(until time.Time) []string {
	ended := make(chan struct{})
	go func() {
		t.wg.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.running))
}
