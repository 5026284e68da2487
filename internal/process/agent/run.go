package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// Reasons that an End gives if a request was not run or not answered normally.
const (
	ReasonDraining         = "target-leaving"
	ReasonFenced           = "payer-fenced"
	ReasonDuplicate        = "duplicate-attempt"
	ReasonWrongTarget      = "wrong-target"
	ReasonTooLate          = "too-late"
	ReasonCanceled         = "canceled"
	ReasonClaimUnavailable = "claim-unavailable"
	ReasonNotOwner         = "slot-has-another-owner"
	ReasonStarted          = "already-started"
	ReasonPoison           = "poison"
	ReasonCrashed          = "target-crashed"
	ReasonFailed           = "target-failed"
	ReasonDown             = "target-down"
	ReasonNoMemory         = "no-memory"
)

// serveRun serves one attempt and always ends its response with an End.
func (a *Agent) serveRun(s *linker.Stream, run *framer.Run) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchCancel(s, cancel)
	w := &responseWriter{stream: s, attempt: run.Attempt}
	end := a.serveWithinBudget(ctx, w, run)
	end.Attempt = run.Attempt
	end.Load = a.load()
	end.Bytes, end.Checksum = w.lengthAndChecksum()
	a.Metrics.Runs.WithLabelValues(end.Outcome.String()).Inc()
	_ = s.Write(end)
}

// serveWithinBudget refuses the attempt if there is no room for it.
func (a *Agent) serveWithinBudget(ctx context.Context, w *responseWriter, run *framer.Run) *framer.End {
	holder, err := a.Budget.Open(a, func() {})
	if err != nil {
		a.Budget.Refuse()
		return notRun(ReasonNoMemory)
	}
	defer holder.Close()
	holder.Enter(budgeter.Running, time.Time{})
	if holder.Grow(budgeter.Body, int64(len(run.Body))) != nil {
		a.Budget.Refuse()
		return notRun(ReasonNoMemory)
	}
	return a.serveAttempt(ctx, w, run)
}

// watchCancel cancels the run when the router asks for it or the stream ends.
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
func (a *Agent) serveAttempt(ctx context.Context, w *responseWriter, run *framer.Run) *framer.End {
	switch {
	case run.Target != a.Target:
		return notRun(ReasonWrongTarget)
	case a.Suspects.Verdict(run.Digest) == suspecter.Poison:
		end := notRun(ReasonPoison)
		end.Crashes = a.Suspects.Crashes(run.Digest)
		return end
	case !a.bills.begin(run.Parts):
		return notRun(ReasonFenced)
	case !a.attempts.accept(run.RouterInstance, run.Attempt):
		// The parts are marked as running before the attempt is recorded, so
		// that an audit never misses an attempt that is about to run.
		a.bills.abandon(run.Parts)
		return notRun(ReasonDuplicate)
	}
	release, err := a.Queue.Acquire(ctx, a.queueEntry(run))
	if err != nil {
		a.bills.abandon(run.Parts)
		return endForQueueError(err)
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
		return a.runOnce(ctx, w, run)
	}
	return a.execute(ctx, w, run)
}

// targetUp reports whether the target accepts requests. After a crash it must respond to a
// probe first, so that its restart is not counted as another crash.
func (a *Agent) targetUp(ctx context.Context) bool {
	if !a.targetDown.Load() {
		return true
	}
	if !a.Backend.Probe(ctx) {
		return false
	}
	a.targetDown.Store(false)
	return true
}

func (a *Agent) queueEntry(run *framer.Run) *queuer.Entry {
	entry := &queuer.Entry{
		Organisation: run.Organisation, Priority: run.Priority, Weight: run.Weight, Cost: run.Cost,
		Exclusive: run.Model && a.isSuspect(run),
	}
	if run.DeadlineMillis > 0 {
		entry.Deadline = time.Now().Add(time.Duration(run.DeadlineMillis) * time.Millisecond)
	}
	return entry
}

// isSuspect reports whether the router or the agent suspects a request of a crash.
func (a *Agent) isSuspect(run *framer.Run) bool {
	return run.Suspect || a.Suspects.Verdict(run.Digest) != suspecter.Innocent
}

// endForQueueError converts an error of the queue to an End.
func endForQueueError(err error) *framer.End {
	var late *queuer.DeadlineError
	switch {
	case errors.As(err, &late):
		end := notRun(ReasonTooLate)
		end.RetryAfterMillis = late.RetryAfter.Milliseconds()
		return end
	case errors.Is(err, queuer.ErrDraining):
		return notRun(ReasonDraining)
	default:
		return notRun(ReasonCanceled)
	}
}

