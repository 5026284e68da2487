package framer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer/wire"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// ErrUnknownMessage is returned for a message type or a frame that has no codec.
var ErrUnknownMessage = errors.New("unknown message type")

// encode converts a message to its wire form.
func encode(m any) (*wire.Frame, error) {
	switch m := m.(type) {
	case *Hello:
		return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
			Nonce: m.Nonce, Name: m.Name, Incarnation: m.Incarnation, Mac: m.MAC,
		}}}, nil
	case *Proof:
		return &wire.Frame{Body: &wire.Frame_Proof{Proof: &wire.Proof{Mac: m.MAC}}}, nil
	case *Run:
		return &wire.Frame{Body: &wire.Frame_Run{Run: encodeRun(m)}}, nil
	case *Head:
		return &wire.Frame{Body: &wire.Frame_Head{Head: &wire.Head{
			Attempt: m.Attempt, Status: int32(m.Status), ContentType: m.ContentType,
		}}}, nil
	case *Chunk:
		return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Attempt: m.Attempt, Data: m.Data}}}, nil
	case *End:
		return &wire.Frame{Body: &wire.Frame_End{End: encodeEnd(m)}}, nil
	case *Cancel:
		return &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{Attempt: m.Attempt}}}, nil
	default:
		if f := encodeStore(m); f != nil {
			return f, nil
		}
		return encodeControl(m)
	}
}

// encodeControl converts the messages that are not part of a run or its response.
func encodeControl(m any) (*wire.Frame, error) {
	switch m := m.(type) {
	case *Ping:
		return &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{
			Incarnation: m.Incarnation, Version: m.Version, Crashes: encodeCrashes(m.Crashes), Named: m.Listed,
		}}}, nil
	case *Pong:
		return &wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{
			Incarnation: m.Incarnation, Version: m.Version, Load: encodeLoad(m.Load),
			Bills: mapAll(m.Bills, encodeBill), Crashes: encodeCrashes(m.Crashes), Loose: int32(m.UncommittedClaims),
		}}}, nil
	case *Fence:
		return &wire.Frame{Body: &wire.Frame_Fence{Fence: &wire.Fence{
			Incarnation: m.Incarnation, Release: m.Release,
		}}}, nil
	case *Fenced:
		return &wire.Frame{Body: &wire.Frame_Fenced{Fenced: &wire.Fenced{
			Agent: m.Agent, Bills: mapAll(m.Bills, encodeBill), Running: mapAll(m.Running, encodePart),
		}}}, nil
	case *BillsDurable:
		return &wire.Frame{Body: &wire.Frame_Durable{Durable: &wire.Durable{
			Payer: m.Payer, Sequences: m.Sequences,
		}}}, nil
	case *Done:
		return &wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{}}}, nil
	case *Reserve:
		return &wire.Frame{Body: &wire.Frame_Reserve{Reserve: &wire.Reserve{
			Voucher: m.Voucher, Organisation: m.Organisation, Amount: m.Amount, Cancel: m.Cancel, Least: m.Least,
		}}}, nil
	case *Reserved:
		return &wire.Frame{Body: &wire.Frame_Reserved{Reserved: &wire.Reserved{Part: encodePart(m.Part), Refusal: int32(m.Refusal)}}}, nil
	case *Settle:
		return &wire.Frame{Body: &wire.Frame_Settle{Settle: &wire.Settle{Bills: mapAll(m.Bills, encodeBill)}}}, nil
	case *Settled:
		return &wire.Frame{Body: &wire.Frame_Settled{Settled: &wire.Settled{Durable: m.DurableSequences}}}, nil
	case *FetchFleet:
		return &wire.Frame{Body: &wire.Frame_FetchFleet{FetchFleet: &wire.FetchFleet{NewerThan: m.NewerThan}}}, nil
	case *FleetDocument:
		return &wire.Frame{Body: &wire.Frame_FleetDocument{FleetDocument: &wire.FleetDocument{
			Version: m.Version, Document: m.Document,
		}}}, nil
	case *RevokeAgent:
		return &wire.Frame{Body: &wire.Frame_Forsake{Forsake: &wire.Forsake{Agent: m.Agent}}}, nil
	case *AgentRevoked:
		return &wire.Frame{Body: &wire.Frame_Forsaken{Forsaken: &wire.Forsaken{
			Handovers: mapAll(m.Dispatches, encodeDispatch), Refused: m.Refused,
		}}}, nil
	case *BackUpDispatch:
		return &wire.Frame{Body: &wire.Frame_Witness{Witness: &wire.Witness{
			Agent: m.Agent, Handover: encodeDispatch(m.Dispatch), Drop: m.Drop,
		}}}, nil
	case *Audit:
		return &wire.Frame{Body: &wire.Frame_Audit{Audit: &wire.Audit{
			Runner: m.RouterInstance, Attempt: m.Attempt, RequestId: m.RequestID, Organisation: m.Organisation,
			Parts: mapAll(m.Parts, encodePart), Agent: m.Agent,
		}}}, nil
	case *Audited:
		return &wire.Frame{Body: &wire.Frame_Audited{Audited: &wire.Audited{
			State: int32(m.State), Bills: mapAll(m.Bills, encodeBill),
		}}}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownMessage, "encode %T", m)
	}
}

