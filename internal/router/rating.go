package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	rateTimeout = 2 * time.Second
	rateQueue   = 1024
	rateWorkers = 4
	// repeatShare is the part of first answers that are rated twice.
	repeatShare = 0.2
)

// raterConfig configures a raterClient; an empty URL means that nothing is rated.
type raterConfig struct {
	URL string
	Log zerolog.Logger
}

// raterClient asks the rating service, in the background where nobody waits.
type raterClient struct {
	cfg   raterConfig
	http  *http.Client
	queue chan func(ctx context.Context)
}

func newRaterClient(cfg raterConfig) *raterClient {
	return &raterClient{cfg: cfg, http: &http.Client{Timeout: rateTimeout}, queue: make(chan func(context.Context), rateQueue)}
}

var errNoRater = errors.New("no rating service is set")

// ratingMessage is the rating service's question and answer.
type ratingMessage struct {
	Request model.RequestID `json:"request"`
	Version model.VersionID `json:"version"`
	Answer  string          `json:"answer,omitempty"`
	Quality float64         `json:"quality"`
}

// rate returns the quality of an answer.
func (r *raterClient) rate(ctx context.Context, id model.RequestID, v model.VersionID, answer string) (model.Quality, error) {
	if r.cfg.URL == "" {
		return 0, errNoRater
	}
	body, err := json.Marshal(ratingMessage{Request: id, Version: v, Answer: answer})
	if err != nil {
		return 0, fmt.Errorf("encode rating: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.cfg.URL+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build rating: %w", err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("ask for rating: %w", err)
	}
	defer resp.Body.Close()
	var out ratingMessage
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("ask for rating: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return 0, fmt.Errorf("decode rating: %w", err)
	}
	return model.Quality(min(max(out.Quality, 0), 1)), nil
}

// later runs a job in the background, or drops it if too many wait: a missing rating
// does no harm.
func (r *raterClient) later(job func(ctx context.Context)) {
	select {
	case r.queue <- job:
	default:
	}
}

func (r *raterClient) run(ctx context.Context) {
	for range rateWorkers {
		go r.work(ctx)
	}
	<-ctx.Done()
}

func (r *raterClient) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.queue:
			job(ctx)
		}
	}
}

// rateLater learns the quality of an answer that was given.
func (e *Entry) rateLater(c *call, d chooser.Decision, answer string) {
	if e.cfg.Settings.Rater == "" {
		return
	}
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	service, id := c.service, c.id
	e.rater.later(func(ctx context.Context) {
		q, err := e.rater.rate(ctx, id, d.Version, answer)
		if err != nil {
			e.cfg.Log.Debug().Err(err).Msg("rating: no answer")
			return
		}
		e.estimator.RecordRating(key, d.Version, q, d.Expected)
		e.tallies.rated(service, d.Version, q)
	})
}

// rateSecond learns the quality of a cascade's second answer.
func (e *Entry) rateSecond(c *call, d chooser.Decision, first model.Quality, answer string) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	service, id := c.service, c.id
	e.rater.later(func(ctx context.Context) {
		q, err := e.rater.rate(ctx, id, d.Second, answer)
		if err != nil {
			e.cfg.Log.Debug().Err(err).Msg("rating: no answer")
			return
		}
		e.estimator.RecordSecondRating(key, d.Version, d.Second, first, q, d.Expected)
		e.tallies.rated(service, d.Second, q)
	})
}

// rateAgain rates some first answers a second time, whether accepted or not: the noise of
// ratings cannot be seen in answers that were chosen by their ratings.
func (e *Entry) rateAgain(c *call, key chooser.Key, v model.VersionID, answer string, first model.Quality) {
	if rand.Float64() >= repeatShare {
		return
	}
	id := c.id
	e.rater.later(func(ctx context.Context) {
		second, err := e.rater.rate(ctx, id, v, answer)
		if err == nil {
			e.estimator.RecordRepeatedRating(key, v, first, second)
		}
	})
}
