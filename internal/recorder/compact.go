package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
)

// tidy compacts a long run of segments and deletes what was replaced long ago.
func (s *shard) tidy(ctx context.Context, now time.Time) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.current == nil {
		return
	}
	if len(s.current.segments) >= s.cfg.Compact {
		err := s.compact(ctx, now)
		if errors.Is(err, errSuperseded) {
			s.current = nil
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Int("shard", s.id).Msg("ledger: compaction failed, will try again")
			return
		}
	}
	s.deleteObsolete(ctx, now)
}

// compact writes the segments as chunks and then replaces the manifest, on the condition
// that no other writer did so first.
func (s *shard) compact(ctx context.Context, now time.Time) error {
	parts, err := pack(s.current.segments)
	if err != nil {
		return err
	}
	next := s.current.manifest.without(now.Add(-s.cfg.Window - s.cfg.Window/bucketsPerWindow))
	next.Seq = s.current.seq
	nonce := ulid.Make().String()
	for i, part := range parts {
		key := chunkKey(s.id, next.Seq, i, nonce)
		if _, err := storer.PutWithReadback(ctx, s.cfg.Store, key, part, 0); err != nil {
			return fmt.Errorf("write chunk: %w", err)
		}
		next.Chunks = append(next.Chunks, chunkEntry{Key: key, Last: now})
	}
	next.Totals = s.current.state.keptTotals(now)
	value, err := encode(next)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	rev, err := storer.PutWithReadback(ctx, s.cfg.Store, manifestKey(s.id), value, s.current.revision)
	if storer.IsKind(err, storer.KindConflict) {
		return errSuperseded
	}
	if err != nil {
		return fmt.Errorf("write manifest: %w", err)
	}
	s.current.manifest, s.current.revision, s.current.segments = next, rev, nil
	s.obsolete = append(s.obsolete, obsoleteRange{upto: next.Seq, since: now})
	return nil
}

// deletesPerRound keeps the platform's write rate low while old segments go.
const deletesPerRound = 4

func (s *shard) deleteObsolete(ctx context.Context, now time.Time) {
	if len(s.obsolete) == 0 || now.Sub(s.obsolete[0].since) < retention {
		return
	}
	l, err := s.cfg.Store.List(ctx, segmentPrefix(s.id))
	if err != nil {
		return
	}
	deleted := 0
	for _, o := range l.Objects {
		n, err := sequence(o)
		if err != nil || n > s.obsolete[0].upto {
			continue
		}
		if deleted == deletesPerRound {
			return
		}
		if err := s.cfg.Store.Delete(ctx, o.Key, o.Revision); err != nil {
			return
		}
		deleted++
	}
	s.obsolete = s.obsolete[1:]
}
