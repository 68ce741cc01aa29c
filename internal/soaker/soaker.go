// Package soaker runs entries as separate processes, injects faults into them and into the systems around
// them, and checks what callers and backend servers see.
package soaker

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/tracer"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// Config is the configuration of a run.
type Config struct {
	// Program is the path of the program that each entry runs; Dir receives the settings and log files of
	// the entries.
	Program, Dir string
	Seed         uint64
	// Length is the duration of the run.
	Length time.Duration
	// Rate is the number of faults per second.
	Rate float64
	// Work adds planned work that is drawn from the seed: stops of entries beside changes of the plan, reloads and
	// backend servers that drain or leave.
	Work bool
	// Odd adds what odd neighbours do: entries that another writer left in the list of backend servers, servers that repeat
	// refusals, and servers that break streams off and answer with errors when these are resumed.
	Odd bool
	// Silent adds connections that fall silent while new ones work, and changes that must be followed all the same.
	Silent bool
	// Domains adds evacuations of failure domains, backend servers that return cold together, and an organisation that
	// may not be served in all regions.
	Domains bool
	// Faults replaces the faults that are drawn from the seed.
	Faults                    []Injection
	Entries, Servers, Callers int
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Faults int
	// Violations has one line for each violated invariant and for each failure of the soak itself.
	Violations []string
	// Traces has what is known of the requests that violations name, of the first ones if there are many.
	Traces []string
}

const host = "soak.example"

var zones = map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"}

// routes are the routes to which callers send requests.
var routes = []standin.Route{
	{Name: "read", Host: host, Prefix: "/read/", Kind: "idempotent", Service: "desk", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 3},
	{Name: "write", Host: host, Prefix: "/write/", Kind: "non_idempotent", Service: "desk", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 2},
	{Name: "chat", Host: host, Prefix: "/chat/", Kind: "streaming", Service: "models", Timeout: 6 * time.Second, Target: time.Second, Attempts: 3, Models: []string{"small", "large"}},
}

// soak is the state of one run.
type soak struct {
	cfg     Config
	store   *standin.Store
	http    *http.Server
	entries []*entry
	servers []*serverSlot
	// restarts waits for the backend servers that parts of prompts have crashed.
	restarts sync.WaitGroup
	// crashingSent counts the requests of sendCrashingRequests.
	crashingSent atomic.Uint64
	// domainMu lets one evacuation at a time write its object.
	domainMu sync.Mutex

	mu      sync.Mutex
	history history
	plan    standin.Plan
	// evacuated is the failure domain that the operator has evacuated, or empty.
	evacuated  string
	violations []string
}

// Run runs the soak with one seed and reports the violations. It returns an error if the store, a backend
// server or an entry does not start.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, store: standin.NewStore()}
	defer s.close()
	if err := s.launch(); err != nil {
		return Report{}, err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	records := make(chan record, 256)
	var callers, collector sync.WaitGroup
	collector.Go(func() {
		for r := range records {
			s.updateHistory(func(h *history) { h.Records = append(h.Records, r) })
		}
	})
	for i := range cfg.Callers {
		c := &caller{entry: s.entries[i%len(s.entries)], seed: cfg.Seed<<16 + uint64(i), nextKey: s.pickKey, results: records}
		callers.Go(func() { c.run(runCtx) })
	}
	injections := cfg.Faults
	if injections == nil {
		injections = drawInjections(cfg.Seed, cfg.Length, cfg.Rate)
		if cfg.Work {
			injections = append(injections, drawWork(cfg.Seed, cfg.Length)...)
		}
		if cfg.Odd {
			injections = append(injections, drawOddities(cfg.Seed, cfg.Length)...)
		}
		if cfg.Silent {
			injections = append(injections, drawSilences(cfg.Seed, cfg.Length)...)
		}
		if cfg.Domains {
			injections = append(injections, drawDomains(cfg.Seed, cfg.Length)...)
		}
		slices.SortStableFunc(injections, func(a, b Injection) int { return cmp.Compare(a.At, b.At) })
	}
	s.injectFaults(runCtx, injections)
	stop()
	callers.Wait()
	close(records)
	collector.Wait()
	s.stopAll()
	s.restarts.Wait()
	return s.report(len(injections)), nil
}

func (s *soak) report(faults int) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Report{Requests: len(s.history.Records), Faults: faults, Violations: slices.Clone(s.violations)}
	for _, r := range s.history.Records {
		if r.Complete && r.Status == http.StatusOK {
			out.Served++
		}
	}
	for _, e := range s.entries {
		out.Violations = append(out.Violations, e.problems...)
	}
	log, err := s.readLogs()
	if err != nil {
		out.Violations = append(out.Violations, err.Error())
		log = &tracer.Log{}
	}
	s.history.Logged = map[string]bool{}
	for _, r := range s.history.Records {
		if !r.Complete {
			_, s.history.Logged[r.ID] = log.Trace(r.ID)
		}
	}
	found := checkHistory(s.history)
	if out.Traces, err = s.traceViolations(found, log); err != nil {
		out.Violations = append(out.Violations, err.Error())
	}
	for _, v := range found {
		out.Violations = append(out.Violations, fmt.Sprintf("%s: request %s: %s", v.Invariant, v.Request, v.Detail))
	}
	return out
}

