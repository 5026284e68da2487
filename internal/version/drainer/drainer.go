// Package drainer keeps which failure domains are drained: operators order that their targets get
// no new requests, and take the order back later.
//
// The state is the set of orders in the platform's store, which every router follows; a router that
// is partitioned from the store follows it through others. It handles these load patterns:
//
//   - A failure domain is emptied during traffic. No request begins there from the moment at which
//     the order is known; what runs there ends.
//   - The order is taken back, and all routers return to the domain's targets at the same moment,
//     which may have been restarted meanwhile. EndedAt tells since when they may be used again.
//   - The store comes back from an older copy that lacks an order. The order holds until its writer
//     has had time to repeat it.
//
// # Usage
//
//	d := drainer.New()
//	d.Replace(orders, era, now)
//	d.Put(drainer.Order{Domain: "a", Revision: 7, Era: 1})
//	if d.Drained(entry.Domain, now) {
//		// Send the target nothing.
//	}
//	d.Delete("a", 9, 1, now)
//
// The decisions depend only on the orders and the times passed in. A Drainer is safe for concurrent
// use.
package drainer

import (
	"slices"
	"sync"
	"time"
)

// RestoreGrace is how long an order that an older copy of the store lacks holds on: writers repeat
// their rows within two seconds.
const RestoreGrace = 2 * time.Second

// Order is an operator's order to drain a failure domain.
type Order struct {
	Domain string
	// Revision is the version of the order's row, which only compares to those of the same Era.
	Revision uint64
	Era      uint64
}

// olderThan reports whether an order was read before another one of the same domain.
func (o Order) olderThan(other Order) bool {
	return o.Era < other.Era || (o.Era == other.Era && o.Revision < other.Revision)
}

// state is the newest order for a domain, or that it was taken back.
type state struct {
	Order
	drained bool
	// endsAt is when an order ends that an older copy of the store lacks; zero if it has none.
	endsAt time.Time
	// endedAt is when the last order was taken back.
	endedAt time.Time
}

// Drainer holds the orders. New returns one without orders.
type Drainer struct {
	mu      sync.Mutex // guards all below
	domains map[string]*state
	synced  bool
	era     uint64
}

// New returns a Drainer without orders.
func New() *Drainer {
	return &Drainer{domains: make(map[string]*state)}
}

// Put adds an order and reports whether its domain was not drained before.
func (d *Drainer) Put(o Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(o)
}

func (d *Drainer) put(o Order) bool {
	s, ok := d.domains[o.Domain]
	if !ok {
		s = &state{}
		d.domains[o.Domain] = s
	}
	if ok && o.olderThan(s.Order) {
		return false
	}
	news := !s.drained
	s.Order, s.drained, s.endsAt = o, true, time.Time{}
	return news
}

// Delete takes back the order for the domain of o, which names the version and the era of the deletion,
// and reports whether the domain was drained before.
func (d *Drainer) Delete(o Order, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.domains[o.Domain]
	if !ok || !s.drained || o.olderThan(s.Order) {
		return false
	}
	s.Order = o
	s.end(now)
	return true
}

func (s *state) end(now time.Time) {
	s.drained, s.endsAt, s.endedAt = false, time.Time{}, now
}

// Replace replaces all orders by those of a list of the given era. An order that is missing is taken
// back, after RestoreGrace if the era is newer than that of the list before. It returns the domains
// that are newly drained.
func (d *Drainer) Replace(orders []Order, era uint64, now time.Time) (drained []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.synced && era > d.era
	d.synced, d.era = true, max(d.era, era)
	listed := make(map[string]bool, len(orders))
	for _, o := range orders {
		listed[o.Domain] = true
		if d.put(o) {
			drained = append(drained, o.Domain)
		}
	}
	for domain, s := range d.domains {
		switch {
		case listed[domain] || !s.drained || !s.endsAt.IsZero():
		case restored:
			s.endsAt = now.Add(RestoreGrace)
		default:
			s.end(now)
		}
	}
	return drained
}

// Synced reports whether Replace has been called.
func (d *Drainer) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// Drained reports whether a domain's targets get no new requests.
func (d *Drainer) Drained(domain string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained(domain, now)
}

func (d *Drainer) drained(domain string, now time.Time) bool {
	s, ok := d.domains[domain]
	if !ok || !s.drained {
		return false
	}
	if !s.endsAt.IsZero() && !now.Before(s.endsAt) {
		s.end(s.endsAt)
		return false
	}
	return true
}

// EndedAt returns when the last order for a domain was taken back; zero if there was none, or if one
// holds.
func (d *Drainer) EndedAt(domain string, now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained(domain, now) || d.domains[domain] == nil {
		return time.Time{}
	}
	return d.domains[domain].endedAt
}

// Domains returns the drained domains in order.
func (d *Drainer) Domains(now time.Time) (out []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain := range d.domains {
		if d.drained(domain, now) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}
