// Package matcher finds the route and the organisation of a request in one
// configuration version.
//
// # Usage
//
//	m := matcher.New(document)
//	route, ok := m.Route("api.example", "/reports/today")
//	organisation, ok := m.Organisation("key")
//	service, ok := m.Service(route.Pick(hash))
//
// A Matcher is immutable and safe for concurrent use.
package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Matcher indexes a Document for lookups.
type Matcher struct {
	Document *Document

	routes        map[string][]*Route // by host, longest prefix first
	organisations map[string]*Organisation
	services      map[string]*Service
}

// New returns a Matcher for doc, which must not be modified afterwards.
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

// Route returns the host's route with the longest prefix that matches path. The host
// may include a port.
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

// Organisation returns the organisation with the given API key.
func (m *Matcher) Organisation(key string) (*Organisation, bool) {
	o, ok := m.organisations[key]
	return o, ok
}

// Service returns the service with the given name.
func (m *Matcher) Service(name string) (*Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Pick returns the service for a request hash, in proportion to the weights of the
// shares, or "" if all weights are 0.
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
