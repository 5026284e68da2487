package framer_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/rotator"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/calibrator"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// allMessages returns one message of each type with all fields set, except RelayWatch.List.
func allMessages() []any {
	bill := framer.Bill{Organisation: "o", RequestID: "r", Payer: "p", Sequence: 1, Amount: 2, Target: "t", Uncertain: 3}
	part := framer.Part{Payer: "p", Sequence: 1, Amount: 2}
	load := framer.Load{Running: 1, Queued: 2, Capacity: 3, Draining: true}
	dispatch := framer.Dispatch{Service: "s", Organisation: "o", Key: "k", RequestID: "r"}
	crashes := suspecter.Message{
		Observations: []suspecter.Observation{{Digest: "d", Run: "t@1", At: time.UnixMilli(5), SentAt: time.UnixMilli(4), Isolated: true, Organisation: "o", Features: []string{"f/1", "f/2"}}}, Cursor: 6, Confirmed: 7,
	}
	return []any{
		&framer.Hello{Nonce: []byte{1}, Name: "n", Incarnation: "i", MAC: []byte{2}},
		&framer.Proof{MAC: []byte{1}},
		&framer.Run{
			Attempt: 1, RequestID: "r", RouterInstance: "u", Organisation: "o", Target: "t", Method: "POST", Path: "/p",
			ContentType: "c", Body: []byte("b"), Priority: 20, DeadlineMillis: 5, NonIdempotent: true, Key: "k",
			Parts: []framer.Part{part}, Cost: 9, Model: true, Weight: 1.5, Digest: "d", Suspect: true, BackedUp: true,
		},
		&framer.Head{Attempt: 1, Status: 200, ContentType: "c"},
		&framer.Chunk{Attempt: 1, Data: []byte("x")},
		&framer.End{
			Attempt: 1, Outcome: framer.OutcomeAnswered, Reason: "r", PromptTokens: 1, OutputTokens: 2, Bytes: 3,
			Checksum: 4, RetryAfterMillis: 5, Load: load, Uncommitted: true, Unsettled: true, Crashes: crashes.Observations,
		},
		&framer.Cancel{Attempt: 1},
		&framer.Ping{Incarnation: "i", Version: 1, Crashes: crashes, Listed: true},
		&framer.Pong{Incarnation: "i", Version: 1, Load: load, Bills: []framer.Bill{bill}, Crashes: crashes, UncommittedClaims: 2},
		&framer.Fence{Incarnation: "i", Release: true},
		&framer.Fenced{Agent: "a", Bills: []framer.Bill{bill}, Running: []framer.Part{part}},
		&framer.BillsDurable{Payer: "p", Sequences: []uint64{1, 2}},
		&framer.Done{},
		&framer.Reserve{Voucher: "v", Organisation: "o", Amount: 1, Cancel: true, Least: 1},
		&framer.Reserved{Part: part, Refusal: framer.LoanShort},
		&framer.Settle{Bills: []framer.Bill{bill}},
		&framer.Settled{DurableSequences: []uint64{1}},
		&framer.FetchFleet{NewerThan: 1},
		&framer.RelayCommit{
			Conditions: []framer.RowCondition{{Key: "a//b", Version: 3}},
			Writes:     []framer.RowWrite{{Key: "a//b", Value: []byte("v")}, {Key: "a//c", Delete: true}},
		},
		&framer.RelayWatch{Table: "t", After: 4, Wait: time.Second, Compress: true},
		&framer.Relayed{
			Outcome: framer.RelayConflict, Version: 5, Clock: time.Second, Error: "e", Era: 2,
			Rows: []framer.RowValue{{Key: "a//b", Version: 3, Value: []byte("v")}, {Key: "a//c", Version: 4, Deleted: true}, {Key: "a//d", Version: 5, Value: []byte("w"), Compressed: true}},
		},
		&framer.RecordDraws{Router: "r", Draws: []framer.Draw{{Organisation: "alpha", Commit: 3, Drawn: 700}}},
		&framer.DrawsRecorded{Age: time.Second},
		&framer.FetchDraws{Router: "r"},
		&framer.RecordedDraws{Draws: []framer.Draw{{Organisation: "alpha", Commit: 3, Drawn: 700}}, Age: time.Second},
		&framer.PeerReport{
			Incarnation: "r@1", Targets: []assessor.Report{{
				Target: "t", Start: time.UnixMilli(1700000000123), Load: assessor.Load{PendingTokens: 7, ShortRequests: 1, LongRequests: 2, Suspects: 3},
				Leaving: true, PauseLeft: 1500 * time.Millisecond, Crashed: true, CrashAge: 20 * time.Millisecond, WarmupLeft: 2 * time.Second,
				Limit: assessor.LimitReport{Known: true, Stated: true, PerSecond: 1.5, Age: 30 * time.Millisecond, SentAge: 40 * time.Millisecond},
			}, {Target: "u"}}, Crashes: crashes, Estimates: []calibrator.Share{{Key: 1, Weight: 2, Sum: -3}}, Rotation: rotator.Report{
				Phase: rotator.Out, Strain: 0.9, Load: rotator.Load{Processor: 0.1, ProcessorShare: 0.2, Link: 3, LinkRate: 4},
			},
		},
		&framer.FetchRowCache{},
		&framer.RowCache{
			Configuration: []byte("{}"), Targets: []framer.RowValue{{Key: "servers//i", Version: 1, Value: []byte("x")}},
			Members: []framer.RowValue{{Key: "processes//r", Version: 2, Value: []byte("y")}},
			Crashes: crashes.Observations,
		},
		&framer.FleetDocument{Version: 1, Document: []byte("d")},
		&framer.Audit{RouterInstance: "r", Attempt: 1, RequestID: "q", Organisation: "o", Parts: []framer.Part{part}, Agent: "a"},
		&framer.Audited{State: framer.AuditBilled, Bills: []framer.Bill{bill}},
		&framer.RevokeAgent{Agent: "a"},
		&framer.AgentRevoked{Dispatches: []framer.Dispatch{dispatch}, Refused: true},
		&framer.BackUpDispatch{Agent: "a", Dispatch: dispatch, Drop: true},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range allMessages() {
		var buf bytes.Buffer
		f := framer.New(&buf)
		assert.NilError(t, f.Write(m))
		got, err := f.Read()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	}
}

func FuzzRead(f *testing.F) {
	for _, m := range allMessages() {
		var buf bytes.Buffer
		if err := framer.New(&buf).Write(m); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := framer.New(bytes.NewBuffer(data))
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}