// decode converts a wire frame to its message.
func decode(f *wire.Frame) (any, error) {
	if m := decodeStore(f); m != nil {
		return m, nil
	}
	switch b := f.GetBody().(type) {
	case *wire.Frame_Hello:
		m := b.Hello
		return &Hello{Nonce: m.GetNonce(), Name: m.GetName(), Incarnation: m.GetIncarnation(), MAC: m.GetMac()}, nil
	case *wire.Frame_Proof:
		return &Proof{MAC: b.Proof.GetMac()}, nil
	case *wire.Frame_Run:
		return decodeRun(b.Run), nil
	case *wire.Frame_Head:
		m := b.Head
		return &Head{Attempt: m.GetAttempt(), Status: int(m.GetStatus()), ContentType: m.GetContentType()}, nil
	case *wire.Frame_Chunk:
		return &Chunk{Attempt: b.Chunk.GetAttempt(), Data: b.Chunk.GetData()}, nil
	case *wire.Frame_End:
		return decodeEnd(b.End), nil
	case *wire.Frame_Cancel:
		return &Cancel{Attempt: b.Cancel.GetAttempt()}, nil
	default:
		return decodeControl(f)
	}
}

// decodeControl is the reverse of encodeControl.
func decodeControl(f *wire.Frame) (any, error) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Ping:
		m := b.Ping
		return &Ping{
			Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Crashes: decodeCrashes(m.GetCrashes()), Listed: m.GetNamed(),
		}, nil
	case *wire.Frame_Pong:
		m := b.Pong
		return &Pong{
			Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Load: decodeLoad(m.GetLoad()),
			Bills: mapAll(m.GetBills(), decodeBill), Crashes: decodeCrashes(m.GetCrashes()), UncommittedClaims: int(m.GetLoose()),
		}, nil
	case *wire.Frame_Fence:
		return &Fence{Incarnation: b.Fence.GetIncarnation(), Release: b.Fence.GetRelease()}, nil
	case *wire.Frame_Fenced:
		m := b.Fenced
		return &Fenced{
			Agent: m.GetAgent(), Bills: mapAll(m.GetBills(), decodeBill), Running: mapAll(m.GetRunning(), decodePart),
		}, nil
	case *wire.Frame_Durable:
		return &BillsDurable{Payer: b.Durable.GetPayer(), Sequences: b.Durable.GetSequences()}, nil
	case *wire.Frame_Done:
		return &Done{}, nil
	case *wire.Frame_Reserve:
		m := b.Reserve
		return &Reserve{
			Voucher: m.GetVoucher(), Organisation: m.GetOrganisation(), Amount: m.GetAmount(), Cancel: m.GetCancel(), Least: m.GetLeast(),
		}, nil
	case *wire.Frame_Reserved:
		return &Reserved{Part: decodePart(b.Reserved.GetPart()), Refusal: LoanRefusal(b.Reserved.GetRefusal())}, nil
	case *wire.Frame_Settle:
		return &Settle{Bills: mapAll(b.Settle.GetBills(), decodeBill)}, nil
	case *wire.Frame_Settled:
		return &Settled{DurableSequences: b.Settled.GetDurable()}, nil
	case *wire.Frame_FetchFleet:
		return &FetchFleet{NewerThan: b.FetchFleet.GetNewerThan()}, nil
	case *wire.Frame_FleetDocument:
		return &FleetDocument{Version: b.FleetDocument.GetVersion(), Document: b.FleetDocument.GetDocument()}, nil
	case *wire.Frame_Forsake:
		return &RevokeAgent{Agent: b.Forsake.GetAgent()}, nil
	case *wire.Frame_Forsaken:
		return &AgentRevoked{
			Dispatches: mapAll(b.Forsaken.GetHandovers(), decodeDispatch), Refused: b.Forsaken.GetRefused(),
		}, nil
	case *wire.Frame_Witness:
		m := b.Witness
		return &BackUpDispatch{Agent: m.GetAgent(), Dispatch: decodeDispatch(m.GetHandover()), Drop: m.GetDrop()}, nil
	case *wire.Frame_Audit:
		m := b.Audit
		return &Audit{
			RouterInstance: m.GetRunner(), Attempt: m.GetAttempt(), RequestID: m.GetRequestId(), Organisation: m.GetOrganisation(),
			Parts: mapAll(m.GetParts(), decodePart), Agent: m.GetAgent(),
		}, nil
	case *wire.Frame_Audited:
		return &Audited{State: AuditState(b.Audited.GetState()), Bills: mapAll(b.Audited.GetBills(), decodeBill)}, nil
	default:
		return nil, ErrUnknownMessage
	}
}

