package recorder

import (
	"context"
	"fmt"
	"path"
	"slices"
	"strconv"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// segment is one group commit. A writer recognises its own segment by Nonce.
type segment struct {
	Writer  model.InstanceID `json:"writer"`
	Nonce   string           `json:"nonce"`
	Time    time.Time        `json:"time"`
	Records []model.Record   `json:"records"`
}

// manifest lists the chunks that replace the segments up to and including Seq.
type manifest struct {
	Seq    int          `json:"seq"`
	Chunks []chunkEntry `json:"chunks"`
	Totals []totalEntry `json:"totals"`
}

type chunkEntry struct {
	Key  string    `json:"key"`
	Last time.Time `json:"last"`
}

type totalEntry struct {
	TotalKey
	Total
}

// chunk is the compacted form of many segments; each keeps its own time.
type chunk struct {
	Segments []segment `json:"segments"`
}

func shardPrefix(shard int) string     { return fmt.Sprintf("ledger/%02d/", shard) }
func segmentPrefix(shard int) string   { return shardPrefix(shard) + "s/" }
func segmentKey(shard, seq int) string { return fmt.Sprintf("%s%012d", segmentPrefix(shard), seq) }

// chunkKey returns the key of a chunk. It includes the writer's nonce, since two writers may split
// the same segments differently.
func chunkKey(shard, seq, part int, nonce string) string {
	return fmt.Sprintf("%sc/%012d-%d-%s", shardPrefix(shard), seq, part, nonce)
}

func manifestKey(shard int) string               { return shardPrefix(shard) + "manifest" }
func parseSequence(o storer.Object) (int, error) { return strconv.Atoi(path.Base(o.Key)) }

// loadedShard is the state of a shard as read from the object store. Its segments are those that
// the manifest does not cover.
type loadedShard struct {
	state    *state
	seq      int
	manifest manifest
	revision model.Revision
	segments []segment
}

// load rebuilds a shard from its manifest, its chunks and the segments after them.
func load(ctx context.Context, store storer.Store, shard int, window time.Duration) (*loadedShard, error) {
	l := &loadedShard{state: newState(window)}
	if err := l.loadManifest(ctx, store, shard); err != nil {
		return nil, err
	}
	listing, err := store.List(ctx, segmentPrefix(shard))
	if err != nil {
		return nil, fmt.Errorf("list segments of shard %d: %w", shard, err)
	}
	for _, o := range listing.Objects {
		n, err := parseSequence(o)
		if err != nil || n <= l.seq {
			continue
		}
		if n != l.seq+1 {
			return nil, fmt.Errorf("segment %d of shard %d is missing: %w", l.seq+1, shard, &storer.Error{Kind: storer.KindUnavailable, Key: o.Key})
		}
		if err := l.addSegment(o); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *loadedShard) loadManifest(ctx context.Context, store storer.Store, shard int) error {
	o, err := store.Get(ctx, manifestKey(shard))
	if storer.IsKind(err, storer.KindNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read manifest of shard %d: %w", shard, err)
	}
	if err := decode(o.Value, &l.manifest); err != nil {
		return fmt.Errorf("decode manifest of shard %d: %w", shard, err)
	}
	l.revision = o.Revision
	for _, c := range l.manifest.Chunks {
		if err := l.loadChunk(ctx, store, c.Key); err != nil {
			return err
		}
	}
	l.seq = l.manifest.Seq
	l.state.totals = map[TotalKey]Total{}
	for _, t := range l.manifest.Totals {
		l.state.totals[t.TotalKey] = t.Total
	}
	return nil
}

func (l *loadedShard) loadChunk(ctx context.Context, store storer.Store, key string) error {
	o, err := store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read chunk %s: %w", key, err)
	}
	var c chunk
	if err := decode(o.Value, &c); err != nil {
		return fmt.Errorf("decode chunk %s: %w", key, err)
	}
	for _, s := range c.Segments {
		l.state.replaySegment(s)
	}
	return nil
}

func (l *loadedShard) addSegment(o storer.Object) error {
	s, err := decodeSegment(o)
	if err != nil {
		return err
	}
	l.state.replaySegment(s)
	l.segments = append(l.segments, s)
	l.seq++
	return nil
}

func decodeSegment(o storer.Object) (segment, error) {
	var s segment
	if err := decode(o.Value, &s); err != nil {
		return s, fmt.Errorf("decode segment %s: %w", o.Key, err)
	}
	return s, nil
}

// replaySegment expires entries up to the segment's time and applies its records in order.
func (s *state) replaySegment(seg segment) {
	s.expire(seg.Time)
	for _, r := range seg.Records {
		s.apply(r)
	}
}

// encodeChunks splits segments into encoded chunks of at most maxChunkBytes each; a single segment
// that is larger becomes a chunk of its own.
func encodeChunks(segments []segment) ([][]byte, error) {
	var out [][]byte
	for len(segments) > 0 {
		n := len(segments)
		for {
			b, err := encode(chunk{Segments: segments[:n]})
			if err != nil {
				return nil, fmt.Errorf("encode chunk: %w", err)
			}
			if len(b) <= maxChunkBytes || n == 1 {
				out = append(out, b)
				break
			}
			n = (n + 1) / 2
		}
		segments = segments[n:]
	}
	return out, nil
}

// maxChunkBytes is the largest encoded chunk; it leaves a margin below the store's value limit.
const maxChunkBytes = storer.MaxValueBytes * 9 / 10

// dropChunksBefore returns the manifest without the chunks whose last record is older than before.
func (m manifest) dropChunksBefore(before time.Time) manifest {
	m.Chunks = slices.DeleteFunc(slices.Clone(m.Chunks), func(c chunkEntry) bool { return c.Last.Before(before) })
	return m
}
