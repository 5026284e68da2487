// Package claimer lets a non-idempotent request run at most once, whichever
// router or target its caller's retries reach.
//
// The keys of a service are spread over slots, and each slot is owned by one
// agent's incarnation: only there may its keys run. A claim is a row that is
// inserted before the run, on condition that it does not exist and that the
// slot has not changed hands. While the platform does not answer, an owner
// goes on with loose claims: it keeps them in memory, the router that handed
// the request over and a second one keep them too, and they are committed
// later. A slot of a dead owner is freed only after every router has named what
// it knows to be handed over and has promised to hand over no more; see package
// recoverer.
//
// # Usage
//
//	claims := &claimer.Claimer{Table: table, Service: "depot-api", Owner: owner, Members: members}
//	go claims.Run(ctx)
//	claim, err := claims.Begin(ctx, claimer.Key{Service: "depot-api", Organisation: "alpha", Key: key}, requestID, true)
//	var started *claimer.StartedError
//	if errors.As(err, &started) {
//		// it was started before; started.Answer holds the answer if it is known
//	}
//	claims.Finish(ctx, claim, claimer.Answer{Status: 201, Body: body})
//
// A Claimer without Members has no slots: it claims at the platform or not at
// all. Agents of models use it so.
package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// maxKeptAnswerBytes bounds an answer that is kept for replay.
	maxKeptAnswerBytes = 16 << 10
	// claimTimeout bounds the wait for the platform before a run.
	claimTimeout = 400 * time.Millisecond
	// finishTimeout bounds the commit that stores an answer.
	finishTimeout = 2 * time.Second
	// looseAfterFailure is how long claims stay loose without asking the
	// platform again after it has failed to answer.
	looseAfterFailure = time.Second
)

// Errors of claims.
var (
	// ErrNotClaimed is returned when the platform can't be asked; nothing has run.
	ErrNotClaimed = errors.New("the claim could not be made")
	// ErrNotOwner is returned for a key whose slot this agent does not own.
	ErrNotOwner = errors.New("the slot of the key has another owner")
)

// StartedError is returned for a key whose run was started before.
type StartedError struct {
	RequestID string
	// Response is nil while the run is in progress or when its answer was not kept.
	Response *Response
}

// Error implements error.
func (e *StartedError) Error() string {
	return "a request with this idempotency key was started before as " + e.RequestID
}

// Claim is a claim that has been made by this process.
type Claim struct {
	key       Key
	requestID string
	// Uncommitted is set if the claim was not durable when the run began.
	Uncommitted bool
}

// record is what this process knows of a key.
type record struct {
	requestID string
	answer    *Response
}

// Claimer makes claims for one agent.
//
// Exported fields are set before Run.
type Claimer struct {
	Table   storer.Table
	Service string
	Owner   Owner
	// TargetCount returns how many targets serve the service; nil means no slots.
	TargetCount func() int

	mu         sync.Mutex // guards all below; not held during calls to the platform
	records    map[Key]*record
	loose      map[Key]bool // claims that are not durable yet
	slots      map[int]*slot
	absent     map[int]int
	looseUntil time.Time
	lastWrite  time.Time
	leaving    bool
}

// Begin claims a key for a run, or returns a StartedError, ErrNotOwner or ErrNotClaimed.
//
// Only a request whose handover two routers keep may run under a loose claim.
func (c *Claimer) Begin(ctx context.Context, key Key, requestID string, witnessed bool) (*Claim, error) {
	s, err := c.enter(key)
	if err != nil {
		return nil, err
	}
	defer c.leave(s)
	if err := c.remember(key, requestID); err != nil {
		return nil, err
	}
	claim := &Claim{key: key, requestID: requestID}
	err = c.insert(ctx, claim, s)
	if errors.Is(err, ErrNotClaimed) && s != nil && witnessed {
		claim.Uncommitted = true
		c.markLoose(key)
		return claim, nil
	}
	if err != nil {
		c.forget(key, err)
		return nil, err
	}
	return claim, nil
}

