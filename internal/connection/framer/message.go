package framer

import "github.com/egretroute/egretroute/internal/request/suspecter"

// Part is one payer's share of the worst-case cost of a request, in tokens.
//
// Payer is the incarnation of the router whose tokens cover the part. Sequence
// identifies the part among all parts of that incarnation.
type Part struct {
	Payer    string
	Sequence uint64
	Amount   int64
}

// Bill states the cost of one part of a request, in tokens.
//
// Uncertain counts unconfirmed tokens, which may have been generated. They are withheld
// from the budget without being charged.
type Bill struct {
	Organisation string
	RequestID    string
	Payer        string
	Sequence     uint64
	Amount       int64
	Target       string
	Uncertain    int64
}

// Load is the load of a target as its agent reports it.
type Load struct {
	Running  int
	Queued   int
	Capacity int
	Draining bool
}

// Outcome says how a request ended.
type Outcome int

// Outcomes of requests, which are reported to clients.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAnswered
	OutcomeNotRun
	OutcomeFailedAfterStart
)

// String returns the outcome as it is written in response headers.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeFailedAfterStart:
		return "failed-after-start"
	default:
		return "unknown"
	}
}

// Hello opens the handshake; both sides send one.
type Hello struct {
	Nonce       []byte
	Name        string
	Incarnation string
	MAC         []byte
}

// Proof closes the handshake.
type Proof struct {
	MAC []byte
}

// Run sends one attempt of a request to an agent.
type Run struct {
	Attempt   uint64
	RequestID string
	// RouterInstance is one start of a router process; Attempt is unique within it.
	RouterInstance string
	Organisation   string
	Target         string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Priority       int
	DeadlineMillis int64
	NonIdempotent  bool
	Key            string
	Parts          []Part
	Cost           int64
	Model          bool
	Weight         float64
	// Digest is the same for every repetition of a request by its organisation.
	Digest string
	// Suspect is set if the request may have crashed a target; it must run alone.
	Suspect bool
	// BackedUp is set if a backup router keeps a copy of the dispatch record.
	BackedUp bool
}

// Head carries the status and the content type of a response.
type Head struct {
	Attempt     uint64
	Status      int
	ContentType string
}

// Chunk carries a piece of a response body.
type Chunk struct {
	Attempt uint64
	Data    []byte
}

// End is the last message of a response; a response without it is incomplete.
type End struct {
	Attempt          uint64
	Outcome          Outcome
	Reason           string
	PromptTokens     int64
	OutputTokens     int64
	Bytes            int64
	Checksum         uint64
	RetryAfterMillis int64
	Load             Load
	// Uncommitted is set if the run's claim is not durable yet.
	Uncommitted bool
	// Unsettled is set if the target has not reported the usage of the run yet; it can
	// be queried later with an Audit.
	Unsettled bool
	// Crashes are those that the request is suspected of, if it crashed the target or was
	// refused for them.
	Crashes []suspecter.Observation
}

// Cancel asks an agent to stop an attempt.
type Cancel struct {
	Attempt uint64
}

// Ping is a heartbeat and carries the sender's configuration version.
//
// Listed tells an agent that the sender's holder row lists it, so that tokens of that
// holder may be spent there.
type Ping struct {
	Incarnation string
	Version     uint64
	Crashes     suspecter.Message
	Listed      bool
}

// Pong is the reply to a Ping. An agent adds its load and its overdue bills.
type Pong struct {
	Incarnation string
	Version     uint64
	Load        Load
	Bills       []Bill
	Crashes     suspecter.Message
	// UncommittedClaims counts the claims that are not durable yet.
	UncommittedClaims int
}

// Fence asks an agent to refuse all work paid by an incarnation.
//
// If Release is set, the incarnation's bills are durable and the agent may drop them.
type Fence struct {
	Incarnation string
	Release     bool
}

// Fenced confirms a Fence with the pending bills and the running parts.
type Fenced struct {
	Agent   string
	Bills   []Bill
	Running []Part
}

// BillsDurable tells an agent which bills of a payer are in the ledger.
type BillsDurable struct {
	Payer     string
	Sequences []uint64
}

// Done is an empty reply.
type Done struct{}

