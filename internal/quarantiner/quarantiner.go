// Package quarantiner refuses requests that have crashed several backend servers.
package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// banThreshold is the number of backend servers that must crash on a request before it is
	// refused. One server may crash by chance, and a crash breaks off all requests that run beside
	// the one that caused it.
	banThreshold = 3
	// publishThreshold is the number of crashed backend servers from which an entry publishes a
	// suspect to the others, because the same request may come again at any of them.
	publishThreshold = 2
	// suspectTTL is how long a suspect below the threshold is kept after its last crash.
	suspectTTL = 30 * time.Second
	// banDuration is how long a request is refused after its last crash.
	banDuration = 10 * time.Minute
	// maxSuspects is the number of suspects from which expired ones are deleted.
	maxSuspects = 20_000
	// writeTimeout bounds all attempts to publish one suspect.
	writeTimeout = 2 * time.Second
	// maxWriteAttempts bounds the attempts to publish a suspect when other entries write it too.
	maxWriteAttempts = 4
)

// Store reads and writes the objects of published suspects.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Quarantiner.
type Config struct {
	Store Store
	// SharedKind is the kind of the objects that hold the suspects of all entries.
	SharedKind string
	Log        zerolog.Logger
}

// suspect is a request during which backend servers crashed, as seen by any entry.
type suspect struct {
	servers   map[model.BackendID]bool
	lastCrash time.Time
}

// Quarantiner tracks the requests that crash backend servers.
type Quarantiner struct {
	cfg Config

	mu       sync.Mutex
	suspects map[uint64]*suspect
}

// publishedSuspect is the stored form of a suspect.
type publishedSuspect struct {
	Servers []model.BackendID `json:"servers"`
}

// New returns a quarantiner without suspects.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{cfg: cfg, suspects: map[uint64]*suspect{}}
}

// IsBanned reports whether a request must be refused.
func (q *Quarantiner) IsBanned(fingerprint uint64, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	return s != nil && len(s.servers) >= banThreshold && now.Sub(s.lastCrash) < banDuration
}

// RecordCrash records that a backend server crashed while it ran a request. From publishThreshold
// servers on, it publishes the suspect to the other entries.
func (q *Quarantiner) RecordCrash(fingerprint uint64, b model.BackendID, now time.Time) {
	q.mu.Lock()
	s := q.addCrashes(fingerprint, []model.BackendID{b}, now)
	n := len(s.servers)
	q.mu.Unlock()
	if n < publishThreshold {
		return
	}
	q.cfg.Log.Warn().Str("fingerprint", strconv.FormatUint(fingerprint, 16)).Str("backend", string(b)).Int("crashed", n).
		Bool("banned", n >= banThreshold).Msg("quarantiner: backend servers crashed while running a request")
	go q.publish(fingerprint)
}

// addCrashes adds crashed backend servers to a suspect. The caller holds the lock.
func (q *Quarantiner) addCrashes(fingerprint uint64, servers []model.BackendID, now time.Time) *suspect {
	s := q.suspects[fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.deleteExpired(now)
		}
		s = &suspect{servers: map[model.BackendID]bool{}}
		q.suspects[fingerprint] = s
	}
	for _, b := range servers {
		s.servers[b] = true
	}
	s.lastCrash = now
	return s
}

func (q *Quarantiner) deleteExpired(now time.Time) {
	for f, s := range q.suspects {
		age := now.Sub(s.lastCrash)
		if age > banDuration || age > suspectTTL && len(s.servers) < banThreshold {
			delete(q.suspects, f)
		}
	}
}

// publish merges this entry's crashes of a suspect into the stored object.
func (q *Quarantiner) publish(fingerprint uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	key := q.key(fingerprint)
	var err error
	for range maxWriteAttempts {
		if err = q.write(ctx, key, fingerprint); !storer.IsKind(err, storer.KindConflict) {
			break
		}
	}
	if err != nil {
		q.cfg.Log.Warn().Err(err).Str("key", key).Msg("quarantiner: cannot publish a suspect to other entries")
	}
}

func (q *Quarantiner) write(ctx context.Context, key string, fingerprint uint64) error {
	o, err := q.cfg.Store.Get(ctx, key)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return err
	}
	if err == nil {
		q.Merge(o, time.Now())
	}
	b, err := json.Marshal(q.publishedSuspect(fingerprint))
	if err != nil {
		return fmt.Errorf("encode suspect %s: %w", key, err)
	}
	if string(o.Value) == string(b) {
		return nil
	}
	_, err = q.cfg.Store.Put(ctx, key, b, o.Revision)
	return err
}

func (q *Quarantiner) publishedSuspect(fingerprint uint64) publishedSuspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var m publishedSuspect
	if s := q.suspects[fingerprint]; s != nil {
		for b := range s.servers {
			m.Servers = append(m.Servers, b)
		}
	}
	// An unchanged set must have the same stored form, so that it is not written again.
	slices.Sort(m.Servers)
	return m
}

const keyPrefix = "poison."

func (q *Quarantiner) key(fingerprint uint64) string {
	return q.cfg.SharedKind + "/" + keyPrefix + strconv.FormatUint(fingerprint, 16)
}

var errNoServers = errors.New("the object names no backend servers")

// Merge adds the crashes in an object that another entry published; it ignores other objects of the
// same kind.
func (q *Quarantiner) Merge(o storer.Object, now time.Time) {
	name, ok := strings.CutPrefix(o.Key, q.cfg.SharedKind+"/"+keyPrefix)
	if !ok {
		return
	}
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	var m publishedSuspect
	if err == nil {
		err = json.Unmarshal(o.Value, &m)
	}
	if err == nil && len(m.Servers) == 0 {
		err = errNoServers
	}
	if err != nil {
		q.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("quarantiner: cannot read a published suspect; ignoring it")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addCrashes(fingerprint, m.Servers, now)
}
