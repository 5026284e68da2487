package spendtrier

import (
	"context"
	"fmt"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	killInterval = 600 // seconds
	// recoveryDelay is the time until a dead holder's tokens are recovered, in seconds.
	recoveryDelay = 10
	topUpSteps    = 4
)

// run is a request in progress.
type run struct {
	request request
	parts   []part
}

// part is one payer's share of a run's reservation.
type part struct {
	payer       *router
	part        framer.Part
	incarnation string
}

// serve admits or refuses one request.
func (t *trial) serve(req request) {
	if t.faultActive() {
		t.result.Requests++
	}
	r := t.routers[req.domain*routersPerDomain+req.router]
	parts, ok := t.reserve(r, req)
	if !ok {
		t.recordRefusal(req)
		return
	}
	t.reserved[req.organisation] += req.worstCase
	end := min(t.second+runSeconds, len(t.runsByEnd)-1)
	t.runsByEnd[end] = append(t.runsByEnd[end], run{request: req, parts: parts})
}

// recordRefusal counts a refusal as false if the whole balance covered the request.
func (t *trial) recordRefusal(req request) {
	available := t.limit[req.organisation] - t.spent[req.organisation] - t.reserved[req.organisation]
	if available >= req.worstCase {
		t.result.FalseRefusals++
	}
}

// reserve covers a request in the same order as routers do: from the own token
// pool, from the platform, from the other routers on this side of a partition.
func (t *trial) reserve(r *router, req request) ([]part, bool) {
	if t.strategy.Policy == nil {
		return nil, t.commitRequest(r, req)
	}
	r.pool.RecordDemand(req.organisation, req.worstCase, t.now())
	if p, err := r.pool.Reserve(req.organisation, req.worstCase); err == nil {
		return []part{{r, p, r.pool.Incarnation}}, true
	}
	if !t.strategy.Static && t.reachesPlatform(r) {
		_ = r.flusher.Flush(context.Background(), t.now())
		if p, err := r.pool.Reserve(req.organisation, req.worstCase); err == nil {
			return []part{{r, p, r.pool.Incarnation}}, true
		}
	}
	if !t.strategy.Borrows {
		return nil, false
	}
	return t.borrow(r, req)
}

// borrow collects parts from the router itself and from every router that it
// can reach.
func (t *trial) borrow(r *router, req request) ([]part, bool) {
	var parts []part
	missing := req.worstCase
	for i, lender := range append([]*router{r}, t.routers...) {
		if missing == 0 || (i > 0 && lender == r) || !t.connected(r, lender) {
			continue
		}
		if p := lender.pool.ReserveUpTo(req.organisation, missing); p.Amount > 0 {
			parts = append(parts, part{lender, p, lender.pool.Incarnation})
			missing -= p.Amount
		}
	}
	if missing == 0 {
		return parts, true
	}
	t.settle(parts, 0)
	return nil, false
}

// commitRequest draws the worst case from the budget's row; baseline B0 commits
// every request this way.
func (t *trial) commitRequest(r *router, req request) bool {
	if !t.reachesPlatform(r) {
		return false
	}
	ok := false
	t.update(req.organisation, func(b *bookkeeper.Budget) *bookkeeper.Budget {
		ok = b.Draw("all", "", req.worstCase) == nil
		return b
	})
	return ok
}

// finish ends a run and settles its usage.
func (t *trial) finish(r run) {
	req := r.request
	t.reserved[req.organisation] -= req.worstCase
	t.spent[req.organisation] += req.usage
	if t.strategy.Policy == nil {
		t.update(req.organisation, func(b *bookkeeper.Budget) *bookkeeper.Budget {
			_ = b.Settle("all", req.usage, 0)
			_ = b.Draw("all", "", req.usage-req.worstCase)
			return b
		})
		return
	}
	t.settle(r.parts, req.usage)
}

// settle distributes a usage over parts in order; parts of a dead payer wait
// for its recovery.
func (t *trial) settle(parts []part, used int64) {
	for _, p := range parts {
		amount := min(used, p.part.Amount)
		used -= amount
		p.payer.pool.Settle(framer.Bill{Sequence: p.part.Sequence, Amount: amount})
	}
}

// topUp raises every limit in topUpSteps steps during the fault, by a tenth in total.
func (t *trial) topUp() {
	s := t.schedule
	every := (s.Length - s.FaultStart) / topUpSteps
	if !s.TopUps || !t.faultActive() || (t.second-s.FaultStart)%every != every/2 {
		return
	}
	for name, base := range t.demand.limits {
		increase := base / 10 / topUpSteps
		t.limit[name] += increase
		t.update(name, func(b *bookkeeper.Budget) *bookkeeper.Budget {
			_ = b.SetLimit(b.Limit + increase)
			return b
		})
	}
}

// killOne crashes one router every killInterval and replaces it with a new
// incarnation.
func (t *trial) killOne() {
	if !t.schedule.Kills || t.strategy.Policy == nil || !t.faultActive() || (t.second-t.schedule.FaultStart)%killInterval != killInterval/2 {
		return
	}
	i := (t.second / killInterval) % len(t.routers)
	snapshot := *t.routers[i]
	crashed := &snapshot
	t.deadRouters = append(t.deadRouters, crashed)
	t.diedAt[crashed] = t.second
	for _, runs := range t.runsByEnd {
		for _, affected := range runs {
			for k := range affected.parts {
				if affected.parts[k].payer == t.routers[i] && affected.parts[k].incarnation == crashed.pool.Incarnation {
					affected.parts[k].payer = crashed
				}
			}
		}
	}
	t.startRouter(t.routers[i])
	var held int64
	for name := range t.limit {
		held += crashed.pool.Held(name)
	}
	t.result.MaxStranded = max(t.result.MaxStranded, held)
}

// recoverDead returns the tokens of dead routers once their runs have ended.
func (t *trial) recoverDead() {
	var remaining []*router
	for _, r := range t.deadRouters {
		if t.second-t.diedAt[r] < recoveryDelay || !t.recoverRouter(r) {
			remaining = append(remaining, r)
		}
	}
	t.deadRouters = remaining
}

// recoverRouter settles the last bills of a dead router's token pool and returns
// the rest, as a recovery does with the agents' bills.
func (t *trial) recoverRouter(r *router) bool {
	err := r.flusher.Close(context.Background(), t.now())
	return err == nil
}

// storer.Memory must implement the table interface that routers use.
var _ storer.Table = (*storer.Memory)(nil)

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("requests %d, false refusals %d (floor %d), overspend %d, commits %d, stranded %d",
		r.Requests, r.FalseRefusals, r.UnavoidableRefusals, r.Overspend, r.Commits, r.MaxStranded)
}

// FalseRefusalRate returns the fraction of requests that were falsely refused,
// unavoidable refusals excluded.
func (r Result) FalseRefusalRate() float64 {
	return float64(r.FalseRefusals-r.UnavoidableRefusals) / float64(max(r.Requests, 1))
}
