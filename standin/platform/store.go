package platform

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

var (
	errNotFound = errors.New("object not found")
	errExists   = errors.New("object exists")
	errConflict = errors.New("object was modified")
	errGone     = errors.New("version is too old")
)

type metadata struct {
	Name              string            `json:"name"`
	ResourceVersion   string            `json:"resourceVersion,omitempty"`
	Labels            map[string]string `json:"labels,omitempty"`
	CreationTimestamp string            `json:"creationTimestamp,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type watchEvent struct {
	Type   string `json:"type"`
	Object object `json:"object"`

	version  uint64
	resource string
	previous *object // The object before the event; nil if there was none.
}

// store holds the objects and a bounded log of their changes.
type store struct {
	version        uint64
	resources      map[string]map[string]object
	eventLog       []watchEvent // Oldest first.
	maxEvents      int
	trimmedVersion uint64 // Version of the newest event that was removed from eventLog.
}

func newStore(maxEvents int) store {
	return store{resources: make(map[string]map[string]object), maxEvents: maxEvents}
}

// asOf returns the objects of resource as of versionsAgo versions ago.
func (s *store) asOf(resource string, versionsAgo uint64) map[string]object {
	state := make(map[string]object, len(s.resources[resource]))
	for name, o := range s.resources[resource] {
		state[name] = o
	}
	for i := len(s.eventLog) - 1; i >= 0 && s.eventLog[i].version+versionsAgo > s.version; i-- {
		e := s.eventLog[i]
		if e.resource != resource {
			continue
		}
		if e.previous == nil {
			delete(state, e.Object.Metadata.Name)
			continue
		}
		state[e.Object.Metadata.Name] = *e.previous
	}
	return state
}

// list returns the objects of asOf that match selector, sorted by name.
func (s *store) list(resource string, versionsAgo uint64, selector map[string]string) []object {
	items := []object{}
	for _, o := range s.asOf(resource, versionsAgo) {
		if matches(o, selector) {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return items
}

func matches(o object, selector map[string]string) bool {
	for k, v := range selector {
		if o.Metadata.Labels[k] != v {
			return false
		}
	}
	return true
}

func (s *store) create(resource string, o object, now time.Time) (object, error) {
	if _, ok := s.resources[resource][o.Metadata.Name]; ok {
		return object{}, errExists
	}
	return s.put(resource, o, now), nil
}

func (s *store) replace(resource string, o object, now time.Time) (object, error) {
	old, ok := s.resources[resource][o.Metadata.Name]
	if !ok {
		return object{}, errNotFound
	}
	if o.Metadata.ResourceVersion != old.Metadata.ResourceVersion {
		return object{}, errConflict
	}
	return s.put(resource, o, now), nil
}

// put stores o with a new version unconditionally.
func (s *store) put(resource string, o object, now time.Time) object {
	s.version++
	e := watchEvent{Type: "ADDED", version: s.version, resource: resource}
	o.Metadata.CreationTimestamp = now.UTC().Format(time.RFC3339)
	if old, ok := s.resources[resource][o.Metadata.Name]; ok {
		e.Type = "MODIFIED"
		e.previous = &old
		o.Metadata.CreationTimestamp = old.Metadata.CreationTimestamp
	}
	o.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	if s.resources[resource] == nil {
		s.resources[resource] = make(map[string]object)
	}
	s.resources[resource][o.Metadata.Name] = o
	e.Object = o
	s.append(e)
	return o
}

// deleteObject deletes an object if its version is expectedVersion or
// expectedVersion is empty.
func (s *store) deleteObject(resource, name, expectedVersion string) error {
	old, ok := s.resources[resource][name]
	if !ok {
		return errNotFound
	}
	if expectedVersion != "" && expectedVersion != old.Metadata.ResourceVersion {
		return errConflict
	}
	s.version++
	delete(s.resources[resource], name)
	last := old
	last.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	s.append(watchEvent{Type: "DELETED", Object: last, version: s.version, resource: resource, previous: &old})
	return nil
}

func (s *store) append(e watchEvent) {
	s.eventLog = append(s.eventLog, e)
	if len(s.eventLog) <= s.maxEvents {
		return
	}
	s.trimmedVersion = s.eventLog[0].version
	s.eventLog = s.eventLog[1:]
}

// eventsAfter returns the events of resource after a version that match
// selector, or errGone if the log no longer reaches back to that version.
func (s *store) eventsAfter(resource string, afterVersion uint64, selector map[string]string) ([]watchEvent, error) {
	if afterVersion < s.trimmedVersion {
		return nil, errGone
	}
	first := sort.Search(len(s.eventLog), func(i int) bool { return s.eventLog[i].version > afterVersion })
	var events []watchEvent
	for _, e := range s.eventLog[first:] {
		if e.resource == resource && matches(e.Object, selector) {
			events = append(events, e)
		}
	}
	return events, nil
}
