package messenger

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	shortCallTimeout = time.Second
	// workDialTimeout is many round trips between regions.
	workDialTimeout = 500 * time.Millisecond
)

// WorkConfig configures a WorkClient.
type WorkConfig struct {
	Secret Secret
	TLS    *tls.Config
}

// WorkClient sends work to agents over HTTP/2.
type WorkClient struct {
	cfg    WorkConfig
	scheme string
	http   *http.Client
}

// NewWorkClient returns a client with one multiplexed connection for each agent.
func NewWorkClient(cfg WorkConfig) *WorkClient {
	t := &http.Transport{
		DialContext:     dialer.New(workDialTimeout).DialContext,
		Protocols:       HTTP2Protocols(cfg.TLS),
		TLSClientConfig: cfg.TLS,
		IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxReplyBytes,
		// The agent's process answers pings; its kernel acknowledges also for one that is frozen.
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pongTimeout},
	}
	scheme := "http"
	if cfg.TLS != nil {
		scheme = "https"
	}
	return &WorkClient{cfg: cfg, scheme: scheme, http: &http.Client{Transport: t}}
}

// HTTP2Protocols returns HTTP/2 only: over TLS if cfg is set, else unencrypted.
func HTTP2Protocols(cfg *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	if cfg == nil {
		p.SetUnencryptedHTTP2(true)
	} else {
		p.SetHTTP2(true)
	}
	return p
}

// ErrAnswerNotKept means that the agent answered that it keeps no answer for the request.
var ErrAnswerNotKept = errors.New("the agent keeps no answer for this request")

// FrameReader reads the frames of one answer.
type FrameReader struct {
	body  io.ReadCloser
	limit *frameLimit
	dec   *json.Decoder
}

// Next returns the next frame; io.EOF before an end frame means that the answer was cut off.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	r.limit.left = maxFrameBytes
	err := r.dec.Decode(&f)
	return f, err
}

// Close discards the rest of the answer.
func (r *FrameReader) Close() { r.body.Close() }

// NewFrameReader returns a reader for the frames in a response body.
func NewFrameReader(body io.ReadCloser) *FrameReader {
	limit := &frameLimit{r: body}
	return &FrameReader{body: body, limit: limit, dec: json.NewDecoder(limit)}
}

// Start sends work to the agent at addr and returns the frames of its answer.
func (c *WorkClient) Start(ctx context.Context, addr string, w Work) (*FrameReader, error) {
	return c.postForFrames(ctx, addr, PathWork, w.Request, w)
}

// Resume reads a kept answer again from the frame that the request names.
func (c *WorkClient) Resume(ctx context.Context, addr string, in ResumeRequest) (*FrameReader, error) {
	return c.postForFrames(ctx, addr, PathResume, in.Request, in)
}

// Cancel prevents a request from running or ends it, and returns whether it had started.
func (c *WorkClient) Cancel(ctx context.Context, addr string, in CancelRequest) (model.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	resp, err := c.post(ctx, addr, PathCancel, in.Request, in)
	if err != nil {
		return model.RunUnknown, err
	}
	defer resp.Body.Close()
	var reply CancelReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return model.RunUnknown, fmt.Errorf("decode cancel reply: %w", err)
	}
	return reply.Run, nil
}

// Ack releases the kept answers of requests.
func (c *WorkClient) Ack(ctx context.Context, addr string, ids []model.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	resp, err := c.post(ctx, addr, PathAck, "", AckRequest{Requests: ids})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *WorkClient) postForFrames(ctx context.Context, addr, path string, id model.RequestID, in any) (*FrameReader, error) {
	resp, err := c.post(ctx, addr, path, id, in)
	if err != nil {
		return nil, err
	}
	return NewFrameReader(resp.Body), nil
}

func (c *WorkClient) post(ctx context.Context, addr, path string, id model.RequestID, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request for %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request for %s: %w", path, err)
	}
	// The HTTP transport must not repeat work by itself: only the router knows which requests may
	// run again.
	r.GetBody = nil
	r.Header.Set(HeaderProof, c.cfg.Secret.workProof(path, id))
	r.Header.Set(HeaderRequest, string(id))
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("post %s to %s: %w", path, addr, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		resp.Body.Close()
		return nil, ErrAnswerNotKept
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return nil, fmt.Errorf("post %s to %s: status %d: %s", path, addr, resp.StatusCode, b)
	}
	return resp, nil
}
