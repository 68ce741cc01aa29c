package recorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// defaultCompactAfter is the number of segments after which a shard is compacted.
	defaultCompactAfter = 256
	// segmentRetention is how long segments stay after a chunk has replaced them. A writer that was
	// paused then finds the next sequence number taken and sees that it is behind.
	segmentRetention = 10 * time.Minute
	// commitTimeout is the timeout of one group commit including its retries.
	commitTimeout = 4 * time.Second
	// commitRetryDelay is the shortest time from the start of a failed group commit to the next one, so
	// that a store that is down gets few requests.
	commitRetryDelay = 500 * time.Millisecond
	// maxSegmentBytes is the estimated size from which a segment takes no more records, well below
	// the store's value limit.
	maxSegmentBytes = storer.MaxValueBytes / 2
)

// shard appends to one log. The conditional create of the next segment alone decides which writer
// appends, so two concurrent writers are slow but safe.
type shard struct {
	id         int
	cfg        Config
	mu         sync.Mutex
	pending    []*waiter
	wake       chan struct{}
	log        zerolog.Logger
	stateMu    sync.Mutex
	current    *loadedShard
	headReadAt time.Time
	obsolete   []obsoleteRange
}

// waiter holds the records of a caller that waits for their commit.
type waiter struct {
	records  []model.Record
	outcomes []model.Outcome
	err      error
	done     chan struct{}
}

// obsoleteRange marks the segments up to lastSeq as replaced by a manifest.
type obsoleteRange struct {
	lastSeq int
	since   time.Time
}

func newShard(id int, cfg Config) *shard {
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = defaultCompactAfter
	}
	return &shard{id: id, cfg: cfg, wake: make(chan struct{}, 1), log: cfg.Log}
}

// append waits until the records are committed and returns one outcome for each.
func (s *shard) append(ctx context.Context, records []model.Record) ([]model.Outcome, error) {
	w := &waiter{records: records, done: make(chan struct{})}
	s.mu.Lock()
	s.pending = append(s.pending, w)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return w.outcomes, w.err
	case <-ctx.Done():
		return nil, &storer.Error{Kind: storer.KindUnknown, Key: segmentPrefix(s.id), Cause: ctx.Err()}
	}
}

// run commits the waiting records in groups, one group at a time and at most one per flush interval.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		start := time.Now()
		next := start.Add(s.cfg.Flush)
		if err := s.commitPending(ctx, start); err != nil {
			s.log.Warn().Err(err).Int("shard", s.id).Msg("ledger: commit failed")
			next = start.Add(commitRetryDelay)
		}
		s.compactAndDelete(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
	}
}

func (s *shard) commitPending(ctx context.Context, now time.Time) error {
	batch := s.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	s.stateMu.Lock()
	err := s.commit(ctx, batch, now)
	s.stateMu.Unlock()
	for _, w := range batch {
		w.err = err
		close(w.done)
	}
	return err
}

// takeBatch removes the waiting records that fit one segment and returns them.
func (s *shard) takeBatch() []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.pending) && (n == 0 || size < maxSegmentBytes) {
		size += estimateBytes(s.pending[n].records)
		n++
	}
	batch := s.pending[:n:n]
	s.pending = s.pending[n:]
	if len(s.pending) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return batch
}

// recordOverheadBytes estimates the encoded size of a record without its key and answer.
const recordOverheadBytes = 300

func estimateBytes(records []model.Record) int {
	n := 0
	for _, r := range records {
		n += recordOverheadBytes + len(r.Key)
		if r.Answer != nil {
			n += len(r.Answer.Body) * 4 / 3
		}
	}
	return n
}

// commit writes the batch as the next free segment. If another writer has created that segment, commit
// applies it and evaluates the batch again on the new state.
func (s *shard) commit(ctx context.Context, batch []*waiter, now time.Time) error {
	nonce := ulid.Make().String()
	for {
		if err := s.ensureLoaded(ctx); err != nil {
			return err
		}
		s.current.state.expire(now)
		outcomes, changes := s.dryRun(batch, now)
		if len(changes) == 0 {
			s.setOutcomes(batch, outcomes)
			return nil
		}
		seg := segment{Writer: s.cfg.Self, Nonce: nonce, Time: now, Records: changes}
		created, err := s.createSegment(ctx, seg)
		if err != nil {
			s.current = nil
			return err
		}
		if created {
			s.setOutcomes(batch, outcomes)
			return nil
		}
	}
}

