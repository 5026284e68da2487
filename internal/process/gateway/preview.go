package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

// ErrNoPreview is returned for a request that no route or organisation matches, or by a router that isn't
// ready.
var ErrNoPreview = errors.New("the request can't be routed")

// PreviewRequest describes a request that isn't sent.
type PreviewRequest struct {
	Host, Path string
	// Organisation is the name of the organisation whose key the request would carry, "" for none.
	Organisation string
	RequestMetadata
}

// Preview says where a request would go now, and why.
type Preview struct {
	Router, Route, Service string
	Version                uint64
	Priority               int
	// Targets are ranked; those that take no requests come last.
	Targets []TargetPreview
	// Tokens is nil for an organisation without a budget.
	Tokens *TokenPreview
}

// TargetPreview is what a router knows of a target for one request.
type TargetPreview struct {
	ID, Domain string
	// State is open, ejected, leaving, paused, limited, drained or outside.
	State string
	// Cost and Wait are those of placer.Choice, 0 for targets that take no requests.
	Cost, Wait float64
	Preferred  bool
	Cached     bool
	// Running and PendingTokens are the load that is known, that of other routers included.
	Running       int
	PendingTokens int64
}

// TokenPreview is where the tokens for a request would come from.
type TokenPreview struct {
	// Needed is the request's maximum cost. Free tokens are this router's, Held are its holding.
	Needed, Free, Held int64
	// Limit and Spent are the budget's, HeldByOthers is what the other routers hold.
	Limit, Spent, HeldByOthers int64
	Lenders                    string
}

// Preview returns where a request would go now, without sending it. It reserves no tokens and takes no permit.
func (g *Gateway) Preview(r PreviewRequest) (*Preview, error) {
	m := g.matcher.Load()
	if m == nil || !g.ready() {
		return nil, errors.Wrap(ErrNoPreview, "the router isn't ready")
	}
	route, ok := m.Route(r.Host, r.Path)
	if !ok {
		return nil, errors.Wrapf(ErrNoPreview, "no route of host %q matches %q", r.Host, r.Path)
	}
	now := time.Now()
	q := &request{RequestMetadata: r.RequestMetadata, matcher: m, route: route, priority: route.Priority, startedAt: now, triedRuns: make(map[string]bool)}
	q.setDeadline()
	if q.organisation = organisationNamed(m.Document, r.Organisation); r.Organisation != "" && q.organisation == nil {
		return nil, errors.Wrapf(ErrNoPreview, "no organisation %q", r.Organisation)
	}
	if q.organisation != nil && q.organisation.HasPriority {
		q.priority = q.organisation.Priority
	}
	name := route.Pick(xxhash.Sum64String(q.ID))
	if q.service, ok = m.Service(name); !ok {
		q.service = &matcher.Service{Name: name}
	}
	return &Preview{
		Router: g.Name, Route: route.Name, Service: name, Version: m.Document.Version, Priority: q.priority,
		Targets: g.previewTargets(q, now), Tokens: g.previewTokens(q, now),
	}, nil
}

func organisationNamed(doc *matcher.Document, name string) *matcher.Organisation {
	i := slices.IndexFunc(doc.Organisations, func(o matcher.Organisation) bool { return o.Name == name })
	if i < 0 {
		return nil
	}
	return &doc.Organisations[i]
}

func (g *Gateway) previewTargets(q *request, now time.Time) []TargetPreview {
	shape := q.shape(g.Domain)
	var open []registrar.Entry
	var closed []TargetPreview
	for _, e := range g.targets.Service(q.service.Name, now) {
		state := g.closedState(q, e, now)
		if state == "" {
			open = append(open, e)
			continue
		}
		closed = append(closed, g.previewTarget(shape, e, placer.Choice{}, state, now))
	}
	out := make([]TargetPreview, 0, len(open)+len(closed))
	for _, c := range g.tracker.plan(q.service.Name, shape, open, now) {
		out = append(out, g.previewTarget(shape, open[c.Index], c, "open", now))
	}
	slices.SortFunc(closed, func(a, b TargetPreview) int { return cmp.Compare(a.ID, b.ID) })
	return append(out, closed...)
}

// closedState returns why a target takes no request now, or "" if it does.
func (g *Gateway) closedState(q *request, e registrar.Entry, now time.Time) string {
	entries, domains := g.inOpenDomains(q, []registrar.Entry{e}, now)
	entries, closed := g.tracker.open(q, entries, now)
	switch {
	case domains.drained > 0:
		return "drained"
	case domains.outside > 0:
		return "outside"
	case closed.leaving > 0:
		return "leaving"
	case closed.paused > 0:
		return "paused"
	case closed.cold > 0:
		return "cold"
	case len(entries) == 0:
		return "limited"
	}
	return ""
}

func (g *Gateway) previewTarget(shape placer.Request, e registrar.Entry, c placer.Choice, state string, now time.Time) TargetPreview {
	t := g.tracker
	others := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(e.ID)
	if state == "open" && s.Assess(e.StartedAt, now).Last {
		state = "ejected"
	}
	load := s.Load
	load.Add(t.peerLoad(e.ID, e.StartedAt, others, s.secondsPerToken, now))
	return TargetPreview{
		ID: e.ID, Domain: e.Domain, State: state, Cost: math.Round(c.Cost), Wait: math.Round(c.Wait), Preferred: c.Preferred,
		Cached: s.prefixes.cached(shape.AffinityKey, now), Running: load.Running(), PendingTokens: load.PendingTokens,
	}
}

func (g *Gateway) previewTokens(q *request, now time.Time) *TokenPreview {
	if q.organisation == nil || !q.organisation.HasBudget {
		return nil
	}
	b := g.allocator.Balance(q.organisation.Name, now)
	return &TokenPreview{
		Needed: q.PromptTokens + q.MaxOutputTokens, Free: b.Free, Held: b.Held, Limit: b.Limit, Spent: b.Spent,
		HeldByOthers: b.HeldByOthers, Lenders: b.Lenders,
	}
}
