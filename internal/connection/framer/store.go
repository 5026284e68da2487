package framer

import (
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer/wire"
	"github.com/egretroute/egretroute/internal/connection/rotator"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/calibrator"
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
	// Compressed says that Value is a DEFLATE stream.
	Compressed bool
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
	// Compress says that long rows of the reply may be compressed.
	Compress bool
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
	// Era is the store's era.
	Era uint64
}

// Draw is what a router had drawn of an organisation's budget, in tokens.
type Draw struct {
	Organisation string
	// Commit numbers the commits of the router's holding, over all its incarnations.
	Commit uint64
	// Drawn is the sum of all draws less what was returned, spent or not.
	Drawn int64
}

// RecordDraws asks a process to remember a router's draws, each until a later commit.
type RecordDraws struct {
	Router string
	Draws  []Draw
}

// DrawsRecorded is the reply to a RecordDraws.
type DrawsRecorded struct {
	// Age is the time since the process started.
	Age time.Duration
}

// FetchDraws asks a process for the draws of a router that it remembers.
type FetchDraws struct {
	Router string
}

// RecordedDraws is the reply to a FetchDraws.
type RecordedDraws struct {
	Draws []Draw
	// Age is the time since the process started: it remembers nothing from before.
	Age time.Duration
}

// PeerReport tells another router what this one knows of targets, and the requests that
// were running at targets that crashed.
type PeerReport struct {
	Incarnation string
	Targets     []assessor.Report
	Crashes     suspecter.Message
	Rotation    rotator.Report
	// Estimates are the sender's parts in the estimates of targets' speeds.
	Estimates []calibrator.Share
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
	// Drains are the rows that order failure domains to be drained.
	Drains []RowValue
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
			Table: m.Table, After: m.After, WaitMillis: m.Wait.Milliseconds(), List: m.List, Compress: m.Compress,
		}}}
	case *Relayed:
		return &wire.Frame{Body: &wire.Frame_Relayed{Relayed: &wire.Relayed{
			Outcome: int32(m.Outcome), Version: m.Version, ClockNanos: int64(m.Clock),
			Rows: mapAll(m.Rows, encodeRow), Error: m.Error, Era: m.Era,
		}}}
	case *PeerReport:
		return &wire.Frame{Body: &wire.Frame_PeerReport{PeerReport: &wire.PeerReport{
			Incarnation: m.Incarnation,
			Targets:     mapAll(m.Targets, encodeReport), Crashes: encodeCrashes(m.Crashes), Estimates: encodeEstimates(m.Estimates),
			Load: encodeRotation(m.Rotation),
		}}}
	case *RecordDraws:
		return &wire.Frame{Body: &wire.Frame_RecordDraws{RecordDraws: &wire.RecordDraws{Router: m.Router, Draws: mapAll(m.Draws, encodeDraw)}}}
	case *DrawsRecorded:
		return &wire.Frame{Body: &wire.Frame_DrawsRecorded{DrawsRecorded: &wire.DrawsRecorded{AgeMillis: m.Age.Milliseconds()}}}
	case *FetchDraws:
		return &wire.Frame{Body: &wire.Frame_FetchDraws{FetchDraws: &wire.FetchDraws{Router: m.Router}}}
	case *RecordedDraws:
		return &wire.Frame{Body: &wire.Frame_RecordedDraws{RecordedDraws: &wire.RecordedDraws{Draws: mapAll(m.Draws, encodeDraw), AgeMillis: m.Age.Milliseconds()}}}
	case *FetchRowCache:
		return &wire.Frame{Body: &wire.Frame_FetchKnown{FetchKnown: &wire.FetchKnown{}}}
	case *RowCache:
		return &wire.Frame{Body: &wire.Frame_Known{Known: &wire.Known{
			Configuration: m.Configuration, Targets: mapAll(m.Targets, encodeRow),
			Members: mapAll(m.Members, encodeRow), Drains: mapAll(m.Drains, encodeRow), Crashes: mapAll(m.Crashes, encodeCrash),
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
			Table: w.GetTable(), After: w.GetAfter(), Wait: time.Duration(w.GetWaitMillis()) * time.Millisecond, List: w.GetList(), Compress: w.GetCompress(),
		}
	case *wire.Frame_Relayed:
		r := b.Relayed
		return &Relayed{
			Outcome: RelayOutcome(r.GetOutcome()), Version: r.GetVersion(), Clock: time.Duration(r.GetClockNanos()),
			Rows: mapAll(r.GetRows(), decodeRow), Error: r.GetError(), Era: r.GetEra(),
		}
	case *wire.Frame_PeerReport:
		r := b.PeerReport
		return &PeerReport{
			Incarnation: r.GetIncarnation(),
			Targets:     mapAll(r.GetTargets(), decodeReport), Crashes: decodeCrashes(r.GetCrashes()), Estimates: decodeEstimates(r.GetEstimates()),
			Rotation: decodeRotation(r.GetLoad()),
		}
	case *wire.Frame_RecordDraws:
		return &RecordDraws{Router: b.RecordDraws.GetRouter(), Draws: mapAll(b.RecordDraws.GetDraws(), decodeDraw)}
	case *wire.Frame_DrawsRecorded:
		return &DrawsRecorded{Age: time.Duration(b.DrawsRecorded.GetAgeMillis()) * time.Millisecond}
	case *wire.Frame_FetchDraws:
		return &FetchDraws{Router: b.FetchDraws.GetRouter()}
	case *wire.Frame_RecordedDraws:
		return &RecordedDraws{
			Draws: mapAll(b.RecordedDraws.GetDraws(), decodeDraw), Age: time.Duration(b.RecordedDraws.GetAgeMillis()) * time.Millisecond,
		}
	case *wire.Frame_FetchKnown:
		return &FetchRowCache{}
	case *wire.Frame_Known:
		return &RowCache{
			Configuration: b.Known.GetConfiguration(), Targets: mapAll(b.Known.GetTargets(), decodeRow),
			Members: mapAll(b.Known.GetMembers(), decodeRow), Drains: mapAll(b.Known.GetDrains(), decodeRow), Crashes: mapAll(b.Known.GetCrashes(), decodeCrash),
		}
	default:
		return nil
	}
}

