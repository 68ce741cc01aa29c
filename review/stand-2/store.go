package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"create-revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in for the platform's store as the protocol page describes it.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	changes  []change
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
}

// set writes an object on behalf of the operator or of a replica and returns when it was confirmed.
func (s *store) set(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(b) {
		return time.Now()
	}
	o.Spec = b
	s.put(kind, name, o)
	return time.Now()
}

// put stores an object under the next revision; the lock is held.
func (s *store) put(kind, name string, o object) object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if len(o.Status) == 0 {
		o.Status = json.RawMessage("null")
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(change{kind: kind, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, Object: o, Removed: true})
}

func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after-rev"))
	default:
		s.write(w, r, kind, name, status)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

// pageSize is the number of objects in one page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	truncated := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "as-of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait == 0; ; {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.changes {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if len(b) > 0 && json.Unmarshal(b, &in) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	expect := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expect, _ = strconv.ParseInt(v, 10, 64)
	}
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && expect != 0 && expect != o.Metadata.Revision:
		s.mu.Unlock()
		answer(w, http.StatusConflict, o)
		return
	case r.Method != http.MethodPost && !ok:
		s.mu.Unlock()
		answer(w, http.StatusNotFound, map[string]any{})
		return
	case r.Method == http.MethodDelete:
		s.mu.Unlock()
		s.remove(kind, name)
		answer(w, http.StatusOK, o)
		return
	case status:
		o.Status = in.Status
	default:
		o.Spec = in.Spec
	}
	o = s.put(kind, name, o)
	s.mu.Unlock()
	answer(w, http.StatusOK, o)
}
