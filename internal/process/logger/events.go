package logger

import "log/slog"

// Events of all processes.
var (
	LinesDropped = Event{100, slog.LevelWarn, "log lines were dropped", "check what reads the output; lines of level INFO are dropped first"}
)

// Events of agents.
var (
	AgentStarted        = Event{101, slog.LevelInfo, "agent started", "none"}
	AgentDraining       = Event{102, slog.LevelInfo, "agent is draining and takes no new work", "none"}
	AgentDrained        = Event{103, slog.LevelInfo, "agent has finished its work", "none"}
	AgentStopIncomplete = Event{104, slog.LevelError, "agent stopped with work or bills unresolved", "compare the bills of the named target with the ledger"}
	TargetCrashed       = Event{105, slog.LevelWarn, "target failed during a run", "check the target; the batch of the request is now suspected"}
	HolderFenced        = Event{106, slog.LevelWarn, "holder fenced; its work is refused from now on", "none; a router is recovering the dead holder's tokens"}
	PeerRefused         = Event{107, slog.LevelWarn, "connection did not authenticate with the fleet secret", "check the secret in the settings of the named peer"}
	ClaimUncommitted    = Event{108, slog.LevelWarn, "claim is uncommitted and kept by backup routers while the platform is down", "none; it is committed when the platform responds again"}
	VersionApplied      = Event{110, slog.LevelInfo, "configuration version applied", "none"}
	VersionUnreadable   = Event{111, slog.LevelError, "configuration version is unreadable", "check that all processes run the same release"}
)

// Events of routers.
var (
	RouterStarted         = Event{201, slog.LevelInfo, "router started", "none"}
	RouterReady           = Event{202, slog.LevelInfo, "router has a configuration and serves clients", "none"}
	RouterDraining        = Event{203, slog.LevelInfo, "router is draining and takes no new requests", "none"}
	RouterStopped         = Event{204, slog.LevelInfo, "router has settled and returned all tokens", "none"}
	RouterStopIncomplete  = Event{205, slog.LevelError, "router stopped with tokens or bills unresolved", "none; another router recovers them"}
	FlushFailed           = Event{206, slog.LevelWarn, "flush to the platform failed", "check the platform; spending continues from the tokens held"}
	FlushRecovered        = Event{207, slog.LevelInfo, "flush to the platform succeeds again", "none"}
	IncarnationFenced     = Event{208, slog.LevelWarn, "another router fenced this incarnation; a new one was started", "check this host for a pause or a network partition"}
	AgentLinked           = Event{210, slog.LevelInfo, "link to an agent is up", "none"}
	AgentLost             = Event{211, slog.LevelWarn, "link to an agent is down", "check the target's host"}
	PeerLinked            = Event{212, slog.LevelInfo, "link to another router is up", "none"}
	PeerLost              = Event{213, slog.LevelWarn, "link to another router is down", "check the router's host"}
	HolderSuspected       = Event{220, slog.LevelWarn, "holder suspected of being dead", "none; its router may still clear the suspicion"}
	HolderRecovered       = Event{221, slog.LevelInfo, "tokens of a dead holder released", "none"}
	HolderStuck           = Event{222, slog.LevelWarn, "tokens of a dead holder can't be released yet", "restore the named agents, or see the page on holders"}
	HolderUnreadable      = Event{223, slog.LevelError, "holder row is unreadable and its tokens can't be released", "check that all routers run the same release"}
	AnswerBroken          = Event{230, slog.LevelWarn, "response was incomplete or did not match its checksum", "check the target and the link"}
	RequestOutcomeUnknown = Event{231, slog.LevelWarn, "contact lost with a request that may have run", "none"}
	OperatorRefused       = Event{240, slog.LevelWarn, "operator key refused", "check the key"}
	PatchApplied          = Event{241, slog.LevelInfo, "patch applied", "none"}
	SlotReleased          = Event{250, slog.LevelInfo, "slot of a dead owner released", "none"}
	SlotStuck             = Event{251, slog.LevelWarn, "slot of a dead owner can't be released yet", "restore the named routers, or see the page on slots"}
)