func encodeRotation(r rotator.Report) *wire.RouterLoad {
	if r.Phase == rotator.Unknown {
		return nil
	}
	return &wire.RouterLoad{
		Phase: int32(r.Phase), Strain: r.Strain, Processor: r.Load.Processor, ProcessorShare: r.Load.ProcessorShare,
		Link: r.Load.Link, LinkRate: r.Load.LinkRate,
	}
}

// decodeRotation returns the zero value for a report that names no phase of this release.
func decodeRotation(w *wire.RouterLoad) rotator.Report {
	phase := rotator.Phase(w.GetPhase())
	if phase <= rotator.Unknown || phase > rotator.Out {
		return rotator.Report{}
	}
	return rotator.Report{Phase: phase, Strain: w.GetStrain(), Load: rotator.Load{
		Processor: w.GetProcessor(), ProcessorShare: w.GetProcessorShare(), Link: w.GetLink(), LinkRate: w.GetLinkRate(),
	}}
}

func encodeDraw(d Draw) *wire.Draw {
	return &wire.Draw{Organisation: d.Organisation, Commit: d.Commit, Drawn: d.Drawn}
}

func decodeDraw(w *wire.Draw) Draw {
	return Draw{Organisation: w.GetOrganisation(), Commit: w.GetCommit(), Drawn: w.GetDrawn()}
}

func encodeRow(r RowValue) *wire.RowValue {
	return &wire.RowValue{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted, Compressed: r.Compressed}
}

func decodeRow(r *wire.RowValue) RowValue {
	return RowValue{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Deleted: r.GetDeleted(), Compressed: r.GetCompressed()}
}

func encodeReport(r assessor.Report) *wire.TargetReport {
	w := &wire.TargetReport{
		Target: r.Target, Pending: r.Load.PendingTokens, Short: int32(r.Load.ShortRequests), Long: int32(r.Load.LongRequests), Suspects: int32(r.Load.Suspects),
		Leaving: r.Leaving, PauseMillis: r.PauseLeft.Milliseconds(), Crashed: r.Crashed, CrashAgeMillis: r.CrashAge.Milliseconds(),
		WarmupMillis: r.WarmupLeft.Milliseconds(),
	}
	if !r.Start.IsZero() {
		w.StartMillis = r.Start.UnixMilli()
	}
	if l := r.Limit; l.Known {
		w.Limit = &wire.TargetLimit{Stated: l.Stated, PerSecond: l.PerSecond, AgeMillis: l.Age.Milliseconds(), SentAgeMillis: l.SentAge.Milliseconds()}
	}
	return w
}

func decodeReport(w *wire.TargetReport) assessor.Report {
	r := assessor.Report{
		Target: w.GetTarget(), Load: assessor.Load{
			PendingTokens: w.GetPending(), ShortRequests: int(w.GetShort()), LongRequests: int(w.GetLong()), Suspects: int(w.GetSuspects()),
		},
		Leaving: w.GetLeaving(), PauseLeft: time.Duration(w.GetPauseMillis()) * time.Millisecond,
		Crashed: w.GetCrashed(), CrashAge: time.Duration(w.GetCrashAgeMillis()) * time.Millisecond,
		WarmupLeft: time.Duration(w.GetWarmupMillis()) * time.Millisecond,
	}
	if w.GetStartMillis() != 0 {
		r.Start = time.UnixMilli(w.GetStartMillis())
	}
	if l := w.GetLimit(); l != nil {
		r.Limit = assessor.LimitReport{
			Known: true, Stated: l.GetStated(), PerSecond: l.GetPerSecond(),
			Age: time.Duration(l.GetAgeMillis()) * time.Millisecond, SentAge: time.Duration(l.GetSentAgeMillis()) * time.Millisecond,
		}
	}
	return r
}

func encodeEstimates(shares []calibrator.Share) *wire.Estimates {
	if len(shares) == 0 {
		return nil
	}
	w := &wire.Estimates{}
	for _, s := range shares {
		w.Keys, w.Weights, w.Sums = append(w.Keys, s.Key), append(w.Weights, s.Weight), append(w.Sums, s.Sum)
	}
	return w
}

// decodeEstimates leaves out what isn't complete.
func decodeEstimates(w *wire.Estimates) []calibrator.Share {
	n := min(len(w.GetKeys()), len(w.GetWeights()), len(w.GetSums()))
	if n == 0 {
		return nil
	}
	shares := make([]calibrator.Share, n)
	for i := range shares {
		shares[i] = calibrator.Share{Key: w.Keys[i], Weight: w.Weights[i], Sum: w.Sums[i]}
	}
	return shares
}
