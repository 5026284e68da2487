package spender

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// flush commits what is due and reports whether nothing is left to commit.
func (s *Stocker) flush(ctx context.Context, urgent, closing bool) (clean bool) {
	var err error
	for try := range commitTries {
		if try > 1 {
			// The first conflict only tells that others have committed; more of them
			// tell that many do, and that all would conflict again at once.
			pauser.Pause(ctx, rand.N(conflictBackoff<<try))
		}
		var names []string
		names, err = s.commit(ctx, urgent, closing)
		if len(names) == 0 || !errors.Is(err, storer.ErrConflict) {
			clean = len(names) == 0
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil && !errors.Is(err, storer.ErrConflict)
	s.wakeWaiters()
	return clean
}

// commit sends one commit for the accounts that are due and takes over its outcome.
func (s *Stocker) commit(ctx context.Context, urgent, closing bool) (names []string, err error) {
	now := time.Now()
	names, c := s.plan(now, urgent, closing)
	if len(names) == 0 {
		return nil, nil
	}
	receipt, err := s.Table.CommitAt(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		for _, name := range names {
			s.accounts[name].applied(receipt.Version, now)
		}
	case errors.As(err, &conflict):
		s.takeOver(names, conflict.Rows, now)
	case errors.Is(err, storer.ErrRefused):
		for _, name := range names {
			if a := s.accounts[name]; !a.open.unanswered {
				a.need += a.open.need
				a.open = nil
			}
		}
	default:
		for _, name := range names {
			s.accounts[name].open.unanswered = true
		}
	}
	if s.Committed != nil {
		s.Committed(len(names), err)
	}
	return names, err
}

// plan makes up the commit of all accounts that are due.
func (s *Stocker) plan(now time.Time, urgent, closing bool) ([]string, storer.Commit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	var c storer.Commit
	for name, a := range s.accounts {
		if len(names) == maxCommitRows {
			break
		}
		p := s.planAccount(a, now, urgent, closing)
		if p == nil {
			continue
		}
		a.open = p
		c.Update(s.Prefix+name, a.version, encodeStockRow(p.row))
		names = append(names, name)
	}
	slices.Sort(names)
	return names, c
}

// planAccount returns the change of one row, or nil if none is due.
func (s *Stocker) planAccount(a *stockAccount, now time.Time, urgent, closing bool) *stockPlan {
	if a.open != nil {
		return a.open
	}
	if !a.changed && !closing && now.Sub(a.plannedAt) < idleInterval {
		return nil
	}
	a.plannedAt = now
	v := a.view(s.Incarnation, s.Horizon, now)
	change := StockChange(v)
	if closing {
		change = a.busy - v.Held
	}
	if urgent && a.need == 0 {
		return nil
	}
	if change == 0 && a.spent == 0 && a.need == 0 && a.version != 0 && !a.recovered {
		a.changed = false
		return nil
	}
	if closing && a.held.Held == 0 && a.spent == 0 && !a.recovered {
		return nil
	}
	a.commit++
	held := v.Held + change
	p := &stockPlan{commit: a.commit, settle: a.spent, need: a.need, held: RowHolder{
		Router: s.Router, Held: held, Mark: StockMark(v, held, s.Beats.Renewal()), Slope: StockSlope(v), Busy: a.busy,
		Rate: v.Rate, Commit: a.commit,
	}}
	p.row = Row{Spent: a.row.Spent + a.spent, Holders: make(map[string]RowHolder, len(a.row.Holders)+1)}
	for name, h := range a.row.Holders {
		if name != s.Incarnation {
			p.row.Holders[name] = h
		}
	}
	a.need = 0
	if held > 0 || !closing {
		p.row.Holders[s.Incarnation] = p.held
	}
	return p
}

// applied takes over the last commit, which took effect.
func (a *stockAccount) applied(version uint64, now time.Time) {
	p := a.open
	a.open = nil
	a.held = p.held
	a.spent -= p.settle
	a.row, a.version, a.seenAt = p.row, version, now
	a.recovered = false
	a.changed = a.spent > 0 || a.need > 0
}

// takeOver takes the rows of a conflict as the platform has them now and
// resolves open commits; a row that the platform doesn't list doesn't exist.
func (s *Stocker) takeOver(names []string, rows []storer.Row, now time.Time) {
	byName := make(map[string]storer.Row, len(rows))
	for _, r := range rows {
		byName[strings.TrimPrefix(r.Key, s.Prefix)] = r
	}
	for _, name := range names {
		row, err := decodeStockRow(byName[name].Value)
		if err != nil {
			s.failed(name, err)
			continue
		}
		a := s.accounts[name]
		mine := row.Holders[s.Incarnation]
		if a.open != nil && a.open.commit == mine.Commit {
			a.spent -= a.open.settle
		} else if a.open != nil {
			a.need += a.open.need
		}
		a.open = nil
		a.held = mine
		a.version, a.row, a.seenAt = byName[name].Version, row, now
		a.changed, a.recovered = true, false
		s.recover(name, a)
	}
}

// failed reports a row that can't be read.
func (s *Stocker) failed(organisation string, err error) {
	if s.Unreadable != nil {
		s.Unreadable(organisation, err)
	}
}

// recover counts as spent what earlier incarnations of this router may have
// promised, and gives the rest of their holdings back.
func (s *Stocker) recover(organisation string, a *stockAccount) {
	for name, h := range a.row.Holders {
		if h.Router != s.Router || name == s.Incarnation {
			continue
		}
		mark, silence := s.Beats.Last(name, organisation)
		spent := h.with(mark).Authorised(silence)
		a.row.Spent += spent
		delete(a.row.Holders, name)
		a.changed, a.recovered = true, true
		a.asked.seed(h.Rate, time.Now())
		if s.Recovered != nil {
			s.Recovered(organisation, spent, h.Held-spent)
		}
	}
}
