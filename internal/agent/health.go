package agent

import (
	"context"
	"encoding/json"
	"fmt"
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
	probeEvery   = 250 * time.Millisecond
	probeTimeout = time.Second
	// deathProbes and deathPause spread the look for a dead backend server over half a second.
	deathProbes = 20
	deathPause  = 25 * time.Millisecond
	// crashPause lets a quarantine reach every instance before the caller can send again.
	crashPause = time.Second
	// entriesTried bounds how many entries are asked to record a crash.
	entriesTried = 3
)

// probe keeps the backend server's health and its loaded versions current.
func (a *Agent) probe(ctx context.Context) {
	for ctx.Err() == nil {
		a.probeOnce(ctx)
		pauser.Pause(ctx, probeEvery)
	}
}

func (a *Agent) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	versions, err := a.backend.probe(ctx)
	healthy := err == nil
	if healthy != a.backend.healthy.Load() {
		a.cfg.Log.Info().Bool("healthy", healthy).Msg("agent: backend server changed health")
	}
	if healthy {
		a.backend.loaded.Store(&versions)
	}
	a.backend.healthy.Store(healthy)
	a.publishLoad()
}

// probe asks an engine for its versions and a plain service for a connection.
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
	var v struct {
		Versions []model.VersionID `json:"versions"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
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

// crash is one loss of the backend server; all requests that were running wait for its
// report before their callers learn of it.
type crash struct {
	reported chan struct{}
}

// crashes finds out whether a failed request took the backend server with it.
type crashes struct {
	mu      sync.Mutex
	current *crash
}

// inspect waits until it is known whether a failed request took the backend server with it,
// and if so until the crash is reported. Requests that fail together share one inspection.
func (a *Agent) inspect(w messenger.Work) {
	a.crashes.mu.Lock()
	c := a.crashes.current
	if c == nil {
		c = &crash{reported: make(chan struct{})}
		a.crashes.current = c
		go a.investigate(c, a.suspects(w))
	}
	a.crashes.mu.Unlock()
	<-c.reported
}

func (a *Agent) investigate(c *crash, suspects []model.Fingerprint) {
	if a.died() {
		a.backend.healthy.Store(false)
		a.publishLoad()
		a.reportCrash(suspects)
	}
	a.crashes.mu.Lock()
	a.crashes.current = nil
	a.crashes.mu.Unlock()
	close(c.reported)
}

// died reports whether the backend server takes no connections. A process that ends closes
// its connections and its listener one after the other, so one successful dial says nothing.
func (a *Agent) died() bool {
	for range deathProbes {
		ctx, cancel := context.WithTimeout(a.stop, probeTimeout)
		err := a.backend.dial(ctx)
		cancel()
		if err != nil {
			return true
		}
		pauser.Pause(a.stop, deathPause)
	}
	return false
}

// suspects lists the fingerprints of everything that was running.
func (a *Agent) suspects(w messenger.Work) []model.Fingerprint {
	out := []model.Fingerprint{w.Fingerprint}
	a.runs.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stage == stageHanded && r.work.Fingerprint != w.Fingerprint {
			out = append(out, r.work.Fingerprint)
		}
	})
	return out
}

func (a *Agent) reportCrash(suspects []model.Fingerprint) {
	a.cfg.Log.Warn().Int("suspects", len(suspects)).Msg("agent: backend server died")
	in := messenger.SuspectRequest{
		Instance:     a.cfg.Settings.Instance,
		Service:      a.cfg.Settings.Service,
		Fingerprints: suspects,
		Crash:        uint64(time.Now().UnixNano()),
	}
	entries := registrar.Rank("suspect/"+string(in.Instance), a.cfg.Watcher.View().Entries())
	for _, e := range entries[:min(entriesTried, len(entries))] {
		ctx, cancel := context.WithTimeout(a.stop, 3*time.Second)
		_, err := messenger.Call[messenger.Empty](ctx, a.cfg.Pool, e.Control, messenger.MethodSuspect, in)
		cancel()
		if err == nil {
			break
		}
		a.cfg.Log.Warn().Err(err).Msg("agent: crash report failed")
	}
	pauser.Pause(a.stop, crashPause)
}

// suspected reports whether the request was running at a crash and must run alone.
func (a *Agent) suspected(f model.Fingerprint) bool {
	_, ok := a.cfg.Watcher.Catalogue().Quarantine.Suspects[f]
	return ok
}

// banned reports whether the request is in quarantine.
func (a *Agent) banned(f model.Fingerprint, now time.Time) bool {
	return now.Before(a.cfg.Watcher.Catalogue().Quarantine.Banned[f])
}
