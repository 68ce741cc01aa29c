package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// partSize is the size of the parts of an answer that is not a stream.
const partSize = 64 << 10

// backendConfig configures a backend.
type backendConfig struct {
	URL  string
	Kind model.Kind
}

// backend reaches the backend server beside the agent.
type backend struct {
	cfg     backendConfig
	http    *http.Client
	healthy atomic.Bool
	loaded  atomic.Pointer[[]model.VersionID]
}

func newBackend(cfg backendConfig) *backend {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true}
	b := &backend{cfg: cfg, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
	b.loaded.Store(&[]model.VersionID{})
	return b
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) serves(v model.VersionID) bool { return slices.Contains(*b.loaded.Load(), v) }

// call runs the request and pushes its answer into the run. A refusal after the call
// never says "not run".
func (b *backend) call(r *run) (end *messenger.End, first time.Duration, refusal *model.Refusal) {
	start := time.Now()
	resp, err := b.post(r)
	first = time.Since(start)
	if err != nil {
		return nil, 0, b.failure(r, err)
	}
	defer resp.Body.Close()
	if b.cfg.Kind == model.KindModel && resp.StatusCode >= http.StatusInternalServerError {
		return nil, first, model.Refuse(model.KindBackendFailed, "the engine answered with status %d: send the request again", resp.StatusCode).WithRun(model.RunUnknown)
	}
	head := messenger.Frame{Kind: messenger.FrameHead, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := r.push(head); err != nil {
		return nil, first, b.failure(r, err)
	}
	end = &messenger.End{}
	if strings.HasPrefix(head.ContentType, "text/event-stream") {
		err = copyEvents(r, resp.Body, end)
	} else {
		err = copyBody(r, resp.Body, end, b.cfg.Kind == model.KindModel)
	}
	if err != nil {
		return nil, first, b.failure(r, err)
	}
	return end, first, nil
}

func (b *backend) post(r *run) (*http.Response, error) {
	w := r.work
	req, err := http.NewRequestWithContext(r.ctx, w.Method, b.cfg.URL+w.Path, bytes.NewReader(w.Body))
	if err != nil {
		return nil, fmt.Errorf("build backend request: %w", err)
	}
	// The transport must not repeat a call on its own.
	req.GetBody = nil
	if w.ContentType != "" {
		req.Header.Set("Content-Type", w.ContentType)
	}
	req.Header.Set(messenger.HeaderRequest, string(w.Request))
	return b.http.Do(req)
}

func (b *backend) failure(r *run, err error) *model.Refusal {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return model.Refuse(model.KindDeadline, "the deadline passed while the request ran: allow more time").WithRun(model.RunUnknown)
	}
	if r.ctx.Err() != nil {
		return model.Refuse(model.KindCancelled, "the request was cancelled while it ran").WithRun(model.RunUnknown)
	}
	return model.Refuse(model.KindBackendFailed, "the backend server broke off: %s", plainCause(err)).WithRun(model.RunUnknown)
}

// plainCause describes a transport error without addresses.
func plainCause(err error) string {
	switch {
	case errors.Is(err, errTruncated):
		return errTruncated.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the connection closed in the middle of the answer"
	default:
		return "the connection failed"
	}
}

var errTruncated = errors.New("the stream ended without its closing event")

// copyEvents pushes one part for each event and counts tokens from the usage event.
func copyEvents(r *run, body io.Reader, end *messenger.End) error {
	s := splitter.New(body)
	closed := false
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		data := splitter.Data(event)
		if string(data) == splitter.Done {
			closed = true
		} else {
			countTokens(data, end)
		}
		if err := r.push(messenger.Frame{Kind: messenger.FramePart, Data: event}); err != nil {
			return err
		}
	}
	if !closed {
		return errTruncated
	}
	return nil
}

// copyBody pushes the body in parts; a body shorter than announced is an error of the reader.
func copyBody(r *run, body io.Reader, end *messenger.End, count bool) error {
	var whole []byte
	for {
		buf := make([]byte, partSize)
		n, err := body.Read(buf)
		if n > 0 {
			if count {
				whole = append(whole, buf[:n]...)
			}
			if err := r.push(messenger.Frame{Kind: messenger.FramePart, Data: buf[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			countTokens(whole, end)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func countTokens(data []byte, end *messenger.End) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return
	}
	var v struct {
		Usage struct {
			Input  int `json:"prompt_tokens"`
			Output int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &v) == nil && v.Usage.Output > 0 {
		end.Input, end.Output = v.Usage.Input, v.Usage.Output
	}
}
