package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/chooser"
)

const (
	maxAttempts = 5
	// maxOwnedAttempts bounds the attempts of a request whose target is given.
	maxOwnedAttempts = 20
	// renamePause is the wait for agents to learn of a new incarnation.
	renamePause = 250 * time.Millisecond
	// budgetRetryAfter is when to come back after an exhausted budget.
	budgetRetryAfter = 10 * time.Second
	defaultRetry     = time.Second
)

// run carries a request from reservation to settlement.
func (r *Router) run(ctx context.Context, j *job, a *answer) *result {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if r.suspects.IsPoison(j.digest) {
		return &result{outcome: framer.OutcomeNotRun, reason: agent.ReasonPoison}
	}
	total := &result{outcome: framer.OutcomeNotRun, reason: reasonNoTarget, retryAfter: spread(defaultRetry)}
	tried := make(map[string]bool)
	var parts []framer.Part
	limit := maxAttempts
	if j.owned() {
		limit = maxOwnedAttempts
	}
	for n := range limit {
		if parts == nil && j.cost > 0 {
			var err error
			if parts, err = r.treasury.Reserve(ctx, j.organisation.Name, j.cost); err != nil {
				return r.unpaid(ctx, total, n, err)
			}
		}
		c := r.pick(ctx, j, tried)
		if c == nil {
			break
		}
		res := r.attempt(ctx, j, a, c, parts)
		total = merge(total, res)
		tried[c.Name] = !j.owned()
		if res.outcome != framer.OutcomeNotRun {
			parts = nil // spent, or in the hands of an audit
		}
		if !r.again(ctx, j, a, total) {
			break
		}
		if res.reason == agent.ReasonFenced {
			r.treasury.Release(j.organisation.Name, parts)
			parts = nil
			delete(tried, c.Name)
			pause(ctx, renamePause)
		}
	}
	r.treasury.Release(j.organisation.Name, parts)
	return total
}

// merge adds a later attempt's result to that of the earlier ones: a request of
// which one attempt may have run is never said not to have run.
func merge(earlier, later *result) *result {
	later.billed += earlier.billed
	if later.outcome == framer.OutcomeNotRun && earlier.outcome != framer.OutcomeNotRun {
		earlier.billed = later.billed
		return earlier
	}
	return later
}

// unpaid is the result of a request, or of its retry, that no budget covers.
func (r *Router) unpaid(ctx context.Context, total *result, attempt int, err error) *result {
	if attempt > 0 && total.outcome != framer.OutcomeNotRun {
		return total
	}
	if ctx.Err() != nil {
		return &result{outcome: framer.OutcomeNotRun, reason: reasonDeadline, billed: total.billed}
	}
	res := &result{outcome: framer.OutcomeNotRun, reason: reasonBudget, retryAfter: spread(budgetRetryAfter)}
	if !errors.Is(err, treasurer.ErrExhausted) {
		res.reason = "not-ready"
		res.retryAfter = spread(defaultRetry)
	}
	return res
}

// pick returns the target for the next attempt; nil if there is none.
func (r *Router) pick(ctx context.Context, j *job, tried map[string]bool) *chooser.Candidate {
	if j.owned() {
		return r.awaitOwner(ctx, j)
	}
	return r.choose(j, tried)
}

// choose picks a target that has not been tried; nil if there is none.
func (r *Router) choose(j *job, tried map[string]bool) *chooser.Candidate {
	all := r.sheet.of(j.serves)
	if len(tried) > 0 {
		var left []*chooser.Candidate
		for _, c := range all {
			if !tried[c.Name] {
				left = append(left, c)
			}
		}
		all = left
	}
	i := r.chooser.Choose(all, j.affinity, time.Now())
	if i < 0 {
		return nil
	}
	return all[i]
}

// again decides whether another attempt is safe and worth it.
func (r *Router) again(ctx context.Context, j *job, a *answer, res *result) bool {
	if ctx.Err() != nil || a.begun() {
		return false
	}
	switch res.outcome {
	case framer.OutcomeAnswered:
		return false
	case framer.OutcomeNotRun:
		if j.owned() {
			pause(ctx, ownerPoll)
		}
		return res.reason != agent.ReasonPoison && res.reason != agent.ReasonCanceled
	}
	if j.nonIdempotent || res.reason == agent.ReasonPoison || res.reason == agent.ReasonStarted {
		return false
	}
	if !r.retries.allow(j.organisation.Name) {
		res.reason = reasonRetries
		return false
	}
	return true
}

// spread adds up to half of d, so that callers don't come back together.
func spread(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
