package standin

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"sync"
)

// Rating is one question to the rating service and its answer.
type Rating struct {
	Request string  `json:"request"`
	Version string  `json:"version"`
	Prompt  string  `json:"prompt,omitempty"`
	Answer  string  `json:"answer,omitempty"`
	Quality float64 `json:"quality"`
}

// raterSpread is how far the ratings of single answers lie around a version's quality.
const raterSpread = 0.2

// Rater is a stand-in of the rating service: each version has a mean quality, around which
// answers differ by their text.
type Rater struct {
	mu      sync.Mutex
	quality map[string]float64
	down    bool
}

// NewRater returns a rater; versions without a quality rate as 0.9.
func NewRater(quality map[string]float64) *Rater {
	return &Rater{quality: quality}
}

// SetDown makes the rater refuse.
func (r *Rater) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Handler serves POST /rate.
func (r *Rater) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rate", r.serve)
	mux.HandleFunc("POST /quality", r.serveQuality)
	return mux
}

func (r *Rater) serveQuality(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := map[string]float64{}
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		http.Error(w, "send qualities as JSON", http.StatusBadRequest)
		return
	}
	r.quality = q
	writeJSON(w, http.StatusOK, q)
}

func (r *Rater) serve(w http.ResponseWriter, req *http.Request) {
	var in Rating
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		http.Error(w, "send a rating as JSON", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	q, ok := r.quality[in.Version]
	if !ok {
		q = 0.9
	}
	h := fnv.New32a()
	h.Write([]byte(in.Answer))
	q += raterSpread * (2*float64(h.Sum32()%1000)/1000 - 1)
	writeJSON(w, http.StatusOK, Rating{Request: in.Request, Version: in.Version, Quality: min(max(q, 0), 1)})
}
