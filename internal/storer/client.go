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

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// dialTimeout is many round trips between regions.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns is the number of connections that are kept between calls.
	maxIdleConns = 16
	// answerLimit is the time within which an answer begins, after the wait that its call asks for, unless the connection
	// fell silent. With the wait of a watch, a new connection and the repeated call it is well below the configuration
	// lease.
	answerLimit = 700 * time.Millisecond
	// maxAnswerBytes is the longest answer that is read: a list of dozens of the largest objects.
	maxAnswerBytes = 64 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	URL     string
	Timeout time.Duration
	// OnSilence is called with the key of a call that has waited for so long that its connection counts as silent.
	OnSilence func(key string, waited time.Duration)
}

// Client calls the platform's object API and instance list over HTTP.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client of the platform.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.OnSilence == nil {
		cfg.OnSilence = func(string, time.Duration) {}
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: dialer.NewTransport(dialTimeout, maxIdleConns)}}
}

// PutRequest is the body of a conditional write.
type PutRequest struct {
	Value  []byte         `json:"value"`
	Expect model.Revision `json:"expect"`
}

// PutReply is the response to a conditional write.
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

// Put writes an object if its stored revision equals expect; 0 means that the object must not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{Kind: KindTooLarge, Key: key}
	}
	var reply PutReply
	err := c.call(ctx, http.MethodPut, "/objects/"+key, PutRequest{Value: value, Expect: expect}, &reply, call{key: key, mutates: true})
	return reply.Revision, err
}

// Delete removes an object if its stored revision equals expect.
func (c *Client) Delete(ctx context.Context, key string, expect model.Revision) error {
	path := fmt.Sprintf("/objects/%s?expect=%d", key, expect)
	return c.call(ctx, http.MethodDelete, path, nil, nil, call{key: key, mutates: true})
}

// Watch returns the changes after a revision. If there are none, it waits for some and returns an
// empty listing when the wait ends.
func (c *Client) Watch(ctx context.Context, prefix string, from model.Revision, wait time.Duration) (Listing, error) {
	var l Listing
	path := fmt.Sprintf("/watch?prefix=%s&from=%d", url.QueryEscape(prefix), from)
	err := c.call(ctx, http.MethodGet, path, nil, &l, call{key: prefix, wait: max(wait, NoWait)})
	if _, ok := errors.AsType[*dialer.TooLongError](err); ok {
		// A list holds the last state of each object only.
		return Listing{}, &Error{Kind: KindCompacted, Key: prefix, Cause: err}
	}
	return l, err
}

// Renew implements Store.
func (c *Client) Renew() { c.http.CloseIdleConnections() }

// Instances returns the platform's instance list.
func (c *Client) Instances(ctx context.Context) ([]model.Instance, error) {
	var list []model.Instance
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list, call{key: "instances"})
	return list, err
}

// call describes one platform call: the key for errors, whether it changes the object, and how long
// the platform may wait before it answers.
type call struct {
	key     string
	mutates bool
	wait    time.Duration
}

// reply is what the platform answered to a call.
type reply struct {
	status int
	body   []byte
}

// call makes a call. If the answer is late, the connection may have fallen silent: a call that changes nothing is made
// once more on a new connection, and a watch returns what changed so far.
func (c *Client) call(ctx context.Context, method, path string, in, out any, opts call) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request body for %s: %w", path, err)
		}
	}
	if _, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, nil); err != nil {
		return fmt.Errorf("build request for %s: %w", path, err)
	}
	r := dialer.Repetition[reply]{
		Limit: opts.wait + answerLimit, Gap: answerLimit,
		Call: func(ctx context.Context, progress func()) (reply, error) {
			return c.exchange(ctx, method, path, body, opts.wait, progress)
		},
		OnSilence: func() {
			c.Renew()
			c.cfg.OnSilence(opts.key, opts.wait+answerLimit)
		},
	}
	if !opts.mutates {
		r.Again = func(ctx context.Context) (reply, error) {
			return c.exchange(ctx, method, path, body, min(opts.wait, NoWait), func() {})
		}
	}
	a, err := r.Do(ctx)
	if err != nil {
		return c.noAnswerError(opts, err)
	}
	if a.status >= http.StatusMultipleChoices {
		return decodeError(opts, a.status, a.body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return c.noAnswerError(opts, err)
	}
	return nil
}

// exchange sends a request once, for which the platform may wait before it answers, and reads the answer.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte, wait time.Duration, progress func()) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+wait)
	defer cancel()
	if wait > 0 {
		path += "&wait=" + wait.String()
	}
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, content)
	if err != nil {
		return reply{}, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	progress()
	b, err := dialer.ReadAll(resp.Body, maxAnswerBytes, progress)
	return reply{status: resp.StatusCode, body: b}, err
}

// noAnswerError classifies the failure of a call that got no readable answer. The outcome of a
// mutating call is unknown, since the change may have taken effect.
func (c *Client) noAnswerError(opts call, err error) error {
	if opts.mutates {
		return &Error{Kind: KindUnknown, Key: opts.key, Cause: err}
	}
	return &Error{Kind: KindUnavailable, Key: opts.key, Cause: err}
}

func decodeError(opts call, status int, body []byte) error {
	var storeErr Error
	if err := json.Unmarshal(body, &storeErr); err == nil && storeErr.Kind != "" {
		storeErr.Key = opts.key
		if storeErr.Kind == KindUnavailable {
			storeErr.Cause = fmt.Errorf("status %d", status)
		}
		return &storeErr
	}
	return &Error{Kind: KindUnavailable, Key: opts.key, Cause: errors.New(http.StatusText(status))}
}
