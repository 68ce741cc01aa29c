// Package signer makes and checks session tokens, which any entry can verify without state.
package signer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// KeyringKey is the platform object that holds the signing keys. It is outside of the
// relayed configuration, so keys travel only between platform and entries.
const KeyringKey = "keys/session"

// encoding is strict, so that each token has one form only.
var encoding = base64.RawURLEncoding.Strict()

const (
	tokenPrefix = "s1"
	secretSize  = 32
	reloadEvery = time.Minute
	firstRetry  = 200 * time.Millisecond
	maxRetry    = 10 * time.Second
	// keysKept is how many older keys still verify after a rotation.
	keysKept = 4
)

// Key is one signing key; the newest one signs.
type Key struct {
	ID      string    `json:"id"`
	Secret  []byte    `json:"secret"`
	Created time.Time `json:"created"`
}

// Keyring is the stored list of keys, the newest last.
type Keyring struct {
	Keys []Key `json:"keys"`
}

// Token is the content of a session token.
type Token struct {
	Organisation model.OrganisationID `json:"o"`
	Service      model.ServiceID      `json:"s"`
	Version      model.VersionID      `json:"v"`
	Session      model.SessionID      `json:"i"`
	Expires      int64                `json:"e"`
	// Agent served the session last and may still have its prompt prefix.
	Agent model.InstanceID `json:"a,omitempty"`
}

// Errors of Verify; each is a typed refusal for the caller.
var (
	ErrNotToken = errors.New("not a session token")
	ErrNoKeys   = errors.New("signing keys are not loaded: wait for the platform")
)

// Signer signs and verifies with the keys of the platform.
type Signer struct {
	store  storer.Store
	mu     sync.RWMutex
	ring   Keyring
	budget *rate.Limiter
}

// New returns a signer without keys.
func New(store storer.Store) *Signer {
	return &Signer{store: store, budget: rate.NewLimiter(1, 2)}
}

// Run loads the keys and reloads them at intervals.
func (s *Signer) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		pause := reloadEvery
		if err := s.Load(ctx, time.Now()); err != nil {
			pause = wait
			wait = min(2*wait, maxRetry)
		}
		// Jitter keeps many entries from reading at the same moment.
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + mathrand.N(pause)):
		}
	}
}

// Load reads the keyring; the first entry of a new fleet creates it.
func (s *Signer) Load(ctx context.Context, now time.Time) error {
	o, err := s.store.Get(ctx, KeyringKey)
	if storer.IsKind(err, storer.KindNotFound) {
		if _, err = rotate(ctx, s.store, Keyring{}, 0, now); err != nil && !storer.IsKind(err, storer.KindConflict) {
			return err
		}
		o, err = s.store.Get(ctx, KeyringKey)
	}
	if err != nil {
		return fmt.Errorf("read signing keys: %w", err)
	}
	var ring Keyring
	if err := json.Unmarshal(o.Value, &ring); err != nil {
		return fmt.Errorf("decode signing keys: %w", err)
	}
	s.mu.Lock()
	s.ring = ring
	s.mu.Unlock()
	return nil
}

// Rotate adds a new signing key; tokens of the last few keys stay valid.
func Rotate(ctx context.Context, store storer.Store, now time.Time) (model.Revision, error) {
	o, err := store.Get(ctx, KeyringKey)
	if storer.IsKind(err, storer.KindNotFound) {
		return rotate(ctx, store, Keyring{}, 0, now)
	}
	if err != nil {
		return 0, fmt.Errorf("read signing keys: %w", err)
	}
	var ring Keyring
	if err := json.Unmarshal(o.Value, &ring); err != nil {
		return 0, fmt.Errorf("decode signing keys: %w", err)
	}
	return rotate(ctx, store, ring, o.Revision, now)
}

func rotate(ctx context.Context, store storer.Store, ring Keyring, expect model.Revision, now time.Time) (model.Revision, error) {
	k := Key{ID: ulid.Make().String(), Secret: make([]byte, secretSize), Created: now}
	// crypto/rand.Read never returns an error on supported systems.
	rand.Read(k.Secret)
	if len(ring.Keys) > keysKept {
		ring.Keys = ring.Keys[len(ring.Keys)-keysKept:]
	}
	ring.Keys = append(ring.Keys, k)
	value, err := json.Marshal(ring)
	if err != nil {
		return 0, fmt.Errorf("encode signing keys: %w", err)
	}
	return storer.PutWithReadback(ctx, store, KeyringKey, value, expect)
}

// Sign returns the token as the caller carries it.
func (s *Signer) Sign(t Token) (string, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.ring.Keys) == 0 {
		return "", ErrNoKeys
	}
	payload, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode session token: %w", err)
	}
	k := s.ring.Keys[len(s.ring.Keys)-1]
	body := tokenPrefix + "." + k.ID + "." + encoding.EncodeToString(payload)
	return body + "." + encoding.EncodeToString(mac(k.Secret, body)), nil
}

// IsToken reports whether a session header has the form of a token.
func IsToken(s string) bool { return strings.HasPrefix(s, tokenPrefix+".") }

// Verify returns the content of a genuine, unexpired token of the organisation and service.
func (s *Signer) Verify(ctx context.Context, text string, org model.OrganisationID, service model.ServiceID, now time.Time) (Token, error) {
	var t Token
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] != tokenPrefix {
		return t, ErrNotToken
	}
	secret, ok := s.secret(ctx, parts[1], now)
	given, err := encoding.DecodeString(parts[3])
	if !ok || err != nil || !hmac.Equal(given, mac(secret, strings.Join(parts[:3], "."))) {
		return t, model.Refuse(model.KindBadSession, "the session token is not genuine: start a new session")
	}
	payload, err := encoding.DecodeString(parts[2])
	if err != nil || json.Unmarshal(payload, &t) != nil {
		return t, model.Refuse(model.KindBadSession, "the session token is not genuine: start a new session")
	}
	if t.Organisation != org || t.Service != service {
		return t, model.Refuse(model.KindBadSession, "the session token is for another organisation or service: start a new session")
	}
	if now.Unix() >= t.Expires {
		return t, model.Refuse(model.KindBadSession, "the session has expired: start a new session")
	}
	return t, nil
}

// secret finds a key; an unknown one may be newer than the loaded ring.
func (s *Signer) secret(ctx context.Context, id string, now time.Time) ([]byte, bool) {
	if k, ok := s.find(id); ok {
		return k, true
	}
	if !s.budget.AllowN(now, 1) || s.Load(ctx, now) != nil {
		return nil, false
	}
	return s.find(id)
}

func (s *Signer) find(id string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, k := range s.ring.Keys {
		if k.ID == id {
			return k.Secret, true
		}
	}
	return nil, false
}

func mac(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}
