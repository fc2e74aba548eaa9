package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
	at      int64
}

// store is the platform's metadata store.
type store struct {
	addr     string
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // By kind and name.
	events   []event
	changed  chan struct{} // Closed at the next change.
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), listener: l, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	group.Go(func() { _ = http.Serve(l, s) })
	return s, nil
}

// put writes an object, as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// write replaces the spec of an object. The mutex is held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, CreateRev: s.revision, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.notify(event{Object: o, kind: kind, at: s.revision})
	return o
}

// remove removes an object. The mutex is held.
func (s *store) remove(kind, name string) (object, bool) {
	o, ok := s.objects[kind][name]
	if ok {
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.notify(event{Deleted: true, Object: o, kind: kind, at: s.revision})
	}
	return o, ok
}

func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.single(w, r, kind, name)
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = o.Metadata.Name
	}
	old, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.write(kind, name, o.Spec))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, old)
	}
}

// Limits of a page of a list.
const (
	maxPage      = 500
	maxPageBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	size, end := 0, 0
	for end < len(items) && end < maxPage && (end == 0 || size+len(items[end].Spec) <= maxPageBytes) {
		size += len(items[end].Spec)
		end++
	}
	more := end < len(items)
	items = items[:end]
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		found := []event{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
