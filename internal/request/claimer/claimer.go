// Package claimer makes a non-idempotent request run at most once, whichever
// router or target the client's retries reach.
//
// The idempotency keys of a service are hashed to slots. Each slot is owned by one
// incarnation of an agent, and only that incarnation may run its keys. Before a run,
// the owner inserts a claim row, on condition that the row does not exist and that
// the slot still has the same owner. While the platform does not respond, an owner
// goes on with uncommitted claims: it keeps them in memory, the router that
// dispatched the request and a backup router keep dispatch records, and the claims
// are committed later. The slots of a dead owner are freed only after every router
// has listed what it has dispatched to it and has promised to dispatch nothing
// more; see package recoverer.
//
// # Usage
//
//	claims := &claimer.Claimer{Table: table, Service: "depot-api", Owner: owner, TargetCount: count}
//	go claims.Run(ctx)
//	claim, err := claims.Begin(ctx, claimer.Key{Service: "depot-api", Organisation: "alpha", Key: key}, requestID, true)
//	var started *claimer.StartedError
//	if errors.As(err, &started) {
//		// it has already started; started.Response holds the response if it is known
//	}
//	claims.Finish(ctx, claim, claimer.Response{Status: 201, Body: body})
//
// A Claimer without TargetCount has no slots, and its claims are always committed
// before the run. Agents of models use it this way.
package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// maxStoredResponseBytes bounds the body of a response that is kept for replay,
	// since it is stored in the claim's row.
	maxStoredResponseBytes = 16 << 10
	// claimTimeout bounds the wait for the platform before a run.
	claimTimeout = 400 * time.Millisecond
	// finishTimeout bounds the commit that stores a response, and one reconciliation.
	finishTimeout = 2 * time.Second
	// breakerOpenTime is how long claims stay uncommitted without another call to
	// the platform after it has failed to respond.
	breakerOpenTime = time.Second
)

// Errors of claims.
var (
	// ErrNotClaimed is returned when the platform does not commit the claim; nothing
	// has run.
	ErrNotClaimed = errors.New("the claim could not be committed")
	// ErrNotOwner is returned for a key whose slot this agent does not own, has not
	// loaded yet or is releasing.
	ErrNotOwner = errors.New("this agent does not own the slot of the key")
)

// StartedError is returned for a key whose run has already started.
type StartedError struct {
	// RequestID is the ID of the request that started it.
	RequestID string
	// Response is nil while the run is in progress or if its response was not kept.
	Response *Response
}

// Error implements error.
func (e *StartedError) Error() string {
	return "a request with this idempotency key has already started: " + e.RequestID
}

// Claim is a claim that has been made by this process.
type Claim struct {
	key       Key
	requestID string
	// Uncommitted is set if the claim was not durable when the run started.
	Uncommitted bool
}

// claimRecord is the in-memory copy of a claim.
type claimRecord struct {
	requestID string
	response  *Response
}

// Claimer makes claims for one agent. Exported fields are set before Run.
type Claimer struct {
	Table   storer.Table
	Service string
	Owner   Owner
	// TargetCount returns the number of targets that serve the service; nil disables
	// slots.
	TargetCount func() int

	mu               sync.Mutex // guards all below; not held during calls to the platform
	records          map[Key]*claimRecord
	uncommitted      map[Key]bool // claims that are not durable yet
	slots            map[int]*slotState
	unownedRounds    map[int]int // consecutive rounds without an owner, by slot
	breakerOpenUntil time.Time
	lastRefresh      time.Time
	draining         bool
}

// Begin claims a key for a run, or returns a *StartedError, ErrNotOwner or ErrNotClaimed.
//
// A request may run under an uncommitted claim only if backedUp is set, that is, if
// two routers keep its dispatch record.
func (c *Claimer) Begin(ctx context.Context, key Key, requestID string, backedUp bool) (*Claim, error) {
	owned, err := c.pinSlot(key)
	if err != nil {
		return nil, err
	}
	defer c.unpinSlot(owned)
	if err := c.addRecord(key, requestID); err != nil {
		return nil, err
	}
	claim := &Claim{key: key, requestID: requestID}
	err = c.insert(ctx, claim, owned)
	if errors.Is(err, ErrNotClaimed) && owned != nil && backedUp {
		claim.Uncommitted = true
		c.markUncommitted(key)
		return claim, nil
	}
	if err != nil {
		c.dropRecord(key, err)
		return nil, err
	}
	return claim, nil
}