func encodeRun(m *Run) *wire.Run {
	return &wire.Run{
		Attempt: m.Attempt, RequestId: m.RequestID, Runner: m.RouterInstance, Organisation: m.Organisation,
		Target: m.Target, Method: m.Method, Path: m.Path, ContentType: m.ContentType, Body: m.Body,
		Priority: int32(m.Priority), DeadlineMillis: m.DeadlineMillis, NonIdempotent: m.NonIdempotent,
		Key: m.Key, Parts: mapAll(m.Parts, encodePart), Cost: m.Cost, Model: m.Model,
		Weight: m.Weight, Digest: m.Digest, Suspect: m.Suspect, Witnessed: m.BackedUp,
	}
}

func decodeRun(m *wire.Run) *Run {
	return &Run{
		Attempt: m.GetAttempt(), RequestID: m.GetRequestId(), RouterInstance: m.GetRunner(), Organisation: m.GetOrganisation(),
		Target: m.GetTarget(), Method: m.GetMethod(), Path: m.GetPath(), ContentType: m.GetContentType(), Body: m.GetBody(),
		Priority: int(m.GetPriority()), DeadlineMillis: m.GetDeadlineMillis(), NonIdempotent: m.GetNonIdempotent(),
		Key: m.GetKey(), Parts: mapAll(m.GetParts(), decodePart), Cost: m.GetCost(), Model: m.GetModel(),
		Weight: m.GetWeight(), Digest: m.GetDigest(), Suspect: m.GetSuspect(), BackedUp: m.GetWitnessed(),
	}
}

func encodeEnd(m *End) *wire.End {
	return &wire.End{
		Attempt: m.Attempt, Outcome: int32(m.Outcome), Reason: m.Reason, PromptTokens: m.PromptTokens,
		OutputTokens: m.OutputTokens, Bytes: m.Bytes, Checksum: m.Checksum,
		RetryAfterMillis: m.RetryAfterMillis, Load: encodeLoad(m.Load), Loose: m.Uncommitted, Unsettled: m.Unsettled,
		Crashes: mapAll(m.Crashes, encodeCrash),
	}
}