// remember records a key before its claim is made, so that a second request
// for it is refused meanwhile.
func (c *Claimer) remember(key Key, requestID string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[key]; ok {
		return &StartedError{RequestID: r.requestID, Response: r.answer}
	}
	if c.records == nil {
		c.records = make(map[Key]*record)
	}
	c.records[key] = &record{requestID: requestID}
	return nil
}

// forget drops a key whose claim failed, or keeps what the platform knows of it.
func (c *Claimer) forget(key Key, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, key)
	var started *StartedError
	if errors.As(err, &started) {
		c.records[key] = &record{requestID: started.RequestID, answer: started.Response}
	}
}

// insert makes the claim durable.
func (c *Claimer) insert(ctx context.Context, claim *Claim, s *slot) error {
	if c.suspended() {
		return ErrNotClaimed
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	const tries = 2 // the owner itself may have rewritten the slot's row meanwhile
	var err error
	for range tries {
		if err = c.commitClaim(ctx, claim, s); err == nil {
			return nil
		}
		again, explained := c.explain(ctx, claim, s, err)
		if !again {
			return explained
		}
	}
	return errors.Wrap(ErrNotClaimed, err.Error())
}

func (c *Claimer) commitClaim(ctx context.Context, claim *Claim, s *slot) error {
	var commit storer.Commit
	commit.Update(claim.key.RowKey(), 0, EncodeStartedClaim(claim.requestID))
	if s != nil {
		commit.Conditions = append(commit.Conditions, storer.Condition{
			Key: SlotKey(c.Service, claim.key.Slot()), Version: c.slotVersion(s),
		})
	}
	return c.Table.Commit(ctx, commit)
}

// explain finds out why a commit failed; again means that it may be repeated.
func (c *Claimer) explain(ctx context.Context, claim *Claim, s *slot, err error) (again bool, _ error) {
	slotKey := SlotKey(c.Service, claim.key.Slot())
	rows, readErr := c.Table.Read(ctx, claim.key.RowKey(), slotKey)
	if readErr != nil {
		c.suspend()
		return false, errors.Wrap(ErrNotClaimed, err.Error())
	}
	if rows[0].Version != 0 {
		return false, c.claimed(claim, rows[0])
	}
	if s == nil {
		return true, nil
	}
	if !c.refreshSlot(claim.key.Slot(), rows[1]) {
		return false, ErrNotOwner
	}
	return true, nil
}

// claimed returns nil if the claim that stands is this one.
func (c *Claimer) claimed(claim *Claim, row storer.Row) error {
	stored, err := decodeClaim(row.Value)
	if err != nil {
		return err
	}
	if stored.RequestID == claim.requestID {
		return nil // the answer of our own commit was lost
	}
	return &StartedError{RequestID: stored.RequestID, Response: stored.answer()}
}

// suspended reports whether the platform has failed just now.
func (c *Claimer) suspended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.TargetCount != nil && time.Now().Before(c.looseUntil)
}

func (c *Claimer) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looseUntil = time.Now().Add(looseAfterFailure)
}

// Finish records the answer of a claimed run for retries.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, answer Response) {
	if len(answer.Body) > maxKeptAnswerBytes {
		answer.Body = nil
	}
	c.mu.Lock()
	if r, ok := c.records[claim.key]; ok {
		r.answer = &answer
	}
	c.mu.Unlock()
	if !claim.Uncommitted {
		c.store(ctx, claim, answer)
	}
}

// store writes the answer beside the claim; losing it only loses the replay.
func (c *Claimer) store(ctx context.Context, claim *Claim, answer Response) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	row, err := storer.ReadOne(ctx, c.Table, claim.key.RowKey())
	if err != nil || row.Version == 0 {
		return
	}
	var commit storer.Commit
	commit.Update(row.Key, row.Version, encodeClaim(finishedRow(claim.requestID, &answer)))
	_ = c.Table.Commit(ctx, commit)
}
