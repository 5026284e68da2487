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
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	maxAttempts = 5
	// maxSlotOwnerAttempts bounds the attempts of a request that may run only at the
	// owner of its slot.
	maxSlotOwnerAttempts = 20
	// newIncarnationDelay gives agents time to learn of this router's new incarnation.
	newIncarnationDelay = 250 * time.Millisecond
	// budgetRetryAfter is when clients may retry after an exhausted budget.
	budgetRetryAfter  = 10 * time.Second
	defaultRetryAfter = time.Second
)

// execute runs a request from reservation to settlement, with retries.
func (r *Router) execute(ctx context.Context, creq *clientRequest, resp *clientResponse) *result {
	ctx, cancel := context.WithDeadline(ctx, creq.deadline)
	defer cancel()
	defer context.AfterFunc(r.running, cancel)()
	total := &result{outcome: framer.OutcomeNotRun, reason: reasonNoTarget, retryAfter: jitter(defaultRetryAfter)}
	tried := make(map[string]bool)
	var parts []framer.Part
	limit := maxAttempts
	if creq.requiresSlotOwner() {
		limit = maxSlotOwnerAttempts
	}
	for n := range limit {
		if n == 0 && ctx.Err() != nil {
			return r.timedOut(total)
		}
		if r.suspects.Verdict(creq.digest) == suspecter.Poison {
			total = mergeResults(total, &result{outcome: framer.OutcomeNotRun, reason: agent.ReasonPoison})
			break
		}
		if parts == nil && creq.cost > 0 {
			var err error
			if parts, err = r.treasury.Reserve(ctx, creq.organisation.Name, creq.cost); err != nil {
				return r.reservationFailed(ctx, total, n, err)
			}
		}
		c := r.nextTarget(ctx, creq, tried)
		if c == nil {
			break
		}
		res := r.attempt(ctx, creq, resp, c, parts)
		total = mergeResults(total, res)
		tried[c.Name] = !creq.requiresSlotOwner()
		if res.outcome != framer.OutcomeNotRun {
			parts = nil // settled, or passed to the auditor
		}
		if !r.shouldRetry(ctx, creq, resp, total) {
			break
		}
		if res.reason == agent.ReasonFenced {
			r.treasury.Release(creq.organisation.Name, parts)
			parts = nil
			delete(tried, c.Name)
			sleep(ctx, newIncarnationDelay)
		}
	}
	r.treasury.Release(creq.organisation.Name, parts)
	return total
}

// mergeResults combines the result of the earlier attempts with that of a later one.
// If any attempt may have run, the outcome of the request is never not-run.
func mergeResults(earlier, later *result) *result {
	later.billed += earlier.billed
	if later.outcome == framer.OutcomeNotRun && earlier.outcome != framer.OutcomeNotRun {
		earlier.billed = later.billed
		return earlier
	}
	return later
}

// reservationFailed returns the result of a request when the reservation for its
// first attempt or for a retry fails.
func (r *Router) reservationFailed(ctx context.Context, total *result, attempt int, err error) *result {
	if attempt > 0 && total.outcome != framer.OutcomeNotRun {
		return total
	}
	if ctx.Err() != nil {
		return r.timedOut(total)
	}
	res := &result{outcome: framer.OutcomeNotRun, reason: reasonBudgetExhausted, retryAfter: jitter(budgetRetryAfter)}
	if !errors.Is(err, treasurer.ErrExhausted) {
		res.reason = "not-ready"
		res.retryAfter = jitter(defaultRetryAfter)
	}
	return res
}

// timedOut returns the result of a request that has not run when its time is up, or that of this router.
func (r *Router) timedOut(total *result) *result {
	if r.running.Err() != nil {
		return &result{outcome: framer.OutcomeNotRun, reason: "not-ready", retryAfter: jitter(defaultRetryAfter), billed: total.billed}
	}
	return &result{outcome: framer.OutcomeNotRun, reason: reasonDeadlinePassed, billed: total.billed}
}

// nextTarget returns the target for the next attempt, or nil if there is none.
func (r *Router) nextTarget(ctx context.Context, creq *clientRequest, tried map[string]bool) *chooser.Candidate {
	if creq.requiresSlotOwner() {
		return r.awaitSlotOwner(ctx, creq)
	}
	return r.chooseTarget(creq, tried)
}

// chooseTarget picks a target that has not been tried, or nil if there is none.
func (r *Router) chooseTarget(creq *clientRequest, tried map[string]bool) *chooser.Candidate {
	all := r.directory.linkedCandidates(creq.serves)
	if len(tried) > 0 {
		var untried []*chooser.Candidate
		for _, c := range all {
			if !tried[c.Name] {
				untried = append(untried, c)
			}
		}
		all = untried
	}
	i := r.chooser.Choose(all, creq.affinity, time.Now())
	if i < 0 {
		return nil
	}
	return all[i]
}

// shouldRetry reports whether another attempt is safe, may still succeed and is
// within the retry budget.
func (r *Router) shouldRetry(ctx context.Context, creq *clientRequest, resp *clientResponse, res *result) bool {
	if ctx.Err() != nil || resp.started() {
		return false
	}
	switch res.outcome {
	case framer.OutcomeAnswered:
		return false
	case framer.OutcomeNotRun:
		if creq.requiresSlotOwner() {
			sleep(ctx, ownerPollInterval)
		}
		return res.reason != agent.ReasonPoison && res.reason != agent.ReasonCanceled
	}
	if creq.nonIdempotent || res.reason == agent.ReasonPoison || res.reason == agent.ReasonStarted {
		return false
	}
	if !r.retryBudgets.allow(creq.organisation.Name) {
		res.reason = reasonRetriesUsedUp
		return false
	}
	return true
}

// jitter adds up to half of d, so that clients don't retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
