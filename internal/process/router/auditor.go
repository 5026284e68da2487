package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
)

const auditInterval = 500 * time.Millisecond

// unresolvedAttempt is an attempt whose outcome or cost is not known.
type unresolvedAttempt struct {
	run   *framer.Run
	agent string // incarnation
	// observedTokens is how many tokens of the response this router received.
	observedTokens int64
}

// auditor asks agents for the outcome of unresolved attempts and settles the
// parts of their reservations.
type auditor struct {
	router *Router

	mu         sync.Mutex // guards unresolved
	unresolved []*unresolvedAttempt
}

func (a *auditor) add(run *framer.Run, agent string, observedTokens int64) {
	if len(run.Parts) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresolved = append(a.unresolved, &unresolvedAttempt{run: run, agent: agent, observedTokens: observedTokens})
}

// run audits the unresolved attempts every auditInterval until ctx ends.
func (a *auditor) run(ctx context.Context) {
	ticker := time.NewTicker(auditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.auditOnce(ctx)
	}
}

// resolveAll audits until no attempt is unresolved or ctx ends.
func (a *auditor) resolveAll(ctx context.Context) {
	for a.auditOnce(ctx) > 0 && ctx.Err() == nil {
		sleep(ctx, auditInterval)
	}
}

// auditOnce audits each unresolved attempt once and returns how many are left.
func (a *auditor) auditOnce(ctx context.Context) int {
	a.mu.Lock()
	pending := a.unresolved
	a.unresolved = nil
	a.mu.Unlock()
	var remaining []*unresolvedAttempt
	for _, u := range pending {
		if !a.resolve(ctx, u) {
			remaining = append(remaining, u)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresolved = append(a.unresolved, remaining...)
	return len(a.unresolved)
}

// resolve audits one attempt and reports whether its parts are settled.
func (a *auditor) resolve(ctx context.Context, u *unresolvedAttempt) bool {
	link := a.router.agents.Link(u.run.Target)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	audited, err := linker.Call[*framer.Audited](ctx, link, &framer.Audit{
		RouterInstance: u.run.RouterInstance, Attempt: u.run.Attempt, RequestID: u.run.RequestID,
		Organisation: u.run.Organisation, Parts: u.run.Parts, Agent: u.agent,
	})
	if err != nil {
		return false
	}
	switch audited.State {
	case framer.AuditRunning:
		return false
	case framer.AuditBilled:
		a.router.treasury.Settle(audited.Bills)
	case framer.AuditNotRun:
		a.router.treasury.Release(u.run.Organisation, u.run.Parts)
	default:
		a.router.treasury.Settle(u.observedBills())
	}
	return true
}

// observedBills bills the tokens that this router received from an attempt that
// neither agent nor target has a record of; the rest of the reservation is
// withheld as uncertain.
func (u *unresolvedAttempt) observedBills() []framer.Bill {
	bills := u.run.SplitBill(u.observedTokens)
	for i, p := range u.run.Parts {
		bills[i].Uncertain = p.Amount - bills[i].Amount
	}
	return bills
}
