// Package soaker runs entries as processes of their own, harms them and all around them from outside,
// and checks what callers and backend servers see.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// Config configures a run.
type Config struct {
	// Program is the path of the program whose processes are run, Dir takes their settings and logs.
	Program, Dir string
	Seed         uint64
	// Length is the time of the run.
	Length time.Duration
	// Rate is the number of faults a second.
	Rate                      float64
	Entries, Servers, Callers int
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Faults int
	// Violations holds the promises that were broken, a line each.
	Violations []string
}

const host = "soak.example"

var zones = map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"}

// routes are what the callers ask for.
var routes = []standin.Route{
	{Name: "read", Host: host, Prefix: "/read/", Kind: "idempotent", Service: "desk", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 3},
	{Name: "write", Host: host, Prefix: "/write/", Kind: "non_idempotent", Service: "desk", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 2},
	{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "models", Timeout: 6 * time.Second, Target: time.Second, Attempts: 3, Models: []string{"small", "large"}},
}

// soak is one run.
type soak struct {
	cfg     Config
	store   *standin.Store
	http    *http.Server
	entries []*entry
	servers []*server

	mu      sync.Mutex
	history history
	plan    standin.Plan
	broken  []string
}

// Run plays one seed and returns what was broken; the error tells that the run itself failed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, store: standin.NewStore()}
	defer s.close()
	if err := s.begin(); err != nil {
		return Report{}, err
	}
	life, stop := context.WithCancel(ctx)
	defer stop()
	records := make(chan record, 256)
	var callers, collector sync.WaitGroup
	collector.Go(func() {
		for r := range records {
			s.note(func(h *history) { h.Records = append(h.Records, r) })
		}
	})
	for i := range cfg.Callers {
		c := &caller{entry: s.entries[i%len(s.entries)], seed: cfg.Seed<<16 + uint64(i), keys: s.key, out: records}
		callers.Go(func() { c.run(life) })
	}
	blows := draw(cfg.Seed, cfg.Length, cfg.Rate)
	s.play(life, blows)
	stop()
	callers.Wait()
	close(records)
	collector.Wait()
	s.endAll()
	return s.report(len(blows)), nil
}

func (s *soak) report(faults int) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Report{Requests: len(s.history.Records), Faults: faults, Violations: slices.Clone(s.broken)}
	for _, r := range s.history.Records {
		if r.Whole && r.Status == http.StatusOK {
			out.Served++
		}
	}
	for _, e := range s.entries {
		out.Violations = append(out.Violations, e.ends...)
	}
	for _, v := range check(s.history) {
		out.Violations = append(out.Violations, fmt.Sprintf("%s: request %s: %s", v.Promise, v.Request, v.Text))
	}
	return out
}

// note changes the history.
func (s *soak) note(fn func(*history)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.history)
}

const (
	// readyWait is how long entries may take to be ready at the start.
	readyWait = 10 * time.Second
	// sharedKeys is the number of keys, of which all but the first may be revoked.
	sharedKeys = 6
)

func (s *soak) begin() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns at the end of the run.
		_ = s.http.Serve(l)
	}()
	s.plan = standin.Plan{Version: 1, Routes: routes, Keys: map[string]string{}}
	for i := range sharedKeys {
		s.plan.Keys[fmt.Sprintf("key-%d", i)] = []string{"mill", "shop"}[i%2]
	}
	s.history.Owners, s.history.Revoked = maps.Clone(s.plan.Keys), map[string]time.Time{}
	if err := s.store.Publish(s.plan); err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(zones))
	for i := range s.cfg.Servers {
		b := &server{slot: i, service: []string{"desk", "models"}[i%2], zone: names[i/2%len(names)], store: s.store, seen: s.arrived}
		if err := b.begin(); err != nil {
			return err
		}
		s.servers = append(s.servers, b)
	}
	for i := range s.cfg.Entries {
		e, err := newEntry(s.cfg.Program, s.cfg.Dir, fmt.Sprintf("entry-%d", i), names[i%len(names)], l.Addr().String())
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if !s.awaitReady(e, readyWait) {
			return fmt.Errorf("entry %s is not ready after %v", e.Name, readyWait)
		}
	}
	return nil
}

func (s *soak) awaitReady(e *entry, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.ready(context.Background()) {
			return true
		}
	}
	return false
}

func (s *soak) arrived(a standin.Arrival) {
	s.note(func(h *history) { h.Arrivals = append(h.Arrivals, a) })
}

// key returns a key for a caller, revoked ones included.
func (s *soak) key(now time.Time) string { return fmt.Sprintf("key-%d", now.UnixNano()%sharedKeys) }

// play lets the faults happen and waits for the calm at the end.
func (s *soak) play(ctx context.Context, blows []blow) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, b := range blows {
		sleep(ctx, time.Until(start.Add(b.At)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { s.strike(ctx, b) })
	}
	wg.Wait()
	s.note(func(h *history) { h.Calm = time.Now() })
	sleep(ctx, max(time.Until(start.Add(s.cfg.Length)), calmEnd-time.Second))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// endAll stops the entries as the platform does.
func (s *soak) endAll() {
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Go(func() { s.stop(e) })
	}
	wg.Wait()
}

// stop ends an entry by SIGTERM; it must be gone within its grace.
func (s *soak) stop(e *entry) {
	if took, ok := e.end(syscall.SIGTERM, standin.GraceS*time.Second); !ok {
		s.mu.Lock()
		s.broken = append(s.broken, fmt.Sprintf("planned stops: entry %s was not gone %v after SIGTERM", e.Name, took.Round(time.Millisecond)))
		s.mu.Unlock()
	}
}

func (s *soak) close() {
	var errs []error
	for _, e := range s.entries {
		e.mu.Lock()
		done := e.done
		e.mu.Unlock()
		select {
		case <-done:
		default:
			e.end(syscall.SIGKILL, time.Second)
		}
		e.callers.close()
		e.store.close()
		errs = append(errs, e.log.Close())
	}
	for _, b := range s.servers {
		b.crash()
		b.link.close()
	}
	if s.http != nil {
		errs = append(errs, s.http.Close())
	}
	if err := errors.Join(errs...); err != nil {
		s.broken = append(s.broken, err.Error())
	}
}
