package spendtrier

import (
	"context"
	"fmt"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	killEvery = 600 // seconds
	// recoverAfter is how long a dead holder's tokens take to come back, in seconds.
	recoverAfter = 10
	topUpSteps   = 4
)

// run is a request in progress.
type run struct {
	request request
	parts   []part
}

// part is one payer's share of a run.
type part struct {
	payer *router
	part  framer.Part
	purse string
}

// serve admits or refuses one request.
func (t *trial) serve(req request) {
	if t.faulty() {
		t.result.Requests++
	}
	r := t.routers[req.domain*routersPerDomain+req.router]
	parts, ok := t.reserve(r, req)
	if !ok {
		t.refuse(req)
		return
	}
	t.reserved[req.organisation] += req.worst
	end := min(t.second+runSeconds, len(t.runs)-1)
	t.runs[end] = append(t.runs[end], run{request: req, parts: parts})
}

// refuse counts a refusal, as false if the whole balance covered the request.
func (t *trial) refuse(req request) {
	left := t.limit[req.organisation] - t.spent[req.organisation] - t.reserved[req.organisation]
	if left >= req.worst {
		t.result.FalseRefusals++
	}
}

// reserve covers a request in the order that routers do: own purse, platform,
// the other routers on this side.
func (t *trial) reserve(r *router, req request) ([]part, bool) {
	if t.way.Policy == nil {
		return nil, t.commitRequest(r, req)
	}
	r.purse.RecordDemand(req.organisation, req.worst, t.now())
	if p, err := r.purse.Reserve(req.organisation, req.worst); err == nil {
		return []part{{r, p, r.purse.Incarnation}}, true
	}
	if !t.way.Static && t.reachesPlatform(r) {
		_ = r.flusher.Flush(context.Background(), t.now())
		if p, err := r.purse.Reserve(req.organisation, req.worst); err == nil {
			return []part{{r, p, r.purse.Incarnation}}, true
		}
	}
	if !t.way.Borrows {
		return nil, false
	}
	return t.borrow(r, req)
}

// borrow gathers parts from every router on this side.
func (t *trial) borrow(r *router, req request) ([]part, bool) {
	var parts []part
	missing := req.worst
	for i, lender := range append([]*router{r}, t.routers...) {
		if missing == 0 || (i > 0 && lender == r) || !t.sameSide(r, lender) {
			continue
		}
		if p := lender.purse.ReserveUpTo(req.organisation, missing); p.Amount > 0 {
			parts = append(parts, part{lender, p, lender.purse.Incarnation})
			missing -= p.Amount
		}
	}
	if missing == 0 {
		return parts, true
	}
	t.settle(parts, 0)
	return nil, false
}

// commitRequest spends from the row directly, as baseline B0 does.
func (t *trial) commitRequest(r *router, req request) bool {
	if !t.reachesPlatform(r) {
		return false
	}
	ok := false
	t.update(req.organisation, func(b *bookkeeper.Budget) *bookkeeper.Budget {
		ok = b.Draw("all", "", req.worst) == nil
		return b
	})
	return ok
}

// finish ends a run with its usage.
func (t *trial) finish(ended run) {
	req := ended.request
	t.reserved[req.organisation] -= req.worst
	t.spent[req.organisation] += req.used
	if t.way.Policy == nil {
		t.update(req.organisation, func(b *bookkeeper.Budget) *bookkeeper.Budget {
			_ = b.Settle("all", req.used, 0)
			_ = b.Draw("all", "", req.used-req.worst)
			return b
		})
		return
	}
	t.settle(ended.parts, req.used)
}

// settle closes parts with a usage, in order; those of a dead payer wait for
// its recovery.
func (t *trial) settle(parts []part, used int64) {
	for _, p := range parts {
		amount := min(used, p.part.Amount)
		used -= amount
		p.payer.purse.Settle(framer.Bill{Sequence: p.part.Sequence, Amount: amount})
	}
}

// topUp raises every limit during the fault by a tenth in all.
func (t *trial) topUp() {
	s := t.schedule
	every := (s.Length - s.Warm) / topUpSteps
	if !s.TopUps || !t.faulty() || (t.second-s.Warm)%every != every/2 {
		return
	}
	for name, base := range t.demand.limits {
		raise := base / 10 / topUpSteps
		t.limit[name] += raise
		t.update(name, func(b *bookkeeper.Budget) *bookkeeper.Budget {
			_ = b.SetLimit(b.Limit + raise)
			return b
		})
	}
}

// killOne has one router die and be replaced under a new incarnation.
func (t *trial) killOne() {
	if !t.schedule.Kills || t.way.Policy == nil || !t.faulty() || (t.second-t.schedule.Warm)%killEvery != killEvery/2 {
		return
	}
	i := (t.second / killEvery) % len(t.routers)
	dead := *t.routers[i]
	gone := &dead
	t.dead = append(t.dead, gone)
	t.deadAt[gone] = t.second
	for _, ends := range t.runs {
		for _, ended := range ends {
			for k := range ended.parts {
				if ended.parts[k].payer == t.routers[i] && ended.parts[k].purse == gone.purse.Incarnation {
					ended.parts[k].payer = gone
				}
			}
		}
	}
	t.startRouter(t.routers[i])
	var held int64
	for name := range t.limit {
		held += gone.purse.Held(name)
	}
	t.result.MaxStranded = max(t.result.MaxStranded, held)
}

// recover gives the tokens of the dead back once their runs have ended.
func (t *trial) recover() {
	var left []*router
	for _, r := range t.dead {
		if t.second-t.deadAt[r] < recoverAfter || !t.recoverOne(r) {
			left = append(left, r)
		}
	}
	t.dead = left
}

// recoverOne lets the dead purse settle its last bills and return the rest,
// as a recovery does with the agents' bills.
func (t *trial) recoverOne(r *router) bool {
	err := r.flusher.Close(context.Background(), t.now())
	return err == nil
}

// assert that the table is the one that routers use.
var _ storer.Table = (*storer.Memory)(nil)

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("requests %d, false refusals %d (floor %d), overspend %d, commits %d, stranded %d",
		r.Requests, r.FalseRefusals, r.Floor, r.Overspend, r.Commits, r.MaxStranded)
}

// Rate returns the fraction of requests that were falsely refused above the floor.
func (r Result) Rate() float64 {
	return float64(r.FalseRefusals-r.Floor) / float64(max(r.Requests, 1))
}
