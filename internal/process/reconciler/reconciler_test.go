package reconciler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/recorder"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// memory is a store of which only the table of eras is used.
type memory struct{ *storer.Memory }

// List implements storer.Watcher.
func (m memory) List(ctx context.Context, table string) (storer.RowBatch, error) {
	rows, err := m.Scan(ctx, table+"/", "", 1000)
	return storer.RowBatch{Rows: rows, Next: storer.Position{Era: m.Era()}}, err
}

// Watch implements storer.Watcher.
func (memory) Watch(context.Context, string, storer.Position, time.Duration) (storer.RowBatch, error) {
	return storer.RowBatch{}, storer.ErrRefused
}

// holdings and counter stand in for those of a router that has counted itself.
type holdings struct{}

func (holdings) Rebased(storer.Era) (rebased, counted bool) { return true, true }
func (holdings) SetCounted(storer.Era)                      {}
func (holdings) OpenDraws(storer.Era)                       {}

type counter struct{}

func (counter) CountRecorded(context.Context, storer.Era, string, map[string]framer.Draw) (int64, error) {
	return 0, nil
}

func (counter) CountAtMost(context.Context, storer.Era, string, map[string]int64) (int64, error) {
	return 0, nil
}

// TestRouterWithoutRows counts a router that the store shows no trace of. It may have drawn after the
// copy, so it must count at most if its records may be incomplete, unless the whole fleet is new.
// It was counted as if it had drawn nothing.
func TestRouterWithoutRows(t *testing.T) {
	for _, tt := range []struct {
		name         string
		completeness recorder.Completeness
		othersHold   bool
		firstStart   bool
		previous     storer.Era // 0 for the first era that the process knows
		want         reconciler.Method
		// known is set if this process knew the router when the era began; opened tells that draws are
		// open, "with" the router among those counted or "without" it, or that the members are "unread".
		known  bool
		opened string
	}{
		{"its records are complete", recorder.Complete, true, false, 2, reconciler.Recorded, true, ""},
		{"some records may be forgotten", recorder.Reached, true, false, 2, reconciler.AtMost, true, ""},
		{"too few processes reply", recorder.Unreached, true, false, 2, reconciler.AtMost, true, ""},
		{"the fleet is new", recorder.Reached, false, true, 0, reconciler.Recorded, false, ""},
		{"the fleet is new, too few processes reply", recorder.Unreached, false, true, 0, reconciler.AtMost, false, ""},
		{"the copy is older than the fleet", recorder.Reached, false, false, 0, reconciler.AtMost, false, ""},
		{"the copy is older than the fleet, which has just started", recorder.Reached, false, true, 2, reconciler.AtMost, true, ""},
		{"it has joined since the era began", recorder.Reached, true, false, 2, reconciler.Recorded, false, ""},
		{"it has joined since, too few processes reply", recorder.Unreached, true, false, 2, reconciler.Recorded, false, ""},
		{"it is unknown to a process that doesn't know itself", recorder.Reached, true, false, 2, reconciler.AtMost, false, "unread"},
		{"it has joined since draws were opened", recorder.Reached, true, false, 0, reconciler.Recorded, false, "without"},
		{"draws were opened with it", recorder.Reached, true, false, 0, reconciler.AtMost, false, "with"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const era = 3
				store := memory{storer.NewMemory()}
				store.SetEra(era)
				if tt.opened != "" && tt.opened != "unread" {
					routers := map[string]string{"with": `"self","without rows"`, "without": `"self"`}[tt.opened]
					c := storer.Commit{Writes: []storer.Write{{Key: "eras/.open", Value: []byte(`{"era":3,"routers":[` + routers + `]}`)}}}
					assert.NilError(t, store.Commit(t.Context(), c))
				}
				methods := make(map[string]reconciler.Method)
				r := &reconciler.Reconciler{
					Store: store, Router: "self", FirstStart: tt.firstStart, Table: "eras", Key: func(router string) string { return "eras/" + router },
					Holdings: holdings{}, Counter: counter{}, Limits: func() map[string]int64 { return nil },
					Routers: func(context.Context) ([]string, error) { return []string{"self", "without rows"}, nil },
					Known: func() []string {
						switch {
						case tt.opened == "unread":
							return nil
						case tt.known:
							return []string{"self", "without rows"}
						}
						return []string{"self"}
					},
					HasRows: func(_ context.Context, router string) (bool, error) { return tt.othersHold && router == "self", nil },
					Fetch: func(context.Context, string, time.Duration) (map[string]framer.Draw, recorder.Completeness) {
						return nil, tt.completeness
					},
					OnCounted: func(_ storer.Era, router string, method reconciler.Method, _ int64) { methods[router] = method },
				}
				r.SetEra(era, tt.previous == 0, tt.previous)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				r.Run(ctx)
				assert.Equal(t, methods["self"], reconciler.Own)
				assert.Equal(t, methods["without rows"], tt.want)
			})
		})
	}
}

