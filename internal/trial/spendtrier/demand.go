package spendtrier

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Deployment describes the load of one partner's fleet.
type Deployment struct {
	Name string
	// RequestRates holds the requests per second of each organisation; a few are large.
	RequestRates []float64
	// MeanWorstCase is the mean worst-case cost of a request in tokens.
	MeanWorstCase float64
}

// The deployments of the two partners, each with 10 organisations, a few of
// them large.
var (
	Trentvale   = Deployment{Name: "trentvale", RequestRates: []float64{8, 5, 2, 0.5, 0.5, 0.5, 0.2, 0.2, 0.1, 0.1}, MeanWorstCase: 300}
	Hokkaido    = Deployment{Name: "hokkaido", RequestRates: []float64{4, 3, 1.5, 0.4, 0.4, 0.3, 0.2, 0.1, 0.05, 0.05}, MeanWorstCase: 900}
	Deployments = []Deployment{Trentvale, Hokkaido}
)

// request is one request of the demand; worstCase and usage are in tokens.
type request struct {
	organisation string
	domain       int
	router       int
	worstCase    int64
	usage        int64
}

// demand holds the requests of a trial by second, and the budgets' limits.
type demand struct {
	schedule Schedule
	seconds  [][]request
	limits   map[string]int64
	total    int64
}

// skews are the shares of an organisation's demand by domain; organisations
// take them in turn.
var skews = [][]float64{{0.7, 0.2, 0.1}, {0.1, 0.2, 0.7}, {1. / 3, 1. / 3, 1. / 3}}

const (
	burstMeanSeconds = 40
	calmMeanSeconds  = 120
	burstFactor      = 3
	// driftPeriod and driftDepth are the period in seconds and the relative
	// amplitude of a slow variation of the domains' shares.
	driftPeriod = 2.5 * hour
	driftDepth  = 0.25
)

// newDemand generates the demand of a seed and sets the limits by the
// schedule's BalanceRatio.
func newDemand(deployment Deployment, schedule Schedule, seed uint64) *demand {
	d := &demand{schedule: schedule, seconds: make([][]request, schedule.Length), limits: make(map[string]int64)}
	random := rand.New(rand.NewPCG(seed, 7))
	for i, rate := range deployment.RequestRates {
		d.generate(random, fmt.Sprintf("organisation-%d", i), rate, skews[i%len(skews)], deployment.MeanWorstCase)
	}
	return d
}

// generate adds the requests of one organisation and its limit.
func (d *demand) generate(random *rand.Rand, name string, rate float64, skew []float64, mean float64) {
	var usageBeforeFault, usageDuringFault int64
	phase := random.Float64() * 2 * math.Pi
	inBurst, secondsLeft := false, 0
	for s := range d.seconds {
		if secondsLeft--; secondsLeft <= 0 {
			inBurst = !inBurst
			secondsLeft = 1 + int(random.ExpFloat64()*calmMeanSeconds)
			if inBurst {
				secondsLeft = 1 + int(random.ExpFloat64()*burstMeanSeconds)
			}
		}
		currentRate := rate
		if inBurst {
			currentRate *= burstFactor
		}
		for domain, share := range skew {
			share *= 1 + driftDepth*math.Sin(phase+2*math.Pi*(float64(s)/driftPeriod+float64(domain)/3))
			for range poisson(random, currentRate*share) {
				req := newRequest(random, name, domain, mean)
				d.seconds[s] = append(d.seconds[s], req)
				if s < d.schedule.FaultStart {
					usageBeforeFault += req.usage
				} else {
					usageDuringFault += req.usage
				}
			}
		}
	}
	d.limits[name] = usageBeforeFault + int64(d.schedule.BalanceRatio*float64(usageDuringFault))
	d.total += usageBeforeFault + usageDuringFault
}

func newRequest(random *rand.Rand, name string, domain int, mean float64) request {
	worstCase := int64(mean * (0.2 + 1.6*random.Float64()))
	return request{
		organisation: name, domain: domain, router: random.IntN(routersPerDomain),
		worstCase: worstCase, usage: int64(float64(worstCase) * (0.3 + 0.7*random.Float64())),
	}
}

// poisson returns a Poisson-distributed count with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	limit, n, p := math.Exp(-mean), 0, random.Float64()
	for p > limit {
		n++
		p *= random.Float64()
	}
	return n
}

// meanTokenRate returns the tokens per second of an organisation on average.
func (d *demand) meanTokenRate() float64 {
	return float64(d.total) / float64(d.schedule.Length) / float64(len(d.limits))
}

// unavoidableRefusals returns how many requests would be refused even if the
// balance were split between the sides of the partition with full knowledge of
// their demand: none while the balance covers both sides.
func (d *demand) unavoidableRefusals() int {
	if !d.schedule.DomainPartitioned || d.schedule.BalanceRatio >= 1 {
		return 0
	}
	refused := 0
	for s := d.schedule.FaultStart; s < d.schedule.Length; s++ {
		refused += len(d.seconds[s])
	}
	return int(float64(refused) * (1 - d.schedule.BalanceRatio))
}
