package relayer

import (
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/storer"
)

func encodeCommit(c storer.Commit) *framer.RelayCommit {
	m := &framer.RelayCommit{}
	for _, cond := range c.Conditions {
		m.Conditions = append(m.Conditions, framer.RowCondition(cond))
	}
	for _, w := range c.Writes {
		m.Writes = append(m.Writes, framer.RowWrite{Key: w.Key, Value: w.Value, Delete: w.Value == nil})
	}
	return m
}

func decodeCommit(m *framer.RelayCommit) storer.Commit {
	var c storer.Commit
	for _, cond := range m.Conditions {
		c.Conditions = append(c.Conditions, storer.Condition(cond))
	}
	for _, w := range m.Writes {
		value := w.Value
		if !w.Delete && value == nil {
			value = []byte{}
		}
		c.Writes = append(c.Writes, storer.Write{Key: w.Key, Value: value})
	}
	return c
}

func encodeRow(r storer.Row) framer.RowValue {
	return framer.RowValue{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Value == nil}
}

func decodeRow(r framer.RowValue, era storer.Era) storer.Row {
	value := r.Value
	if r.Deleted {
		value = nil
	}
	return storer.Row{Key: r.Key, Version: r.Version, Value: value, Era: era}
}

func decodeRowBatch(r *framer.Relayed) (storer.RowBatch, error) {
	batch := storer.RowBatch{Next: storer.Position{Era: storer.Era(r.Era), Version: r.Version}}
	limit := maxReplyBytes
	for _, row := range r.Rows {
		row, err := decompress(row, limit)
		if err != nil {
			return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, err.Error())
		}
		limit = max(limit-len(row.Value), 0)
		batch.Rows = append(batch.Rows, decodeRow(row, batch.Next.Era))
	}
	return batch, decodeError(r)
}

// encodeError returns the reply for an error of the store, or for success if err is nil.
func encodeError(err error) *framer.Relayed {
	r := &framer.Relayed{}
	if err == nil {
		return r
	}
	r.Error = err.Error()
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		r.Outcome, r.Clock, r.Era = framer.RelayConflict, conflict.Clock, uint64(conflict.Era)
		for _, row := range conflict.Rows {
			r.Rows = append(r.Rows, encodeRow(row))
		}
	case errors.Is(err, storer.ErrHistoryLost):
		r.Outcome = framer.RelayHistoryLost
	case errors.Is(err, storer.ErrRefused):
		r.Outcome = framer.RelayRefused
	default:
		r.Outcome = framer.RelayUnavailable
	}
	return r
}

// decodeError returns the error that a reply reports, or nil.
func decodeError(r *framer.Relayed) error {
	switch r.Outcome {
	case framer.RelayOK:
		return nil
	case framer.RelayConflict:
		conflict := &storer.ConflictError{Clock: r.Clock, Era: storer.Era(r.Era)}
		for _, row := range r.Rows {
			conflict.Rows = append(conflict.Rows, decodeRow(row, conflict.Era))
		}
		return conflict
	case framer.RelayHistoryLost:
		return storer.ErrHistoryLost
	case framer.RelayRefused:
		return errors.Wrap(storer.ErrRefused, r.Error)
	default:
		return errors.Wrap(storer.ErrUnavailable, r.Error)
	}
}