func (s *shard) ensureLoaded(ctx context.Context) error {
	if s.current != nil {
		return nil
	}
	start := time.Now()
	l, err := load(ctx, s.cfg.Store, s.id, s.cfg.Window)
	if err != nil {
		return err
	}
	s.current, s.headReadAt = l, start
	s.obsolete = append(s.obsolete, obsoleteRange{lastSeq: l.manifest.Seq, since: start})
	return nil
}

// dryRun returns the outcome of each record and the records that would change the state. It leaves
// the state unchanged.
func (s *shard) dryRun(batch []*waiter, now time.Time) ([][]model.Outcome, []model.Record) {
	trial := &overlay{base: s.current.state, window: s.cfg.Window}
	outcomes := make([][]model.Outcome, len(batch))
	var changes []model.Record
	for i, w := range batch {
		for _, r := range w.records {
			r.Time = now
			o, changed := trial.apply(r)
			outcomes[i] = append(outcomes[i], o)
			if changed {
				changes = append(changes, r)
			}
		}
	}
	return outcomes, changes
}

func (s *shard) setOutcomes(batch []*waiter, outcomes [][]model.Outcome) {
	for i, w := range batch {
		w.outcomes = outcomes[i]
	}
}

// createSegment creates the next segment. It returns false if another writer's segment has that number;
// that segment is then applied, or the state is discarded and loaded again. A writer that read the
// head of the log long ago also checks after the create that the manifest has not passed it.
func (s *shard) createSegment(ctx context.Context, seg segment) (bool, error) {
	value, err := encode(seg)
	if err != nil {
		return false, err
	}
	key := segmentKey(s.id, s.current.seq+1)
	idle := time.Since(s.headReadAt)
	start := time.Now()
	_, err = storer.PutWithReadback(ctx, s.cfg.Store, key, value, 0)
	if storer.IsKind(err, storer.KindConflict) {
		return s.applyExisting(ctx, key, seg.Nonce)
	}
	if err != nil {
		return false, err
	}
	if idle+time.Since(start) > segmentRetention/2 {
		if behind, err := s.isBehind(ctx); err != nil || behind {
			return false, s.discardState(err)
		}
	}
	s.applySegment(seg, start)
	return true, nil
}

// isBehind reports whether the manifest already covers the created segment's number. This happens when
// the writer was paused for so long that the segment with this number had been compacted and deleted.
func (s *shard) isBehind(ctx context.Context) (bool, error) {
	l := &loadedShard{state: newState(s.cfg.Window)}
	if err := l.loadManifest(ctx, s.cfg.Store, s.id); err != nil {
		return false, err
	}
	return l.manifest.Seq > s.current.seq, nil
}

func (s *shard) discardState(err error) error {
	s.current = nil
	return err
}

// applyExisting applies the segment that already exists under key and reports whether it is this
// writer's own, from an earlier try whose answer was lost. If the segment has been deleted meanwhile,
// the state is discarded.
func (s *shard) applyExisting(ctx context.Context, key, nonce string) (bool, error) {
	start := time.Now()
	o, err := s.cfg.Store.Get(ctx, key)
	if storer.IsKind(err, storer.KindNotFound) {
		return false, s.discardState(nil)
	}
	if err != nil {
		return false, err
	}
	seg, err := decodeSegment(o)
	if err != nil {
		return false, err
	}
	s.applySegment(seg, start)
	return seg.Nonce == nonce, nil
}

func (s *shard) applySegment(seg segment, at time.Time) {
	s.current.state.replaySegment(seg)
	s.current.segments = append(s.current.segments, seg)
	s.current.seq++
	s.headReadAt = at
}

// lookup returns the claim or pin of a key after applying all segments committed so far.
func (s *shard) lookup(ctx context.Context, key model.RecordKey) (model.Outcome, error) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if err := s.catchUp(ctx); err != nil {
		return model.Outcome{}, err
	}
	return s.current.state.lookup(key), nil
}

func (s *shard) catchUp(ctx context.Context) error {
	if time.Since(s.headReadAt) > segmentRetention/2 {
		s.current = nil
	}
	if err := s.ensureLoaded(ctx); err != nil {
		return err
	}
	for {
		start := time.Now()
		o, err := s.cfg.Store.Get(ctx, segmentKey(s.id, s.current.seq+1))
		if storer.IsKind(err, storer.KindNotFound) {
			s.headReadAt = start
			return nil
		}
		if err != nil {
			return err
		}
		seg, err := decodeSegment(o)
		if err != nil {
			return err
		}
		s.applySegment(seg, start)
	}
}

var errSuperseded = errors.New("another writer compacted the shard")
