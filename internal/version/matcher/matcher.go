// Package matcher finds the route and the organisation of a request in one
// configuration version.
//
// # Usage
//
//	m := matcher.New(document)
//	route, ok := m.Route("api.example", "/reports/today")
//	organisation, ok := m.Organisation("key")
//	service := m.Service(route.Pick(hash))
//
// A Matcher never changes, so it may be used from several goroutines.
package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Matcher is a Document made ready for look-ups.
type Matcher struct {
	Document *Document

	routes        map[string][]*Route // by host, longest prefix first
	organisations map[string]*Organisation
	services      map[string]*Service
}

// New returns a Matcher over doc, which must not change any more.
func New(doc *Document) *Matcher {
	m := &Matcher{
		Document: doc, routes: make(map[string][]*Route),
		organisations: make(map[string]*Organisation), services: make(map[string]*Service),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		m.routes[r.Host] = append(m.routes[r.Host], r)
	}
	for _, routes := range m.routes {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range doc.Organisations {
		for _, key := range doc.Organisations[i].Keys {
			m.organisations[key] = &doc.Organisations[i]
		}
	}
	for i := range doc.Services {
		m.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return m
}

// Route returns the route of the host whose prefix is the longest that begins the path.
func (m *Matcher) Route(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range m.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation that holds a key.
func (m *Matcher) Organisation(key string) (*Organisation, bool) {
	o, ok := m.organisations[key]
	return o, ok
}

// Service returns a service by name.
func (m *Matcher) Service(name string) (*Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Pick returns the service for a request with the given hash, by the weights.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
