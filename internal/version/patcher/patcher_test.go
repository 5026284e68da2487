package patcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/trial/faultinjector"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

func fleet(version uint64, budget int64) *declarer.Fleet {
	return &declarer.Fleet{Version: version, Organisations: []declarer.Organisation{
		{Name: "alpha", KeyHash: declarer.HashKey("alpha"), Budget: budget, Weight: 1},
	}}
}

// input and output are one operation of the history: a patch or a reading.
type input struct {
	patch   bool
	version uint64 // the version patched
	budget  int64
}

type output struct {
	version uint64
	budget  int64
	stale   bool
	unknown bool
}

// state is the configuration in force.
type state struct {
	version uint64
	budget  int64
}

// model is a register that a patch changes only at the version it names.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, given, got any) []any {
		s, in, out := before.(state), given.(input), got.(output)
		if !in.patch {
			if out.unknown || (out.version == s.version && out.budget == s.budget) {
				return []any{s}
			}
			return nil
		}
		applied := state{in.version + 1, in.budget}
		switch {
		case out.unknown && in.version == s.version:
			return []any{s, applied}
		case out.unknown:
			return []any{s}
		case out.stale && in.version != s.version:
			return []any{s}
		case !out.stale && in.version == s.version:
			return []any{applied}
		default:
			return nil
		}
	},
}).ToModel()

// TestRacingOperatorsAreLinearizable has operators race with patches while
// answers of the platform are lost.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	const operators, rounds = 4, 12
	for seed := range uint64(5) {
		table := &faultinjector.Table{Table: storer.NewMemory()}
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		begun := time.Now()
		for id := range operators {
			wg.Add(1)
			go func() {
				defer wg.Done()
				random := rand.New(rand.NewPCG(seed, uint64(id)))
				for n := range rounds {
					in, call := input{patch: random.IntN(2) == 0}, time.Since(begun).Nanoseconds()
					if random.IntN(3) == 0 {
						table.SetNextFaults(faultinjector.LoseReply)
					}
					out := operate(table, &in, fmt.Sprintf("%d-%d", id, n), int64(1000+random.IntN(1000)), &call, begun)
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: id, Input: in, Call: call, Output: out, Return: time.Since(begun).Nanoseconds(),
					})
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		assert.Assert(t, porcupine.CheckOperations(model, history), "seed %d", seed)
	}
}

// operate reads the configuration and, for a patch, patches the version read.
func operate(table storer.Table, in *input, patchID string, budget int64, call *int64, begun time.Time) output {
	p := &patcher.Patcher{Table: table}
	current, err := p.Current(context.Background())
	if err != nil {
		return output{unknown: true}
	}
	var seen output
	if current != nil {
		seen = output{version: current.Version, budget: current.Organisations[0].Budget}
	}
	if !in.patch {
		return seen
	}
	in.version, in.budget = seen.version, budget
	*call = time.Since(begun).Nanoseconds()
	_, err = p.Apply(context.Background(), fleet(seen.version, budget), patchID)
	var stale *patcher.StaleError
	switch {
	case err == nil:
		return output{}
	case errors.As(err, &stale):
		return output{stale: true}
	default:
		return output{unknown: true}
	}
}

func TestPatchIsFoundAgainAfterLostAnswerAndLaterPatch(t *testing.T) {
	ctx, table := context.Background(), storer.NewMemory()
	p := &patcher.Patcher{Table: table}
	for i, id := range []string{"a", "b"} {
		version, err := p.Apply(ctx, fleet(uint64(i), int64(100+i)), id)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(i+1))
	}
	version, err := p.Apply(ctx, fleet(0, 100), "a")
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	var stale *patcher.StaleError
	_, err = p.Apply(ctx, fleet(0, 300), "c")
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, *stale, patcher.StaleError{BaseVersion: 0, CurrentVersion: 2})
}

func TestTopUpAddsToWhatIsLeft(t *testing.T) {
	ctx, table := context.Background(), storer.NewMemory()
	p := &patcher.Patcher{Table: table}
	_, err := p.Apply(ctx, fleet(0, 100), "first")
	assert.NilError(t, err)
	row, err := storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.NilError(t, b.Draw("router@1", "d", 80))
	var c storer.Commit
	c.Update(row.Key, row.Version, bookkeeper.EncodeBudget(b))
	assert.NilError(t, table.Commit(ctx, c))
	_, err = p.Apply(ctx, fleet(1, 10), "lower")
	assert.Assert(t, errors.Is(err, bookkeeper.ErrInsufficient), "what is held can't be taken back by a patch")
	_, err = p.Apply(ctx, fleet(1, 150), "raise")
	assert.NilError(t, err)
	row, err = storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err = bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, b.Remaining, int64(70))
	assert.NilError(t, b.Check())
}

func TestFollowerNeverGoesBack(t *testing.T) {
	f := &follower.Follower{}
	for _, version := range []uint64{3, 1, 2, 5, 4} {
		f.Offer(&declarer.Fleet{Version: version}, nil)
	}
	assert.Equal(t, f.Version(), uint64(5))
}
