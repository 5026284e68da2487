package spender

// BudgetView is the state of one budget that a Policy decides by, in tokens and tokens
// per second.
type BudgetView struct {
	// Remaining is the undrawn balance of the row.
	Remaining int64
	// Held is what this holder holds, reserved or free.
	Held int64
	// OthersHeld is the sum of what all other holders hold.
	OthersHeld int64
	// Unmet is the largest reservation that failed since the last flush.
	Unmet int64
	// Free is what this holder could reserve.
	Free int64
	// Rate and OthersRate are the recent demand of this holder and of all others, SlowRate
	// and OthersSlowRate the same averaged over a longer time.
	Rate           float64
	OthersRate     float64
	SlowRate       float64
	OthersSlowRate float64
	// Holders counts all holders, including this one.
	Holders int
}

// Policy decides how much of a budget a holder should hold.
type Policy interface {
	// WantedHolding returns the wanted holding, in tokens.
	WantedHolding(v BudgetView) int64
}

// proportional holds a share of the balance in proportion to its forecast share of demand.
type proportional struct {
	platformShare float64
	trendFactor   float64
}

const (
	// DefaultTrendFactor is how far the trend of a share is extrapolated, in units of the
	// lag between the two averages.
	DefaultTrendFactor = 1.0
	// maxTrendReduction is the largest factor by which a falling trend may lower a share.
	maxTrendReduction = 4
)

// NewProportional returns a Policy that leaves platformShare, a fraction of the balance,
// at the platform and splits the rest by recent demand and its trend.
//
// A low fraction serves best while domains are partitioned from the platform; a high one
// keeps more for routers that start or whose demand rises.
func NewProportional(platformShare, trendFactor float64) Policy {
	return &proportional{platformShare: platformShare, trendFactor: trendFactor}
}

// evenShare is the fraction that is split evenly, regardless of demand, so that a holder
// whose demand has just begun has tokens.
const evenShare = 0.02

// WantedHolding implements Policy.WantedHolding.
func (p *proportional) WantedHolding(v BudgetView) int64 {
	pool := float64(v.Remaining+v.Held+v.OthersHeld) * (1 - p.platformShare)
	return int64(pool * p.share(v))
}

// share forecasts this holder's share of future demand by extrapolating the trend of its
// share of recent demand.
func (p *proportional) share(v BudgetView) float64 {
	even := 1.0 / float64(max(v.Holders, 1))
	recent, ok := fraction(v.Rate, v.OthersRate)
	if !ok {
		return even
	}
	share := recent
	if slow, ok := fraction(v.SlowRate, v.OthersSlowRate); ok {
		share = recent + p.trendFactor*(recent-slow)
		share = min(max(share, recent/maxTrendReduction), 1)
	}
	return evenShare*even + (1-evenShare)*share
}

// fraction returns a/(a+b), or false if the sum is not positive.
func fraction(a, b float64) (float64, bool) {
	if a+b <= 0 {
		return 0, false
	}
	return a / (a + b), true
}

// equalSplit holds the same share of the balance in every router.
type equalSplit struct {
	routers int64
}

// NewEqualSplit returns the baseline Policy that splits a budget evenly between routers,
// once.
func NewEqualSplit(routers int) Policy {
	return &equalSplit{routers: int64(routers)}
}

// WantedHolding implements Policy.WantedHolding.
func (p *equalSplit) WantedHolding(v BudgetView) int64 {
	if v.Held > 0 {
		return v.Held
	}
	return (v.Remaining + v.OthersHeld) / p.routers
}

// fixedSize draws a grant of a fixed size whenever at most half a grant is left.
type fixedSize struct {
	size int64
}

// NewFixedSize returns the baseline Policy that draws grants of one size.
func NewFixedSize(size int64) Policy {
	return &fixedSize{size: size}
}

// WantedHolding implements Policy.WantedHolding.
func (p *fixedSize) WantedHolding(v BudgetView) int64 {
	if v.Held > p.size/2 {
		return v.Held
	}
	return v.Held + p.size
}
