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

// object is an object of the metadata store.
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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in of the platform's metadata store. It is sound: it answers each call at once.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	objects  map[string]map[string]object // By kind and name.
	events   []event
	listener net.Listener
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, objects: map[string]map[string]object{}, listener: l}
	s.changed = sync.NewCond(&s.mu)
	background.Go(func() { _ = http.Serve(l, s) })
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put creates or replaces an object. A put that changes nothing produces no event.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision}, Spec: spec}
	if ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	s.changed.Broadcast()
	return o
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind})
	s.changed.Broadcast()
	return true
}

// get returns the spec of an object, or nil.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, "{}", http.StatusBadRequest)
			return
		}
	}
	switch r.Method {
	case http.MethodGet:
		s.serveRead(w, r, kind, name)
	case http.MethodPost:
		s.mu.Lock()
		old, exists := s.objects[kind][o.Metadata.Name]
		if exists {
			s.mu.Unlock()
			writeJSON(w, http.StatusConflict, old)
			return
		}
		o = s.putLocked(kind, o.Metadata.Name, o.Spec)
		s.mu.Unlock()
		writeJSON(w, http.StatusCreated, o)
	case http.MethodPut:
		if s.get(kind, name) == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	case http.MethodDelete:
		if !s.remove(kind, name) {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	if q.Get("watch") != "" {
		from, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
		timer := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
		defer timer.Stop()
		for {
			events := []event{}
			for _, e := range s.events {
				if e.kind == kind && e.Object.Metadata.Revision > from {
					events = append(events, e)
				}
			}
			if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
				writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": s.revision})
				return
			}
			s.changed.Wait()
		}
	}
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			writeJSON(w, http.StatusOK, o)
			return
		}
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	items := []object{}
	for n, o := range s.objects[kind] {
		if n > q.Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "as_of": s.revision})
}
