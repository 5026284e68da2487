// Package admitter implements admission control for requests to model engines.
//
// In a sustained overload, queues grow until every request waits past its
// deadline, so that targets only work for clients that have disconnected. To
// prevent that, a request whose first token would come too late for its deadline
// is refused at once, with the time after which enough of the queue will have
// drained. Queues then grow no longer than the deadlines allow.
//
// # Usage
//
//	d := admitter.Decide(admitter.Request{WaitTokens: 90000, SecondsPerToken: 0.00003, TimeLeft: 2 * time.Second})
//	if d.Refuse {
//		// respond "not run" with d.RetryAfter
//	}
package admitter

import "time"

const (
	// deadlineReserve is the share of the time to the deadline that must remain
	// after the first token.
	deadlineReserve = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay given to clients: an
	// earlier retry would find the same queue, and a prediction for more than a few
	// seconds is a guess.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request holds the values on which the admission of a request depends.
type Request struct {
	// WaitTokens is the number of tokens to prefill before the first token, the
	// request's own prompt included.
	WaitTokens float64
	// SecondsPerToken is the target's prefill time per token, in seconds; 0 if it
	// isn't known yet.
	SecondsPerToken float64
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Refuse bool
	// RetryAfter is the predicted delay after which a refused request could be
	// served in time.
	RetryAfter time.Duration
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// Decide refuses a request whose first token would come too late for its deadline.
// It admits every request while SecondsPerToken is 0.
func Decide(r Request) Decision {
	d := Decision{TimeToFirstToken: time.Duration(r.WaitTokens * r.SecondsPerToken * float64(time.Second))}
	usable := time.Duration((1 - deadlineReserve) * float64(r.TimeLeft))
	if r.SecondsPerToken <= 0 || d.TimeToFirstToken <= usable {
		return d
	}
	d.Refuse = true
	d.RetryAfter = min(max(d.TimeToFirstToken-usable, minRetryAfter), maxRetryAfter)
	return d
}
