package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// cancelGrace is how long an agent has to end a canceled attempt before its
// stream is closed.
const cancelGrace = time.Second

// idleProbeDelay is how long an attempt may receive no frame before its agent is
// probed with a heartbeat.
const idleProbeDelay = time.Second

// attempt sends a request to one target and forwards the response.
//
// When it returns, the parts of the reservation are settled, unused (outcome
// not-run) or passed to the auditor.
func (r *Router) attempt(ctx context.Context, creq *clientRequest, resp *clientResponse, c *chooser.Candidate, parts []framer.Part) *result {
	res := &result{outcome: framer.OutcomeNotRun, reason: reasonNoTarget, target: c.Name, retryAfter: jitter(defaultRetryAfter)}
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
	run := r.newRunMessage(creq, c.Name, parts)
	if !r.dispatches.begin(ctx, r, creq, run, link.Peer.Incarnation) {
		return res
	}
	rr := &responseReader{router: r, stream: stream, run: run, response: resp}
	if err := stream.Write(run); err != nil {
		return r.contactLost(rr, c, link, res)
	}
	stop := context.AfterFunc(ctx, rr.cancel)
	defer stop()
	rr.idleTimer = time.AfterFunc(idleProbeDelay, func() { r.agents.Probe(c.Name) })
	defer rr.idleTimer.Stop()
	end, err := rr.receive()
	if err != nil {
		return r.contactLost(rr, c, link, res)
	}
	r.dispatches.end(r, creq, run, link.Peer.Incarnation, end)
	if end.Unsettled {
		r.auditor.add(run, link.Peer.Incarnation, rr.events)
	} else {
		r.settle(run, end)
	}
	r.recordOutcome(c, creq, end)
	res.outcome, res.reason = end.Outcome, end.Reason
	if end.Outcome != framer.OutcomeNotRun {
		res.billed = end.PromptTokens + end.OutputTokens
	}
	if end.RetryAfterMillis > 0 {
		res.retryAfter = jitter(time.Duration(end.RetryAfterMillis) * time.Millisecond)
	}
	rr.verify(end, res)
	if ctx.Err() != nil && end.Outcome != framer.OutcomeAnswered && time.Now().After(creq.deadline) {
		res.reason = reasonDeadlinePassed
	}
	return res
}

// newRunMessage builds the message that starts an attempt at an agent.
func (r *Router) newRunMessage(creq *clientRequest, target string, parts []framer.Part) *framer.Run {
	key := creq.key
	if creq.nonIdempotent && key == "" {
		key = creq.id
	}
	return &framer.Run{
		Attempt: r.attempts.Add(1), RequestID: creq.id, RouterInstance: r.instance,
		Organisation: creq.organisation.Name, Target: target,
		Method: creq.method, Path: creq.path, ContentType: creq.contentType, Body: creq.body,
		Priority: int(creq.priority), Weight: creq.organisation.Weight,
		DeadlineMillis: time.Until(creq.deadline).Milliseconds(),
		NonIdempotent:  creq.nonIdempotent, Key: key, Parts: parts, Cost: creq.cost, Model: creq.model,
		Digest: creq.digest, Suspect: r.suspects.Verdict(creq.digest) == suspecter.Suspect,
	}
}

// settle bills an attempt that has ended. If it did not run, its parts stay
// reserved for the next attempt.
func (r *Router) settle(run *framer.Run, end *framer.End) {
	if end.Outcome == framer.OutcomeNotRun {
		return
	}
	r.treasury.Settle(run.SplitBill(end.PromptTokens + end.OutputTokens))
}

// recordOutcome updates the target's candidate and the suspicions about the
// request from the attempt's End.
func (r *Router) recordOutcome(c *chooser.Candidate, creq *clientRequest, end *framer.End) {
	c.Report(end.Load.Running+end.Load.Queued, end.Load.Draining, time.Now())
	if len(end.Crashes) > 0 {
		// The agent may end before it has told others, and so may this router.
		r.suspects.Adopt(end.Crashes)
		r.archiver.Signal()
	}
	switch end.Reason {
	case agent.ReasonCrashed:
		c.RecordFailure(time.Now())
		if r.suspects.Verdict(creq.digest) == suspecter.Poison {
			// The client may retry through another router as soon as it has its response.
			// The agent can't tell: it may not have heard of the earlier crashes.
			r.broadcastCrashes()
		} else {
			go r.broadcastCrashes()
		}
	case agent.ReasonPoison:
		r.broadcastCrashes()
	case agent.ReasonFailed, agent.ReasonDown:
		c.RecordFailure(time.Now())
	default:
		if end.Outcome == framer.OutcomeAnswered {
			c.RecordSuccess()
		}
	}
}

