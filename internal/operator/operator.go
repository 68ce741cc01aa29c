// Package operator does what operators ask for: it changes documents on the platform and
// asks instances what they do.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// AnyRevision accepts whatever revision the platform has at the moment of reading.
const AnyRevision model.Revision = 1<<64 - 1

// ConflictError reports that another operator changed the document first.
type ConflictError struct {
	Service  model.ServiceID
	Expected model.Revision
	Current  model.Revision
}

// Error names the newer revision and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, not %d: look at 'bramleyhinge diff', then apply to the newer one", e.Service, e.Current, e.Expected)
}

// Change is a document that an operator wants in force.
type Change struct {
	File             string
	Text             []byte
	ChangedBy        string
	ExpectedRevision model.Revision
}

// DocumentRevision is a document as the platform has it.
type DocumentRevision struct {
	Service   model.ServiceID `json:"service"`
	Revision  model.Revision  `json:"revision"`
	ChangedBy string          `json:"by"`
	ChangedAt time.Time       `json:"at"`
	Deleted   bool            `json:"deleted,omitempty"`
	Text      string          `json:"text,omitempty"`
}

// Apply checks a document and stores it if nobody else changed it meanwhile.
func Apply(ctx context.Context, store storer.Store, c Change, now time.Time) (DocumentRevision, error) {
	d, err := parser.ParseDocument(c.File, c.Text)
	if err != nil {
		return DocumentRevision{}, err
	}
	env := model.StoredDocument{Text: string(c.Text), ChangedBy: c.ChangedBy, ChangedAt: now}
	return replace(ctx, store, d.Service, env, c.ExpectedRevision)
}

// Remove takes a service out of force. A tombstone stays, so that the revision only rises.
func Remove(ctx context.Context, store storer.Store, service model.ServiceID, by string, expect model.Revision, now time.Time) (DocumentRevision, error) {
	if _, err := Read(ctx, store, service); err != nil {
		return DocumentRevision{}, err
	}
	return replace(ctx, store, service, model.StoredDocument{ChangedBy: by, ChangedAt: now, Deleted: true}, expect)
}

func replace(ctx context.Context, store storer.Store, service model.ServiceID, env model.StoredDocument, expect model.Revision) (DocumentRevision, error) {
	key := watcher.DocumentKey(service)
	old, err := store.Get(ctx, key)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return DocumentRevision{}, fmt.Errorf("read %s: %w", service, err)
	}
	if expect != AnyRevision && expect != old.Revision {
		return DocumentRevision{}, &ConflictError{Service: service, Expected: expect, Current: old.Revision}
	}
	if old.Revision > 0 {
		if err := archive(ctx, store, service, old); err != nil {
			return DocumentRevision{}, err
		}
	}
	value, err := json.Marshal(env)
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("encode %s: %w", service, err)
	}
	rev, err := storer.PutWithReadback(ctx, store, key, value, old.Revision)
	var se *storer.Error
	if errors.As(err, &se) && se.Kind == storer.KindConflict {
		return DocumentRevision{}, &ConflictError{Service: service, Expected: old.Revision, Current: se.Current}
	}
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("store %s: %w", service, err)
	}
	return stored(service, rev, env), nil
}

// archive keeps the document that is about to be replaced; two operators may archive the
// same revision, which is the same object.
func archive(ctx context.Context, store storer.Store, service model.ServiceID, old storer.Object) error {
	key := fmt.Sprintf("%s%020d", watcher.HistoryPrefix(service), old.Revision)
	_, err := storer.PutWithReadback(ctx, store, key, old.Value, 0)
	if err != nil && !storer.IsKind(err, storer.KindConflict) {
		return fmt.Errorf("keep revision %d of %s: %w", old.Revision, service, err)
	}
	return nil
}

func stored(service model.ServiceID, rev model.Revision, env model.StoredDocument) DocumentRevision {
	return DocumentRevision{Service: service, Revision: rev, ChangedBy: env.ChangedBy, ChangedAt: env.ChangedAt, Deleted: env.Deleted, Text: env.Text}
}

// Read returns the stored document of a service.
func Read(ctx context.Context, store storer.Store, service model.ServiceID) (DocumentRevision, error) {
	o, err := store.Get(ctx, watcher.DocumentKey(service))
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("read %s: %w", service, err)
	}
	var env model.StoredDocument
	if err := json.Unmarshal(o.Value, &env); err != nil {
		return DocumentRevision{}, fmt.Errorf("decode %s: %w", service, err)
	}
	return stored(service, o.Revision, env), nil
}

// Diff returns the lines by which a checked document differs from the stored one.
func Diff(ctx context.Context, store storer.Store, file string, text []byte) (string, error) {
	d, err := parser.ParseDocument(file, text)
	if err != nil {
		return "", err
	}
	old, err := Read(ctx, store, d.Service)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return "", err
	}
	return string(diff.Diff(fmt.Sprintf("%s at revision %d", d.Service, old.Revision), []byte(old.Text), file, text)), nil
}

// History returns the documents that a service has had, the newest first.
func History(ctx context.Context, store storer.Store, service model.ServiceID) ([]DocumentRevision, error) {
	current, err := Read(ctx, store, service)
	if err != nil {
		return nil, err
	}
	l, err := store.List(ctx, watcher.HistoryPrefix(service))
	if err != nil {
		return nil, fmt.Errorf("list history of %s: %w", service, err)
	}
	out := []DocumentRevision{current}
	for i := len(l.Objects) - 1; i >= 0; i-- {
		var env model.StoredDocument
		if err := json.Unmarshal(l.Objects[i].Value, &env); err != nil {
			return nil, fmt.Errorf("decode %s: %w", l.Objects[i].Key, err)
		}
		var rev model.Revision
		if _, err := fmt.Sscanf(l.Objects[i].Key, watcher.HistoryPrefix(service)+"%d", &rev); err != nil {
			return nil, fmt.Errorf("read revision of %s: %w", l.Objects[i].Key, err)
		}
		if rev != current.Revision {
			out = append(out, stored(service, rev, env))
		}
	}
	return out, nil
}
