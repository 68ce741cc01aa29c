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
	// Crash, if not empty, is a text; a request whose body contains it crashes the service.
	Crash string `json:"crash"`
	// Reset closes the connection of each request without a response, after the request ran.
	Reset bool `json:"reset"`
	// Delay is added before each response.
	Delay time.Duration `json:"delay"`
}

// Plain is a stand-in for a plain service. It counts how often each call ran.
type Plain struct {
	mu     sync.Mutex
	faults PlainFaults
	counts map[string]int
	total  int
	crash  func()
}

// PlainConfig configures a Plain service. Crash is called when a request crashes the service.
type PlainConfig struct {
	Faults PlainFaults
	Crash  func()
}

// NewPlain returns a plain service.
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

// Handler returns the HTTP handler of the service. GET /counts returns how often each call ran, POST
// /faults replaces the fault switches, and any other request is a call.
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
	body := strings.TrimSpace(string(readBody(r)))
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
	writeJSON(w, http.StatusOK, jsonObject{"call": n, "method": r.Method, "path": r.URL.Path, "body": body})
}
