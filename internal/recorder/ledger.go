package recorder

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// usageFlushInterval is the shortest time between two group commits of usage records. It may be long,
// since no caller waits for them.
const usageFlushInterval = time.Second

// Layout sets how keys are spread over shards; it must be the same on all entries. The first
// ClaimShards shards keep claims and pins, the next UsageShards shards keep usage records.
type Layout struct {
	ClaimShards int
	UsageShards int
}

// Shards returns the total number of shards.
func (l Layout) Shards() int { return l.ClaimShards + l.UsageShards }

// Shard returns the shard of a key.
func (l Layout) Shard(key model.RecordKey) int {
	hash := xxhash.Sum64String(string(key))
	if strings.HasPrefix(string(key), usagePrefix) {
		return l.ClaimShards + int(hash%uint64(l.UsageShards))
	}
	return int(hash % uint64(l.ClaimShards))
}

// Config configures a Ledger. Flush is the shortest time between two group commits of a
// shard, Window is how long claims and pins are kept.
type Config struct {
	Self   model.InstanceID
	Store  storer.Store
	Layout Layout
	Flush  time.Duration
	Window time.Duration
	// CompactAfter is the number of segments after which a shard is compacted; 0 means the default.
	CompactAfter int
	Log          zerolog.Logger
}

// Ledger reads and writes all shards. Each shard has a usual writer, but any entry may write any shard.
type Ledger struct {
	cfg    Config
	shards []*shard
}

// New returns a ledger; a shard is loaded when it is first used.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg}
	for i := range cfg.Layout.Shards() {
		shardCfg := cfg
		if i >= cfg.Layout.ClaimShards {
			shardCfg.Flush = max(cfg.Flush, usageFlushInterval)
		}
		l.shards = append(l.shards, newShard(i, shardCfg))
	}
	return l
}

// Run commits waiting records until the context ends.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range l.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// Append commits records to one shard and returns their outcomes in the same order.
func (l *Ledger) Append(ctx context.Context, shard int, records []model.Record) ([]model.Outcome, error) {
	if shard < 0 || shard >= len(l.shards) {
		return nil, model.Refuse(model.KindBadRequest, "shard %d does not exist: set ledger alike on all entries", shard)
	}
	return l.shards[shard].append(ctx, records)
}

// Lookup returns the claim or pin that the shard keeps under a key.
func (l *Ledger) Lookup(ctx context.Context, shard int, key model.RecordKey) (model.Outcome, error) {
	if shard < 0 || shard >= len(l.shards) {
		return model.Outcome{}, model.Refuse(model.KindBadRequest, "shard %d does not exist: set ledger alike on all entries", shard)
	}
	return l.shards[shard].lookup(ctx, key)
}

// Register registers the handlers for ledger calls of other processes.
func (l *Ledger) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodRecord, func(ctx context.Context, _ messenger.Peer, in messenger.RecordRequest) (messenger.RecordReply, error) {
		outcomes, err := l.Append(ctx, in.Shard, in.Records)
		return messenger.RecordReply{Outcomes: outcomes}, err
	})
	messenger.Handle(s, messenger.MethodLookup, func(ctx context.Context, _ messenger.Peer, in messenger.LookupRequest) (model.Outcome, error) {
		return l.Lookup(ctx, in.Shard, in.Key)
	})
}

// ShardName returns the key by which rendezvous hashing picks a shard's usual writer.
func ShardName(shard int) string { return fmt.Sprintf("ledger/%02d", shard) }

// LoadTotals reads all usage shards and sums the usage by organisation, service and day.
func LoadTotals(ctx context.Context, store storer.Store, layout Layout, window time.Duration) (map[TotalKey]Total, error) {
	sum := map[TotalKey]Total{}
	for i := layout.ClaimShards; i < layout.Shards(); i++ {
		l, err := load(ctx, store, i, window)
		if err != nil {
			return nil, err
		}
		for k, t := range l.state.totals {
			old := sum[k]
			sum[k] = Total{
				Requests: old.Requests + t.Requests,
				Input:    old.Input + t.Input,
				Output:   old.Output + t.Output,
				Cost:     old.Cost + t.Cost,
			}
		}
	}
	return sum, nil
}

const usagePrefix = "usage/"

// Each key has a prefix for its kind of record, since one shard keeps several kinds.

// ClaimKey returns the ledger key of an organisation's idempotency key.
func ClaimKey(service model.ServiceID, org model.OrganisationID, key model.IdempotencyKey) model.RecordKey {
	return model.RecordKey("claim/" + string(service) + "/" + string(org) + "/" + string(key))
}

// PinKey returns the ledger key of a session whose ID the caller chose instead of a session token.
func PinKey(service model.ServiceID, org model.OrganisationID, id model.SessionID) model.RecordKey {
	return model.RecordKey("pin/" + string(service) + "/" + string(org) + "/" + string(id))
}

// UsageKey returns the ledger key of a request's usage record.
func UsageKey(id model.RequestID) model.RecordKey { return model.RecordKey(usagePrefix + string(id)) }

// Replay is a shard's state in memory without an object store.
type Replay struct{ state *state }

// NewReplay returns an empty state that keeps claims and pins for a window.
func NewReplay(window time.Duration) *Replay { return &Replay{newState(window)} }

// Apply applies one record as of the given time.
func (r *Replay) Apply(rec model.Record, at time.Time) {
	rec.Time = at
	r.state.apply(rec)
}

// Expire drops the entries whose window has passed at the given time.
func (r *Replay) Expire(at time.Time) { r.state.expire(at) }
