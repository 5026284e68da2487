package spender

// View is what a policy knows of one budget when it decides, in tokens and
// tokens a second.
type View struct {
	// Remaining is what the row still has.
	Remaining int64
	// Held is what this purse holds, reserved or free.
	Held int64
	// OthersHeld is what all other holders hold.
	OthersHeld int64
	// Need is the largest reservation that failed since the last flush.
	Need int64
	// Free is what this purse could reserve.
	Free int64
	// Rate and OthersRate are recent demand here and elsewhere, SlowRate and
	// OthersSlowRate the same over a longer time.
	Rate           float64
	OthersRate     float64
	SlowRate       float64
	OthersSlowRate float64
	// Holders counts all holders with this one.
	Holders int
}

// Policy decides how much of a budget a purse should hold.
type Policy interface {
	// Target returns the holding wanted, in tokens.
	Target(v View) int64
}

// proportional holds a share of the balance by the share of recent demand.
type proportional struct {
	kept  float64
	trend float64
}

const (
	// DefaultTrendFactor is how far the trend of a share is moved on, in units of the
	// lag between the two averages.
	DefaultTrendFactor = 1.0
	// maxTrendFactor bounds how far a falling trend may lower a share.
	maxTrendFactor = 4
)

// NewProportional returns a Policy that leaves the fraction kept of the balance
// at the platform and splits the rest by recent demand and its trend.
//
// A low fraction serves best while domains are cut off from the platform; a
// high one keeps more for routers that start or whose demand rises.
func NewProportional(kept, trend float64) Policy {
	return &proportional{kept: kept, trend: trend}
}

// evenShare is the part of the pool that is split without regard to demand, so
// that a holder whose demand has just begun is not empty-handed.
const evenShare = 0.02

// Target implements Policy.Target.
func (p *proportional) Target(v View) int64 {
	pool := float64(v.Remaining+v.Held+v.OthersHeld) * (1 - p.kept)
	return int64(pool * p.share(v))
}

// share forecasts this purse's part of the demand to come: its part of recent
// demand, moved on along the trend of that part.
func (p *proportional) share(v View) float64 {
	even := 1.0 / float64(max(v.Holders, 1))
	recent, ok := partOf(v.Rate, v.OthersRate)
	if !ok {
		return even
	}
	share := recent
	if slow, ok := partOf(v.SlowRate, v.OthersSlowRate); ok {
		share = recent + p.trend*(recent-slow)
		share = min(max(share, recent/maxTrendFactor), 1)
	}
	return evenShare*even + (1-evenShare)*share
}

// partOf returns a/(a+b), if that is defined.
func partOf(a, b float64) (float64, bool) {
	if a+b <= 0 {
		return 0, false
	}
	return a / (a + b), true
}

// equalSplit holds the same share of the limit in every router.
type equalSplit struct {
	routers int64
}

// NewEqualSplit returns the baseline Policy that splits a budget evenly, once.
func NewEqualSplit(routers int) Policy {
	return &equalSplit{routers: int64(routers)}
}

// Target implements Policy.Target.
func (p *equalSplit) Target(v View) int64 {
	if v.Held > 0 {
		return v.Held
	}
	return (v.Remaining + v.OthersHeld) / p.routers
}

// fixedSize tops the purse up to a fixed size.
type fixedSize struct {
	size int64
}

// NewFixedSize returns the baseline Policy that draws grants of one size.
func NewFixedSize(size int64) Policy {
	return &fixedSize{size: size}
}

// Target implements Policy.Target.
func (p *fixedSize) Target(v View) int64 {
	if v.Held > p.size/2 {
		return v.Held
	}
	return v.Held + p.size
}
