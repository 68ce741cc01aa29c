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
	// compactAfter is the number of segments that a chunk replaces.
	compactAfter = 256
	// retention keeps replaced segments, so that a paused writer meets them and notices.
	retention = 10 * time.Minute
	// commitTimeout bounds one group commit with its repeats.
	commitTimeout = 4 * time.Second
	// failurePause spares a platform that is down.
	failurePause = 500 * time.Millisecond
	// maxBatch bounds the bytes of one segment well below the value limit.
	maxBatch = storer.MaxValueBytes / 2
)

// shard appends to one log. Only the conditional create of the next segment decides;
// two writers at once are slow but safe.
type shard struct {
	id       int
	cfg      Config
	mu       sync.Mutex
	pending  []*waiter
	wake     chan struct{}
	log      zerolog.Logger
	stateMu  sync.Mutex
	current  *loaded
	headAt   time.Time
	obsolete []obsoleteRange
}

// waiter is one caller's records on their way into a segment.
type waiter struct {
	records  []model.Record
	outcomes []model.Outcome
	err      error
	done     chan struct{}
}

// obsoleteRange is a run of segments that a manifest has replaced.
type obsoleteRange struct {
	upto  int
	since time.Time
}

func newShard(id int, cfg Config) *shard {
	if cfg.Compact == 0 {
		cfg.Compact = compactAfter
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

// run commits groups of waiting records, one at a time and no faster than the flush interval.
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
			next = start.Add(failurePause)
		}
		s.tidy(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
	}
}

func (s *shard) commitPending(ctx context.Context, now time.Time) error {
	batch := s.take()
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

// take removes the waiting records that fit one segment.
func (s *shard) take() []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.pending) && (n == 0 || size < maxBatch) {
		size += sizeOf(s.pending[n].records)
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

// recordOverhead approximates the encoded size of a record without its answer.
const recordOverhead = 300

func sizeOf(records []model.Record) int {
	n := 0
	for _, r := range records {
		n += recordOverhead + len(r.Key)
		if r.Answer != nil {
			n += len(r.Answer.Body) * 4 / 3
		}
	}
	return n
}

// commit puts the batch into the next free segment. A segment that another writer created
// first is applied, and the batch is judged again by the new state.
func (s *shard) commit(ctx context.Context, batch []*waiter, now time.Time) error {
	nonce := ulid.Make().String()
	for {
		if err := s.ensureLoaded(ctx); err != nil {
			return err
		}
		s.current.state.expire(now)
		outcomes, kept := s.propose(batch, now)
		if len(kept) == 0 {
			s.resolve(batch, outcomes)
			return nil
		}
		seg := segment{Writer: s.cfg.Self, Nonce: nonce, Time: now, Records: kept}
		won, err := s.create(ctx, seg)
		if err != nil {
			s.current = nil
			return err
		}
		if won {
			s.resolve(batch, outcomes)
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
	s.current, s.headAt = l, start
	s.obsolete = append(s.obsolete, obsoleteRange{upto: l.manifest.Seq, since: start})
	return nil
}

// propose finds what each record would do, without changing the state.
func (s *shard) propose(batch []*waiter, now time.Time) ([][]model.Outcome, []model.Record) {
	trial := &overlay{base: s.current.state, window: s.cfg.Window}
	outcomes := make([][]model.Outcome, len(batch))
	var kept []model.Record
	for i, w := range batch {
		for _, r := range w.records {
			r.Time = now
			o, changed := trial.apply(r)
			outcomes[i] = append(outcomes[i], o)
			if changed {
				kept = append(kept, r)
			}
		}
	}
	return outcomes, kept
}

func (s *shard) resolve(batch []*waiter, outcomes [][]model.Outcome) {
	for i, w := range batch {
		w.outcomes = outcomes[i]
	}
}

// create writes the segment; false means that another writer was first and has been applied.
func (s *shard) create(ctx context.Context, seg segment) (bool, error) {
	value, err := encode(seg)
	if err != nil {
		return false, err
	}
	key := segmentKey(s.id, s.current.seq+1)
	idle := time.Since(s.headAt)
	start := time.Now()
	_, err = storer.PutWithReadback(ctx, s.cfg.Store, key, value, 0)
	if storer.IsKind(err, storer.KindConflict) {
		return s.meet(ctx, key, seg.Nonce)
	}
	if err != nil {
		return false, err
	}
	if idle+time.Since(start) > retention/2 {
		if behind, err := s.isBehind(ctx); err != nil || behind {
			return false, s.reload(err)
		}
	}
	s.advance(seg, start)
	return true, nil
}

// isBehind reports whether the created segment lies before the manifest: the writer was
// paused so long that the segment it should have met was already deleted.
func (s *shard) isBehind(ctx context.Context) (bool, error) {
	l := &loaded{state: newState(s.cfg.Window)}
	if err := l.loadManifest(ctx, s.cfg.Store, s.id); err != nil {
		return false, err
	}
	return l.manifest.Seq > s.current.seq, nil
}

func (s *shard) reload(err error) error {
	s.current = nil
	return err
}

// meet applies the segment that stands where the own one should go.
func (s *shard) meet(ctx context.Context, key, nonce string) (bool, error) {
	start := time.Now()
	o, err := s.cfg.Store.Get(ctx, key)
	if storer.IsKind(err, storer.KindNotFound) {
		return false, s.reload(nil)
	}
	if err != nil {
		return false, err
	}
	seg, err := decodeSegment(o)
	if err != nil {
		return false, err
	}
	s.advance(seg, start)
	return seg.Nonce == nonce, nil
}

func (s *shard) advance(seg segment, at time.Time) {
	s.current.state.replay(seg)
	s.current.segments = append(s.current.segments, seg)
	s.current.seq++
	s.headAt = at
}

// lookup returns the state of a key after everything committed so far.
func (s *shard) lookup(ctx context.Context, key model.RecordKey) (model.Outcome, error) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if err := s.catchUp(ctx); err != nil {
		return model.Outcome{}, err
	}
	return s.current.state.lookup(key), nil
}

func (s *shard) catchUp(ctx context.Context) error {
	if time.Since(s.headAt) > retention/2 {
		s.current = nil
	}
	if err := s.ensureLoaded(ctx); err != nil {
		return err
	}
	for {
		start := time.Now()
		o, err := s.cfg.Store.Get(ctx, segmentKey(s.id, s.current.seq+1))
		if storer.IsKind(err, storer.KindNotFound) {
			s.headAt = start
			return nil
		}
		if err != nil {
			return err
		}
		seg, err := decodeSegment(o)
		if err != nil {
			return err
		}
		s.advance(seg, start)
	}
}

var errSuperseded = errors.New("another writer compacted the shard")
