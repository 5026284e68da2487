package spender

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// errUnrecorded is returned for a commit that is not sent, since its draws could not be recorded.
var errUnrecorded = errors.New("draws are not recorded")

// record makes other processes remember draws before the commit that makes them. If this process
// dies in the moment in which the store comes back from a copy without the commit, they still
// know of it.
func (a *Allocator) record(ctx context.Context, draws []framer.Draw) error {
	if len(draws) == 0 {
		return nil
	}
	if err := a.Record(ctx, draws); err != nil {
		return errors.Wrap(errUnrecorded, err.Error())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range draws {
		if acct := a.accounts[d.Organisation]; acct.lastCommit == d.Commit {
			acct.unconfirmed = false
		}
	}
	return nil
}

// drawToRecord returns the draw that must be recorded before a plan is committed, if any.
func (a *Allocator) drawToRecord(organisation string, acct *holdingAccount, p *holdingPlan) (framer.Draw, bool) {
	drawn := p.held.drawn()
	changed := drawn != acct.held.drawn() || (acct.hasRecord && drawn != acct.recorded)
	if a.Record == nil || a.era == 0 || (!changed && !acct.unconfirmed) {
		return framer.Draw{}, false
	}
	acct.recorded, acct.hasRecord, acct.unconfirmed = drawn, true, true
	return framer.Draw{Organisation: organisation, Commit: p.commit, Drawn: drawn}, true
}
