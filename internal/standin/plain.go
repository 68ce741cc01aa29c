package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlainFaults are the fault switches of a Plain service.
type PlainFaults struct {
	Crash string        `json:"crash"`
	Reset bool          `json:"reset"`
	Delay time.Duration `json:"delay"`
}

// Plain is a stand-in of a plain service that counts how often each call ran.
type Plain struct {
	mu     sync.Mutex
	faults PlainFaults
	counts map[string]int
	total  int
	crash  func()
}

// PlainConfig configures a Plain service.
type PlainConfig struct {
	Faults PlainFaults
	Crash  func()
}

// NewPlain returns a plain service without calls.
func NewPlain(cfg PlainConfig) *Plain {
	return &Plain{faults: cfg.Faults, counts: map[string]int{}, crash: cfg.Crash}
}

// SetFaults replaces the fault switches.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Count returns how often a call with the method, path and body ran.
func (p *Plain) Count(method, path, body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[method+" "+path+" "+body]
}

// Handler serves the service; GET /counts lists the executions.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", p.serveCounts)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *Plain) serveCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.counts)
}

func (p *Plain) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlainFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "send the switches as JSON", http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body := strings.TrimSpace(string(readAll(r)))
	p.mu.Lock()
	f := p.faults
	p.total++
	n := p.total
	p.counts[r.Method+" "+r.URL.Path+" "+body]++
	p.mu.Unlock()
	if f.Crash != "" && strings.Contains(body, f.Crash) && p.crash != nil {
		p.crash()
		abort(w)
		return
	}
	time.Sleep(f.Delay)
	if f.Reset {
		abort(w)
		return
	}
	writeJSON(w, http.StatusOK, object{"call": n, "method": r.Method, "path": r.URL.Path, "body": body})
}
