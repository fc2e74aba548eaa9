package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of a request that the manifest does not allow.
var (
	ErrNoRoute    = errors.New("no route matches the host and path")
	ErrUnknownKey = errors.New("the API key belongs to no customer")
)

// Table finds the route and the customer of a request. It is safe for
// concurrent use, since it does not change.
type Table struct {
	Manifest *Manifest
	hosts    map[string][]*Route // Longest prefix first.
	keys     map[string]*Customer
}

// NewTable prepares m for lookups.
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

// Route returns the route with the longest prefix of path. A port in host does
// not count.
func (t *Table) Route(host, path string) (*Route, error) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, ErrNoRoute
}

// Customer returns the customer that holds key. A manifest without customers
// asks for no keys, and a public route accepts any.
func (t *Table) Customer(r *Route, key string) (*Customer, error) {
	if c := t.keys[key]; c != nil && key != "" {
		return c, nil
	}
	if r.Public || len(t.Manifest.Customers) == 0 {
		return &Customer{}, nil
	}
	return nil, ErrUnknownKey
}

// Service returns the service for a request of the route. The same request id
// always gets the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[0].Service
}
