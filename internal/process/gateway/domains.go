package gateway

import (
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/drainer"
)

// closedDomains counts the targets of a service that a request may not go to for where they are.
type closedDomains struct {
	drained int // their failure domain is drained
	outside int // their region isn't one of the request's
}

// inOpenDomains returns the targets that the request may go to, for where they are, and counts the others. A nil
// request may go to all regions.
func (g *Gateway) inOpenDomains(q *request, entries []registrar.Entry, now time.Time) (open []registrar.Entry, closed closedDomains) {
	open = entries[:0:0]
	for _, e := range entries {
		switch {
		case g.drains.Drained(e.Domain, now):
			closed.drained++
		case q != nil && !q.mayRunIn(g.Regions[e.Domain]):
			closed.outside++
		default:
			e.RestoredAt = g.drains.EndedAt(e.Domain, now)
			open = append(open, e)
		}
	}
	return open, closed
}

// mayRunIn reports whether the request's route and its organisation both allow a region.
func (q *request) mayRunIn(region string) bool {
	if q.organisation != nil && !allows(q.organisation.Regions, region) {
		return false
	}
	return allows(q.route.Regions, region)
}

// allows reports whether a list of regions contains one, or is empty.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// applyDrain applies a row of the configuration's table if it is an order to drain a domain, or takes one back.
func (g *Gateway) applyDrain(row storer.Row) {
	domain, ok := g.Schema.DrainedDomain(row)
	if !ok {
		return
	}
	o := drainer.Order{Domain: domain, Revision: row.Version, Era: uint64(row.Era)}
	g.rowCache.put(g.rowCache.drains, row)
	switch {
	case row.Value == nil && g.drains.Delete(o, time.Now()):
		logger.DomainRestored.Log(g.Log, "domain", domain, "revision", row.Version)
	case row.Value != nil && g.drains.Put(o):
		logger.DomainDrained.Log(g.Log, "domain", domain, "revision", row.Version)
	}
}

// replaceDrains applies the orders to drain domains among all rows of the configuration's table.
func (g *Gateway) replaceDrains(rows []storer.Row, era uint64) {
	var drains []storer.Row
	var orders []drainer.Order
	for _, row := range rows {
		if domain, ok := g.Schema.DrainedDomain(row); ok && row.Value != nil {
			drains = append(drains, row)
			orders = append(orders, drainer.Order{Domain: domain, Revision: row.Version, Era: uint64(row.Era)})
		}
	}
	g.rowCache.replace(g.rowCache.drains, drains)
	for _, domain := range g.drains.Replace(orders, era, time.Now()) {
		logger.DomainDrained.Log(g.Log, "domain", domain)
	}
}
