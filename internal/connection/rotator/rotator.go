// Package rotator decides when a router leaves the load balancer's rotation, so that clients whose
// requests it can't carry connect to routers of its failure domain that can.
//
// A load balancer that hashes clients to hosts sends all connections of a client to one host, however
// large the client and however small the host. A host that isn't ready is left out: its clients connect
// to the next host in their order, and come back with their next connections once it is ready again. So a
// router that leaves has to stay away for as long as the client is too large for it, and it may only
// do so while the rest of its domain has room: below half of a domain's hosts the balancer uses all of
// them again.
//
// The routers agree without a leader. Each tells the others its load and its place in the rotation
// in the reports that they exchange anyway (Report). One that wants to leave tells all others first and
// decides when they have replied, so of two that want to leave at the same time at least one knows of
// the other. The limits (mayLeave) have room for one more than they allow.
//
// Next answers these load patterns:
//
//   - One client sends more than the small host that it hashes to can carry, for seconds or for hours,
//     while larger hosts of the domain have room.
//   - The next host in the client's order is small too: both leave, one after the other.
//   - All hosts of a domain are overloaded: none leaves, and those that are out come back.
//   - More routers want to leave than may: those with the most strain do.
//
// # Usage
//
//	status = rotator.Next(status, own, peers, time.Now())
//	ready := status.Phase != rotator.Out
//	if status.Closing() {
//		// Close clients' connections after their responses.
//	}
package rotator

import (
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/request/sharer"
)

// Phase is a router's place in the rotation.
type Phase int

// The phases.
const (
	// Unknown is the phase of a router that doesn't report one.
	Unknown Phase = iota
	// In means that the router takes new connections.
	In
	// Asking means that it wants to leave and has told the others.
	Asking
	// Out means that it reports itself as not ready.
	Out
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"unknown", "in", "asking", "out"}[p]
}

const (
	// strained is the utilisation from which requests begin to wait for the processor or the link,
	// roomy the one up to which another router may be loaded by what this one sheds, and at which
	// one that asks isn't strained any more.
	strained = 0.7
	roomy    = 0.6
	// settleTime is how long the use of the processor doesn't count after a start: it is the process's own,
	// and all of a fleet that start anew would ask to leave.
	settleTime = 5 * time.Second
	// strainedTime is how long a router is strained before it wants to leave: longer than a burst that
	// it can work off before callers notice.
	strainedTime = 250 * time.Millisecond
	// askTime is how long the others have to reply.
	askTime = 250 * time.Millisecond
	// missesToLeave is how often a load balancer asks before it leaves a host out. leaveTime is how long a
	// router waits to be asked.
	missesToLeave = 2
	leaveTime     = 4 * time.Second
	// minOutTime is the least time that a router stays out, so that its clients don't move to and fro.
	// After maxOutTime it takes connections again to learn whether its clients still send as much.
	minOutTime = 10 * time.Second
	maxOutTime = time.Minute
	// yieldFactor is how much more strain another router must have to take its place: a place that
	// changes hands leaves both strained for some seconds.
	yieldFactor = 1.25
	// maxReportAge is the age up to which a report counts: longer than routers of a large fleet take to
	// report to each other, and than a router loses its links to others for want of processor time or
	// of room on its link.
	maxReportAge = 20 * time.Second
	// fleetShare is the divisor of the number of routers of the fleet of which fewer may be out at a time.
	fleetShare = 8
)

// Load is what a router uses of its processor, in cores, and of its link, in megabits a second in the
// busier direction, and its share of both. A share of 0 isn't known.
type Load struct {
	Processor, ProcessorShare float64
	Link, LinkRate            float64
}

// Utilisation returns the larger one of the used parts of processor and link.
func (l Load) Utilisation() (u float64) {
	if l.ProcessorShare > 0 {
		u = l.Processor / l.ProcessorShare
	}
	if l.LinkRate > 0 {
		u = max(u, l.Link/l.LinkRate)
	}
	return u
}

// known reports whether the router's shares are known.
func (l Load) known() bool {
	return l.ProcessorShare > 0 || l.LinkRate > 0
}

