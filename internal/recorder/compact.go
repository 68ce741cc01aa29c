package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
)

// compactAndDelete compacts the shard once it has enough segments, and deletes segments that were
// replaced longer ago than segmentRetention.
func (s *shard) compactAndDelete(ctx context.Context, now time.Time) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.current == nil {
		return
	}
	if len(s.current.segments) >= s.cfg.CompactAfter {
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

// compact writes the segments as chunks and then replaces the manifest. It returns errSuperseded if
// another writer has replaced the manifest first.
func (s *shard) compact(ctx context.Context, now time.Time) error {
	parts, err := encodeChunks(s.current.segments)
	if err != nil {
		return err
	}
	next := s.current.manifest.dropChunksBefore(now.Add(-s.cfg.Window - s.cfg.Window/bucketsPerWindow))
	next.Seq = s.current.seq
	nonce := ulid.Make().String()
	for i, part := range parts {
		key := chunkKey(s.id, next.Seq, i, nonce)
		if _, err := storer.PutWithReadback(ctx, s.cfg.Store, key, part, 0); err != nil {
			return fmt.Errorf("write chunk: %w", err)
		}
		next.Chunks = append(next.Chunks, chunkEntry{Key: key, Last: now})
	}
	next.Totals = s.current.state.recentTotals(now)
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
	s.obsolete = append(s.obsolete, obsoleteRange{lastSeq: next.Seq, since: now})
	return nil
}

// maxDeletesPerRound bounds the write rate on the store while obsolete segments are deleted.
const maxDeletesPerRound = 4

func (s *shard) deleteObsolete(ctx context.Context, now time.Time) {
	if len(s.obsolete) == 0 || now.Sub(s.obsolete[0].since) < segmentRetention {
		return
	}
	l, err := s.cfg.Store.List(ctx, segmentPrefix(s.id))
	if err != nil {
		return
	}
	deleted := 0
	for _, o := range l.Objects {
		n, err := parseSequence(o)
		if err != nil || n > s.obsolete[0].lastSeq {
			continue
		}
		if deleted == maxDeletesPerRound {
			return
		}
		if err := s.cfg.Store.Delete(ctx, o.Key, o.Revision); err != nil {
			return
		}
		deleted++
	}
	s.obsolete = s.obsolete[1:]
}