// addRecord records a key before its claim is committed, so that a second request
// with the same key is refused in the meantime.
func (c *Claimer) addRecord(key Key, requestID string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[key]; ok {
		return &StartedError{RequestID: r.requestID, Response: r.response}
	}
	if c.records == nil {
		c.records = make(map[Key]*claimRecord)
	}
	c.records[key] = &claimRecord{requestID: requestID}
	return nil
}

// dropRecord removes a key whose claim failed. If another request has claimed it, that
// claim is recorded instead.
func (c *Claimer) dropRecord(key Key, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, key)
	var started *StartedError
	if errors.As(err, &started) {
		c.records[key] = &claimRecord{requestID: started.RequestID, response: started.Response}
	}
}

// insert makes the claim durable.
func (c *Claimer) insert(ctx context.Context, claim *Claim, owned *slotState) error {
	if c.breakerOpen() {
		return ErrNotClaimed
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	const attempts = 2 // refreshRows may have rewritten the slot's row in the meantime
	var err error
	for range attempts {
		if err = c.commitClaim(ctx, claim, owned); err == nil {
			return nil
		}
		retry, cause := c.diagnose(ctx, claim, owned, err)
		if !retry {
			return cause
		}
	}
	return errors.Wrap(ErrNotClaimed, err.Error())
}

func (c *Claimer) commitClaim(ctx context.Context, claim *Claim, owned *slotState) error {
	var commit storer.Commit
	commit.Update(claim.key.RowKey(), 0, EncodeStartedClaim(claim.requestID))
	if owned != nil {
		commit.Conditions = append(commit.Conditions, storer.Condition{
			Key: SlotKey(c.Service, claim.key.Slot()), Version: c.slotVersion(owned),
		})
	}
	return c.Table.Commit(ctx, commit)
}

// diagnose finds out why a commit failed; retry is set if it may be repeated.
func (c *Claimer) diagnose(ctx context.Context, claim *Claim, owned *slotState, err error) (retry bool, _ error) {
	slotKey := SlotKey(c.Service, claim.key.Slot())
	rows, readErr := c.Table.Read(ctx, claim.key.RowKey(), slotKey)
	if readErr != nil {
		c.openBreaker()
		return false, errors.Wrap(ErrNotClaimed, err.Error())
	}
	if rows[0].Version != 0 {
		return false, c.checkStoredClaim(claim, rows[0])
	}
	if owned == nil {
		return true, nil
	}
	if !c.updateSlotVersion(claim.key.Slot(), rows[1]) {
		return false, ErrNotOwner
	}
	return true, nil
}

// checkStoredClaim returns nil if the stored claim is this one.
func (c *Claimer) checkStoredClaim(claim *Claim, row storer.Row) error {
	stored, err := decodeClaim(row.Value)
	if err != nil {
		return err
	}
	if stored.RequestID == claim.requestID {
		return nil // our own commit took effect, but its reply was lost
	}
	return &StartedError{RequestID: stored.RequestID, Response: stored.response()}
}

// breakerOpen reports whether the circuit breaker is open because the platform has
// just failed to respond. A Claimer without slots has no breaker.
func (c *Claimer) breakerOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.TargetCount != nil && time.Now().Before(c.breakerOpenUntil)
}

func (c *Claimer) openBreaker() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakerOpenUntil = time.Now().Add(breakerOpenTime)
}

// Finish records the response of a claimed run, which is replayed to retries. A response
// with a body above maxStoredResponseBytes is not kept at all, so that retries never
// receive a part of it as the response.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, response Response) {
	if len(response.Body) > maxStoredResponseBytes {
		return
	}
	c.mu.Lock()
	if r, ok := c.records[claim.key]; ok {
		r.response = &response
	}
	c.mu.Unlock()
	if !claim.Uncommitted {
		c.storeResponse(ctx, claim, response)
	}
}

// storeResponse writes the response to the claim's row. Errors are ignored: without the
// response only the replay is lost.
func (c *Claimer) storeResponse(ctx context.Context, claim *Claim, response Response) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	row, err := storer.ReadOne(ctx, c.Table, claim.key.RowKey())
	if err != nil || row.Version == 0 {
		return
	}
	var commit storer.Commit
	commit.Update(row.Key, row.Version, encodeClaim(newClaimRow(claim.requestID, &response)))
	_ = c.Table.Commit(ctx, commit)
}