// add returns the sum of two loads.
func (l Load) add(o Load) Load {
	return Load{
		Processor: l.Processor + o.Processor, ProcessorShare: l.ProcessorShare + o.ProcessorShare,
		Link: l.Link + o.Link, LinkRate: l.LinkRate + o.LinkRate,
	}
}

// smallerThan reports whether a router has less of a processor or of a link than another one.
func (l Load) smallerThan(o Load) bool {
	return l.ProcessorShare > 0 && l.ProcessorShare < o.ProcessorShare || l.LinkRate > 0 && l.LinkRate < o.LinkRate
}

// with returns the load of a router that takes over what another one uses.
func (l Load) with(o Load) Load {
	l.Processor += o.Processor
	l.Link += o.Link
	return l
}

// Report is what a router tells the others.
type Report struct {
	Phase Phase
	Load  Load
	// Strain is the utilisation for which the router wants to leave or has left.
	Strain float64
}

// Peer is what is known of another router of the fleet.
type Peer struct {
	Name string
	// SameDomain is set for the routers of the own failure domain.
	SameDomain bool
	Report     Report
	// ReportedAt is when the report was received, zero if there is none.
	ReportedAt time.Time
}

// known reports whether a peer's report counts.
func (p Peer) known(now time.Time) bool {
	return p.Report.Phase != Unknown && !p.ReportedAt.IsZero() && now.Sub(p.ReportedAt) <= maxReportAge
}

// Own is what a router knows of itself.
type Own struct {
	Name string
	Load Load
	// Overloaded is set if the router has just refused requests for want of processor time.
	Overloaded bool
	// Refused is the number of times that the router has answered, since it left, that it isn't ready.
	Refused int
}

// utilisation returns the utilisation. An overloaded router counts as strained although it seems to have room, as
// the host uses processor time for it too, but not if it uses little itself: then something else holds it up,
// and not its clients.
func (o Own) utilisation() float64 {
	u := o.Load.Utilisation()
	if o.Overloaded && u >= strained/2 {
		u = max(u, strained)
	}
	return u
}

// Status is a router's place in the rotation. The zero value is that of a router that has just started.
type Status struct {
	Phase Phase
	// Since is when the phase began, Started when the router could take clients for the first time.
	Since   time.Time
	Started time.Time
	// StrainedSince is when the router's utilisation has last become too large, zero if it isn't.
	StrainedSince time.Time
	// Strain is the utilisation for which the router wants to leave or has left.
	Strain float64
	// LeftRotation is set once the load balancer must have noticed that the router isn't ready.
	LeftRotation bool
}

// Closing reports whether clients' connections are to be closed after their responses: not before the
// clients would connect elsewhere.
func (s Status) Closing() bool {
	return s.Phase == Out && s.LeftRotation
}

// NeedsPeers reports whether Next uses what is known of the others.
func (s Status) NeedsPeers(own Own) bool {
	return s.Phase == Asking || s.Phase == Out || own.utilisation() >= strained
}

// Report returns what the router tells the others.
func (s Status) Report(load Load) Report {
	return Report{Phase: s.Phase, Load: load, Strain: s.Strain}
}

// Next returns the status that follows from what a router knows now. It is called several times a
// second.
func Next(s Status, own Own, peers []Peer, now time.Time) Status {
	v := newView(own, peers, now)
	if now.Sub(s.Started) < settleTime {
		own.Load.Processor = 0
	}
	utilisation := own.utilisation()
	switch {
	case utilisation < strained:
		s.StrainedSince = time.Time{}
	case s.StrainedSince.IsZero():
		s.StrainedSince = now
	}
	switch s.Phase {
	case Unknown:
		s.Phase, s.Since, s.Started = In, now, now
	case In:
		if !s.StrainedSince.IsZero() && now.Sub(s.StrainedSince) >= strainedTime && v.canRelieve(own.Load) {
			s.Strain = utilisation
			s.Phase, s.Since = Asking, now
		}
	case Asking:
		switch {
		case utilisation <= roomy || !v.canRelieve(own.Load):
			s.Phase, s.Since, s.Strain = In, now, 0
		case now.Sub(s.Since) >= askTime && v.mayLeave(own.Name, s.Strain):
			s.Phase, s.Since, s.LeftRotation = Out, now, false
		}
	case Out:
		if own.Refused >= missesToLeave || now.Sub(s.Since) >= leaveTime {
			s.LeftRotation = true
		}
		if v.mustReturn(own.Name, s.Strain) || v.mayReturn(s, now) {
			s = Status{Phase: In, Since: now, Started: s.Started}
		}
	}
	return s
}

