package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/internal/validator"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxPartBytes bounds each part of an answer that is not an event stream.
	maxPartBytes = 64 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// backendConfig configures a backend.
type backendConfig struct {
	URL  string
	Kind model.Kind
}

// backend is the client of the backend server beside the agent.
type backend struct {
	cfg            backendConfig
	http           *http.Client
	healthy        atomic.Bool
	loadedVersions atomic.Pointer[[]model.VersionID]
}

func newBackend(cfg backendConfig) *backend {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// The transport writes a request beside reading its answer, which may have no length.
		return dialer.ReportErrors(c), nil
	}
	b := &backend{cfg: cfg, http: &http.Client{Transport: validator.Transport{Base: t}, CheckRedirect: noRedirect}}
	b.loadedVersions.Store(&[]model.VersionID{})
	return b
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) hasLoaded(v model.VersionID) bool {
	return slices.Contains(*b.loadedVersions.Load(), v)
}

// call sends the request to the backend server and pushes its answer into the run. Its refusals
// never claim that the request did not run, because the backend server may have received it.
func (b *backend) call(r *run) (end *messenger.End, firstByte time.Duration, refusal *model.Refusal) {
	start := time.Now()
	resp, err := b.post(r)
	firstByte = time.Since(start)
	if err != nil {
		return nil, 0, b.callRefusal(r, err)
	}
	defer resp.Body.Close()
	if b.cfg.Kind == model.KindModel && resp.StatusCode >= http.StatusInternalServerError {
		return nil, firstByte, model.Refuse(model.KindBackendFailed, "the engine answered with status %d: send the request again", resp.StatusCode).WithRun(model.RunUnknown)
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return nil, firstByte, b.callRefusal(r, errEncoded)
	}
	head := messenger.Frame{Kind: messenger.FrameHead, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := r.push(head); err != nil {
		return nil, firstByte, b.callRefusal(r, err)
	}
	end = &messenger.End{}
	if strings.HasPrefix(head.ContentType, "text/event-stream") {
		err = copyEvents(r, resp.Body, end)
	} else {
		err = copyBody(r, resp, end, b.cfg.Kind == model.KindModel)
	}
	if err != nil {
		return nil, firstByte, b.callRefusal(r, err)
	}
	return end, firstByte, nil
}

func (b *backend) post(r *run) (*http.Response, error) {
	w := r.work
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(r.ctx, dialer.TraceRequest()), w.Method, b.cfg.URL+w.Path, bytes.NewReader(w.Body))
	if err != nil {
		return nil, fmt.Errorf("build backend request: %w", err)
	}
	// Without GetBody the transport cannot repeat a call on its own.
	req.GetBody = nil
	if len(w.Body) == 0 && !w.Idempotent && isReplayed(w.Method) {
		// It also repeats these without a body, but not with one that it cannot rewind, even if that is empty.
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	if w.ContentType != "" {
		req.Header.Set("Content-Type", w.ContentType)
	}
	req.Header.Set(messenger.HeaderRequest, string(w.Request))
	return b.http.Do(req)
}

// isReplayed reports whether the transport repeats calls with the method after a reused connection closed.
func isReplayed(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (b *backend) callRefusal(r *run, err error) *model.Refusal {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return model.Refuse(model.KindDeadline, "the deadline passed while the request ran: allow more time").WithRun(model.RunUnknown)
	}
	if r.ctx.Err() != nil {
		return model.Refuse(model.KindCancelled, "the request was cancelled while it ran").WithRun(model.RunUnknown)
	}
	return model.Refuse(model.KindBackendFailed, "the backend server broke off: %s", redactedCause(err)).WithRun(model.RunUnknown)
}

// redactedCause describes a transport error without naming addresses.
func redactedCause(err error) string {
	if invalid, ok := errors.AsType[*validator.InvalidError](err); ok {
		return invalid.Error()
	}
	switch {
	case errors.Is(err, errTruncated), errors.Is(err, errNoEvent), errors.Is(err, errPartialJSON), errors.Is(err, errAnswerTooLong),
		errors.Is(err, errEncoded), errors.Is(err, dialer.ErrResetDuringRequest):
		return err.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the connection closed in the middle of the answer"
	default:
		return "the connection failed"
	}
}

var (
	errTruncated = errors.New("the stream ended without its closing event")
	errNoEvent   = errors.New("the stream contains text that is no event")
	// errAnswerTooLong ends an answer that a backend server in trouble may never end.
	errAnswerTooLong = fmt.Errorf("the answer is over %d bytes", maxAnswerBytes)
	// errEncoded ends an answer that no caller could decode: a head frame does not name the encoding.
	errEncoded = errors.New("the answer is encoded, which the request did not ask for")
	// errPartialJSON means that an answer without a length ended early.
	errPartialJSON = errors.New("the answer ended in the middle of its JSON")
)

// copyEvents pushes one part for each event and takes the token counts from the usage event.
func copyEvents(r *run, body io.Reader, end *messenger.End) error {
	s := splitter.New(body)
	doneSeen := false
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if !splitter.IsEvent(event) {
			return errNoEvent
		}
		data := splitter.Data(event)
		if string(data) == splitter.Done {
			doneSeen = true
		} else {
			setTokenCounts(data, end)
		}
		if err := r.push(messenger.Frame{Kind: messenger.FramePart, Data: event}); err != nil {
			return err
		}
	}
	if !doneSeen {
		return errTruncated
	}
	return nil
}

// copyBody pushes the body in parts. The reader returns an error if the body is shorter than announced. A success of
// an engine that announces no length must be whole JSON.
func copyBody(r *run, resp *http.Response, end *messenger.End, isModel bool) error {
	mustBeJSON := isModel && resp.StatusCode < http.StatusMultipleChoices && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	var answer []byte
	for {
		buf := make([]byte, maxPartBytes)
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if isModel {
				answer = append(answer, buf[:n]...)
			}
			if err := r.push(messenger.Frame{Kind: messenger.FramePart, Data: buf[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if mustBeJSON && !json.Valid(answer) {
				return errPartialJSON
			}
			setTokenCounts(answer, end)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func setTokenCounts(data []byte, end *messenger.End) {
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
