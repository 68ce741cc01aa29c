package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// LeaseState returns the watcher's lease state at now.
func (w *Watcher) LeaseState(now time.Time) LeaseState {
	contacts := ContactTimes{Confirmed: w.feed.Confirmed(), AnsweredAt: map[model.RegionID]time.Time{}}
	w.mu.Lock()
	for _, s := range w.currentSources() {
		contacts.AnsweredAt[s.Place.Region] = w.answeredAt[s.Place.Region]
	}
	w.mu.Unlock()
	return EvaluateLease(contacts, w.cfg.Lease, now)
}

// CheckLease decides whether new work may start on a service: it returns nil or the refusal. A
// process whose lease has run out refreshes its copy first. If it is still cut off, the service
// document's cutoff setting decides.
func (w *Watcher) CheckLease(ctx context.Context, service model.ServiceID) *model.Refusal {
	if w.LeaseState(time.Now()) == LeaseCurrent {
		return nil
	}
	w.Refresh(ctx)
	return w.checkLeaseAt(service, time.Now())
}

func (w *Watcher) checkLeaseAt(service model.ServiceID, now time.Time) *model.Refusal {
	switch w.LeaseState(now) {
	case LeaseCurrent:
		return nil
	case LeaseOutage:
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

// Refresh reads all sources and the platform at once; concurrent callers share one refresh.
func (w *Watcher) Refresh(ctx context.Context) {
	select {
	case w.refreshSlot <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.refreshSlot }()
	if w.LeaseState(time.Now()) == LeaseCurrent {
		return
	}
	w.readAllSources(ctx)
}

// CatchUp refreshes until the process knows the service at a revision that a peer has already seen,
// and reports whether it does.
func (w *Watcher) CatchUp(ctx context.Context, service model.ServiceID, revision model.Revision) bool {
	if w.knownRevision(service) >= revision {
		return true
	}
	select {
	case w.refreshSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.refreshSlot }()
	if w.knownRevision(service) < revision {
		w.readAllSources(ctx)
	}
	return w.knownRevision(service) >= revision
}

func (w *Watcher) knownRevision(service model.ServiceID) model.Revision {
	s := w.Catalogue().Services[service]
	if s == nil {
		return 0
	}
	return s.Revision
}

func (w *Watcher) readAllSources(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range w.currentSources() {
		wg.Go(func() {
			if err := w.pollOnce(ctx, s.Control, s.Place.Region, 0); err != nil {
				w.cfg.Log.Debug().Err(err).Msg("watcher: refresh from a source failed")
			}
		})
	}
	if w.readLimiter.AllowN(time.Now(), 1) {
		wg.Go(func() {
			if err := w.listOnce(ctx); err != nil {
				w.cfg.Log.Debug().Err(err).Msg("watcher: refresh from the platform failed")
			}
		})
	}
	wg.Wait()
}
