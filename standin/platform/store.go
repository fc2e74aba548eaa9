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

type event struct {
	Type   string `json:"type"`
	Object object `json:"object"`

	version  uint64
	resource string
	previous *object // The object that the event replaced, nil if none.
}

// store holds the objects and the log of their changes.
type store struct {
	version   uint64
	resources map[string]map[string]object
	log       []event // Oldest first.
	maxLog    int
	trimmed   uint64 // Version of the newest event that was dropped.
}

func newStore(maxLog int) store {
	return store{resources: make(map[string]map[string]object), maxLog: maxLog}
}

// asOf returns the objects of resource as they were back versions ago.
func (s *store) asOf(resource string, back uint64) map[string]object {
	state := make(map[string]object, len(s.resources[resource]))
	for name, o := range s.resources[resource] {
		state[name] = o
	}
	for i := len(s.log) - 1; i >= 0 && s.log[i].version+back > s.version; i-- {
		e := s.log[i]
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

// list returns the objects that match selector, by name.
func (s *store) list(resource string, back uint64, selector map[string]string) []object {
	items := []object{}
	for _, o := range s.asOf(resource, back) {
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

// put stores o under a new version, whatever was there.
func (s *store) put(resource string, o object, now time.Time) object {
	s.version++
	e := event{Type: "ADDED", version: s.version, resource: resource}
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

// remove deletes an object, if its version is still wanted or wanted is empty.
func (s *store) remove(resource, name, wanted string) error {
	old, ok := s.resources[resource][name]
	if !ok {
		return errNotFound
	}
	if wanted != "" && wanted != old.Metadata.ResourceVersion {
		return errConflict
	}
	s.version++
	delete(s.resources[resource], name)
	last := old
	last.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	s.append(event{Type: "DELETED", Object: last, version: s.version, resource: resource, previous: &old})
	return nil
}

func (s *store) append(e event) {
	s.log = append(s.log, e)
	if len(s.log) <= s.maxLog {
		return
	}
	s.trimmed = s.log[0].version
	s.log = s.log[1:]
}

// since returns the events of resource after a version.
func (s *store) since(resource string, after uint64, selector map[string]string) ([]event, error) {
	if after < s.trimmed {
		return nil, errGone
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
	var events []event
	for _, e := range s.log[first:] {
		if e.resource == resource && matches(e.Object, selector) {
			events = append(events, e)
		}
	}
	return events, nil
}
