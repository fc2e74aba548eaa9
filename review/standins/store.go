package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps all of its history, unless history is set.
type store struct {
	addr string
	rec  *record

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object // By kind and name.
	events   []event
	changed  chan struct{} // Closed at the next change.
	history  time.Duration // For which events are kept; zero for ever.
	dropped  int64         // Revision of the last event that is not kept.
	refusing bool          // The calls of daemons are refused.
}

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
	kind    string
	at      int64
	added   time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore(e *env) (*store, error) {
	s := &store{rec: e.rec, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	server := &http.Server{Handler: s}
	e.onEnd(func() { _ = server.Close() })
	e.group.Go(func() { _ = server.Serve(ln) })
	return s, nil
}

// put creates or replaces an object as the operator or a worker does; a nil spec removes it.
func (s *store) put(kind, objectName string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if spec == nil {
		s.remove(kind, objectName)
		return
	}
	s.replace(kind, objectName, text)
}

func (s *store) replace(kind, objectName string, spec json.RawMessage) *object {
	of := s.objects[kind]
	if of == nil {
		of = map[string]*object{}
		s.objects[kind] = of
	}
	old := of[objectName]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{Metadata: metadata{Name: objectName, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	of[objectName] = o
	s.add(event{kind: kind, at: s.revision, Object: *o})
	return o
}

func (s *store) remove(kind, objectName string) bool {
	o := s.objects[kind][objectName]
	if o == nil {
		return false
	}
	s.revision++
	delete(s.objects[kind], objectName)
	last := *o
	last.Metadata.Revision = s.revision
	s.add(event{kind: kind, at: s.revision, Object: last, Deleted: true})
	return true
}

func (s *store) add(e event) {
	e.added = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory forgets events that are older than history. The mutex is held.
func (s *store) dropHistory() {
	for s.history > 0 && len(s.events) > 0 && time.Since(s.events[0].added) > s.history {
		s.dropped = s.events[0].at
		s.events = s.events[1:]
	}
}

// setRefusing sets whether the calls of daemons are refused. The operator and the workers are served.
func (s *store) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(path) < 2 || path[0] != "objects" {
		http.NotFound(w, r)
		return
	}
	kind, objectName := path[1], ""
	if len(path) > 2 {
		objectName = path[2]
	}
	w.Header().Set(name("era"), "0")
	s.mu.Lock()
	refusing := s.refusing
	s.dropHistory()
	s.mu.Unlock()
	if refusing {
		respond(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, objectName)
	default:
		s.write(w, r.Method, kind, objectName, body)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, objectName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if objectName != "" {
		if o := s.objects[kind][objectName]; o != nil {
			respond(w, http.StatusOK, o)
			return
		}
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	names := []string{}
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items := []*object{}
	for _, n := range names {
		items = append(items, s.objects[kind][n])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		gone := from > revision || from < s.dropped
		s.mu.Unlock()
		if gone {
			respond(w, http.StatusGone, map[string]any{})
			return
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			respond(w, http.StatusOK, map[string]any{"events": found, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Until(deadline)):
		}
	}
}

func (s *store) write(w http.ResponseWriter, method, kind, objectName string, body []byte) {
	var o object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &o); err != nil {
			respond(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch method {
	case http.MethodPost:
		if old := s.objects[kind][o.Metadata.Name]; old != nil {
			respond(w, http.StatusConflict, old)
			return
		}
		respond(w, http.StatusCreated, s.replace(kind, o.Metadata.Name, o.Spec))
	case http.MethodPut:
		if s.objects[kind][objectName] == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
		respond(w, http.StatusOK, s.replace(kind, objectName, o.Spec))
	case http.MethodDelete:
		if !s.remove(kind, objectName) {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
		respond(w, http.StatusOK, map[string]any{})
	default:
		respond(w, http.StatusMethodNotAllowed, map[string]any{})
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // The caller may have left.
}