func decodeEnd(m *wire.End) *End {
	return &End{
		Attempt: m.GetAttempt(), Outcome: Outcome(m.GetOutcome()), Reason: m.GetReason(), PromptTokens: m.GetPromptTokens(),
		OutputTokens: m.GetOutputTokens(), Bytes: m.GetBytes(), Checksum: m.GetChecksum(),
		RetryAfterMillis: m.GetRetryAfterMillis(), Load: decodeLoad(m.GetLoad()), Uncommitted: m.GetLoose(), Unsettled: m.GetUnsettled(),
		Crashes: mapAll(m.GetCrashes(), decodeCrash),
	}
}

func encodePart(p Part) *wire.Part {
	return &wire.Part{Payer: p.Payer, Sequence: p.Sequence, Amount: p.Amount}
}

func decodePart(p *wire.Part) Part {
	return Part{Payer: p.GetPayer(), Sequence: p.GetSequence(), Amount: p.GetAmount()}
}

func encodeBill(b Bill) *wire.Bill {
	return &wire.Bill{
		Organisation: b.Organisation, RequestId: b.RequestID, Payer: b.Payer, Sequence: b.Sequence,
		Amount: b.Amount, Target: b.Target, Uncertain: b.Uncertain,
	}
}

func decodeBill(b *wire.Bill) Bill {
	return Bill{
		Organisation: b.GetOrganisation(), RequestID: b.GetRequestId(), Payer: b.GetPayer(), Sequence: b.GetSequence(),
		Amount: b.GetAmount(), Target: b.GetTarget(), Uncertain: b.GetUncertain(),
	}
}

func encodeLoad(l Load) *wire.Load {
	return &wire.Load{
		Running: int32(l.Running), Queued: int32(l.Queued), Capacity: int32(l.Capacity), Leaving: l.Draining,
	}
}

func decodeLoad(l *wire.Load) Load {
	return Load{
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Capacity: int(l.GetCapacity()),
		Draining: l.GetLeaving(),
	}
}

func encodeDispatch(d Dispatch) *wire.Handover {
	return &wire.Handover{Service: d.Service, Organisation: d.Organisation, Key: d.Key, RequestId: d.RequestID}
}

func decodeDispatch(d *wire.Handover) Dispatch {
	return Dispatch{
		Service: d.GetService(), Organisation: d.GetOrganisation(), Key: d.GetKey(), RequestID: d.GetRequestId(),
	}
}

// mapAll returns f applied to every element, or nil if there are none.
func mapAll[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func encodeCrashes(m suspecter.Message) *wire.Crashes {
	return &wire.Crashes{Crashes: mapAll(m.Observations, encodeCrash), Cursor: m.Cursor, Confirmed: m.Confirmed}
}

func decodeCrashes(m *wire.Crashes) suspecter.Message {
	return suspecter.Message{Observations: mapAll(m.GetCrashes(), decodeCrash), Cursor: m.GetCursor(), Confirmed: m.GetConfirmed()}
}

func encodeCrash(o suspecter.Observation) *wire.Crash {
	return &wire.Crash{
		Digest: o.Digest, Run: o.Run, AtMillis: o.At.UnixMilli(), Isolated: o.Isolated,
		Organisation: o.Organisation, Features: o.Features, SentAtMillis: suspecter.Millis(o.SentAt),
	}
}

func decodeCrash(c *wire.Crash) suspecter.Observation {
	return suspecter.Observation{
		Digest: c.GetDigest(), Run: c.GetRun(), At: time.UnixMilli(c.GetAtMillis()), Isolated: c.GetIsolated(),
		Organisation: c.GetOrganisation(), Features: c.GetFeatures(), SentAt: suspecter.FromMillis(c.GetSentAtMillis()),
	}
}
