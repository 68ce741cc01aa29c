// Package quarantiner keeps requests that crash backend servers away from them.
package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// banAt is the number of backend servers that must break off on a request before it is
	// refused: one may crash by chance, and all that ran beside the request break off with it.
	banAt = 3
	// publishAt is the number from which on entries tell each other, since the same request comes
	// again at any of them.
	publishAt = 2
	// suspectFor is how long a request that broke off is remembered without another one.
	suspectFor = 30 * time.Second
	// banFor is how long a request is refused after its last crash.
	banFor = 10 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 20_000
	// writeTimeout bounds the writes of one mark.
	writeTimeout = 2 * time.Second
	// writeTries is how often a mark is written anew after another entry was first.
	writeTries = 4
)

// Store is the part of the store that marks are kept in.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Quarantiner.
type Config struct {
	Store Store
	// ObjectKind is the kind of object that holds the suspects of all entries.
	ObjectKind string
	Log        zerolog.Logger
}

// suspect is a request that backend servers broke off on. Fleet counts those that other
// entries saw.
type suspect struct {
	servers map[model.BackendID]bool
	last    time.Time
}

// Quarantiner knows the requests that crash backend servers.
type Quarantiner struct {
	cfg Config

	mu       sync.Mutex
	suspects map[uint64]*suspect
}

// mark is the stored form of a suspect.
type mark struct {
	Servers []model.BackendID `json:"servers"`
}

// New returns a quarantiner that knows none.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{cfg: cfg, suspects: map[uint64]*suspect{}}
}

// Banned reports whether a request is refused.
func (q *Quarantiner) Banned(fingerprint uint64, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	return s != nil && len(s.servers) >= banAt && now.Sub(s.last) < banFor
}

// Crashed counts a backend server that broke off while it ran a request.
func (q *Quarantiner) Crashed(fingerprint uint64, b model.BackendID, now time.Time) {
	q.mu.Lock()
	s := q.add(fingerprint, []model.BackendID{b}, now)
	n := len(s.servers)
	q.mu.Unlock()
	if n < publishAt {
		return
	}
	q.cfg.Log.Warn().Str("fingerprint", strconv.FormatUint(fingerprint, 16)).Str("backend", string(b)).Int("crashed", n).
		Bool("banned", n >= banAt).Msg("quarantiner: backend servers broke off on a request")
	go q.publish(fingerprint)
}

// add counts backend servers and forgets requests that were long ago; the lock is held.
func (q *Quarantiner) add(fingerprint uint64, servers []model.BackendID, now time.Time) *suspect {
	s := q.suspects[fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.forget(now)
		}
		s = &suspect{servers: map[model.BackendID]bool{}}
		q.suspects[fingerprint] = s
	}
	for _, b := range servers {
		s.servers[b] = true
	}
	s.last = now
	return s
}

func (q *Quarantiner) forget(now time.Time) {
	for f, s := range q.suspects {
		age := now.Sub(s.last)
		if age > banFor || age > suspectFor && len(s.servers) < banAt {
			delete(q.suspects, f)
		}
	}
}

// publish adds what this entry knows of a suspect to the store.
func (q *Quarantiner) publish(fingerprint uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	key := q.key(fingerprint)
	var err error
	for range writeTries {
		if err = q.write(ctx, key, fingerprint); !storer.IsKind(err, storer.KindConflict) {
			break
		}
	}
	if err != nil {
		q.cfg.Log.Warn().Err(err).Str("key", key).Msg("quarantiner: other entries could not be told")
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
	b, err := json.Marshal(q.mark(fingerprint))
	if err != nil {
		return fmt.Errorf("encode suspect %s: %w", key, err)
	}
	if string(o.Value) == string(b) {
		return nil
	}
	_, err = q.cfg.Store.Put(ctx, key, b, o.Revision)
	return err
}

func (q *Quarantiner) mark(fingerprint uint64) mark {
	q.mu.Lock()
	defer q.mu.Unlock()
	var m mark
	if s := q.suspects[fingerprint]; s != nil {
		for b := range s.servers {
			m.Servers = append(m.Servers, b)
		}
	}
	return m
}

const prefix = "poison."

func (q *Quarantiner) key(fingerprint uint64) string {
	return q.cfg.ObjectKind + "/" + prefix + strconv.FormatUint(fingerprint, 16)
}

var errNotSuspect = errors.New("the mark names no suspect")

// Merge takes a mark of another entry; marks of other kinds are left alone.
func (q *Quarantiner) Merge(o storer.Object, now time.Time) {
	name, ok := strings.CutPrefix(o.Key, q.cfg.ObjectKind+"/"+prefix)
	if !ok {
		return
	}
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	var m mark
	if err == nil {
		err = json.Unmarshal(o.Value, &m)
	}
	if err == nil && len(m.Servers) == 0 {
		err = errNotSuspect
	}
	if err != nil {
		q.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("quarantiner: a mark cannot be read and is left out")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(fingerprint, m.Servers, now)
}
