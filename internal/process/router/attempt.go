package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/chooser"
)

// cancelGrace is how long an agent may take to close a canceled attempt.
const cancelGrace = time.Second

// silenceTimeout is how long an attempt may be silent before its agent is asked
// for a heartbeat.
const silenceTimeout = time.Second

// attempt hands a request to one target and passes its answer on.
//
// It always ends with the parts settled, left unused (outcome not-run), or in
// the hands of an audit.
func (r *Router) attempt(ctx context.Context, j *job, a *answer, c *chooser.Candidate, parts []framer.Part) *result {
	res := &result{outcome: framer.OutcomeNotRun, reason: reasonNoTarget, target: c.Name, retryAfter: spread(defaultRetry)}
	link := r.agents.Link(c.Name)
	if link == nil {
		return res
	}
	stream, err := link.Open()
	if err != nil {
		return res
	}
	defer stream.Close()
	defer c.Begin()()
	run := r.runMessage(j, c.Name, parts)
	if !r.handovers.begin(ctx, r, j, run, link.Peer.Incarnation) {
		return res
	}
	x := &receipt{router: r, stream: stream, run: run, answer: a}
	if err := stream.Write(run); err != nil {
		return r.lost(x, c, link, res)
	}
	stop := context.AfterFunc(ctx, x.cancel)
	defer stop()
	x.silence = time.AfterFunc(silenceTimeout, func() { r.agents.Nudge(c.Name) })
	defer x.silence.Stop()
	end, err := x.receive()
	if err != nil {
		return r.lost(x, c, link, res)
	}
	r.handovers.end(r, j, run, link.Peer.Incarnation, end)
	if end.Unsettled {
		r.audits.add(run, link.Peer.Incarnation, x.events)
	} else {
		r.settle(run, end)
	}
	r.judge(c, j, end)
	res.outcome, res.reason = end.Outcome, end.Reason
	if end.Outcome != framer.OutcomeNotRun {
		res.billed = end.PromptTokens + end.OutputTokens
	}
	if end.RetryAfterMillis > 0 {
		res.retryAfter = spread(time.Duration(end.RetryAfterMillis) * time.Millisecond)
	}
	x.check(end, res)
	if ctx.Err() != nil && end.Outcome != framer.OutcomeAnswered && time.Now().After(j.deadline) {
		res.reason = reasonDeadline
	}
	return res
}

// runMessage builds what the agent gets.
func (r *Router) runMessage(j *job, target string, parts []framer.Part) *framer.Run {
	key := j.key
	if j.nonIdempotent && key == "" {
		key = j.id
	}
	return &framer.Run{
		Attempt: r.attempts.Add(1), RequestID: j.id, Runner: r.runner,
		Organisation: j.organisation.Name, Target: target,
		Method: j.method, Path: j.path, ContentType: j.contentType, Body: j.body,
		Priority: int(j.priority), Weight: j.organisation.Weight,
		DeadlineMillis: time.Until(j.deadline).Milliseconds(),
		NonIdempotent:  j.nonIdempotent, Key: key, Parts: parts, Cost: j.cost, Model: j.model,
		Digest: j.digest, Suspect: r.suspects.IsSuspect(j.digest),
	}
}

// settle bills an attempt that has ended; one that did not run keeps its parts.
func (r *Router) settle(run *framer.Run, end *framer.End) {
	if end.Outcome == framer.OutcomeNotRun {
		return
	}
	r.treasury.Settle(run.SplitBill(end.PromptTokens + end.OutputTokens))
}

// judge takes what an end says of the target and of the request.
func (r *Router) judge(c *chooser.Candidate, j *job, end *framer.End) {
	c.Report(end.Load.Running+end.Load.Queued, end.Load.Leaving, time.Now())
	switch end.Reason {
	case agent.ReasonCrashed:
		r.suspects.MarkSuspect(j.digest)
		c.RecordFailure(time.Now())
		go r.spreadVerdicts()
	case agent.ReasonPoison:
		r.suspects.MarkPoison(j.digest)
		r.spreadVerdicts()
	case agent.ReasonFailed, agent.ReasonDown:
		c.RecordFailure(time.Now())
	default:
		if end.Outcome == framer.OutcomeAnswered {
			c.RecordSuccess()
		}
	}
}

// lost is the result of an attempt that may have run.
func (r *Router) lost(x *receipt, c *chooser.Candidate, link *linker.Link, res *result) *result {
	c.RecordFailure(time.Now())
	r.audits.add(x.run, link.Peer.Incarnation, x.events)
	logger.RequestOutcomeUnknown.Log(r.Log, "request", x.run.RequestID, "target", c.Name)
	res.outcome, res.reason = framer.OutcomeUnknown, reasonLost
	if x.callerGone {
		res.reason = reasonGone
	}
	return res
}

// receipt takes in the answer of one attempt.
type receipt struct {
	router *Router
	stream *linker.Stream
	run    *framer.Run
	answer *answer

	bytes      int64
	hash       xxhash.Digest
	events     int64
	callerGone bool
	// silence has the agent asked for a heartbeat when nothing comes.
	silence *time.Timer
}

// cancel asks the agent to stop, and ends the wait if it does not answer.
func (x *receipt) cancel() {
	_ = x.stream.Write(&framer.Cancel{Attempt: x.run.Attempt})
	time.AfterFunc(cancelGrace, func() { _ = x.stream.Close() })
}

// receive reads until the attempt's End; frames of other attempts are dropped.
func (x *receipt) receive() (*framer.End, error) {
	x.hash.Reset()
	for {
		m, err := x.stream.Read()
		if err != nil {
			return nil, err
		}
		x.silence.Reset(silenceTimeout)
		switch m := m.(type) {
		case *framer.Head:
			if x.own(m.Attempt) {
				x.answer.head(m.Status, m.ContentType)
			}
		case *framer.Chunk:
			if x.own(m.Attempt) {
				x.chunk(m.Data)
			}
		case *framer.End:
			if x.own(m.Attempt) {
				return m, nil
			}
		default:
			x.router.metrics.malformed.Inc()
		}
	}
}

func (x *receipt) own(attempt uint64) bool {
	if attempt == x.run.Attempt {
		return true
	}
	x.router.metrics.foreign.Inc()
	return false
}

// chunk passes a piece on; a caller that is gone has the attempt canceled.
func (x *receipt) chunk(p []byte) {
	x.bytes += int64(len(p))
	x.events++
	_, _ = x.hash.Write(p) // never fails
	if x.callerGone {
		return
	}
	if err := x.answer.data(p); err != nil {
		x.callerGone = true
		x.cancel()
	}
}

// check compares what came with what the agent sent.
func (x *receipt) check(end *framer.End, res *result) {
	if end.Outcome != framer.OutcomeAnswered {
		return
	}
	whole := x.bytes == end.Bytes && (x.bytes == 0 || x.hash.Sum64() == end.Checksum)
	if whole {
		return
	}
	x.router.metrics.broken.Inc()
	logger.AnswerBroken.Log(x.router.Log, "request", x.run.RequestID, "target", x.run.Target,
		"bytes", x.bytes, "sent", end.Bytes)
	res.outcome, res.reason = framer.OutcomeFailedAfterStart, reasonBroken
}
