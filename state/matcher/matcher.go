package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors for requests that match nothing in the manifest.
var (
	ErrNoRoute    = errors.New("no route matches the host and path")
	ErrUnknownKey = errors.New("the API key belongs to no customer")
)

// Table finds the route and the customer of a request. It is immutable, and so
// safe for concurrent use.
type Table struct {
	Manifest *Manifest
	hosts    map[string][]*Route // Longest prefix first.
	keys     map[string]*Customer
}

// NewTable indexes m for lookups.
func NewTable(m *Manifest) *Table {
	t := &Table{Manifest: m, hosts: map[string][]*Route{}, keys: map[string]*Customer{}}
	for i := range m.Routes {
		r := &m.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range m.Customers {
		for _, k := range m.Customers[i].Keys {
			t.keys[k] = &m.Customers[i]
		}
	}
	return t
}

// Route returns the route of host with the longest prefix of path. A port in
// host is ignored.
func (t *Table) Route(host, path string) (*Route, error) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, nil
		}
	}
	return nil, ErrNoRoute
}

// Customer returns the customer that key belongs to. For any other key it returns
// an empty Customer if the route is public or the manifest needs no keys. An empty list of customers
// needs them as any other does: nobody has one then.
func (t *Table) Customer(r *Route, key string) (*Customer, error) {
	if c := t.keys[key]; c != nil && key != "" {
		return c, nil
	}
	if r.Public || !t.Manifest.NeedsKeys() {
		return &Customer{}, nil
	}
	return nil, ErrUnknownKey
}

// Service selects a service for a request of the route, in proportion to the
// weights. The same request id always selects the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	position := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	return r.Shares[0].Service
}
