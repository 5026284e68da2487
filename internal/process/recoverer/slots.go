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

// errUnconfirmed is returned when not every router has given its word on a
// dead owner.
var errUnconfirmed = errors.New("not every router has given its word")

// scanSlots frees the slots of owners that are dead.
//
// An owner may have run keys whose claim it never made durable. So a slot is
// freed only if every router alive promises to hand the owner nothing more and
// names what it has handed over; what it names is claimed for good in the same
// commit. A router that died since the owner last wrote its rows without loose
// claims can't be asked; as each handover is kept by two routers, one such death
// does no harm, and after two the slot stays held.
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
		err := r.freeSlots(ctx, owner, slots)
		switch {
		case err == nil:
			logger.SlotReleased.Log(r.Log, "target", owner.Target, "incarnation", owner.Incarnation, "slots", len(slots))
		case errors.Is(err, errUnconfirmed) && !r.stuck[owner.Incarnation]:
			r.stuck[owner.Incarnation] = true
			logger.SlotStuck.Log(r.Log, "target", owner.Target, "incarnation", owner.Incarnation, "reason", err.Error())
		case errors.Is(err, storer.ErrUnavailable):
			return err
		}
	}
	return nil
}

// freeSlots frees the slots of one dead owner in one commit.
func (r *Recoverer) freeSlots(ctx context.Context, owner claimer.Owner, slots []claimer.SlotRow) error {
	epoch, err := storer.ReadOne(ctx, r.Table, bookkeeper.EpochKey)
	if err != nil {
		return err
	}
	if err := r.checkDeaths(ctx, slots); err != nil {
		return err
	}
	handovers, err := r.forsake(ctx, owner)
	if err != nil {
		return err
	}
	var c storer.Commit
	c.Conditions = append(c.Conditions, storer.Condition{Key: epoch.Key, Version: epoch.Version})
	for _, s := range slots {
		c.Update(claimer.SlotKey(s.Service, s.Slot), s.Version, nil)
	}
	if err := r.claimHandovers(ctx, &c, handovers); err != nil {
		return err
	}
	return r.Table.Commit(ctx, c)
}

// maxDeaths is how many routers may have died since an owner last wrote its rows.
const maxDeaths = 1

// checkDeaths returns errUnconfirmed if too many routers died since the owner last wrote its rows.
func (r *Recoverer) checkDeaths(ctx context.Context, slots []claimer.SlotRow) error {
	deaths, err := storer.ScanAll(ctx, r.Table, bookkeeper.FencedPrefix)
	if err != nil {
		return err
	}
	oldest := slots[0].Version
	for _, s := range slots {
		oldest = min(oldest, s.Version)
	}
	since := 0
	for _, death := range deaths {
		if death.Version > oldest {
			since++
		}
	}
	if since > maxDeaths {
		return errors.Wrapf(errUnconfirmed, "%d routers died too", since)
	}
	return nil
}

// forsake asks every router alive for its word on an owner.
func (r *Recoverer) forsake(ctx context.Context, owner claimer.Owner) ([]framer.Handover, error) {
	rows, err := storer.ScanAll(ctx, r.Table, bookkeeper.HolderPrefix)
	if err != nil {
		return nil, err
	}
	var all []framer.Handover
	for _, row := range rows {
		h, err := bookkeeper.DecodeHolder(row.Value)
		if err != nil {
			return nil, err
		}
		if h.Fenced {
			continue // checkDeaths has seen to it
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		word, err := r.Fleet.RevokeAgent(callCtx, h.Router, h.Incarnation, &framer.Forsake{Agent: owner.Incarnation})
		cancel()
		if err != nil {
			return nil, errors.Wrapf(errUnconfirmed, "%s does not answer", h.Incarnation)
		}
		if word.Refused {
			return nil, errors.Wrapf(errUnconfirmed, "%s still has its answer", h.Incarnation)
		}
		all = append(all, word.Handovers...)
	}
	return all, nil
}

// claimHandovers adds claims for what routers have handed to a dead owner.
func (r *Recoverer) claimHandovers(ctx context.Context, c *storer.Commit, handovers []framer.Handover) error {
	var added []string
	for _, h := range handovers {
		key := claimer.Key{Service: h.Service, Organisation: h.Organisation, Key: h.Key}.RowKey()
		row, err := storer.ReadOne(ctx, r.Table, key)
		if err != nil {
			return err
		}
		if row.Version == 0 && !slices.Contains(added, key) {
			c.Update(key, 0, claimer.EncodeStartedClaim(h.RequestID))
			added = append(added, key)
		}
	}
	return nil
}
