// Package signer signs and verifies session tokens. Any entry can verify a token without session state.
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

// KeyringKey is the key of the platform object that holds the signing keys. It is not part of the
// relayed configuration, so the keys pass only between the platform and the entries.
const KeyringKey = "keys/session"

// encoding is strict, so that no two strings decode to the same token.
var encoding = base64.RawURLEncoding.Strict()

const (
	tokenPrefix    = "s1"
	secretBytes    = 32
	reloadInterval = time.Minute
	minRetryDelay  = 200 * time.Millisecond
	maxRetryDelay  = 10 * time.Second
	// maxOldKeys is the number of older keys that stay in the keyring after a rotation, so that their
	// tokens remain valid.
	maxOldKeys = 4
)

// Key is one signing key; the newest one signs new tokens.
type Key struct {
	ID      string    `json:"id"`
	Secret  []byte    `json:"secret"`
	Created time.Time `json:"created"`
}

// Keyring is the stored list of keys in order of creation, the newest last.
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
	// Agent is the agent that served the session last. Its backend server may still have the
	// session's prompt prefix cached.
	Agent model.InstanceID `json:"a,omitempty"`
}

// ErrNotToken is returned by Verify for text without the form of a token, ErrNoKeys by Sign before the
// keys are loaded. All other errors of Verify are refusals of kind KindBadSession.
var (
	ErrNotToken = errors.New("not a session token")
	ErrNoKeys   = errors.New("signing keys are not loaded: wait for the platform")
)

// Signer signs and verifies tokens with the keyring that it read last from the platform.
type Signer struct {
	store         storer.Store
	mu            sync.RWMutex
	keyring       Keyring
	reloadLimiter *rate.Limiter
}

// New returns a signer without keys; Load or Run loads them.
func New(store storer.Store) *Signer {
	return &Signer{store: store, reloadLimiter: rate.NewLimiter(1, 2)}
}

// Run loads the keys and reloads them every reloadInterval until the context ends. While loading fails,
// it retries after increasing delays.
func (s *Signer) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		pause := reloadInterval
		if err := s.Load(ctx, time.Now()); err != nil {
			pause = retryDelay
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
		// Jitter spreads the reads of many entries over time.
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + mathrand.N(pause)):
		}
	}
}

// Load reads the keyring from the platform and creates it with one key if there is none yet.
func (s *Signer) Load(ctx context.Context, now time.Time) error {
	o, err := s.store.Get(ctx, KeyringKey)
	if storer.IsKind(err, storer.KindNotFound) {
		if _, err = addKey(ctx, s.store, Keyring{}, 0, now); err != nil && !storer.IsKind(err, storer.KindConflict) {
			return err
		}
		o, err = s.store.Get(ctx, KeyringKey)
	}
	if err != nil {
		return fmt.Errorf("read signing keys: %w", err)
	}
	var keyring Keyring
	if err := json.Unmarshal(o.Value, &keyring); err != nil {
		return fmt.Errorf("decode signing keys: %w", err)
	}
	s.mu.Lock()
	s.keyring = keyring
	s.mu.Unlock()
	return nil
}

// Rotate adds a new signing key to the stored keyring and returns its new revision. Tokens of the
// last few keys stay valid.
func Rotate(ctx context.Context, store storer.Store, now time.Time) (model.Revision, error) {
	o, err := store.Get(ctx, KeyringKey)
	if storer.IsKind(err, storer.KindNotFound) {
		return addKey(ctx, store, Keyring{}, 0, now)
	}
	if err != nil {
		return 0, fmt.Errorf("read signing keys: %w", err)
	}
	var keyring Keyring
	if err := json.Unmarshal(o.Value, &keyring); err != nil {
		return 0, fmt.Errorf("decode signing keys: %w", err)
	}
	return addKey(ctx, store, keyring, o.Revision, now)
}

func addKey(ctx context.Context, store storer.Store, keyring Keyring, expect model.Revision, now time.Time) (model.Revision, error) {
	k := Key{ID: ulid.Make().String(), Secret: make([]byte, secretBytes), Created: now}
	// crypto/rand.Read never returns an error on supported systems.
	rand.Read(k.Secret)
	if len(keyring.Keys) > maxOldKeys {
		keyring.Keys = keyring.Keys[len(keyring.Keys)-maxOldKeys:]
	}
	keyring.Keys = append(keyring.Keys, k)
	value, err := json.Marshal(keyring)
	if err != nil {
		return 0, fmt.Errorf("encode signing keys: %w", err)
	}
	return storer.PutWithReadback(ctx, store, KeyringKey, value, expect)
}

// Sign returns the signed text form of the token. It returns ErrNoKeys before the keys are loaded.
func (s *Signer) Sign(t Token) (string, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.keyring.Keys) == 0 {
		return "", ErrNoKeys
	}
	payload, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode session token: %w", err)
	}
	k := s.keyring.Keys[len(s.keyring.Keys)-1]
	body := tokenPrefix + "." + k.ID + "." + encoding.EncodeToString(payload)
	return body + "." + encoding.EncodeToString(computeMAC(k.Secret, body)), nil
}

// IsToken reports whether the value of a session header has the prefix of a token.
func IsToken(s string) bool { return strings.HasPrefix(s, tokenPrefix+".") }

// Verify returns the content of a token that is genuine, has not expired and belongs to the organisation
// and service. If the token's key is unknown, it may reload the keyring once.
func (s *Signer) Verify(ctx context.Context, text string, org model.OrganisationID, service model.ServiceID, now time.Time) (Token, error) {
	var t Token
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] != tokenPrefix {
		return t, ErrNotToken
	}
	secret, ok := s.secret(ctx, parts[1], now)
	givenMAC, err := encoding.DecodeString(parts[3])
	if !ok || err != nil || !hmac.Equal(givenMAC, computeMAC(secret, strings.Join(parts[:3], "."))) {
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

// secret returns the secret of a key. An unknown key may be newer than the loaded keyring, so secret
// reloads the keyring, within reloadLimiter.
func (s *Signer) secret(ctx context.Context, id string, now time.Time) ([]byte, bool) {
	if k, ok := s.findSecret(id); ok {
		return k, true
	}
	if !s.reloadLimiter.AllowN(now, 1) || s.Load(ctx, now) != nil {
		return nil, false
	}
	return s.findSecret(id)
}

func (s *Signer) findSecret(id string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, k := range s.keyring.Keys {
		if k.ID == id {
			return k.Secret, true
		}
	}
	return nil, false
}

func computeMAC(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}
