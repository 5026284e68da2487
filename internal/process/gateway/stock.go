package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/spender"
)

const (
	// minBorrowingRouters is the size of a fleet from which routers borrow the tokens of
	// organisations that they seldom see. In a smaller one each sees a good part of all
	// requests and holds its own tokens.
	minBorrowingRouters = 8
	// linkingTime is how long after a start other routers count although no link to them is up.
	linkingTime = 5 * time.Second
)

// sharesStocks reports whether routers borrow the tokens of organisations that they seldom see.
func (g *Gateway) sharesStocks() bool {
	return len(g.presentRouters())+1 >= minBorrowingRouters
}

// stockRank returns this router's rank among those that should hold an organisation's tokens.
// All routers that see the same others agree on it.
func (g *Gateway) stockRank(organisation string) int {
	present := g.presentRouters()
	if len(present)+1 < minBorrowingRouters {
		return 0
	}
	rank, own := 0, stockScore(organisation, g.Name)
	for _, name := range present {
		if stockScore(organisation, name) > own {
			rank++
		}
	}
	return rank
}

// stockHolders returns the other routers that should hold an organisation's tokens.
func (g *Gateway) stockHolders(organisation string) []string {
	names := g.peers.routers.Live()
	sortByStockScore(organisation, names)
	return names[:min(len(names), spender.StockHolders)]
}

// sortByStockScore sorts routers by their rank for an organisation.
func sortByStockScore(organisation string, names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(stockScore(organisation, b), stockScore(organisation, a))
	})
}

// presentRouters returns the names of the other routers that this one is linked to, or of all
// others while it is still linking.
func (g *Gateway) presentRouters() []string {
	if time.Since(g.startedAt) > linkingTime {
		return g.peers.routers.Live()
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	var names []string
	for _, m := range g.peers.members.Running() {
		if m.Kind == enroller.Router && m.Name != g.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// stockScore orders the routers for an organisation by rendezvous hashing.
func stockScore(organisation, router string) uint64 {
	return xxhash.Sum64String(organisation + "/" + router)
}