// contactLost returns the result of an attempt whose stream failed, so that it
// may have run, and passes the attempt to the auditor.
func (r *Router) contactLost(rr *responseReader, c *chooser.Candidate, link *linker.Link, res *result) *result {
	c.RecordFailure(time.Now())
	r.auditor.add(rr.run, link.Peer.Incarnation, rr.events)
	logger.RequestOutcomeUnknown.Log(r.Log, "request", rr.run.RequestID, "target", c.Name)
	res.outcome, res.reason = framer.OutcomeUnknown, reasonContactLost
	if rr.clientGone {
		res.reason = reasonCallerGone
	}
	return res
}

// responseReader reads the response of one attempt.
type responseReader struct {
	router   *Router
	stream   *linker.Stream
	run      *framer.Run
	response *clientResponse

	headed     bool // the Head has arrived and has the status of a response
	bytes      int64
	hash       xxhash.Digest
	events     int64
	clientGone bool
	// idleTimer probes the agent when no frame arrives for idleProbeDelay.
	idleTimer *time.Timer
}

// cancel asks the agent to stop the attempt, and aborts the stream after
// cancelGrace in case the agent does not reply.
func (rr *responseReader) cancel() {
	_ = rr.stream.Write(&framer.Cancel{Attempt: rr.run.Attempt})
	time.AfterFunc(cancelGrace, func() { _ = rr.stream.Abort() })
}

// receive reads frames until the attempt's End; frames of other attempts are dropped.
func (rr *responseReader) receive() (*framer.End, error) {
	rr.hash.Reset()
	for {
		m, err := rr.stream.Read()
		if err != nil {
			return nil, err
		}
		rr.idleTimer.Reset(idleProbeDelay)
		switch m := m.(type) {
		case *framer.Head:
			if rr.accepts(m.Attempt) {
				rr.begin(m)
			}
		case *framer.Chunk:
			if rr.accepts(m.Attempt) {
				rr.forward(m.Data)
			}
		case *framer.End:
			if rr.accepts(m.Attempt) {
				return m, nil
			}
		default:
			rr.router.metrics.malformed.Inc()
		}
	}
}

// begin starts the response. What arrived before the Head does not count as part of the
// body, since clientResponse.setHead discards it.
func (rr *responseReader) begin(m *framer.Head) {
	rr.headed, rr.bytes = exchanger.IsFinalStatus(m.Status), 0
	rr.hash.Reset()
	rr.response.setHead(m.Status, m.ContentType)
}

// accepts reports whether a frame belongs to this attempt, and counts it if not.
func (rr *responseReader) accepts(attempt uint64) bool {
	if attempt == rr.run.Attempt {
		return true
	}
	rr.router.metrics.foreign.Inc()
	return false
}

// forward passes a chunk to the client; if the client has disconnected, it
// cancels the attempt.
func (rr *responseReader) forward(p []byte) {
	rr.bytes += int64(len(p))
	rr.events++
	_, _ = rr.hash.Write(p) // never fails
	if rr.clientGone {
		return
	}
	if err := rr.response.write(p); err != nil {
		rr.clientGone = true
		rr.cancel()
	}
}

// verify compares the size and checksum of the body received since the Head with those
// that the agent sent, and fails the result if they differ or if there was no sound Head.
func (rr *responseReader) verify(end *framer.End, res *result) {
	if end.Outcome != framer.OutcomeAnswered {
		return
	}
	intact := rr.headed && rr.bytes == end.Bytes && (rr.bytes == 0 || rr.hash.Sum64() == end.Checksum)
	if intact {
		return
	}
	rr.router.metrics.broken.Inc()
	logger.AnswerBroken.Log(rr.router.Log, "request", rr.run.RequestID, "target", rr.run.Target,
		"bytes", rr.bytes, "sent", end.Bytes)
	res.outcome, res.reason = framer.OutcomeFailedAfterStart, reasonAnswerBroken
}
