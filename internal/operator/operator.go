// Package operator implements the operators' commands, which change documents on the platform and
// query instances.
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

// AnyRevision as the expected revision accepts the one that the platform has when it is read.
const AnyRevision model.Revision = 1<<64 - 1

// ConflictError reports that another operator changed the document first.
type ConflictError struct {
	Service  model.ServiceID
	Expected model.Revision
	Current  model.Revision
}

// Error names both revisions and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, not %d: look at 'bramleyhinge diff', then apply to the newer one", e.Service, e.Current, e.Expected)
}

// Change is a new document of a service. File is the name that parse errors show.
type Change struct {
	File             string
	Text             []byte
	ChangedBy        string
	ExpectedRevision model.Revision
}

// DocumentRevision is one stored revision of a service's document.
type DocumentRevision struct {
	Service   model.ServiceID `json:"service"`
	Revision  model.Revision  `json:"revision"`
	ChangedBy string          `json:"by"`
	ChangedAt time.Time       `json:"at"`
	Deleted   bool            `json:"deleted,omitempty"`
	Text      string          `json:"text,omitempty"`
}

// Apply parses a document and stores it if the stored one has the expected revision. It returns a
// ConflictError otherwise.
func Apply(ctx context.Context, store storer.Store, c Change, now time.Time) (DocumentRevision, error) {
	d, err := parser.ParseDocument(c.File, c.Text)
	if err != nil {
		return DocumentRevision{}, err
	}
	doc := model.StoredDocument{Text: string(c.Text), ChangedBy: c.ChangedBy, ChangedAt: now}
	return replaceDocument(ctx, store, d.Service, doc, c.ExpectedRevision)
}

// Remove replaces the document of a service by a tombstone, so that its revision keeps rising. It
// returns a ConflictError if the stored document does not have the expected revision.
func Remove(ctx context.Context, store storer.Store, service model.ServiceID, by string, expect model.Revision, now time.Time) (DocumentRevision, error) {
	if _, err := ReadDocument(ctx, store, service); err != nil {
		return DocumentRevision{}, err
	}
	return replaceDocument(ctx, store, service, model.StoredDocument{ChangedBy: by, ChangedAt: now, Deleted: true}, expect)
}

func replaceDocument(ctx context.Context, store storer.Store, service model.ServiceID, doc model.StoredDocument, expect model.Revision) (DocumentRevision, error) {
	key := watcher.DocumentKey(service)
	old, err := store.Get(ctx, key)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return DocumentRevision{}, fmt.Errorf("read document of %s: %w", service, err)
	}
	if expect != AnyRevision && expect != old.Revision {
		return DocumentRevision{}, &ConflictError{Service: service, Expected: expect, Current: old.Revision}
	}
	if old.Revision > 0 {
		if err := archiveRevision(ctx, store, service, old); err != nil {
			return DocumentRevision{}, err
		}
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("encode document of %s: %w", service, err)
	}
	rev, err := storer.PutWithReadback(ctx, store, key, value, old.Revision)
	var se *storer.Error
	if errors.As(err, &se) && se.Kind == storer.KindConflict {
		return DocumentRevision{}, &ConflictError{Service: service, Expected: old.Revision, Current: se.Current}
	}
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("store document of %s: %w", service, err)
	}
	return newDocumentRevision(service, rev, doc), nil
}

// archiveRevision copies the document that is about to be replaced to the history. Two operators
// may archive the same revision; both write the same object, so a conflict is no error.
func archiveRevision(ctx context.Context, store storer.Store, service model.ServiceID, old storer.Object) error {
	key := fmt.Sprintf("%s%020d", watcher.HistoryPrefix(service), old.Revision)
	_, err := storer.PutWithReadback(ctx, store, key, old.Value, 0)
	if err != nil && !storer.IsKind(err, storer.KindConflict) {
		return fmt.Errorf("archive revision %d of %s: %w", old.Revision, service, err)
	}
	return nil
}

func newDocumentRevision(service model.ServiceID, rev model.Revision, doc model.StoredDocument) DocumentRevision {
	return DocumentRevision{Service: service, Revision: rev, ChangedBy: doc.ChangedBy, ChangedAt: doc.ChangedAt, Deleted: doc.Deleted, Text: doc.Text}
}

// ReadDocument returns the stored document of a service.
func ReadDocument(ctx context.Context, store storer.Store, service model.ServiceID) (DocumentRevision, error) {
	o, err := store.Get(ctx, watcher.DocumentKey(service))
	if err != nil {
		return DocumentRevision{}, fmt.Errorf("read document of %s: %w", service, err)
	}
	var doc model.StoredDocument
	if err := json.Unmarshal(o.Value, &doc); err != nil {
		return DocumentRevision{}, fmt.Errorf("decode document of %s: %w", service, err)
	}
	return newDocumentRevision(service, o.Revision, doc), nil
}

// Diff parses a document and returns its unified diff against the stored one.
func Diff(ctx context.Context, store storer.Store, file string, text []byte) (string, error) {
	d, err := parser.ParseDocument(file, text)
	if err != nil {
		return "", err
	}
	old, err := ReadDocument(ctx, store, d.Service)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return "", err
	}
	return string(diff.Diff(fmt.Sprintf("%s at revision %d", d.Service, old.Revision), []byte(old.Text), file, text)), nil
}

// History returns all revisions of a service's document, the newest first.
func History(ctx context.Context, store storer.Store, service model.ServiceID) ([]DocumentRevision, error) {
	current, err := ReadDocument(ctx, store, service)
	if err != nil {
		return nil, err
	}
	l, err := store.List(ctx, watcher.HistoryPrefix(service))
	if err != nil {
		return nil, fmt.Errorf("list history of %s: %w", service, err)
	}
	out := []DocumentRevision{current}
	for i := len(l.Objects) - 1; i >= 0; i-- {
		var doc model.StoredDocument
		if err := json.Unmarshal(l.Objects[i].Value, &doc); err != nil {
			return nil, fmt.Errorf("decode %s: %w", l.Objects[i].Key, err)
		}
		var rev model.Revision
		if _, err := fmt.Sscanf(l.Objects[i].Key, watcher.HistoryPrefix(service)+"%d", &rev); err != nil {
			return nil, fmt.Errorf("read revision of %s: %w", l.Objects[i].Key, err)
		}
		if rev != current.Revision {
			out = append(out, newDocumentRevision(service, rev, doc))
		}
	}
	return out, nil
}