// view is what a router knows of the others at one time.
type view struct {
	// rest is the sum of the loads of the other routers of the domain that are in the rotation.
	rest Load
	// domainSize and fleetSize count all routers, this one included, inDomain those of the domain that are
	// known to be in the rotation, without this one.
	domainSize, fleetSize, inDomain, knownInDomain int
	// out and asking are the routers that are out and that want to leave.
	out, asking []Peer
	// relievers are the routers of the domain that are in the rotation.
	relievers []Peer
}

func newView(own Own, peers []Peer, now time.Time) view {
	v := view{domainSize: 1, fleetSize: 1}
	for _, p := range peers {
		if p.Name == own.Name {
			continue
		}
		v.fleetSize++
		known := p.known(now)
		if p.SameDomain {
			v.domainSize++
			if known {
				v.knownInDomain++
			}
		}
		switch {
		case !known:
			continue
		case p.Report.Phase == Out:
			v.out = append(v.out, p)
			continue
		case p.Report.Phase == Asking:
			v.asking = append(v.asking, p)
		}
		if p.SameDomain {
			v.inDomain++
			v.rest = v.rest.add(p.Report.Load)
			v.relievers = append(v.relievers, p)
		}
	}
	return v
}

// canRelieve reports whether the routers of the domain have room for what this one uses, and one of them
// alone has, as it may all be a single client's. None of them may be smaller than this one: the load balancer
// might choose it.
func (v view) canRelieve(own Load) bool {
	if v.rest.with(own).Utilisation() > roomy {
		return false
	}
	for _, p := range v.relievers {
		if p.Report.Load.smallerThan(own) {
			return false
		}
	}
	for _, p := range v.relievers {
		if p.Report.Load.known() && p.Report.Load.with(own).Utilisation() <= roomy {
			return true
		}
	}
	return false
}

// mayLeave reports whether a router that wants to leave is among those that may. Routers that
// nothing is known of may be out.
func (v view) mayLeave(name string, strain float64) bool {
	ahead, aheadInDomain := 0, 0
	for _, p := range v.asking {
		if before(p.Name, p.Report.Strain, name, strain) {
			ahead++
			if p.SameDomain {
				aheadInDomain++
			}
		}
	}
	return v.staysBalanced(v.inDomain-aheadInDomain) && len(v.out)+ahead < (v.fleetSize-1)/fleetShare
}

// staysBalanced reports whether the load balancer still leaves hosts out while in routers of the domain are
// in the rotation, also after one more has left it.
func (v view) staysBalanced(in int) bool {
	return 2*(in-1) >= v.domainSize
}

// mustReturn reports whether a router that is out has to come back: it can't know any more
// whether the rest of the domain has room, or it hasn't, or too many are out.
func (v view) mustReturn(name string, strain float64) bool {
	if 2*v.knownInDomain < v.domainSize-1 || v.rest.Utilisation() > strained {
		return true
	}
	ahead := 0
	for _, p := range v.out {
		if before(p.Name, p.Report.Strain, name, strain) {
			ahead++
		}
	}
	return 2*v.inDomain < v.domainSize || ahead >= max((v.fleetSize-1)/fleetShare, 1)
}

// mayReturn reports whether a router has been out for long enough to come back: it may carry what its
// clients send now, or its place is wanted by one with much more strain.
func (v view) mayReturn(s Status, now time.Time) bool {
	switch out := now.Sub(s.Since); {
	case out >= maxOutTime:
		return true
	case out < minOutTime || len(v.out)+1 < (v.fleetSize-1)/fleetShare:
		return false
	}
	return slices.ContainsFunc(v.asking, func(p Peer) bool { return p.Report.Strain > yieldFactor*s.Strain })
}

// before reports whether router a comes before router b where not all may be out.
func before(a string, strainA float64, b string, strainB float64) bool {
	if strainA != strainB {
		return strainA > strainB
	}
	return sharer.Hash(a) > sharer.Hash(b)
}
