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
	// queueFlushInterval is the pause between two flushes, so that queued records are sent in groups.
	queueFlushInterval = 100 * time.Millisecond
	// queueRetryDelay is the additional pause after a flush that left records uncommitted.
	queueRetryDelay = time.Second
	// callTimeout is the timeout of one ledger call.
	callTimeout = 5 * time.Second
	// maxWritersTried is the number of entries that are called before an operation fails.
	maxWritersTried   = 3
	maxRecordsPerCall = 500
)

// ClientConfig configures a Client. Local is the process's own ledger, nil on an agent. MaxQueueLength
// is the number of queued records from which Enqueue refuses more.
type ClientConfig struct {
	Self           model.InstanceID
	View           func() *registrar.View
	Pool           *messenger.Pool
	Local          *Ledger
	Layout         Layout
	MaxQueueLength int
	Log            zerolog.Logger
}

// Client sends records to the entries that write their shards. Commit waits for the outcome;
// records given to Enqueue are committed in the background by Run.
type Client struct {
	cfg   ClientConfig
	mu    sync.Mutex
	queue []queuedRecord
	wake  chan struct{}
	// flushing is held during a flush, so that two flushes do not send the same queued records.
	flushing sync.Mutex
}

// queuedRecord is a record without a waiting caller and the function to call once it is committed.
type queuedRecord struct {
	record    model.Record
	committed func()
}

// NewClient returns a client with an empty queue.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Commit commits one record and returns its outcome. After a storer.Error of kind KindUnknown the
// record may still take effect.
func (c *Client) Commit(ctx context.Context, r model.Record) (model.Outcome, error) {
	shard := c.cfg.Layout.Shard(r.Key)
	outcomes, err := c.append(ctx, shard, []model.Record{r})
	if err != nil {
		return model.Outcome{}, err
	}
	return outcomes[0], nil
}

// Lookup returns the claim or pin that the ledger keeps under a key.
func (c *Client) Lookup(ctx context.Context, key model.RecordKey) (model.Outcome, error) {
	shard := c.cfg.Layout.Shard(key)
	return tryWriters(ctx, c, shard, func(ctx context.Context, addr string) (model.Outcome, error) {
		if addr == "" {
			return c.cfg.Local.Lookup(ctx, shard, key)
		}
		in := messenger.LookupRequest{Shard: shard, Key: key}
		return messenger.Call[model.Outcome](ctx, c.cfg.Pool, addr, messenger.MethodLookup, in)
	})
}

func (c *Client) append(ctx context.Context, shard int, records []model.Record) ([]model.Outcome, error) {
	return tryWriters(ctx, c, shard, func(ctx context.Context, addr string) ([]model.Outcome, error) {
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

// tryWriters calls the shard's usual writer first and then others until one succeeds. Sending a record
// again to another writer is safe, since the ledger recognises the same request.
func tryWriters[T any](ctx context.Context, c *Client, shard int, call func(ctx context.Context, addr string) (T, error)) (T, error) {
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

// writers lists the addresses to call, the usual writer first; "" is this process itself.
func (c *Client) writers(shard int) []string {
	ranked := registrar.Rank(ShardName(shard), c.cfg.View().Entries())
	var out []string
	for _, e := range ranked[:min(maxWritersTried, len(ranked))] {
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

// Enqueue queues a record that no caller waits for, such as a usage record, and calls committed once it
// is in the ledger; committed may be nil. It returns false if the queue is full, so that the
// caller accepts no more work.
func (c *Client) Enqueue(r model.Record, committed func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) >= c.cfg.MaxQueueLength {
		return false
	}
	c.queue = append(c.queue, queuedRecord{record: r, committed: committed})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// QueueFull reports whether Enqueue would refuse a record.
func (c *Client) QueueFull() bool { return c.QueueLength() >= c.cfg.MaxQueueLength }

// QueueLength returns the number of queued records that are not committed yet.
func (c *Client) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// Run commits queued records in groups until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !c.Flush(ctx) {
			pauser.Pause(ctx, queueRetryDelay)
			c.wakeRun()
		}
		pauser.Pause(ctx, queueFlushInterval)
	}
}

// Flush tries once to commit all queued records and reports whether the queue is empty afterwards.
func (c *Client) Flush(ctx context.Context) bool {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	c.mu.Lock()
	queued := c.queue
	c.mu.Unlock()
	groups := map[int][]queuedRecord{}
	for _, l := range queued {
		shard := c.cfg.Layout.Shard(l.record.Key)
		groups[shard] = append(groups[shard], l)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := []queuedRecord{}
	for shard, group := range groups {
		wg.Go(func() {
			uncommitted := c.commitGroup(ctx, shard, group)
			mu.Lock()
			failed = append(failed, uncommitted...)
			mu.Unlock()
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(failed, c.queue[len(queued):]...)
	return len(c.queue) == 0
}

// commitGroup commits the queued records of one shard and returns those that could not be committed.
func (c *Client) commitGroup(ctx context.Context, shard int, group []queuedRecord) []queuedRecord {
	for len(group) > 0 {
		n := min(len(group), maxRecordsPerCall)
		records := make([]model.Record, n)
		for i, l := range group[:n] {
			records[i] = l.record
		}
		if _, err := c.append(ctx, shard, records); err != nil {
			c.cfg.Log.Warn().Err(err).Int("lines", len(group)).Msg("ledger: queued records could not be committed, will try again")
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

func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