// runOnce runs a non-idempotent request under a claim, or replays its stored response.
func (a *Agent) runOnce(ctx context.Context, w *responseWriter, run *framer.Run) *framer.End {
	key := claimer.Key{Service: a.Backend.Service(), Organisation: run.Organisation, Key: run.Key}
	claim, err := a.Claims.Begin(ctx, key, run.RequestID, run.BackedUp)
	if err != nil {
		a.bills.abandon(run.Parts)
		return a.endForClaimError(w, err)
	}
	// A client that disconnects must not stop a run that may have had an effect.
	w.keepBody = true
	end := a.execute(context.WithoutCancel(ctx), w, run)
	end.Uncommitted = claim.Uncommitted
	if claim.Uncommitted {
		logger.ClaimUncommitted.Log(a.Log, "request", run.RequestID)
	}
	if end.Outcome == framer.OutcomeAnswered {
		a.Claims.Finish(ctx, claim, claimer.Response{Status: w.status, ContentType: w.contentType, Body: w.body})
	}
	return end
}

// endForClaimError ends a request whose claim failed; it replays the response if the
// request was answered before.
func (a *Agent) endForClaimError(w *responseWriter, err error) *framer.End {
	var started *claimer.StartedError
	if errors.Is(err, claimer.ErrNotOwner) {
		return notRun(ReasonNotOwner)
	}
	if !errors.As(err, &started) {
		return notRun(ReasonClaimUnavailable)
	}
	if started.Response == nil {
		return &framer.End{Outcome: framer.OutcomeUnknown, Reason: ReasonStarted}
	}
	_ = w.Head(started.Response.Status, started.Response.ContentType)
	_ = w.Data(started.Response.Body)
	return &framer.End{Outcome: framer.OutcomeAnswered, Reason: ReasonStarted}
}

// execute runs the request at the target and records its bill.
func (a *Agent) execute(ctx context.Context, w *responseWriter, run *framer.Run) *framer.End {
	suspect, start := a.isSuspect(run), a.Suspects.Start(a.Incarnation)
	usage, err := a.Backend.Execute(ctx, run, w)
	unsettled := errors.Is(err, ErrUnsettled)
	crashed := errors.Is(err, ErrCrashed) || (unsettled && ctx.Err() == nil && !errors.Is(err, exchanger.ErrMalformed))
	end := &framer.End{
		Outcome: framer.OutcomeAnswered, PromptTokens: usage.Prompt, OutputTokens: usage.Output + usage.Fixed,
	}
	switch {
	case errors.Is(err, ErrNotReached):
		a.bills.abandon(run.Parts)
		return notRun(ReasonFailed)
	case crashed:
		a.targetDown.Store(true)
		running, _, _, _ := a.Queue.Stats()
		verdict := a.Suspects.Observe(suspecter.Observation{
			Digest: run.Digest, Run: start, At: time.Now(), Isolated: suspect && running == 1,
		})
		end.Outcome, end.Reason, end.Crashes = framer.OutcomeFailedAfterStart, ReasonCrashed, a.Suspects.Crashes(run.Digest)
		if verdict == suspecter.Poison {
			end.Reason = ReasonPoison
		}
		logger.TargetCrashed.Log(a.Log, "target", a.Target, "request", run.RequestID, "digest", run.Digest, "crashes", len(end.Crashes), "verdict", verdict.String())
	case err != nil:
		end.Outcome, end.Reason = framer.OutcomeFailedAfterStart, ReasonFailed
	case suspect:
		a.Suspects.Answered(run.Digest)
	}
	if unsettled {
		end.Unsettled = true
		go a.settleLater(run, usage)
		return end
	}
	a.bills.finish(run, usage.total(), time.Now())
	return end
}

// settleInterval is the time between two queries for the usage of an interrupted run.
const settleInterval = 500 * time.Millisecond

// settleLater keeps a run's parts as running until its target has reported the usage.
// If the target does not know the attempt, the observed usage is billed.
func (a *Agent) settleLater(run *framer.Run, observed Usage) {
	id := AttemptID(run.RequestID, run.Attempt)
	for {
		usage, err := a.settleConfirmed(id)
		if err == nil {
			observed = usage
		}
		if !errors.Is(err, ErrUnsettled) {
			a.bills.finish(run, observed.total(), time.Now())
			return
		}
		time.Sleep(settleInterval)
	}
}

// unknownConfirmDelay is the least time between two responses that together prove that a
// target does not know an attempt: at the first one the request may still have been in
// a buffer.
const unknownConfirmDelay = time.Second

// settleConfirmed asks a target for an attempt's usage. It returns ErrUnknownAttempt
// only after two such responses that are at least unknownConfirmDelay apart.
func (a *Agent) settleConfirmed(id string) (Usage, error) {
	usage, err := a.Backend.Settle(id)
	if !errors.Is(err, ErrUnknownAttempt) {
		a.unknownSince.Delete(id)
		return usage, err
	}
	since, existed := a.unknownSince.LoadOrStore(id, time.Now())
	if !existed || time.Since(since.(time.Time)) < unknownConfirmDelay {
		return usage, ErrUnsettled
	}
	a.unknownSince.Delete(id)
	return usage, ErrUnknownAttempt
}
