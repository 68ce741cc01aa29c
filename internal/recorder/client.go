package recorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// usageEvery groups usage lines before they leave a process.
	usageEvery = 100 * time.Millisecond
	// usageRetry spaces the repeats while the ledger is unavailable.
	usageRetry = time.Second
	// callTimeout bounds one ledger call over the inner protocol.
	callTimeout = 5 * time.Second
	// writersTried bounds how many entries are asked before a call fails.
	writersTried = 3
	// maxUsageBatch bounds the lines of one call.
	maxUsageBatch = 500
)

// ClientConfig configures a Client. Local is the process's own ledger, nil on an agent.
type ClientConfig struct {
	Self       model.InstanceID
	View       func() *registrar.View
	Pool       *messenger.Pool
	Local      *Ledger
	Layout     Layout
	MaxWaiting int
	Log        zerolog.Logger
}

// Client sends records to the entries that write their shards.
type Client struct {
	cfg     ClientConfig
	mu      sync.Mutex
	waiting []line
	wake    chan struct{}
	// flushing is held by the one flush that works on the head of the waiting lines.
	flushing sync.Mutex
}

// line is a usage record and what to do once it is committed.
type line struct {
	record    model.Record
	committed func()
}

// NewClient returns a client without waiting lines.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Commit commits one record and returns its outcome. An error of kind outcome unknown
// means that the record may still take effect.
func (c *Client) Commit(ctx context.Context, r model.Record) (model.Outcome, error) {
	shard := c.cfg.Layout.Shard(r.Key)
	outcomes, err := c.append(ctx, shard, []model.Record{r})
	if err != nil {
		return model.Outcome{}, err
	}
	return outcomes[0], nil
}

// Lookup returns what the ledger keeps under a key.
func (c *Client) Lookup(ctx context.Context, key model.RecordKey) (model.Outcome, error) {
	shard := c.cfg.Layout.Shard(key)
	return try(ctx, c, shard, func(ctx context.Context, addr string) (model.Outcome, error) {
		if addr == "" {
			return c.cfg.Local.Lookup(ctx, shard, key)
		}
		in := messenger.LookupRequest{Shard: shard, Key: key}
		return messenger.Call[model.Outcome](ctx, c.cfg.Pool, addr, messenger.MethodLookup, in)
	})
}

func (c *Client) append(ctx context.Context, shard int, records []model.Record) ([]model.Outcome, error) {
	return try(ctx, c, shard, func(ctx context.Context, addr string) ([]model.Outcome, error) {
		if addr == "" {
			return c.cfg.Local.Append(ctx, shard, records)
		}
		in := messenger.RecordRequest{Shard: shard, Records: records}
		reply, err := messenger.Call[messenger.RecordReply](ctx, c.cfg.Pool, addr, messenger.MethodRecord, in)
		if err == nil && len(reply.Outcomes) != len(records) {
			err = errors.New("ledger answered with a wrong number of outcomes")
		}
		return reply.Outcomes, err
	})
}

// try asks the shard's usual writer and then others. Repeating a record elsewhere is
// safe: the ledger recognises the same request.
func try[T any](ctx context.Context, c *Client, shard int, call func(ctx context.Context, addr string) (T, error)) (T, error) {
	var zero T
	err := error(&storer.Error{Kind: storer.KindUnavailable, Cause: errors.New("no entry is known")})
	for _, addr := range c.writers(shard) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, callErr := call(callCtx, addr)
		cancel()
		if callErr == nil {
			return out, nil
		}
		err = callErr
		var se *storer.Error
		if ctx.Err() != nil || errors.As(callErr, &se) {
			return zero, callErr
		}
	}
	return zero, err
}

// writers lists the addresses to ask, the usual writer first; "" is this process itself.
func (c *Client) writers(shard int) []string {
	ranked := registrar.Rank(ShardName(shard), c.cfg.View().Entries())
	var out []string
	for _, e := range ranked[:min(writersTried, len(ranked))] {
		if e.Instance == c.cfg.Self && c.cfg.Local != nil {
			return append(out, "")
		}
		out = append(out, e.Control)
	}
	if c.cfg.Local != nil {
		out = append(out[:min(1, len(out))], "")
	}
	return out
}

// Enqueue queues a usage line; committed runs once the line is in the ledger. It returns
// false when too many lines wait, so that the caller takes no more work.
func (c *Client) Enqueue(r model.Record, committed func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= c.cfg.MaxWaiting {
		return false
	}
	c.waiting = append(c.waiting, line{record: r, committed: committed})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// QueueFull reports whether the buffer of usage lines has no room.
func (c *Client) QueueFull() bool { return c.Waiting() >= c.cfg.MaxWaiting }

// Waiting returns the number of usage lines not yet committed.
func (c *Client) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// Run sends usage lines in groups until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !c.Flush(ctx) {
			pauser.Pause(ctx, usageRetry)
			c.signal()
		}
		pauser.Pause(ctx, usageEvery)
	}
}

// Flush sends all waiting lines once and reports whether none is left.
func (c *Client) Flush(ctx context.Context) bool {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	c.mu.Lock()
	lines := c.waiting
	c.mu.Unlock()
	groups := map[int][]line{}
	for _, l := range lines {
		shard := c.cfg.Layout.Shard(l.record.Key)
		groups[shard] = append(groups[shard], l)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := []line{}
	for shard, group := range groups {
		wg.Go(func() {
			left := c.send(ctx, shard, group)
			mu.Lock()
			failed = append(failed, left...)
			mu.Unlock()
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(failed, c.waiting[len(lines):]...)
	return len(c.waiting) == 0
}

// send commits the lines of one shard and returns those that were not.
func (c *Client) send(ctx context.Context, shard int, group []line) []line {
	for len(group) > 0 {
		n := min(len(group), maxUsageBatch)
		records := make([]model.Record, n)
		for i, l := range group[:n] {
			records[i] = l.record
		}
		if _, err := c.append(ctx, shard, records); err != nil {
			c.cfg.Log.Warn().Err(err).Int("lines", len(group)).Msg("ledger: usage lines wait")
			return group
		}
		for _, l := range group[:n] {
			if l.committed != nil {
				l.committed()
			}
		}
		group = group[n:]
	}
	return nil
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
