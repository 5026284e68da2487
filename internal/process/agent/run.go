package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
)

// Reasons for which an agent does not run a request.
const (
	ReasonLeaving     = "target-leaving"
	ReasonFenced      = "payer-fenced"
	ReasonDuplicate   = "duplicate-attempt"
	ReasonWrongTarget = "wrong-target"
	ReasonTooLate     = "too-late"
	ReasonCanceled    = "canceled"
	ReasonNotClaimed  = "claim-unavailable"
	ReasonNotOwner    = "slot-has-another-owner"
	ReasonStarted     = "already-started"
	ReasonPoison      = "poison"
	ReasonCrashed     = "target-crashed"
	ReasonFailed      = "target-failed"
	ReasonDown        = "target-down"
)

// serveRun serves one attempt and always closes it with an End.
func (a *Agent) serveRun(s *linker.Stream, run *framer.Run) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchCancel(s, cancel)
	e := &exchange{stream: s, attempt: run.Attempt}
	end := a.serveAttempt(ctx, e, run)
	end.Attempt = run.Attempt
	end.Load = a.load()
	end.Bytes, end.Checksum = e.total()
	a.Metrics.Runs.WithLabelValues(end.Outcome.String()).Inc()
	_ = s.Write(end)
}

// watchCancel ends the run when the router cancels it or is gone.
func watchCancel(s *linker.Stream, cancel context.CancelFunc) {
	for {
		m, err := s.Read()
		if err != nil {
			cancel()
			return
		}
		if _, ok := m.(*framer.Cancel); ok {
			cancel()
		}
	}
}

func notRun(reason string) *framer.End {
	return &framer.End{Outcome: framer.OutcomeNotRun, Reason: reason}
}

// serveAttempt refuses the attempt, or queues and runs it.
func (a *Agent) serveAttempt(ctx context.Context, e *exchange, run *framer.Run) *framer.End {
	switch {
	case run.Target != a.Target:
		return notRun(ReasonWrongTarget)
	case a.Suspects.IsPoison(run.Digest):
		return notRun(ReasonPoison)
	case !a.bills.begin(run.Parts):
		return notRun(ReasonFenced)
	case !a.attempts.first(run.RouterInstance, run.Attempt):
		// The parts stand as running before the attempt is seen, so that an
		// audit never misses an attempt that goes on to run.
		a.bills.abandon(run.Parts)
		return notRun(ReasonDuplicate)
	}
	if run.Suspect {
		a.Suspects.MarkSuspect(run.Digest)
	}
	release, err := a.Queue.Acquire(ctx, a.entry(run))
	if err != nil {
		a.bills.abandon(run.Parts)
		return refusal(err)
	}
	defer release()
	if a.bills.anyFenced(run.Parts) {
		a.bills.abandon(run.Parts)
		return notRun(ReasonFenced)
	}
	if !a.targetUp(ctx) {
		a.bills.abandon(run.Parts)
		return notRun(ReasonDown)
	}
	if run.NonIdempotent {
		return a.runOnce(ctx, e, run)
	}
	return a.execute(ctx, e, run)
}

// targetUp reports whether the target takes work; after it has broken a run
// off, it must answer a probe first, so that its restart is not taken for
// another crash.
func (a *Agent) targetUp(ctx context.Context) bool {
	if !a.down.Load() {
		return true
	}
	if !a.Backend.Probe(ctx) {
		return false
	}
	a.down.Store(false)
	return true
}

func (a *Agent) entry(run *framer.Run) *queuer.Entry {
	entry := &queuer.Entry{
		Organisation: run.Organisation, Priority: run.Priority, Weight: run.Weight, Cost: run.Cost,
		Exclusive: run.Model && a.Suspects.IsSuspect(run.Digest),
	}
	if run.DeadlineMillis > 0 {
		entry.Deadline = time.Now().Add(time.Duration(run.DeadlineMillis) * time.Millisecond)
	}
	return entry
}

// refusal maps an error of the queue to an End.
func refusal(err error) *framer.End {
	var late *queuer.DeadlineError
	switch {
	case errors.As(err, &late):
		end := notRun(ReasonTooLate)
		end.RetryAfterMillis = late.RetryAfter.Milliseconds()
		return end
	case errors.Is(err, queuer.ErrLeaving):
		return notRun(ReasonLeaving)
	default:
		return notRun(ReasonCanceled)
	}
}

