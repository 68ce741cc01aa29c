package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultTokens = 16
	maxTokens     = 4096
)

// EngineFaults are the fault switches of an Engine.
type EngineFaults struct {
	Crash    string        `json:"crash"`
	Truncate int           `json:"truncate"`
	Short    bool          `json:"short"`
	Fail     bool          `json:"fail"`
	Bad      string        `json:"bad"`
	First    time.Duration `json:"first"`
	Token    time.Duration `json:"token"`
}

// EngineConfig configures an Engine; Fencing tells whether it refuses old fencing numbers.
type EngineConfig struct {
	Versions []string
	Fencing  bool
	Faults   EngineFaults
	Crash    func()
}

// Engine is a stand-in of a model engine with the usual completions API.
type Engine struct {
	cfg       EngineConfig
	mu        sync.Mutex
	versions  []string
	faults    EngineFaults
	fence     uint64
	running   int
	served    int
	versioned map[string]int
	orders    []EngineOrder
}

// EngineOrder loads or unloads a version.
type EngineOrder struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// EngineLoad is the engine's load report.
type EngineLoad struct {
	Running int `json:"running"`
	Served  int `json:"served"`
	// ByVersion counts the requests of each version.
	ByVersion map[string]int `json:"byversion"`
	Versions  []string       `json:"versions"`
	Fence     uint64         `json:"fence"`
}

// NewEngine returns an engine that serves the configured versions.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, versions: slices.Clone(cfg.Versions), faults: cfg.Faults, versioned: map[string]int{}}
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}

// Load returns the engine's current load.
func (e *Engine) Load() EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineLoad{Running: e.running, Served: e.served, ByVersion: maps.Clone(e.versioned), Versions: slices.Clone(e.versions), Fence: e.fence}
}

// Orders returns the orders that took effect.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Load())
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "send the switches as JSON", http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "send an order as JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == o.Version })
	if o.Action == "load" {
		e.versions = append(e.versions, o.Version)
	}
	e.orders = append(e.orders, o)
	writeJSON(w, http.StatusOK, struct{}{})
}

// completion is the part of a completions request that the stand-in reads.
type completion struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Tokens   int    `json:"max_tokens"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *completion) text() string {
	parts := []string{c.Prompt}
	for _, m := range c.Messages {
		parts = append(parts, m.Content)
	}
	return strings.TrimSpace(strings.Join(parts, " "))
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body := readAll(r)
	f, ok := e.begin(string(body))
	defer e.end()
	if !ok {
		e.cfg.Crash()
		abort(w)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, `{"error":"bad JSON"}`, http.StatusBadRequest)
		return
	}
	if f.Fail || f.Bad != "" && f.Bad == c.Model {
		http.Error(w, `{"error":"engine failure"}`, http.StatusInternalServerError)
		return
	}
	if !slices.Contains(e.Load().Versions, c.Model) {
		http.Error(w, `{"error":"version is not loaded"}`, http.StatusNotFound)
		return
	}
	e.count(c.Model)
	a := newAnswer(&c, chat)
	if !sleep(r, f.First) {
		return
	}
	if c.Stream {
		e.stream(w, r, a, f)
		return
	}
	if !sleep(r, f.Token*time.Duration(len(a.words))) {
		return
	}
	if f.Truncate > 0 {
		abort(w)
		return
	}
	writeJSON(w, http.StatusOK, a.whole())
}

func (e *Engine) begin(body string) (EngineFaults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.served++
	crash := e.faults.Crash != "" && strings.Contains(body, e.faults.Crash) && e.cfg.Crash != nil
	return e.faults, !crash
}

func (e *Engine) count(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versioned[version]++
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for i := range a.words {
		if f.Truncate > 0 && i == f.Truncate {
			abort(w)
			return
		}
		if !sleep(r, f.Token) {
			return
		}
		writeEvent(w, a.chunk(i))
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	if f.Short {
		return
	}
	writeEvent(w, a.usage())
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", b)
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// answer is the deterministic text that a request gets, recognisable by its prompt.
type answer struct {
	model string
	words []string
	in    int
	chat  bool
}

func newAnswer(c *completion, chat bool) answer {
	n := c.Tokens
	if n <= 0 {
		n = defaultTokens
	}
	n = min(n, maxTokens)
	h := fnv.New32a()
	h.Write([]byte(c.text()))
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("w%d-%x ", i, h.Sum32())
	}
	return answer{model: c.Model, words: words, in: len(strings.Fields(c.text())), chat: chat}
}

type object map[string]any

func (a answer) counts() object {
	return object{"prompt_tokens": a.in, "completion_tokens": len(a.words), "total_tokens": a.in + len(a.words)}
}

func (a answer) whole() object {
	text := strings.Join(a.words, "")
	choice := object{"index": 0, "finish_reason": "stop", "text": text}
	kind := "text_completion"
	if a.chat {
		choice = object{"index": 0, "finish_reason": "stop", "message": object{"role": "assistant", "content": text}}
		kind = "chat.completion"
	}
	return object{"object": kind, "model": a.model, "choices": []object{choice}, "usage": a.counts()}
}

func (a answer) chunk(i int) object {
	choice := object{"index": 0, "text": a.words[i]}
	kind := "text_completion"
	if a.chat {
		choice = object{"index": 0, "delta": object{"content": a.words[i]}}
		kind = "chat.completion.chunk"
	}
	return object{"object": kind, "model": a.model, "choices": []object{choice}}
}

func (a answer) usage() object {
	return object{"object": "chat.completion.chunk", "model": a.model, "choices": []object{}, "usage": a.counts()}
}
