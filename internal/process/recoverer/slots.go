package recoverer

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/claimer"
)

// errUnconfirmed is returned when not every router has confirmed that it
// dispatches nothing more to a dead owner.
var errUnconfirmed = errors.New("not every router has revoked the agent")

// scanSlots releases the slots of dead owners.
//
// An owner may have run keys whose claim it never committed. A slot is therefore
// released only if every live router promises to dispatch nothing more to the
// owner and lists what it has dispatched; the listed keys are claimed durably in
// the same commit. A router that died since the owner last wrote its rows without
// uncommitted claims can't be asked. Two routers keep each dispatch record, so one
// such death is harmless; after two, the slot stays held.
func (r *Recoverer) scanSlots(ctx context.Context) error {
	rows, err := claimer.ReadSlots(ctx, r.Table, "")
	if err != nil {
		return err
	}
	byOwner := make(map[claimer.Owner][]claimer.SlotRow)
	for _, row := range rows {
		byOwner[row.Owner] = append(byOwner[row.Owner], row)
	}
	for owner, slots := range byOwner {
		if !r.Fleet.AgentDown(owner.Target, owner.Incarnation) {
			continue
		}
		err := r.releaseSlots(ctx, owner, slots)
		switch {
		case err == nil:
			logger.SlotReleased.Log(r.Log, "target", owner.Target, "incarnation", owner.Incarnation, "slots", len(slots))
		case errors.Is(err, errUnconfirmed) && !r.loggedStuck[owner.Incarnation]:
			r.loggedStuck[owner.Incarnation] = true
			logger.SlotStuck.Log(r.Log, "target", owner.Target, "incarnation", owner.Incarnation, "reason", err.Error())
		case errors.Is(err, storer.ErrUnavailable):
			return err
		}
	}
	return nil
}

// releaseSlots releases the slots of one dead owner in one commit.
func (r *Recoverer) releaseSlots(ctx context.Context, owner claimer.Owner, slots []claimer.SlotRow) error {
	epoch, err := storer.ReadOne(ctx, r.Table, bookkeeper.EpochKey)
	if err != nil {
		return err
	}
	if err := r.checkFencedRouters(ctx, slots); err != nil {
		return err
	}
	dispatches, err := r.revokeAgent(ctx, owner)
	if err != nil {
		return err
	}
	var c storer.Commit
	c.Conditions = append(c.Conditions, storer.Condition{Key: epoch.Key, Version: epoch.Version})
	for _, s := range slots {
		c.Update(claimer.SlotKey(s.Service, s.Slot), s.Version, nil)
	}
	if err := r.claimDispatches(ctx, &c, dispatches); err != nil {
		return err
	}
	return r.Table.Commit(ctx, c)
}

// maxFencedRouters is the maximum number of routers that may have been fenced since
// an owner last wrote its rows: two routers keep each dispatch record.
const maxFencedRouters = 1

// checkFencedRouters returns errUnconfirmed if more than maxFencedRouters routers
// have been fenced since the owner last wrote its rows.
func (r *Recoverer) checkFencedRouters(ctx context.Context, slots []claimer.SlotRow) error {
	fencedRows, err := storer.ScanAll(ctx, r.Table, bookkeeper.FencedPrefix)
	if err != nil {
		return err
	}
	oldest := slots[0].Version
	for _, s := range slots {
		oldest = min(oldest, s.Version)
	}
	fenced := 0
	for _, row := range fencedRows {
		if row.Version > oldest {
			fenced++
		}
	}
	if fenced > maxFencedRouters {
		return errors.Wrapf(errUnconfirmed, "%d routers were fenced since the owner last wrote its rows", fenced)
	}
	return nil
}

// revokeAgent asks every live router to dispatch nothing more to an owner, and
// returns what they have dispatched to it.
func (r *Recoverer) revokeAgent(ctx context.Context, owner claimer.Owner) ([]framer.Dispatch, error) {
	rows, err := storer.ScanAll(ctx, r.Table, bookkeeper.HolderPrefix)
	if err != nil {
		return nil, err
	}
	var all []framer.Dispatch
	for _, row := range rows {
		h, err := bookkeeper.DecodeHolder(row.Value)
		if err != nil {
			return nil, err
		}
		if h.Fenced {
			continue // checkFencedRouters counts the fenced ones
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		revoked, err := r.Fleet.RevokeAgent(callCtx, h.Router, h.Incarnation, &framer.RevokeAgent{Agent: owner.Incarnation})
		cancel()
		if err != nil {
			return nil, errors.Wrapf(errUnconfirmed, "router %s does not respond", h.Incarnation)
		}
		if revoked.Refused {
			return nil, errors.Wrapf(errUnconfirmed, "router %s can still reach the agent", h.Incarnation)
		}
		all = append(all, revoked.Dispatches...)
	}
	return all, nil
}

// claimDispatches adds to a commit the claims of keys that routers have dispatched
// to a dead owner, except those that exist already.
func (r *Recoverer) claimDispatches(ctx context.Context, c *storer.Commit, dispatches []framer.Dispatch) error {
	var added []string
	for _, d := range dispatches {
		key := claimer.Key{Service: d.Service, Organisation: d.Organisation, Key: d.Key}.RowKey()
		row, err := storer.ReadOne(ctx, r.Table, key)
		if err != nil {
			return err
		}
		if row.Version == 0 && !slices.Contains(added, key) {
			c.Update(key, 0, claimer.EncodeStartedClaim(d.RequestID))
			added = append(added, key)
		}
	}
	return nil
}
