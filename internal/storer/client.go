package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	URL     string
	Timeout time.Duration
}

// Client reaches the platform over HTTP.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client of the platform.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	t := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{cfg: cfg, http: &http.Client{Transport: t}}
}

// PutRequest is the body of a conditional write.
type PutRequest struct {
	Value  []byte         `json:"value"`
	Expect model.Revision `json:"expect"`
}

// PutReply is the answer to a conditional write.
type PutReply struct {
	Revision model.Revision `json:"revision"`
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, "/objects/"+key, nil, &o, call{key: key})
	return o, err
}

// List returns the objects under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var l Listing
	err := c.call(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, &l, call{key: prefix})
	return l, err
}

// Put writes an object if its revision is the expected one.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{Kind: KindTooLarge, Key: key}
	}
	var reply PutReply
	err := c.call(ctx, http.MethodPut, "/objects/"+key, PutRequest{Value: value, Expect: expect}, &reply, call{key: key, changes: true})
	return reply.Revision, err
}

// Delete removes an object if its revision is the expected one.
func (c *Client) Delete(ctx context.Context, key string, expect model.Revision) error {
	path := fmt.Sprintf("/objects/%s?expect=%d", key, expect)
	return c.call(ctx, http.MethodDelete, path, nil, nil, call{key: key, changes: true})
}

// Watch waits for changes after a revision and returns none when the wait ends.
func (c *Client) Watch(ctx context.Context, prefix string, from model.Revision, wait time.Duration) (Listing, error) {
	var l Listing
	path := fmt.Sprintf("/watch?prefix=%s&from=%d&wait=%s", url.QueryEscape(prefix), from, wait)
	err := c.call(ctx, http.MethodGet, path, nil, &l, call{key: prefix, wait: wait})
	return l, err
}

// Instances returns the instance list.
func (c *Client) Instances(ctx context.Context) ([]model.Instance, error) {
	var list []model.Instance
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list, call{key: "instances"})
	return list, err
}

// call tells how one platform call fails and how long it may take.
type call struct {
	key     string
	changes bool
	wait    time.Duration
}

func (c *Client) call(ctx context.Context, method, path string, in, out any, opts call) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+opts.wait)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, body)
	if err != nil {
		return fmt.Errorf("build %s: %w", path, err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return c.failed(opts, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.failed(opts, err)
	}
	if resp.StatusCode >= 300 {
		return decodeError(opts, resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return c.failed(opts, err)
	}
	return nil
}

// failed classifies a call without an answer: a change may have taken effect.
func (c *Client) failed(opts call, err error) error {
	if opts.changes {
		return &Error{Kind: KindUnknown, Key: opts.key, Cause: err}
	}
	return &Error{Kind: KindUnavailable, Key: opts.key, Cause: err}
}

func decodeError(opts call, status int, body []byte) error {
	var se Error
	if err := json.Unmarshal(body, &se); err == nil && se.Kind != "" {
		se.Key = opts.key
		if se.Kind == KindUnavailable {
			se.Cause = fmt.Errorf("status %d", status)
		}
		return &se
	}
	return &Error{Kind: KindUnavailable, Key: opts.key, Cause: errors.New(http.StatusText(status))}
}