// Events of gateways and companions.
var (
	GatewayStarted            = Event{301, slog.LevelInfo, "gateway started", "none"}
	GatewayDraining           = Event{302, slog.LevelInfo, "gateway is draining and will take no new connections", "none"}
	GatewayStopped            = Event{303, slog.LevelInfo, "gateway has stopped and returned its tokens", "none; if requests were cut off, check shutdownLimit in the settings"}
	MetricsServerFailed       = Event{304, slog.LevelError, "metrics server failed", "check metricsAddress in the settings"}
	SettingsReloaded          = Event{305, slog.LevelInfo, "settings file reloaded", "none"}
	SettingsRefused           = Event{306, slog.LevelError, "settings file has faults; the last valid settings stay active", "correct the keys that the line names"}
	CompanionStarted          = Event{307, slog.LevelInfo, "companion started", "none"}
	CompanionStopped          = Event{308, slog.LevelInfo, "companion stopped", "none"}
	MemberEnrolled            = Event{309, slog.LevelInfo, "process registered in the store", "none"}
	FeedFailed                = Event{310, slog.LevelWarn, "change feed of a table failed", "check the platform's store; the last known rows stay in use"}
	FeedRecovered             = Event{311, slog.LevelInfo, "change feed of a table works again", "none"}
	FeedReset                 = Event{312, slog.LevelWarn, "change history of a table is lost; the table is read again", "none"}
	ConfigurationApplied      = Event{313, slog.LevelInfo, "configuration document applied", "none"}
	ConfigurationUnreadable   = Event{314, slog.LevelError, "configuration document is unreadable", "check that the gateway's release supports the document's format"}
	FeedSlow                  = Event{315, slog.LevelInfo, "call of a change feed brought rows slowly", "see waitedMs, readMs, appliedMs and lag: the store, the link or this process was slow"}
	ConfigurationLate         = Event{316, slog.LevelWarn, "whether a change of the configuration is overdue has changed; while late is true all requests are refused", "see age and lag; the link or the processor of the host is too small for its clients"}
	TargetsListed             = Event{320, slog.LevelInfo, "complete list of targets read", "none"}
	TargetUpdated             = Event{321, slog.LevelInfo, "target entry changed", "none"}
	TargetRemoved             = Event{322, slog.LevelInfo, "target entry removed", "none"}
	TargetUnreadable          = Event{323, slog.LevelWarn, "target entry is unreadable and counts as no target", "check what wrote the entry"}
	StoreDirectPathLost       = Event{324, slog.LevelWarn, "direct path to the store lost; calls are relayed", "check the link to the store"}
	StoreDirectPathRestored   = Event{325, slog.LevelInfo, "direct path to the store restored", "none"}
	MemberUnreadable          = Event{326, slog.LevelWarn, "row of a process is unreadable", "check that all processes run the same release"}
	RowsFetchedFromPeer       = Event{327, slog.LevelInfo, "configuration and targets fetched from another router", "none; the platform's store is unreachable"}
	AttemptFailed             = Event{330, slog.LevelWarn, "attempt on a target failed", "check the target and the link"}
	TargetRefused             = Event{331, slog.LevelInfo, "target refused a request without running it", "none; many of them mean that the service is at capacity"}
	TargetFailed              = Event{332, slog.LevelInfo, "target responded with a failure", "check the target"}
	NoTargetInTime            = Event{333, slog.LevelWarn, "no target is expected to be free in time", "too few targets, or too much load: see wait and firstToken"}
	StreamResumed             = Event{334, slog.LevelInfo, "stream resumes at another target", "none"}
	TargetCrashedUnderRequest = Event{335, slog.LevelWarn, "target crashed while it ran a request", "check the target; verdict says what the request is suspected of"}
	PoisonRefused             = Event{336, slog.LevelWarn, "request refused: its contents crash the targets that run it", "explain the request; tell the organisation"}
	CrashesLearned            = Event{337, slog.LevelWarn, "another router has seen requests with these contents crash several targets", "explain the digest"}
	SuspicionCleared          = Event{338, slog.LevelInfo, "target answered a request that was suspected of a crash", "none"}
	TargetEndless             = Event{339, slog.LevelWarn, "attempt ended: the target sends bytes without end that are no response", "check the target; it is ejected like after a reset"}
	RequestEnded              = Event{340, slog.LevelInfo, "request answered", "none"}
	RequestNotAnswered        = Event{341, slog.LevelWarn, "request not answered", "see docs/OPERATIONS.md"}
	BudgetRefused             = Event{342, slog.LevelWarn, "budget does not cover a request", "compare limit, spent and elsewhere; see docs/OPERATIONS.md"}
	TokensLent                = Event{343, slog.LevelInfo, "tokens lent to another router", "none"}
	LoanUnreported            = Event{344, slog.LevelWarn, "cost of a loan could not be reported", "none; the lender counts the whole loan as spent"}
	TargetLeaving             = Event{345, slog.LevelInfo, "target says that it leaves; it gets no more requests", "none"}
	TargetPaused              = Event{346, slog.LevelInfo, "target wants no requests from this router for a time", "none; many of them mean that the service is at capacity"}
	TargetsPaused             = Event{347, slog.LevelWarn, "no target left: some want no requests for a time", "too few targets, or too much load: see paused and notBefore"}
	ClientConnections         = Event{348, slog.LevelWarn, "number of clients' connections is near or at its bound, or no longer so", "see level; find the organisation with the most lines 341 of these seconds"}
	Overload                  = Event{349, slog.LevelWarn, "router has too little processor time for its requests, or no longer so", "see limited; find the organisation with the most lines 341 of these seconds"}
	BudgetCommitFailed        = Event{350, slog.LevelWarn, "commit of budget rows failed", "check the platform's store; spending continues from the tokens held"}
	BudgetRowUnreadable       = Event{351, slog.LevelError, "budget row is unreadable", "check that all routers run the same release"}
	HoldingRecovered          = Event{352, slog.LevelWarn, "holding of an earlier incarnation taken over", "none; tokens that it may have spent count as spent"}
	HeartbeatFailed           = Event{353, slog.LevelWarn, "heartbeat to the platform's store failed", "check the store and the link; spending continues from the tokens held"}
	HeartbeatRecovered        = Event{354, slog.LevelInfo, "heartbeat to the platform's store succeeds again", "none"}
	CrashesNotStored          = Event{355, slog.LevelWarn, "crashes could not be written to the platform's store", "check the store and the link; other routers are still told directly"}
	CrashesStored             = Event{356, slog.LevelInfo, "crashes are written to the platform's store again", "none"}
	CrashRowUnreadable        = Event{357, slog.LevelError, "row of crashes is unreadable", "check that all routers run the same release"}
	StoreEraKnown             = Event{358, slog.LevelInfo, "era of the platform's store is known", "none"}
	StoreWentBack             = Event{359, slog.LevelWarn, "the platform's store came back from a copy", "none; rows are written again and draws wait until all routers are counted"}
	HoldingsRebased           = Event{360, slog.LevelInfo, "rows show again what this router has drawn", "none"}
	DrawsCounted              = Event{361, slog.LevelWarn, "draws of a router were counted after a loss of rows", "none; with method atMost the budgets can't be drawn until they are raised"}
	DrawsWithheld             = Event{362, slog.LevelWarn, "no draws: routers have not counted theirs since the store came back", "check the named routers; others count for them"}
	DrawsOpen                 = Event{363, slog.LevelInfo, "draws are open again: all routers are counted", "none"}
	DrawsNotRecorded          = Event{364, slog.LevelWarn, "draws could not be recorded with other processes and are not made", "check the links to companions"}
	StaleReplyDropped         = Event{365, slog.LevelWarn, "reply of the store from before its return was dropped", "none"}
	DrawsRecorded             = Event{366, slog.LevelInfo, "draws are recorded with other processes again", "none"}
	MembersRestored           = Event{367, slog.LevelInfo, "rows of members that the platform's store has lost were written again", "none"}
	TargetLimit               = Event{368, slog.LevelInfo, "target's limit of requests a second is new, has changed or has ended", "none; a low one means that the target is in trouble"}
	TargetLimitUnreadable     = Event{369, slog.LevelWarn, "target states a limit that can't be read; the one known stays", "check the target's release"}
	TargetsLimited            = Event{370, slog.LevelWarn, "no target left: some take no more requests a second", "too few targets, or targets in trouble: see total, part and notBefore; docs/OPERATIONS.md"}
	CauseFound                = Event{371, slog.LevelWarn, "requests with one feature crash the targets that run them and are refused", "tell the organisations; docs/OPERATIONS.md"}
	CauseEnded                = Event{372, slog.LevelInfo, "feature is no longer taken for a cause of crashes", "none"}
	CauseRetried              = Event{373, slog.LevelInfo, "request with a cause of crashes is tried after a time without any", "none"}
	MemberRejoins             = Event{374, slog.LevelWarn, "others have declared this process gone; it enrolls again without its records", "check its links to routers"}
	MemberLeaves              = Event{375, slog.LevelInfo, "process leaves the fleet", "none"}
	MemberGone                = Event{376, slog.LevelWarn, "a member can't be reached and is declared gone", "none if it was removed; otherwise check its host and its links"}
	MemberDeleted             = Event{377, slog.LevelInfo, "row of a member that has ended was deleted", "none"}
	MemoryShort               = Event{378, slog.LevelWarn, "clients were refused or closed, for want of memory or since they took too long; one line a second", "see docs/OPERATIONS.md, memory"}
	RequestUnread             = Event{379, slog.LevelWarn, "client's connection is closed while a request waits on it unread", "see state, evicted and lag; docs/OPERATIONS.md"}
	DomainDrained             = Event{380, slog.LevelInfo, "failure domain is drained: its targets get no new requests", "none; delete the order when the domain is to serve again"}
	DomainRestored            = Event{381, slog.LevelInfo, "failure domain is no longer drained", "none"}
	DomainsClosed             = Event{382, slog.LevelWarn, "no target left: some are in drained failure domains or in regions that the request may not go to", "see drained and outside; docs/OPERATIONS.md"}
	TargetCold                = Event{383, slog.LevelInfo, "target is cold and takes few requests a second", "none; many at once mean that a service has started anew"}
	TargetWarm                = Event{384, slog.LevelInfo, "target is cold no longer", "none"}
	LoansGathered             = Event{386, slog.LevelInfo, "request runs on tokens of several routers", "none; many of them mean that a budget is near its end"}
	RotationChanged           = Event{390, slog.LevelInfo, "place in the load balancer's rotation has changed", "see phase and utilisation; docs/OPERATIONS.md, one router gets most"}
)

