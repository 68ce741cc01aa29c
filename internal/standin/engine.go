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
	// Crash, if not empty, is a text; a request whose body contains it crashes the engine.
	Crash string `json:"crash"`
	// TruncateAfter, if above 0, aborts a stream after this number of tokens and any other response before
	// its first byte.
	TruncateAfter int `json:"truncate"`
	// OmitEnd ends a stream without the usage and the [DONE] event.
	OmitEnd bool `json:"short"`
	// FailAll returns status 500 for all completions, FailVersion for those of one version.
	FailAll     bool   `json:"fail"`
	FailVersion string `json:"bad"`
	// FirstTokenDelay is the delay before a response, TokenDelay the delay for each of its tokens.
	FirstTokenDelay time.Duration `json:"first"`
	TokenDelay      time.Duration `json:"token"`
}

// EngineConfig configures an Engine. With Fencing it refuses orders with an old fencing number;
// Crash is called when a request crashes the engine.
type EngineConfig struct {
	Versions []string
	Fencing  bool
	Faults   EngineFaults
	Crash    func()
}

// Engine is a stand-in for a model engine with the usual completions API.
type Engine struct {
	cfg               EngineConfig
	mu                sync.Mutex
	versions          []string
	faults            EngineFaults
	fence             uint64
	running           int
	served            int
	requestsByVersion map[string]int
	orders            []EngineOrder
}

// EngineOrder is an order to load or unload a version.
type EngineOrder struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// EngineLoad is the engine's load report.
type EngineLoad struct {
	Running int `json:"running"`
	Served  int `json:"served"`
	// ByVersion is the number of requests for each version.
	ByVersion map[string]int `json:"byversion"`
	Versions  []string       `json:"versions"`
	Fence     uint64         `json:"fence"`
}

// NewEngine returns an engine that serves the configured versions.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, versions: slices.Clone(cfg.Versions), faults: cfg.Faults, requestsByVersion: map[string]int{}}
}

// Handler returns the HTTP handler of the engine's API, with POST /faults for the fault switches.
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
	return EngineLoad{Running: e.running, Served: e.served, ByVersion: maps.Clone(e.requestsByVersion), Versions: slices.Clone(e.versions), Fence: e.fence}
}

// Orders returns the orders that took effect, oldest first.
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
	body := readBody(r)
	f, ok := e.beginRequest(string(body))
	defer e.endRequest()
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
	if f.FailAll || f.FailVersion != "" && f.FailVersion == c.Model {
		http.Error(w, `{"error":"engine failure"}`, http.StatusInternalServerError)
		return
	}
	if !slices.Contains(e.Load().Versions, c.Model) {
		http.Error(w, `{"error":"version is not loaded"}`, http.StatusNotFound)
		return
	}
	e.countRequest(c.Model)
	a := newAnswer(&c, chat)
	if !waitOrCancel(r, f.FirstTokenDelay) {
		return
	}
	if c.Stream {
		e.stream(w, r, a, f)
		return
	}
	if !waitOrCancel(r, f.TokenDelay*time.Duration(len(a.words))) {
		return
	}
	if f.TruncateAfter > 0 {
		abort(w)
		return
	}
	writeJSON(w, http.StatusOK, a.response())
}

func (e *Engine) beginRequest(body string) (EngineFaults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.served++
	crash := e.faults.Crash != "" && strings.Contains(body, e.faults.Crash) && e.cfg.Crash != nil
	return e.faults, !crash
}

func (e *Engine) countRequest(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestsByVersion[version]++
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for i := range a.words {
		if f.TruncateAfter > 0 && i == f.TruncateAfter {
			abort(w)
			return
		}
		if !waitOrCancel(r, f.TokenDelay) {
			return
		}
		writeEvent(w, a.tokenEvent(i))
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	if f.OmitEnd {
		return
	}
	writeEvent(w, a.usageEvent())
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", b)
}

// waitOrCancel waits for d and reports whether the client is still connected.
func waitOrCancel(r *http.Request, d time.Duration) bool {
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

// answer is the deterministic text of one response. Each word contains a hash of the prompt, so that a test
// can match a response to its request.
type answer struct {
	model        string
	words        []string
	promptTokens int
	chat         bool
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
	return answer{model: c.Model, words: words, promptTokens: len(strings.Fields(c.text())), chat: chat}
}

type jsonObject map[string]any

func (a answer) usageCounts() jsonObject {
	return jsonObject{"prompt_tokens": a.promptTokens, "completion_tokens": len(a.words), "total_tokens": a.promptTokens + len(a.words)}
}

func (a answer) response() jsonObject {
	text := strings.Join(a.words, "")
	choice := jsonObject{"index": 0, "finish_reason": "stop", "text": text}
	kind := "text_completion"
	if a.chat {
		choice = jsonObject{"index": 0, "finish_reason": "stop", "message": jsonObject{"role": "assistant", "content": text}}
		kind = "chat.completion"
	}
	return jsonObject{"object": kind, "model": a.model, "choices": []jsonObject{choice}, "usage": a.usageCounts()}
}

func (a answer) tokenEvent(i int) jsonObject {
	choice := jsonObject{"index": 0, "text": a.words[i]}
	kind := "text_completion"
	if a.chat {
		choice = jsonObject{"index": 0, "delta": jsonObject{"content": a.words[i]}}
		kind = "chat.completion.chunk"
	}
	return jsonObject{"object": kind, "model": a.model, "choices": []jsonObject{choice}}
}

func (a answer) usageEvent() jsonObject {
	return jsonObject{"object": "chat.completion.chunk", "model": a.model, "choices": []jsonObject{}, "usage": a.usageCounts()}
}
