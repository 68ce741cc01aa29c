package standin

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"sync"
)

// Rating is the body of a request to the rating service and of its response. Quality is from 0 to 1.
type Rating struct {
	Request string  `json:"request"`
	Version string  `json:"version"`
	Prompt  string  `json:"prompt,omitempty"`
	Answer  string  `json:"answer,omitempty"`
	Quality float64 `json:"quality"`
}

// ratingSpread is the largest difference between the rating of an answer and the mean quality of its
// version.
const ratingSpread = 0.2

// Rater is a stand-in for the rating service. Each version has a mean quality; the rating of an answer
// differs from it by an amount that depends on a hash of the answer.
type Rater struct {
	mu      sync.Mutex
	quality map[string]float64
	down    bool
}

// NewRater returns a rater. The mean quality of a version that is not in the map is 0.9.
func NewRater(quality map[string]float64) *Rater {
	return &Rater{quality: quality}
}

// SetDown sets whether the rater refuses all ratings.
func (r *Rater) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Handler returns the HTTP handler of the rater: POST /rate rates an answer, POST /quality replaces the
// qualities of the versions.
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
	q += ratingSpread * (2*float64(h.Sum32()%1000)/1000 - 1)
	writeJSON(w, http.StatusOK, Rating{Request: in.Request, Version: in.Version, Quality: min(max(q, 0), 1)})
}