// runOnce runs a non-idempotent request under a claim, or replays its answer.
func (a *Agent) runOnce(ctx context.Context, e *exchange, run *framer.Run) *framer.End {
	key := claimer.Key{Service: a.Backend.Service(), Organisation: run.Organisation, Key: run.Key}
	claim, err := a.Claims.Begin(ctx, key, run.RequestID, run.BackedUp)
	if err != nil {
		a.bills.abandon(run.Parts)
		return a.unclaimed(e, err)
	}
	// The caller's departure does not stop a run that may have had an effect.
	e.keep = true
	end := a.execute(context.WithoutCancel(ctx), e, run)
	end.Uncommitted = claim.Uncommitted
	if claim.Uncommitted {
		logger.ClaimUncommitted.Log(a.Log, "request", run.RequestID)
	}
	if end.Outcome == framer.OutcomeAnswered {
		a.Claims.Finish(ctx, claim, claimer.Response{Status: e.status, ContentType: e.contentType, Body: e.body})
	}
	return end
}

// unclaimed answers a request whose claim was refused.
func (a *Agent) unclaimed(e *exchange, err error) *framer.End {
	var started *claimer.StartedError
	if errors.Is(err, claimer.ErrNotOwner) {
		return notRun(ReasonNotOwner)
	}
	if !errors.As(err, &started) {
		return notRun(ReasonNotClaimed)
	}
	if started.Response == nil {
		return &framer.End{Outcome: framer.OutcomeUnknown, Reason: ReasonStarted}
	}
	_ = e.Head(started.Response.Status, started.Response.ContentType)
	_ = e.Data(started.Response.Body)
	return &framer.End{Outcome: framer.OutcomeAnswered, Reason: ReasonStarted}
}

// execute runs the request at the target and keeps its bill.
func (a *Agent) execute(ctx context.Context, e *exchange, run *framer.Run) *framer.End {
	finish := a.Suspects.Begin(run.Digest)
	usage, err := a.Backend.Execute(ctx, run, e)
	unsettled := errors.Is(err, ErrUnsettled)
	crashed := errors.Is(err, ErrCrashed) || (unsettled && ctx.Err() == nil)
	finish(crashed)
	end := &framer.End{
		Outcome: framer.OutcomeAnswered, PromptTokens: usage.Prompt, OutputTokens: usage.Output + usage.Fixed,
	}
	switch {
	case errors.Is(err, ErrNotReached):
		a.bills.abandon(run.Parts)
		return notRun(ReasonFailed)
	case crashed:
		a.down.Store(true)
		end.Outcome, end.Reason = framer.OutcomeFailedAfterStart, ReasonCrashed
		if a.Suspects.IsPoison(run.Digest) {
			end.Reason = ReasonPoison
		}
		logger.TargetCrashed.Log(a.Log, "target", a.Target, "request", run.RequestID)
	case err != nil:
		end.Outcome, end.Reason = framer.OutcomeFailedAfterStart, ReasonFailed
	}
	if unsettled {
		end.Unsettled = true
		go a.settleLater(run, usage)
		return end
	}
	a.bills.finish(run, usage.total(), time.Now())
	return end
}

// settleInterval is how often a target is asked for the cost of a run that broke off.
const settleInterval = 500 * time.Millisecond

// settleLater keeps a run's parts until its target says what the run has cost;
// a target that has forgotten the run is billed for what was seen of it.
func (a *Agent) settleLater(run *framer.Run, seen Usage) {
	id := AttemptID(run.RequestID, run.Attempt)
	for {
		usage, err := a.settleTwice(id)
		if err == nil {
			seen = usage
		}
		if !errors.Is(err, ErrUnsettled) {
			a.bills.finish(run, seen.total(), time.Now())
			return
		}
		time.Sleep(settleInterval)
	}
}

// forgottenAfter is the time between two answers that only together prove that
// a target does not know an attempt: its call may have stood in a buffer.
const forgottenAfter = time.Second

// settleTwice asks a target for an attempt's usage; ErrForgotten needs two
// answers with some time between them.
func (a *Agent) settleTwice(id string) (Usage, error) {
	usage, err := a.Backend.Settle(id)
	if !errors.Is(err, ErrForgotten) {
		a.forgotten.Delete(id)
		return usage, err
	}
	first, known := a.forgotten.LoadOrStore(id, time.Now())
	if !known || time.Since(first.(time.Time)) < forgottenAfter {
		return usage, ErrUnsettled
	}
	a.forgotten.Delete(id)
	return usage, ErrForgotten
}
