package storer_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// eraStore replies with the eras of a list, one a call.
type eraStore struct {
	eras  []storer.Era
	calls int
}

func (s *eraStore) next() storer.Era {
	s.calls++
	return s.eras[s.calls-1]
}

func (s *eraStore) CommitWithReceipt(context.Context, storer.Commit) (storer.Receipt, error) {
	return storer.Receipt{Era: s.next()}, nil
}

func (s *eraStore) List(context.Context, string) (storer.RowBatch, error) {
	return storer.RowBatch{Next: storer.Position{Era: s.next()}}, nil
}

func (s *eraStore) Watch(context.Context, string, storer.Position, time.Duration) (storer.RowBatch, error) {
	return storer.RowBatch{Next: storer.Position{Era: s.next()}}, nil
}

// TestGuard sends calls to a store whose replies are of different eras. A reply from before the
// newest era, however late, must not be used, nor a commit be sent that relies on an older one.
func TestGuard(t *testing.T) {
	type step struct {
		call   string     // commit, list, watch
		relies storer.Era // of the conditions or the position
		reply  storer.Era // 0 if the call must not be sent
		want   error
	}
	for _, tt := range []struct {
		name  string
		steps []step
		told  []storer.Era
	}{
		{"one era", []step{{"commit", 0, 1, nil}, {"commit", 1, 1, nil}, {"list", 0, 1, nil}, {"watch", 1, 1, nil}}, []storer.Era{1}},
		{"a new era during a commit", []step{{"commit", 0, 1, nil}, {"commit", 1, 2, storer.ErrEraChanged}, {"commit", 2, 2, nil}}, []storer.Era{1, 2}},
		{"a commit that relies on an older era", []step{{"list", 0, 3, nil}, {"commit", 2, 0, storer.ErrEraChanged}}, []storer.Era{3}},
		{"a late reply", []step{{"list", 0, 2, nil}, {"commit", 2, 1, storer.ErrUnavailable}, {"list", 0, 1, storer.ErrUnavailable}, {"watch", 2, 1, storer.ErrUnavailable}}, []storer.Era{2}},
		{"a feed goes on in a new era", []step{{"list", 0, 1, nil}, {"watch", 1, 2, storer.ErrHistoryLost}, {"list", 0, 2, nil}, {"watch", 2, 2, nil}}, []storer.Era{1, 2}},
		{"a feed calls after a commit has told the new era", []step{{"list", 0, 1, nil}, {"commit", 0, 2, storer.ErrEraChanged}, {"watch", 1, 0, storer.ErrHistoryLost}, {"list", 0, 2, nil}, {"watch", 2, 2, nil}}, []storer.Era{1, 2}},
		{"a position of the era to come", []step{{"list", 0, 2, nil}, {"watch", 3, 0, storer.ErrHistoryLost}}, []storer.Era{2}},
		{"the first reply is to a feed of an older era", []step{{"watch", 1, 2, storer.ErrHistoryLost}}, []storer.Era{2}},
		{"two eras at once", []step{{"commit", 0, 1, nil}, {"list", 0, 3, nil}, {"list", 0, 2, storer.ErrUnavailable}}, []storer.Era{1, 3}},
		{"a store without eras", []step{{"commit", 0, 0, nil}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := &eraStore{}
			var told []storer.Era
			guard := &storer.Guard{Store: store, OnEra: func(era storer.Era, first bool, _ storer.Era) {
				assert.Check(t, first == (len(told) == 0))
				told = append(told, era)
			}}
			for i, s := range tt.steps {
				sent := tt.told == nil || s.reply != 0
				if sent {
					store.eras = append(store.eras, s.reply)
				}
				var err error
				switch s.call {
				case "commit":
					_, err = guard.CommitWithReceipt(t.Context(), storer.Commit{Era: s.relies})
				case "list":
					_, err = guard.List(t.Context(), "t")
				case "watch":
					_, err = guard.Watch(t.Context(), "t", storer.Position{Era: s.relies, Version: 1}, time.Second)
				}
				assert.Assert(t, errors.Is(err, s.want), "step %d: %v", i, err)
				assert.Equal(t, store.calls, len(store.eras), "step %d", i)
			}
			if tt.told != nil {
				assert.DeepEqual(t, told, tt.told)
			}
		})
	}
}