// Reserve asks another router for a voucher, or cancels one.
type Reserve struct {
	Voucher      string
	Organisation string
	Amount       int64
	Cancel       bool
	// Least is the least part of Amount that is of use; 0 means all of it.
	Least int64
}

// Reserved is the reply to a Reserve. A part of zero tokens means that nothing was
// reserved.
type Reserved struct {
	Part Part
	// Refusal is why nothing was reserved, if the lender tells.
	Refusal LoanRefusal
}

// LoanRefusal is why a loan failed.
type LoanRefusal int

// The reasons for which a loan fails; the last four are a borrower's own.
const (
	// LoanNotRefused is the zero value, also of lenders that tell no reason.
	LoanNotRefused LoanRefusal = iota
	// LoanClosing means that the lender stops.
	LoanClosing
	// LoanUnknownBudget means that the lender does not know the organisation's budget.
	LoanUnknownBudget
	// LoanInherited means that the lender has not yet committed what it took over from its predecessor.
	LoanInherited
	// LoanShort means that the lender holds less than it was asked for.
	LoanShort
	// LoanAllowance means that the lender holds enough, but its allowance does not cover the loan.
	LoanAllowance
	// LoanCanceled means that the borrower had canceled the loan before.
	LoanCanceled
	// LoanUnlinked means that the borrower has no link to the lender.
	LoanUnlinked
	// LoanSilent means that the lender was not asked, since it has left another request unanswered.
	LoanSilent
	// LoanTimedOut means that the lender did not answer in time.
	LoanTimedOut
	// LoanLinkFailed means that the link to the lender failed during the call.
	LoanLinkFailed
)

var loanRefusals = [...]string{
	"none", "closing", "unknownBudget", "inherited", "short", "allowance", "canceled", "unlinked", "silent", "timedOut", "linkFailed",
}

// String returns the name of the reason for logs and metrics.
func (r LoanRefusal) String() string {
	if r < 0 || int(r) >= len(loanRefusals) {
		return "unknown"
	}
	return loanRefusals[r]
}

// Settle returns bills of borrowed parts to their payer.
type Settle struct {
	Bills []Bill
}

// Settled lists those of the returned bills that are already in the ledger.
type Settled struct {
	DurableSequences []uint64
}

// FetchFleet asks for a configuration newer than a version.
type FetchFleet struct {
	NewerThan uint64
}

// FleetDocument is a configuration with its version. Version 0 means that there is no
// newer one.
type FleetDocument struct {
	Version  uint64
	Document []byte
}

// AuditState is the state of an attempt whose router lost contact with the agent.
type AuditState int

// The states of an audited attempt.
const (
	// AuditUnknown means that the agent started after the attempt was sent, and that the
	// target does not know the attempt.
	AuditUnknown AuditState = iota
	// AuditNotRun means that the attempt did not run and never will.
	AuditNotRun
	// AuditRunning means that the attempt is running or queued.
	AuditRunning
	// AuditBilled means that the attempt has ended with the bills given.
	AuditBilled
)

// Audit asks an agent for the state of an attempt.
type Audit struct {
	RouterInstance string
	Attempt        uint64
	RequestID      string
	Organisation   string
	Parts          []Part
	// Agent is the agent incarnation to which the attempt was sent.
	Agent string
}

// Audited is the reply to an Audit.
type Audited struct {
	State AuditState
	Bills []Bill
}

// Dispatch is the record of a non-idempotent request that was sent to an agent and whose
// claim is not known to be durable.
type Dispatch struct {
	Service      string
	Organisation string
	Key          string
	RequestID    string
}

// RevokeAgent asks a router never to dispatch to an agent's incarnation again.
type RevokeAgent struct {
	Agent string
}

// AgentRevoked confirms a RevokeAgent and lists the requests that the incarnation may
// have run. A router whose link to the agent is up refuses instead.
type AgentRevoked struct {
	Dispatches []Dispatch
	Refused    bool
}

// BackUpDispatch asks a router to keep a copy of another router's dispatch record, or to
// drop it.
type BackUpDispatch struct {
	Agent    string
	Dispatch Dispatch
	Drop     bool
}
