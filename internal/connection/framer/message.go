package framer

// Part is one payer's share of the worst-case cost of a request, in tokens.
//
// Payer is the incarnation of the router whose grant backs the part, and
// Sequence identifies the part among all parts of that incarnation.
type Part struct {
	Payer    string
	Sequence uint64
	Amount   int64
}

// Bill states what one part of a request has cost, in tokens.
//
// Uncertain counts tokens that may have been generated but were not witnessed;
// they are withheld from the budget without being charged.
type Bill struct {
	Organisation string
	RequestID    string
	Payer        string
	Sequence     uint64
	Amount       int64
	Target       string
	Uncertain    int64
}

// Load is what an agent says of its target.
type Load struct {
	Running  int
	Queued   int
	Capacity int
	Draining bool
}

// Outcome is how a request ended.
type Outcome int

// The outcomes that callers see.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAnswered
	OutcomeNotRun
	OutcomeFailedAfterStart
)

// String returns the outcome as it stands in answer headers.
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

// Run hands one attempt of a request to an agent.
type Run struct {
	Attempt        uint64
	RequestID      string
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
	// Digest identifies the organisation's request among its repetitions.
	Digest string
	// Suspect requests run alone.
	Suspect bool
	// BackedUp is set if a second router keeps the handover too.
	BackedUp bool
}

// Head carries the status line of an answer.
type Head struct {
	Attempt     uint64
	Status      int
	ContentType string
}

// Chunk carries a piece of an answer's body.
type Chunk struct {
	Attempt uint64
	Data    []byte
}

// End closes an answer; an answer without it is incomplete.
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
	// Unsettled is set if the target has not said yet what the run has cost; an
	// Audit will tell.
	Unsettled bool
}

// Cancel asks an agent to stop an attempt.
type Cancel struct {
	Attempt uint64
}

// Ping is a heartbeat and carries the sender's configuration version.
//
// Named tells an agent that the sender's holder row names it, so that tokens
// of that holder may be spent there.
type Ping struct {
	Incarnation string
	Version     uint64
	Poison      []string
	Listed      bool
}

// Pong answers a Ping; an agent adds its load and the bills it still keeps.
type Pong struct {
	Incarnation string
	Version     uint64
	Load        Load
	Bills       []Bill
	Poison      []string
	// UncommittedClaims counts the claims that are not durable yet.
	UncommittedClaims int
}

// Fence asks an agent to refuse all work paid by an incarnation.
//
// With Release set the incarnation's bills are durable and may be forgotten.
type Fence struct {
	Incarnation string
	Release     bool
}

// Fenced confirms a Fence with the bills kept and the parts still running.
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

// Done is the empty answer.
type Done struct{}

// Reserve asks another router for a voucher, or cancels one.
type Reserve struct {
	Voucher      string
	Organisation string
	Amount       int64
	Cancel       bool
}

// Reserved answers a Reserve; a part of zero tokens means there was no money.
type Reserved struct {
	Part Part
}

// Settle returns bills of borrowed parts to their payer.
type Settle struct {
	Bills []Bill
}

// Settled names those of the bills that are in the ledger already.
type Settled struct {
	DurableSequences []uint64
}

// FetchFleet asks for a configuration newer than a version.
type FetchFleet struct {
	NewerThan uint64
}

// FleetDocument is a numbered configuration; version 0 means none newer.
type FleetDocument struct {
	Version  uint64
	Document []byte
}

// AuditState is what an agent knows of an attempt whose router lost contact.
type AuditState int

// The states of an audited attempt.
const (
	// AuditUnknown means that the agent started after the attempt was handed over.
	AuditUnknown AuditState = iota
	// AuditNotRun means that the attempt did not run and never will.
	AuditNotRun
	// AuditRunning means that the attempt still runs or waits.
	AuditRunning
	// AuditBilled means that the attempt has ended with the bills given.
	AuditBilled
)

// Audit asks an agent what became of an attempt.
type Audit struct {
	RouterInstance string
	Attempt        uint64
	RequestID      string
	Organisation   string
	Parts          []Part
	// Agent is the incarnation that the attempt was handed to.
	Agent string
}

// Audited answers an Audit.
type Audited struct {
	State AuditState
	Bills []Bill
}

// Dispatch is a non-idempotent request that was handed to an agent whose claim
// on it is not known to be durable.
type Dispatch struct {
	Service      string
	Organisation string
	Key          string
	RequestID    string
}

// RevokeAgent asks a router never to hand work to an agent's incarnation again.
type RevokeAgent struct {
	Agent string
}

// AgentRevoked promises so and names what the incarnation may have run; a router
// that the agent still answers refuses.
type AgentRevoked struct {
	Dispatches []Dispatch
	Refused    bool
}

// BackUpDispatch asks a router to keep another router's handover, or to drop it.
type BackUpDispatch struct {
	Agent    string
	Dispatch Dispatch
	Drop     bool
}
