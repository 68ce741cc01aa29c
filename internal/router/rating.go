package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/validator"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	ratingTimeout   = 2 * time.Second
	ratingQueueSize = 1024
	ratingWorkers   = 4
	// repeatRatingShare is the share of a cascade's first answers that are rated a second time.
	repeatRatingShare = 0.2
	// maxRatingBytes bounds what a reply of the rating service holds beside the request.
	maxRatingBytes = 4 << 10
)

// raterConfig configures a raterClient; with an empty URL nothing is rated.
type raterConfig struct {
	URL string
	Log zerolog.Logger
}

// raterClient calls the rating service; jobs that no caller waits for run in the background.
type raterClient struct {
	cfg   raterConfig
	http  *http.Client
	queue chan func(ctx context.Context)
}

func newRaterClient(cfg raterConfig) *raterClient {
	return &raterClient{cfg: cfg, http: &http.Client{Timeout: ratingTimeout, Transport: validator.Transport{Base: http.DefaultTransport}}, queue: make(chan func(context.Context), ratingQueueSize)}
}

var errNoRater = errors.New("no rating service is configured")

// ratingMessage is both the request to the rating service and its reply.
type ratingMessage struct {
	Request model.RequestID `json:"request"`
	Version model.VersionID `json:"version"`
	Answer  string          `json:"answer,omitempty"`
	Quality float64         `json:"quality"`
}

// rate asks the rating service for the quality of an answer, from 0 to 1.
func (r *raterClient) rate(ctx context.Context, id model.RequestID, v model.VersionID, answer string) (model.Quality, error) {
	if r.cfg.URL == "" {
		return 0, errNoRater
	}
	body, err := json.Marshal(ratingMessage{Request: id, Version: v, Answer: answer})
	if err != nil {
		return 0, fmt.Errorf("encode rating request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.cfg.URL+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build rating request: %w", err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send rating request: %w", err)
	}
	defer resp.Body.Close()
	var out ratingMessage
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rating service returned status %d", resp.StatusCode)
	}
	// The reply may repeat the answer that was rated.
	if err := json.NewDecoder(io.LimitReader(resp.Body, int64(2*len(body)+maxRatingBytes))).Decode(&out); err != nil {
		return 0, fmt.Errorf("decode rating reply: %w", err)
	}
	return model.Quality(min(max(out.Quality, 0), 1)), nil
}

// enqueue queues a job for the background workers. It drops the job if the queue is full: a
// missing rating does no harm.
func (r *raterClient) enqueue(job func(ctx context.Context)) {
	select {
	case r.queue <- job:
	default:
	}
}

func (r *raterClient) run(ctx context.Context) {
	for range ratingWorkers {
		go r.runJobs(ctx)
	}
	<-ctx.Done()
}

func (r *raterClient) runJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.queue:
			job(ctx)
		}
	}
}

// queueRating queues the rating of a delivered answer and passes its quality to the estimator.
func (e *Entry) queueRating(c *call, d chooser.Decision, answer string) {
	if e.cfg.Settings.Rater == "" {
		return
	}
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	service, id := c.service, c.id
	e.rater.enqueue(func(ctx context.Context) {
		q, err := e.rater.rate(ctx, id, d.Version, answer)
		if err != nil {
			e.cfg.Log.Debug().Err(err).Msg("rating: request to the rating service failed")
			return
		}
		e.estimator.RecordRating(key, d.Version, q, d.Expected)
		e.outcomes.addRating(service, d.Version, q)
	})
}

// queueSecondRating queues the rating of a cascade's second answer and passes its quality to the
// estimator.
func (e *Entry) queueSecondRating(c *call, d chooser.Decision, first model.Quality, answer string) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	service, id := c.service, c.id
	e.rater.enqueue(func(ctx context.Context) {
		q, err := e.rater.rate(ctx, id, d.Second, answer)
		if err != nil {
			e.cfg.Log.Debug().Err(err).Msg("rating: request to the rating service failed")
			return
		}
		e.estimator.RecordSecondRating(key, d.Version, d.Second, first, q, d.Expected)
		e.outcomes.addRating(service, d.Second, q)
	})
}

// queueRepeatRating rates a share of first answers a second time, whether or not they were
// accepted: answers that were selected by their rating do not show how much ratings vary.
func (e *Entry) queueRepeatRating(c *call, key chooser.Key, v model.VersionID, answer string, first model.Quality) {
	if rand.Float64() >= repeatRatingShare {
		return
	}
	id := c.id
	e.rater.enqueue(func(ctx context.Context) {
		second, err := e.rater.rate(ctx, id, v, answer)
		if err == nil {
			e.estimator.RecordRepeatedRating(key, v, first, second)
		}
	})
}
