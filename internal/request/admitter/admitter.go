// Package admitter decides whether a request is worth offering to the target
// that was chosen for it, and when its caller should come back otherwise.
//
// It answers the load of an overload that lasts: queues grow until every request
// waits past its deadline, so that targets only work for callers who have left. A
// request whose first token would come too late is refused at once instead, which
// keeps the queue as long as deadlines allow, and is told the time after which
// enough of the queue has drained.
//
// # Usage
//
//	v := admitter.Decide(admitter.Request{WaitTokens: 90000, Pace: 0.00003, TimeLeft: 2 * time.Second})
//	if v.Refuse {
//		// answer "not run" with v.RetryAfter
//	}
package admitter

import "time"

const (
	// reserve is the part of the time left that must remain after the first token.
	reserve = 0.1
	// minRetryAfter and maxRetryAfter bound what callers are told: sooner would
	// find the same queue, later than a few seconds it is a guess.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request is what decides.
type Request struct {
	// WaitTokens is what is left to prefill before the first token, the request's
	// own prompt included.
	WaitTokens float64
	// SecondsPerToken is the time to the first token for each of them, in seconds; 0 if it
	// isn't known yet.
	SecondsPerToken float64
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Decision is the decision.
type Decision struct {
	Refuse bool
	// RetryAfter is when the request could be served in time.
	RetryAfter time.Duration
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// Decide refuses a request whose first token would come too late to be of use.
func Decide(r Request) Decision {
	v := Decision{TimeToFirstToken: time.Duration(r.WaitTokens * r.SecondsPerToken * float64(time.Second))}
	usable := time.Duration((1 - reserve) * float64(r.TimeLeft))
	if r.SecondsPerToken <= 0 || v.TimeToFirstToken <= usable {
		return v
	}
	v.Refuse = true
	v.RetryAfter = min(max(v.TimeToFirstToken-usable, minRetryAfter), maxRetryAfter)
	return v
}
