package admitter

import (
	"sync"
	"time"
)

// shortagePeriod is the time in which one request of an organisation without tokens may search for
// some: a few times as long as a search takes.
const shortagePeriod = 100 * time.Millisecond

// Shortages remembers for which organisations no tokens were found.
//
// It answers a burst of one organisation whose tokens run out: each of its requests would have
// tokens drawn and ask other routers for loans, which takes more time than to serve a request
// of another organisation. While a shortage lasts, one request in each period searches and the
// others are to be refused at once. The zero value is ready to use.
type Shortages struct {
	mu             sync.Mutex
	byOrganisation map[string]shortage
}

// shortage is a lack of amount tokens or more.
type shortage struct {
	amount int64
	// nextSearch is when a request may search again.
	nextSearch time.Time
}

// Search reports whether a request may search for amount tokens. The caller reports the result with
// Found or Missing.
func (s *Shortages) Search(organisation string, amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	short, ok := s.byOrganisation[organisation]
	switch {
	case !ok || amount < short.amount:
		return true
	case now.Before(short.nextSearch):
		return false
	default:
		short.nextSearch = now.Add(shortagePeriod)
		s.byOrganisation[organisation] = short
		return true
	}
}

// Found records that a search for amount tokens has succeeded.
func (s *Shortages) Found(organisation string, amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if amount >= s.byOrganisation[organisation].amount {
		delete(s.byOrganisation, organisation)
	}
}

// Missing records that a search for amount tokens has failed.
func (s *Shortages) Missing(organisation string, amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byOrganisation == nil {
		s.byOrganisation = make(map[string]shortage)
	}
	if short, ok := s.byOrganisation[organisation]; ok {
		amount = min(amount, short.amount)
	}
	s.byOrganisation[organisation] = shortage{amount: amount, nextSearch: now.Add(shortagePeriod)}
}
