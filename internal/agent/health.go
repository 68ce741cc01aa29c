package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
	// crashDialAttempts and crashDialInterval spread the crash check over half a second.
	crashDialAttempts = 20
	crashDialInterval = 25 * time.Millisecond
	// quarantineSpreadDelay lets a quarantine reach every instance before the caller is answered
	// and can retry.
	quarantineSpreadDelay = time.Second
	// maxCrashReportAttempts bounds how many entries the agent asks to record a crash.
	maxCrashReportAttempts = 3
	// maxLoadBytes bounds the list of an engine's versions.
	maxLoadBytes = 1 << 20
)

// probe periodically updates the backend server's health and its loaded versions.
func (a *Agent) probe(ctx context.Context) {
	for ctx.Err() == nil {
		a.probeOnce(ctx)
		pauser.Pause(ctx, probeInterval)
	}
}

func (a *Agent) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	versions, err := a.backend.probe(ctx)
	healthy := err == nil
	if healthy != a.backend.healthy.Load() {
		a.cfg.Log.Info().Bool("healthy", healthy).Msg("agent: backend server health changed")
	}
	if healthy {
		a.backend.loadedVersions.Store(&versions)
	}
	a.backend.healthy.Store(healthy)
	a.publishLoad()
}

// probe asks an engine for its loaded versions; for a plain service it only opens a connection.
func (b *backend) probe(ctx context.Context) ([]model.VersionID, error) {
	if b.cfg.Kind == model.KindPlain {
		return nil, b.dial(ctx)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.cfg.URL+"/load", nil)
	if err != nil {
		return nil, fmt.Errorf("build probe: %w", err)
	}
	resp, err := b.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("probe engine: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe engine: status %d", resp.StatusCode)
	}
	var v struct {
		Versions []model.VersionID `json:"versions"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&v); err != nil {
		return nil, fmt.Errorf("decode engine load: %w", err)
	}
	return v.Versions, nil
}

func (b *backend) dial(ctx context.Context) error {
	u, err := url.Parse(b.cfg.URL)
	if err != nil {
		return fmt.Errorf("parse backend URL: %w", err)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return fmt.Errorf("dial backend server: %w", err)
	}
	return conn.Close()
}

// crashCheck is one check for a crash of the backend server. The failed requests wait until it
// is done before their callers are answered.
type crashCheck struct {
	done chan struct{}
}

// crashDetector holds the crash check in progress, if there is one.
type crashDetector struct {
	mu      sync.Mutex
	current *crashCheck
}

// awaitCrashCheck waits until the agent has checked whether the backend server crashed and, if it
// did, has reported the crash. Requests that fail together share one check.
func (a *Agent) awaitCrashCheck(w messenger.Work) {
	a.crashDetector.mu.Lock()
	c := a.crashDetector.current
	if c == nil {
		c = &crashCheck{done: make(chan struct{})}
		a.crashDetector.current = c
		go a.checkForCrash(c, a.runningFingerprints(w))
	}
	a.crashDetector.mu.Unlock()
	<-c.done
}

func (a *Agent) checkForCrash(c *crashCheck, suspects []model.Fingerprint) {
	if a.backendUnreachable() {
		a.backend.healthy.Store(false)
		a.publishLoad()
		a.reportCrash(suspects)
	}
	a.crashDetector.mu.Lock()
	a.crashDetector.current = nil
	a.crashDetector.mu.Unlock()
	close(c.done)
}

// backendUnreachable reports whether the backend server refuses connections. A process that exits
// closes its connections and its listener one after the other, so a single successful dial does
// not prove that it still runs.
func (a *Agent) backendUnreachable() bool {
	for range crashDialAttempts {
		ctx, cancel := context.WithTimeout(a.baseCtx, probeTimeout)
		err := a.backend.dial(ctx)
		cancel()
		if err != nil {
			return true
		}
		pauser.Pause(a.baseCtx, crashDialInterval)
	}
	return false
}

// runningFingerprints returns the fingerprints of w and of the requests handed to the backend
// server that have not finished.
func (a *Agent) runningFingerprints(w messenger.Work) []model.Fingerprint {
	out := []model.Fingerprint{w.Fingerprint}
	a.runs.forEach(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stage == stageHandedOver && r.work.Fingerprint != w.Fingerprint {
			out = append(out, r.work.Fingerprint)
		}
	})
	return out
}

func (a *Agent) reportCrash(suspects []model.Fingerprint) {
	a.cfg.Log.Warn().Int("suspects", len(suspects)).Msg("agent: backend server crashed")
	in := messenger.SuspectRequest{
		Instance:     a.cfg.Settings.Instance,
		Service:      a.cfg.Settings.Service,
		Fingerprints: suspects,
		Crash:        uint64(time.Now().UnixNano()),
	}
	entries := registrar.Rank("suspect/"+string(in.Instance), a.cfg.Watcher.View().Entries())
	for _, e := range entries[:min(maxCrashReportAttempts, len(entries))] {
		ctx, cancel := context.WithTimeout(a.baseCtx, 3*time.Second)
		_, err := messenger.Call[messenger.Empty](ctx, a.cfg.Pool, e.Control, messenger.MethodSuspect, in)
		cancel()
		if err == nil {
			break
		}
		a.cfg.Log.Warn().Err(err).Msg("agent: crash report to an entry failed")
	}
	pauser.Pause(a.baseCtx, quarantineSpreadDelay)
}

// isSuspect reports whether the request was running when a backend server crashed; if so, it must
// run alone.
func (a *Agent) isSuspect(f model.Fingerprint) bool {
	_, ok := a.cfg.Watcher.Catalogue().Quarantine.Suspects[f]
	return ok
}

// isBanned reports whether the quarantine bans the request at now.
func (a *Agent) isBanned(f model.Fingerprint, now time.Time) bool {
	return now.Before(a.cfg.Watcher.Catalogue().Quarantine.Banned[f])
}
