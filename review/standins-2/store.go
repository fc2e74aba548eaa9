package main

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	addr string
	srv  *http.Server

	mu       sync.Mutex
	revision int64
	era      int64
	kinds    map[string]map[string]*object
	events   []event
	changed  chan struct{} // Closed at each change.

	// lag is the age of what serializable reads return.
	lag time.Duration
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	at       time.Time
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// firstRevision is the revision of the store before its first change.
const firstRevision = 100

func newStore() *store {
	return &store{revision: firstRevision, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
}

func (s *store) start(g *sync.WaitGroup) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.srv = &http.Server{Handler: s}
	g.Go(func() { _ = s.srv.Serve(l) })
	return nil
}

// move makes the store answer at another address, with the same content, and no longer at the former one.
func (s *store) move(g *sync.WaitGroup) error {
	former := s.srv
	if err := s.start(g); err != nil {
		return err
	}
	return former.Close()
}

func (s *store) stop() { _ = s.srv.Close() }

// put writes an object as the operator or a worker does.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Specs are plain data.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, text).Metadata.Revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	delete(s.kinds[kind], name)
	s.record(kind, *o, true)
}

// set must be called with the mutex held.
func (s *store) set(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	old := s.kinds[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	o := &object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata = old.Metadata
	}
	o.Metadata.Revision = s.revision + 1
	if old == nil {
		o.Metadata.Created = o.Metadata.Revision
	}
	s.kinds[kind][name] = o
	s.record(kind, *o, false)
	return o
}

func (s *store) record(kind string, o object, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, revision: s.revision, at: time.Now(), Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if r.Method == http.MethodGet && name == "" {
		s.serveList(w, r, kind)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.serveObject(w, r.Method, kind, name, body)
}

func (s *store) serveObject(w http.ResponseWriter, method, kind, name string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	if method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	o := s.kinds[kind][name]
	conflict := o != nil && (method == http.MethodPost || in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision)
	status := http.StatusOK
	switch {
	case o == nil && method != http.MethodPost:
		status = http.StatusNotFound
	case conflict:
		status = http.StatusConflict
	case method == http.MethodPost, method == http.MethodPut:
		o = s.set(kind, name, in.Spec)
	case method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.record(kind, *o, true)
	}
	s.mu.Unlock()
	s.answer(w, status, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	if q.Get("watch") == "" {
		lag := time.Duration(0)
		if q.Get("serializable") == "1" {
			lag = s.lag
		}
		items, asOf := s.listAsOf(kind, time.Now().Add(-lag))
		s.answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "as_of": asOf})
		return
	}
	from, err := strconv.ParseInt(q.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if from > asOf {
			s.answer(w, http.StatusGone, nil)
			return
		}
		if len(found) > 0 || ctx.Err() != nil {
			s.answer(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// listAsOf returns the objects of a kind as they were at a time, and the revision of that time.
func (s *store) listAsOf(kind string, at time.Time) ([]object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := int64(firstRevision)
	present := map[string]object{}
	for _, e := range s.events {
		if e.at.After(at) {
			break
		}
		asOf = e.revision
		switch {
		case e.kind != kind:
		case e.Deleted:
			delete(present, e.Object.Metadata.Name)
		default:
			present[e.Object.Metadata.Name] = e.Object
		}
	}
	items := make([]object, 0, len(present))
	for _, name := range slices.Sorted(maps.Keys(present)) {
		items = append(items, present[name])
	}
	return items, asOf
}

func (s *store) answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	if s.era > 0 {
		w.Header().Set(names["era"], strconv.FormatInt(s.era, 10))
	}
	w.WriteHeader(status)
	if v == nil {
		v = map[string]any{}
	}
	_ = json.NewEncoder(w).Encode(v) // The daemon may have closed the connection.
}
