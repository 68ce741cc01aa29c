package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// LeaseState judges the watcher's evidence at now.
func (w *Watcher) LeaseState(now time.Time) LeaseState {
	e := Evidence{Confirmed: w.feed.Confirmed(), Heard: map[model.RegionID]time.Time{}}
	w.mu.Lock()
	for _, s := range w.sourcesNow() {
		e.Heard[s.Place.Region] = w.heard[s.Place.Region]
	}
	w.mu.Unlock()
	return Judge(e, w.cfg.Lease, now)
}

// CheckLease decides whether new work may start on a service. A process whose lease has run
// out refreshes first; one that stays cut off does what the document says.
func (w *Watcher) CheckLease(ctx context.Context, service model.ServiceID) *model.Refusal {
	if w.LeaseState(time.Now()) == LeaseCurrent {
		return nil
	}
	w.Refresh(ctx)
	return w.judgeGate(service, time.Now())
}

func (w *Watcher) judgeGate(service model.ServiceID, now time.Time) *model.Refusal {
	switch w.LeaseState(now) {
	case LeaseCurrent:
		return nil
	case StandingOutage:
		if w.Ready() {
			return nil
		}
	}
	s := w.Catalogue().Services[service]
	if s != nil && s.Document != nil && s.Document.CutoffFallback == model.FallbackServe {
		return nil
	}
	return model.Refuse(model.KindStaleConfiguration, "this instance cannot confirm its configuration: try again, another instance may").WithRetry(time.Second)
}

// Refresh asks all sources and the platform at once; callers share one refresh.
func (w *Watcher) Refresh(ctx context.Context) {
	select {
	case w.refresh <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.refresh }()
	if w.LeaseState(time.Now()) == LeaseCurrent {
		return
	}
	w.ask(ctx)
}

// CatchUp waits until the service is known at a revision that a peer has already seen.
func (w *Watcher) CatchUp(ctx context.Context, service model.ServiceID, revision model.Revision) bool {
	if w.known(service) >= revision {
		return true
	}
	select {
	case w.refresh <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.refresh }()
	if w.known(service) < revision {
		w.ask(ctx)
	}
	return w.known(service) >= revision
}

func (w *Watcher) known(service model.ServiceID) model.Revision {
	s := w.Catalogue().Services[service]
	if s == nil {
		return 0
	}
	return s.Revision
}

func (w *Watcher) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range w.sourcesNow() {
		wg.Go(func() {
			if err := w.pollOnce(ctx, s.Control, s.Place.Region, 0); err != nil {
				w.cfg.Log.Debug().Err(err).Msg("watcher: refresh failed")
			}
		})
	}
	if w.budget.AllowN(time.Now(), 1) {
		wg.Go(func() {
			if err := w.listOnce(ctx); err != nil {
				w.cfg.Log.Debug().Err(err).Msg("watcher: refresh failed")
			}
		})
	}
	wg.Wait()
}
