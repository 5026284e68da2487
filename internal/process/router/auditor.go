package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
)

const auditInterval = 500 * time.Millisecond

// openAttempt is an attempt whose end is not known.
type openAttempt struct {
	run   *framer.Run
	agent string
	// seen is how many tokens of the answer have come in.
	seen int64
}

// audits finds out what became of attempts with which contact was lost, and
// settles their parts.
type audits struct {
	router *Router

	mu   sync.Mutex // guards open
	open []*openAttempt
}

func (s *audits) add(run *framer.Run, agent string, seen int64) {
	if len(run.Parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, &openAttempt{run: run, agent: agent, seen: seen})
}

// run audits until ctx ends.
func (s *audits) run(ctx context.Context) {
	ticker := time.NewTicker(auditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.pass(ctx)
	}
}

// settle audits until nothing is open or ctx ends.
func (s *audits) settle(ctx context.Context) {
	for s.pass(ctx) > 0 && ctx.Err() == nil {
		pause(ctx, auditInterval)
	}
}

// pass asks once about every open attempt and returns how many stay open.
func (s *audits) pass(ctx context.Context) int {
	s.mu.Lock()
	open := s.open
	s.open = nil
	s.mu.Unlock()
	var left []*openAttempt
	for _, o := range open {
		if !s.ask(ctx, o) {
			left = append(left, o)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, left...)
	return len(s.open)
}

// ask audits one attempt and reports whether its parts are settled.
func (s *audits) ask(ctx context.Context, o *openAttempt) bool {
	link := s.router.agents.Link(o.run.Target)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	audited, err := linker.Call[*framer.Audited](ctx, link, &framer.Audit{
		Runner: o.run.Runner, Attempt: o.run.Attempt, RequestID: o.run.RequestID,
		Organisation: o.run.Organisation, Parts: o.run.Parts, Agent: o.agent,
	})
	if err != nil {
		return false
	}
	switch audited.State {
	case framer.AuditRunning:
		return false
	case framer.AuditBilled:
		s.router.treasury.Settle(audited.Bills)
	case framer.AuditNotRun:
		s.router.treasury.Release(o.run.Organisation, o.run.Parts)
	default:
		s.router.treasury.Settle(o.witnessed())
	}
	return true
}

// witnessed bills what this router saw of an attempt whose agent and target
// have forgotten it; the rest of the reservation is withheld as uncertain.
func (o *openAttempt) witnessed() []framer.Bill {
	bills := o.run.SplitBill(o.seen)
	for i, p := range o.run.Parts {
		bills[i].Uncertain = p.Amount - bills[i].Amount
	}
	return bills
}
