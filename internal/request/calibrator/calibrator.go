// Package calibrator estimates how much slower than others each target is, from the samples of all
// routers of a fleet.
//
// A sample is the time that a target took for a token. It is compared with the mean of its group,
// the requests of one kind, so that targets of short and of long prompts can be compared. Samples
// fade with age. A Calibrator is plain data with no clock of its own. It handles these load patterns:
//
//   - Many routers and many targets. A router has a sample of a given target once in many seconds,
//     while the fleet has several a second. Routers average their parts in pairs, in exchanges that
//     they have anyway (push-pull averaging: Jelasity, Montresor and Babaoglu, "Gossip-based
//     aggregation in large dynamic networks", 2005). What a pair holds together stays the same, so
//     nothing counts twice, and after a few exchanges each router holds about the same part of all
//     samples. A lost reply changes the sum by a part of two routers' shares, which fades too.
//   - Targets that differ in speed, or turn slow for seconds.
//   - Targets that stall at times. A sample counts more if it is faster than the estimate, and none
//     deviates by more than a factor: a queue or a pause of half a second makes no slow target.
//
// # Usage
//
//	c := calibrator.New()
//	c.Observe("s/long", "i-1", 0.00003, routers, now)
//	sent := c.Offer(24, now)       // to another router,
//	reply := c.Reply(sent, now)    // which answers,
//	c.Finish(sent, reply, now)     // and the answer ends the exchange
//	slowness := c.Slowness("i-1", routers, now)
package calibrator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lifetime is the time in which the weight of a sample falls to 1/e.
	lifetime = 8 * time.Second
	// upperWeight is the weight of a sample that is slower than the estimate.
	upperWeight = 0.35
	// maxDeviation bounds the logarithm of a sample's ratio to the mean of its group.
	maxDeviation = 1.4
	// minGroupWeight is the weight of samples, of all routers, from which a group's mean is used.
	minGroupWeight = 10
	// priorWeight is the weight of the assumption that a target is as fast as others.
	priorWeight = 2
	// minToldWeight is the weight from which others are told; minKeptWeight that below which a part
	// is dropped.
	minToldWeight = 0.05
	minKeptWeight = 0.005
)

// Share is a router's part in an estimate, as it is told to others.
type Share struct {
	// Key is a hash of the target's ID or of the group's name.
	Key uint32
	// Weight is the sum of the samples' weights, Sum that of their weighted logarithms, both in
	// units of 1/Unit.
	Weight uint32
	Sum    int32
}

// Unit is the number of units of a Share's fields in 1.
const Unit = 256

// Calibrator holds a router's parts in the estimates.
type Calibrator struct {
	parts map[uint32]*part
	// groups holds the keys of the groups.
	groups map[uint32]bool
}

// part is a part in the estimate of one target, or in the mean of a group.
type part struct {
	weight, sum float64
	at          time.Time
}

// New returns a Calibrator without samples.
func New() *Calibrator {
	return &Calibrator{parts: make(map[uint32]*part), groups: make(map[uint32]bool)}
}

// Observe adds a sample of a target; routers is the number of routers of the fleet.
func (c *Calibrator) Observe(group, target string, secondsPerToken float64, routers int, now time.Time) {
	if secondsPerToken <= 0 {
		return
	}
	groupKey, sample := keyOf(group), math.Log(secondsPerToken)
	c.groups[groupKey] = true
	mean := c.part(groupKey, now)
	if mean.weight*float64(routers) >= minGroupWeight {
		deviation := sample - mean.sum/mean.weight
		c.part(keyOf(target), now).add(min(max(deviation, -maxDeviation), maxDeviation))
	}
	mean.add(sample)
}

func (p *part) add(sample float64) {
	weight := 1.0
	if p.weight > 0 && sample > p.sum/p.weight {
		weight = upperWeight
	}
	p.weight += weight
	p.sum += weight * sample
}

// Slowness returns the factor by which a target is slower than others, in powers of 2 from 1 on: targets
// of about the same speed stay equal, so that requests are spread over them. It returns 0 if
// nothing is known of the target.
func (c *Calibrator) Slowness(target string, routers int, now time.Time) float64 {
	p, ok := c.parts[keyOf(target)]
	if !ok {
		return 0
	}
	p.fade(now)
	mean := p.sum / (p.weight + priorWeight/float64(max(routers, 1)))
	return math.Exp2(max(math.Round(mean/math.Ln2), 0))
}

// Forget drops what is known of a target that has started anew.
func (c *Calibrator) Forget(target string) {
	delete(c.parts, keyOf(target))
}

// Offer returns this router's parts in the means of all groups and in the estimates of up to n
// targets, chosen at random.
func (c *Calibrator) Offer(n int, now time.Time) []Share {
	var shares []Share
	for key := range c.groups {
		shares = append(shares, c.share(key, now))
	}
	n += len(shares)
	seen := 0
	for key, p := range c.parts {
		if c.groups[key] {
			continue
		}
		if p.fade(now); p.weight < minKeptWeight {
			delete(c.parts, key)
			continue
		}
		if p.weight < minToldWeight {
			continue
		}
		seen++
		if share := c.share(key, now); len(shares) < n {
			shares = append(shares, share)
		} else if k := rand.IntN(seen); k < n-len(c.groups) {
			shares[len(c.groups)+k] = share
		}
	}
	return shares
}

// Reply averages the shares that another router has offered with this router's own, and returns
// the own ones as of before.
func (c *Calibrator) Reply(offered []Share, now time.Time) []Share {
	reply := make([]Share, len(offered))
	for i, s := range offered {
		reply[i] = c.share(s.Key, now)
		c.move(reply[i], s, now)
	}
	return reply
}

// Finish ends an exchange that this router has begun with Offer.
func (c *Calibrator) Finish(offered, reply []Share, now time.Time) {
	if len(offered) != len(reply) {
		return
	}
	for i := range offered {
		if offered[i].Key == reply[i].Key {
			c.move(offered[i], reply[i], now)
		}
	}
}

// move moves a part half of the way from this router's share to another's.
func (c *Calibrator) move(own, other Share, now time.Time) {
	p := c.part(own.Key, now)
	p.weight += (float64(other.Weight) - float64(own.Weight)) / 2 / Unit
	p.sum += (float64(other.Sum) - float64(own.Sum)) / 2 / Unit
	if p.weight <= 0 {
		p.weight, p.sum = 0, 0
	}
}

func (c *Calibrator) share(key uint32, now time.Time) Share {
	p := c.part(key, now)
	return Share{Key: key, Weight: uint32(math.Round(p.weight * Unit)), Sum: int32(math.Round(p.sum * Unit))}
}

// part returns the part with a key as of now.
func (c *Calibrator) part(key uint32, now time.Time) *part {
	p, ok := c.parts[key]
	if !ok {
		p = &part{at: now}
		c.parts[key] = p
	}
	p.fade(now)
	return p
}

// fade reduces the weight of the samples by their age.
func (p *part) fade(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		f := math.Exp(-d.Seconds() / lifetime.Seconds())
		p.weight *= f
		p.sum *= f
		p.at = now
	}
}

func keyOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}
