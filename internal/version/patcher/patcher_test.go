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

func newFleet(version uint64, budget int64) *declarer.Fleet {
	return &declarer.Fleet{Version: version, Organisations: []declarer.Organisation{
		{Name: "alpha", KeyHash: declarer.HashKey("alpha"), Budget: budget, Weight: 1},
	}}
}

// input and output describe one operation of the history: a patch or a read.
type input struct {
	isPatch bool
	version uint64 // base version of a patch
	budget  int64
}

type output struct {
	version uint64
	budget  int64
	stale   bool
	unknown bool
}

// state is the active configuration.
type state struct {
	version uint64
	budget  int64
}

// model is a register that a patch changes only if its base version is the current one.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, given, got any) []any {
		s, in, out := before.(state), given.(input), got.(output)
		if !in.isPatch {
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

// TestRacingOperatorsAreLinearizable checks that the history of concurrent patches and
// reads stays linearizable while commits at the platform have unknown outcomes.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	const operators, rounds = 4, 12
	for seed := range uint64(5) {
		table := &faultinjector.Table{Table: storer.NewMemory()}
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		start := time.Now()
		for id := range operators {
			wg.Add(1)
			go func() {
				defer wg.Done()
				random := rand.New(rand.NewPCG(seed, uint64(id)))
				for n := range rounds {
					in, call := input{isPatch: random.IntN(2) == 0}, time.Since(start).Nanoseconds()
					if random.IntN(3) == 0 {
						table.SetNextFaults(faultinjector.LoseReply)
					}
					out := runOperation(table, &in, fmt.Sprintf("%d-%d", id, n), int64(1000+random.IntN(1000)), &call, start)
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: id, Input: in, Call: call, Output: out, Return: time.Since(start).Nanoseconds(),
					})
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		assert.Assert(t, porcupine.CheckOperations(model, history), "seed %d", seed)
	}
}

// runOperation reads the configuration and, for a patch, patches the version read.
func runOperation(table storer.Table, in *input, patchID string, budget int64, call *int64, start time.Time) output {
	p := &patcher.Patcher{Table: table}
	current, err := p.Current(context.Background())
	if err != nil {
		return output{unknown: true}
	}
	var read output
	if current != nil {
		read = output{version: current.Version, budget: current.Organisations[0].Budget}
	}
	if !in.isPatch {
		return read
	}
	in.version, in.budget = read.version, budget
	*call = time.Since(start).Nanoseconds()
	_, err = p.Apply(context.Background(), newFleet(read.version, budget), patchID)
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

func TestRetriedPatchReturnsItsVersionAfterLaterPatch(t *testing.T) {
	ctx, table := context.Background(), storer.NewMemory()
	p := &patcher.Patcher{Table: table}
	for i, id := range []string{"a", "b"} {
		version, err := p.Apply(ctx, newFleet(uint64(i), int64(100+i)), id)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(i+1))
	}
	version, err := p.Apply(ctx, newFleet(0, 100), "a")
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	var stale *patcher.StaleError
	_, err = p.Apply(ctx, newFleet(0, 300), "c")
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, *stale, patcher.StaleError{BaseVersion: 0, CurrentVersion: 2})
}

func TestBudgetIncreaseAddsToRemaining(t *testing.T) {
	ctx, table := context.Background(), storer.NewMemory()
	p := &patcher.Patcher{Table: table}
	_, err := p.Apply(ctx, newFleet(0, 100), "first")
	assert.NilError(t, err)
	row, err := storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.NilError(t, b.Draw("router@1", "d", 80))
	var c storer.Commit
	c.Update(row.Key, row.Version, bookkeeper.EncodeBudget(b))
	assert.NilError(t, table.Commit(ctx, c))
	_, err = p.Apply(ctx, newFleet(1, 10), "lower")
	assert.Assert(t, errors.Is(err, bookkeeper.ErrInsufficient), "a patch must not lower the limit below the held tokens")
	_, err = p.Apply(ctx, newFleet(1, 150), "raise")
	assert.NilError(t, err)
	row, err = storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err = bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, b.Remaining, int64(70))
	assert.NilError(t, b.Check())
}

func TestFollowerIgnoresOlderVersions(t *testing.T) {
	f := &follower.Follower{}
	for _, version := range []uint64{3, 1, 2, 5, 4} {
		f.Offer(&declarer.Fleet{Version: version}, nil)
	}
	assert.Equal(t, f.Version(), uint64(5))
}
