package framer

import (
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer/wire"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// RowCondition requires a version of a row of the platform's store.
type RowCondition struct {
	Key     string
	Version uint64
}

// RowWrite sets or deletes a row of the platform's store.
type RowWrite struct {
	Key    string
	Value  []byte
	Delete bool
}

// RowValue is a row of the platform's store.
type RowValue struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// RelayCommit asks a process that can reach the platform's store to commit there.
type RelayCommit struct {
	Conditions []RowCondition
	Writes     []RowWrite
}

// RelayWatch asks for all rows of a table if List is set, and otherwise for its changes
// after a version.
type RelayWatch struct {
	Table string
	After uint64
	Wait  time.Duration
	List  bool
}

// RelayOutcome says how a relayed call ended.
type RelayOutcome int

// Outcomes of relayed calls.
const (
	// RelayOK means that the call succeeded.
	RelayOK RelayOutcome = iota
	// RelayConflict means that a condition did not hold.
	RelayConflict
	// RelayRefused means that nothing was done.
	RelayRefused
	// RelayUnavailable means that the store did not reply; a commit may have taken effect.
	RelayUnavailable
	// RelayHistoryLost means that the store has dropped the changes asked for, so that the
	// change feed can't continue.
	RelayHistoryLost
)

// Relayed is the reply to a RelayCommit or a RelayWatch.
type Relayed struct {
	Outcome RelayOutcome
	Version uint64
	// Clock is the store's monotonic clock.
	Clock time.Duration
	Rows  []RowValue
	Error string
}

// TargetLoad is the load that one router has placed on a target.
type TargetLoad struct {
	Target string
	// PendingTokens is the number of tokens left to prefill; ShortRequests and
	// LongRequests are the numbers of running requests by kind.
	PendingTokens int64
	ShortRequests int
	LongRequests  int
	// Suspects is the number of them that are suspected of a crash.
	Suspects int
}

// PeerReport tells another router the load that this one has placed on targets, and the
// crashes that it has seen.
type PeerReport struct {
	Incarnation string
	Loads       []TargetLoad
	Crashes     suspecter.Message
}

// FetchRowCache asks a router for its row cache. It is sent by a process that starts
// while the platform is unreachable.
type FetchRowCache struct{}

// RowCache is the reply to a FetchRowCache.
type RowCache struct {
	// Configuration is the newest configuration document, as the platform wrote it.
	Configuration []byte
	Targets       []RowValue
	// Members are the rows of the fleet's processes.
	Members []RowValue
	// Crashes are the newest ones that the router knows.
	Crashes []suspecter.Observation
}

// encodeStore converts the messages of relayed store calls and between routers that
// forward directly to targets. It returns nil for other messages.
func encodeStore(m any) *wire.Frame {
	switch m := m.(type) {
	case *RelayCommit:
		return &wire.Frame{Body: &wire.Frame_RelayCommit{RelayCommit: &wire.RelayCommit{
			Conditions: mapAll(m.Conditions, func(c RowCondition) *wire.RowCondition {
				return &wire.RowCondition{Key: c.Key, Version: c.Version}
			}),
			Writes: mapAll(m.Writes, func(w RowWrite) *wire.RowWrite {
				return &wire.RowWrite{Key: w.Key, Value: w.Value, Delete: w.Delete}
			}),
		}}}
	case *RelayWatch:
		return &wire.Frame{Body: &wire.Frame_RelayWatch{RelayWatch: &wire.RelayWatch{
			Table: m.Table, After: m.After, WaitMillis: m.Wait.Milliseconds(), List: m.List,
		}}}
	case *Relayed:
		return &wire.Frame{Body: &wire.Frame_Relayed{Relayed: &wire.Relayed{
			Outcome: int32(m.Outcome), Version: m.Version, ClockNanos: int64(m.Clock),
			Rows: mapAll(m.Rows, encodeRow), Error: m.Error,
		}}}
	case *PeerReport:
		return &wire.Frame{Body: &wire.Frame_PeerReport{PeerReport: &wire.PeerReport{
			Incarnation: m.Incarnation,
			Loads: mapAll(m.Loads, func(l TargetLoad) *wire.TargetLoad {
				return &wire.TargetLoad{Target: l.Target, Pending: l.PendingTokens, Short: int32(l.ShortRequests), Long: int32(l.LongRequests), Suspects: int32(l.Suspects)}
			}),
			Crashes: encodeCrashes(m.Crashes),
		}}}
	case *FetchRowCache:
		return &wire.Frame{Body: &wire.Frame_FetchKnown{FetchKnown: &wire.FetchKnown{}}}
	case *RowCache:
		return &wire.Frame{Body: &wire.Frame_Known{Known: &wire.Known{
			Configuration: m.Configuration, Targets: mapAll(m.Targets, encodeRow),
			Members: mapAll(m.Members, encodeRow), Crashes: mapAll(m.Crashes, encodeCrash),
		}}}
	default:
		return nil
	}
}

// decodeStore is the reverse of encodeStore.
func decodeStore(f *wire.Frame) any {
	switch b := f.GetBody().(type) {
	case *wire.Frame_RelayCommit:
		return &RelayCommit{
			Conditions: mapAll(b.RelayCommit.GetConditions(), func(c *wire.RowCondition) RowCondition {
				return RowCondition{Key: c.GetKey(), Version: c.GetVersion()}
			}),
			Writes: mapAll(b.RelayCommit.GetWrites(), func(w *wire.RowWrite) RowWrite {
				return RowWrite{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()}
			}),
		}
	case *wire.Frame_RelayWatch:
		w := b.RelayWatch
		return &RelayWatch{
			Table: w.GetTable(), After: w.GetAfter(), Wait: time.Duration(w.GetWaitMillis()) * time.Millisecond, List: w.GetList(),
		}
	case *wire.Frame_Relayed:
		r := b.Relayed
		return &Relayed{
			Outcome: RelayOutcome(r.GetOutcome()), Version: r.GetVersion(), Clock: time.Duration(r.GetClockNanos()),
			Rows: mapAll(r.GetRows(), decodeRow), Error: r.GetError(),
		}
	case *wire.Frame_PeerReport:
		r := b.PeerReport
		return &PeerReport{
			Incarnation: r.GetIncarnation(),
			Loads: mapAll(r.GetLoads(), func(l *wire.TargetLoad) TargetLoad {
				return TargetLoad{Target: l.GetTarget(), PendingTokens: l.GetPending(), ShortRequests: int(l.GetShort()), LongRequests: int(l.GetLong()), Suspects: int(l.GetSuspects())}
			}),
			Crashes: decodeCrashes(r.GetCrashes()),
		}
	case *wire.Frame_FetchKnown:
		return &FetchRowCache{}
	case *wire.Frame_Known:
		return &RowCache{
			Configuration: b.Known.GetConfiguration(), Targets: mapAll(b.Known.GetTargets(), decodeRow),
			Members: mapAll(b.Known.GetMembers(), decodeRow), Crashes: mapAll(b.Known.GetCrashes(), decodeCrash),
		}
	default:
		return nil
	}
}

func encodeRow(r RowValue) *wire.RowValue {
	return &wire.RowValue{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
}

func decodeRow(r *wire.RowValue) RowValue {
	return RowValue{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Deleted: r.GetDeleted()}
}