// TestRouterThatHasLeft counts a router after it has left, with recorders that have all started again since. It must
// count at most only if it may have drawn after the copy. It did so always, and all budgets were withheld for good.
func TestRouterThatHasLeft(t *testing.T) {
	for _, tt := range []struct {
		name         string
		completeness recorder.Completeness
		leftBefore   time.Duration // the era; 0 if this process doesn't know that it has
		unseen       time.Duration // for how long this process had not read the store when it saw the era
		counted      storer.Era    // the era in which it was counted last
		want         reconciler.Method
	}{
		{"before the copy", recorder.Reached, reconciler.MaxCopyAge, 0, 2, reconciler.Recorded},
		{"maybe after the copy", recorder.Reached, reconciler.MaxCopyAge - time.Second, 0, 2, reconciler.AtMost},
		{"maybe after the copy, as the store was out of reach", recorder.Reached, 18 * time.Second, 4 * time.Second, 2, reconciler.AtMost},
		{"it may have started again, as the store was out of reach", recorder.Reached, time.Hour, 6 * time.Second, 2, reconciler.AtMost},
		{"before the copy, and the recorders can't be reached", recorder.Unreached, time.Hour, 0, 2, reconciler.AtMost},
		{"an hour before the copy", recorder.Reached, time.Hour, 0, 2, reconciler.Recorded},
		{"before an era that this process doesn't know", recorder.Reached, time.Hour, 0, 1, reconciler.AtMost},
		{"it hasn't", recorder.Reached, 0, 0, 2, reconciler.AtMost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const era = 3
				store := memory{storer.NewMemory()}
				store.SetEra(era)
				row := fmt.Sprintf(`{"era":%d,"method":"own","by":"left"}`, tt.counted)
				assert.NilError(t, store.Commit(t.Context(), storer.Commit{Writes: []storer.Write{{Key: "eras/left", Value: []byte(row)}}}))
				methods, began := make(map[string]reconciler.Method), time.Now()
				r := &reconciler.Reconciler{
					Store: store, Router: "self", Table: "eras", Key: func(router string) string { return "eras/" + router },
					Holdings: holdings{}, Counter: counter{}, Limits: func() map[string]int64 { return nil },
					Routers: func(context.Context) ([]string, error) { return []string{"self", "left"}, nil },
					HasRows: func(context.Context, string) (bool, error) { return true, nil },
					LeftFor: func(router string) time.Duration {
						if router != "left" || tt.leftBefore == 0 {
							return 0
						}
						return tt.leftBefore + time.Since(began)
					},
					Unseen: func() time.Duration { return tt.unseen },
					Fetch: func(context.Context, string, time.Duration) (map[string]framer.Draw, recorder.Completeness) {
						return nil, tt.completeness
					},
					OnCounted: func(_ storer.Era, router string, method reconciler.Method, _ int64) { methods[router] = method },
				}
				r.SetEra(era, false, 2)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				r.Run(ctx)
				assert.Equal(t, methods["left"], tt.want)
			})
		})
	}
}