// updateHistory calls fn with the history while it holds the lock.
func (s *soak) updateHistory(fn func(*history)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.history)
}

const (
	// readyTimeout is how long an entry may take to become ready.
	readyTimeout = 10 * time.Second
	// keyCount is the number of keys; all but the first may be revoked.
	keyCount = 6
)

func (s *soak) launch() error {
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
	for i := range keyCount {
		s.plan.Keys[fmt.Sprintf("key-%d", i)] = []string{"mill", "shop"}[i%2]
	}
	if s.plan.Cold = s.cfg.Domains; s.cfg.Domains {
		s.plan.Regions = map[string][]string{domainOrganisation: domainRegions}
	}
	s.history.Domains = s.cfg.Domains
	s.history.KeyOwners, s.history.RevokedAt = maps.Clone(s.plan.Keys), map[string]time.Time{}
	if err := s.store.Publish(s.plan); err != nil {
		return err
	}
	zoneNames := slices.Sorted(maps.Keys(zones))
	for i := range s.cfg.Servers {
		srv := &serverSlot{index: i, service: []string{"desk", "models"}[i%2], zone: zoneNames[i/2%len(zoneNames)], store: s.store, onArrival: s.recordArrival}
		srv.onCrash = func(id, part string) { s.crashByPrompt(srv, id, part) }
		s.history.ServerZones = append(s.history.ServerZones, srv.zone)
		if s.cfg.Domains {
			srv.onCold = s.recordCold
		}
		if err := srv.launch(); err != nil {
			return err
		}
		s.servers = append(s.servers, srv)
	}
	for i := range s.cfg.Entries {
		e, err := newEntry(s.cfg.Program, s.cfg.Dir, standin.Entry{Name: fmt.Sprintf("entry-%d", i), Zone: zoneNames[i%len(zoneNames)], Domains: s.cfg.Domains}, l.Addr().String())
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if !s.awaitReady(e, readyTimeout) {
			return fmt.Errorf("entry %s is not ready after %v; its log ends with\n%s", e.Name, readyTimeout, e.logTail())
		}
	}
	return nil
}

func (s *soak) awaitReady(e *entry, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady(context.Background()) {
			return true
		}
	}
	return false
}

func (s *soak) recordArrival(a standin.Arrival) {
	s.updateHistory(func(h *history) { h.Arrivals = append(h.Arrivals, a) })
}

func (s *soak) recordCold(id string) {
	now := time.Now()
	s.updateHistory(func(h *history) { h.Cold = append(h.Cold, coldSpan{Server: id, From: now, To: now.Add(coldTime)}) })
}

// pickKey returns one of the keys, which may have been revoked.
func (s *soak) pickKey(now time.Time) string { return fmt.Sprintf("key-%d", now.UnixNano()%keyCount) }

// injectFaults injects each fault at its time and then waits for the rest of the run, which has no faults.
func (s *soak) injectFaults(ctx context.Context, injections []Injection) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, inj := range injections {
		sleep(ctx, time.Until(start.Add(inj.At)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { s.inject(ctx, inj) })
	}
	wg.Wait()
	s.updateHistory(func(h *history) { h.FaultsEnded = time.Now() })
	sleep(ctx, max(time.Until(start.Add(s.cfg.Length)), quietTime-time.Second))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stopAll stops the entries by SIGTERM, as the platform does.
func (s *soak) stopAll() {
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Go(func() { s.stopEntry(e, 0) })
	}
	wg.Wait()
}

// stopEntry ends an entry by SIGTERM and records a violation if it does not exit within its grace period. If second is
// above zero, it sends a second SIGTERM that much later.
func (s *soak) stopEntry(e *entry, second time.Duration) {
	s.updateHistory(func(h *history) { h.Stops = append(h.Stops, entryStopped{Entry: e.Name, At: time.Now()}) })
	if second > 0 {
		t := time.AfterFunc(second, func() { e.signalStopping(syscall.SIGTERM) })
		defer t.Stop()
	}
	if took, ok := e.terminate(syscall.SIGTERM, standin.GraceS*time.Second); !ok {
		s.mu.Lock()
		s.violations = append(s.violations, fmt.Sprintf("planned stops: entry %s was still running %v after SIGTERM", e.Name, took.Round(time.Millisecond)))
		s.mu.Unlock()
	}
}

func (s *soak) close() {
	var errs []error
	for _, e := range s.entries {
		e.mu.Lock()
		exited := e.exited
		e.mu.Unlock()
		select {
		case <-exited:
		default:
			e.terminate(syscall.SIGKILL, time.Second)
		}
		e.callers.goDown()
		e.store.goDown()
		releasePorts(e.ports)
		errs = append(errs, e.logFile.Close())
	}
	for _, srv := range s.servers {
		srv.crash()
	}
	if s.http != nil {
		errs = append(errs, s.http.Close())
	}
	if err := errors.Join(errs...); err != nil {
		s.violations = append(s.violations, err.Error())
	}
}
