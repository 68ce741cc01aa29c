// Package storer defines the platform's object API and instance list, and a client for both.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// MaxValueBytes is the size in bytes of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// NoWait is the wait of a watch that returns the changes so far at once.
const NoWait = time.Millisecond

// Object is one stored object or, in the answer of a watch, its deletion.
type Object struct {
	Key      string         `json:"key"`
	Revision model.Revision `json:"revision"`
	Value    []byte         `json:"value,omitempty"`
	Deleted  bool           `json:"deleted,omitempty"`
	// Created is the revision at which the object was created, 0 if the store does not report it. Its era is that of
	// the answer, as that of Revision is.
	Created model.Revision `json:"created,omitempty"`
	// Status is the status reported for the object; it is stored apart from the value.
	Status []byte `json:"status,omitempty"`
}

// Listing is the answer of List and Watch. Revision is the store's newest revision at the time of the
// answer; the next watch continues from it.
type Listing struct {
	Objects  []Object       `json:"objects"`
	Revision model.Revision `json:"revision"`
	// Silent is set if the answer came on a new connection, since the one that the call was sent on is silent.
	Silent bool `json:"-"`
}

// Store is the platform's object API.
//
// Put with expect 0 creates the object only if it does not exist; any other expect must equal the
// stored revision. A Watch from a revision of an earlier era ends with KindCompacted. Errors are of type *Error. Renew has
// the next calls open connections, since those that were used before may have fallen silent.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) (Listing, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
	Delete(ctx context.Context, key string, expect model.Revision) error
	Watch(ctx context.Context, prefix string, from model.Revision, wait time.Duration) (Listing, error)
	Renew()
}

// Reporter writes the status of an object, which is stored apart from its value.
type Reporter interface {
	Report(ctx context.Context, key string, status []byte, expect model.Revision) (model.Revision, error)
}

// Lister is the platform's instance list, which lags behind the instances.
type Lister interface {
	Instances(ctx context.Context) ([]model.Instance, error)
}

// Kind is the kind of a store error.
type Kind string

// Kinds of store error. After KindUnknown the change may or may not have taken effect.
const (
	KindNotFound    Kind = "not_found"
	KindConflict    Kind = "conflict"
	KindUnavailable Kind = "unavailable"
	KindUnknown     Kind = "outcome_unknown"
	KindCompacted   Kind = "compacted"
	KindTooLarge    Kind = "too_large"
)

// Error is a typed failure of the object API.
type Error struct {
	Kind    Kind           `json:"kind"`
	Key     string         `json:"key,omitempty"`
	Current model.Revision `json:"current,omitempty"`
	Cause   error          `json:"-"`
}

// Error returns a message that names the object and the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case KindNotFound:
		return fmt.Sprintf("object %s does not exist: create it first", e.Key)
	case KindConflict:
		return fmt.Sprintf("object %s is at revision %v: read it again and repeat the change", e.Key, e.Current)
	case KindUnknown:
		return fmt.Sprintf("answer for object %s was lost: read it back before repeating the change", e.Key)
	case KindCompacted:
		return "watch is older than the kept events: list again"
	case KindTooLarge:
		return fmt.Sprintf("object %s is over %d bytes: split it", e.Key, MaxValueBytes)
	default:
		return fmt.Sprintf("platform is unavailable: try again later (%v)", e.Cause)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether err is a store error of the kind.
func IsKind(err error, kind Kind) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.Kind == kind
}

// PutWithReadback writes a value. If the answer is lost, it reads the object back to find out whether
// the write took effect. It counts as successful only if the stored value equals the written one, so
// the value must differ from what other writers would store.
func PutWithReadback(ctx context.Context, s Store, key string, value []byte, expect model.Revision) (model.Revision, error) {
	rev, err := s.Put(ctx, key, value, expect)
	if !IsKind(err, KindUnknown) {
		return rev, err
	}
	return readBack(ctx, s, key, value, expect)
}

const (
	readBackTries = 5
	readBackPause = 50 * time.Millisecond
)

func readBack(ctx context.Context, s Store, key string, value []byte, expect model.Revision) (model.Revision, error) {
	for range readBackTries {
		o, err := s.Get(ctx, key)
		switch {
		case err == nil && string(o.Value) == string(value) && o.Revision > expect:
			return o.Revision, nil
		case err == nil && o.Revision != expect:
			return 0, &Error{Kind: KindConflict, Key: key, Current: o.Revision}
		case err == nil || IsKind(err, KindNotFound):
			return 0, &Error{Kind: KindUnavailable, Key: key, Cause: errors.New("the change did not take effect")}
		}
		select {
		case <-ctx.Done():
			return 0, &Error{Kind: KindUnknown, Key: key, Cause: ctx.Err()}
		case <-time.After(readBackPause):
		}
	}
	return 0, &Error{Kind: KindUnknown, Key: key}
}