// Catalogue lists all events in ascending order of number.
var Catalogue = []Event{
	LinesDropped,
	AgentStarted, AgentDraining, AgentDrained, AgentStopIncomplete, TargetCrashed, HolderFenced, PeerRefused, ClaimUncommitted,
	VersionApplied, VersionUnreadable,
	RouterStarted, RouterReady, RouterDraining, RouterStopped, RouterStopIncomplete, FlushFailed, FlushRecovered,
	IncarnationFenced, AgentLinked, AgentLost, PeerLinked, PeerLost, HolderSuspected, HolderRecovered, HolderStuck, HolderUnreadable,
	AnswerBroken, RequestOutcomeUnknown, OperatorRefused, PatchApplied, SlotReleased, SlotStuck,
	GatewayStarted, GatewayDraining, GatewayStopped, MetricsServerFailed, SettingsReloaded, SettingsRefused, CompanionStarted, CompanionStopped, MemberEnrolled, FeedFailed, FeedRecovered, FeedReset,
	ConfigurationApplied, ConfigurationUnreadable, FeedSlow, ConfigurationLate, TargetsListed, TargetUpdated, TargetRemoved, TargetUnreadable, StoreDirectPathLost, StoreDirectPathRestored, MemberUnreadable,
	RowsFetchedFromPeer,
	AttemptFailed, TargetRefused, TargetFailed, NoTargetInTime, StreamResumed, TargetCrashedUnderRequest, PoisonRefused, CrashesLearned, SuspicionCleared, TargetEndless, RequestEnded, RequestNotAnswered, BudgetRefused, TokensLent, LoanUnreported,
	TargetLeaving, TargetPaused, TargetsPaused,
	ClientConnections, Overload, BudgetCommitFailed, BudgetRowUnreadable, HoldingRecovered, HeartbeatFailed, HeartbeatRecovered, CrashesNotStored, CrashesStored, CrashRowUnreadable, StoreEraKnown, StoreWentBack, HoldingsRebased, DrawsCounted, DrawsWithheld, DrawsOpen, DrawsNotRecorded, StaleReplyDropped, DrawsRecorded, MembersRestored, TargetLimit, TargetLimitUnreadable, TargetsLimited, CauseFound, CauseEnded, CauseRetried,
	MemberRejoins, MemberLeaves, MemberGone, MemberDeleted, MemoryShort, RequestUnread,
	DomainDrained, DomainRestored, DomainsClosed, TargetCold, TargetWarm, LoansGathered, RotationChanged,
}
