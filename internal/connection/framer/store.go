package framer

import (
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer/wire"
)

// RowCondition is the version that a row of the platform's store must have.
type RowCondition struct {
	Key     string
	Version uint64
}

// RowWrite sets a row of the platform's store, or deletes it.
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

// RelayCommit asks a process that reaches the platform's store to commit there.
type RelayCommit struct {
	Conditions []RowCondition
	Writes     []RowWrite
}

// RelayWatch asks for a table's rows, or for its changes after a version.
type RelayWatch struct {
	Table string
	After uint64
	Wait  time.Duration
	List  bool
}

// RelayOutcome says how a relayed call ended.
type RelayOutcome int

// The outcomes of relayed calls.
const (
	// RelayOK means that the store answered.
	RelayOK RelayOutcome = iota
	// RelayConflict means that a condition did not hold.
	RelayConflict
	// RelayRefused means that nothing was done.
	RelayRefused
	// RelayUnavailable means that the store did not answer.
	RelayUnavailable
	// RelayHistoryLost means that a feed can't go on.
	RelayHistoryLost
)

// Relayed answers RelayCommit and RelayWatch.
type Relayed struct {
	Outcome RelayOutcome
	Version uint64
	// Clock is the store's steady clock.
	Clock time.Duration
	Rows  []RowValue
	Error string
}

// TargetLoad is what one router has running at a target.
type TargetLoad struct {
	Target string
	// PendingTokens is what is left to prefill, in tokens, Short and Long the number of
	// requests by kind.
	PendingTokens int64
	ShortRequests int
	LongRequests  int
}

// PeerReport tells another router what this one has running.
type PeerReport struct {
	Incarnation string
	Loads       []TargetLoad
}

// FetchRowCache asks a router for what it knows, for one that starts while the
// platform is away.
type FetchRowCache struct{}

// RowCache answers FetchKnown.
type RowCache struct {
	// Configuration is the newest document, as the platform wrote it.
	Configuration []byte
	Targets       []RowValue
	// Members are the rows of the fleet's processes.
	Members []RowValue
}

// encodeStore maps the messages about the platform's store and between routers
// that forward straight to targets; it returns nil for others.
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
				return &wire.TargetLoad{Target: l.Target, Pending: l.PendingTokens, Short: int32(l.ShortRequests), Long: int32(l.LongRequests)}
			}),
		}}}
	case *FetchRowCache:
		return &wire.Frame{Body: &wire.Frame_FetchKnown{FetchKnown: &wire.FetchKnown{}}}
	case *RowCache:
		return &wire.Frame{Body: &wire.Frame_Known{Known: &wire.Known{
			Configuration: m.Configuration, Targets: mapAll(m.Targets, encodeRow),
			Members: mapAll(m.Members, encodeRow),
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
				return TargetLoad{Target: l.GetTarget(), PendingTokens: l.GetPending(), ShortRequests: int(l.GetShort()), LongRequests: int(l.GetLong())}
			}),
		}
	case *wire.Frame_FetchKnown:
		return &FetchRowCache{}
	case *wire.Frame_Known:
		return &RowCache{
			Configuration: b.Known.GetConfiguration(), Targets: mapAll(b.Known.GetTargets(), decodeRow),
			Members: mapAll(b.Known.GetMembers(), decodeRow),
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
