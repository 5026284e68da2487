package claimer

import (
	"context"
	"time"

	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	reconcileInterval = time.Second
	// refreshInterval is how often an owner without uncommitted claims rewrites its
	// rows. Routers that died before the last rewrite can't have records of
	// uncommitted claims.
	refreshInterval = 10 * time.Second
	// maxUnownedRounds is the number of reconciliations after which an agent takes an
	// unowned slot beyond its fair share.
	maxUnownedRounds = 3
	// maxCommitsPerRound bounds the uncommitted claims committed in one reconciliation.
	maxCommitsPerRound = 200
	// slotRequestPrefix is the key prefix of the rows by which agents request slots.
	slotRequestPrefix = "want/"
)

// slotState is the state of a slot that this agent owns.
type slotState struct {
	version uint64
	pins    int  // claims in progress
	loaded  bool // its claims have been read
	closing bool // takes no new claims and is being released
}

// Run acquires, refreshes and releases slots until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		c.Reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reconcile compares the owned slots with the platform's rows once. It then commits
// uncommitted claims, acquires and releases slots towards an equal share among the
// service's targets, and refreshes the rows of its slots.
func (c *Claimer) Reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	rows, err := ReadSlots(ctx, c.Table, c.Service)
	if err != nil {
		return
	}
	owned := c.syncSlots(rows)
	c.commitUncommitted(ctx)
	if c.isDraining() {
		return
	}
	if c.TargetCount() == 0 {
		return // no configuration yet
	}
	fairShare := (SlotsPerService + max(c.TargetCount(), 1) - 1) / max(c.TargetCount(), 1)
	for _, n := range c.unownedSlots(rows) {
		if owned < fairShare || c.unownedFor(n) >= maxUnownedRounds {
			if c.acquireSlot(ctx, n) {
				owned++
			}
		}
	}
	c.loadClaims(ctx)
	c.releaseIdleSlots(ctx, 0)
	c.rebalance(ctx, owned, fairShare)
	c.refreshRows(ctx)
}

// syncSlots updates the owned slots from their rows and returns their number.
func (c *Claimer) syncSlots(rows []SlotRow) int {
	ownedVersions := make(map[int]uint64)
	for _, row := range rows {
		if row.Owner == c.Owner {
			ownedVersions[row.Slot] = row.Version
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, s := range c.slots {
		version, ok := ownedVersions[n]
		if !ok {
			delete(c.slots, n)
			continue
		}
		s.version = version
	}
	for n, version := range ownedVersions {
		if _, ok := c.slots[n]; !ok {
			c.addSlot(n, version)
		}
	}
	return len(c.slots)
}

// addSlot records a slot as owned; it takes claims once its stored ones are loaded.
func (c *Claimer) addSlot(n int, version uint64) {
	if c.slots == nil {
		c.slots = make(map[int]*slotState)
	}
	c.slots[n] = &slotState{version: version}
}

// unownedSlots returns the slots without an owner and counts the rounds for which each
// has been unowned.
func (c *Claimer) unownedSlots(rows []SlotRow) []int {
	owned := make(map[int]bool)
	for _, row := range rows {
		owned[row.Slot] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unownedRounds == nil {
		c.unownedRounds = make(map[int]int)
	}
	var free []int
	for n := range SlotsPerService {
		if owned[n] {
			delete(c.unownedRounds, n)
			continue
		}
		c.unownedRounds[n]++
		free = append(free, n)
	}
	return free
}

func (c *Claimer) unownedFor(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unownedRounds[n]
}

// acquireSlot makes this agent the owner of a slot that has none.
func (c *Claimer) acquireSlot(ctx context.Context, n int) bool {
	var commit storer.Commit
	commit.Update(SlotKey(c.Service, n), 0, encodeOwner(c.Owner))
	if c.Table.Commit(ctx, commit) != nil {
		return false
	}
	row, err := storer.ReadOne(ctx, c.Table, SlotKey(c.Service, n))
	if err != nil {
		return false // the next Reconcile finds the row
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addSlot(n, row.Version)
	return true
}

// loadClaims reads the claims of newly acquired slots, so that they are enforced also
// while the platform is down.
func (c *Claimer) loadClaims(ctx context.Context) {
	for _, n := range c.unloadedSlots() {
		if !c.loadSlot(ctx, n) {
			return
		}
	}
}

func (c *Claimer) unloadedSlots() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var numbers []int
	for n, s := range c.slots {
		if !s.loaded {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

func (c *Claimer) loadSlot(ctx context.Context, n int) bool {
	rows, err := storer.ScanAll(ctx, c.Table, claimPrefix(c.Service, n))
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = make(map[Key]*claimRecord)
	}
	for _, row := range rows {
		key, err := keyOfRow(c.Service, n, row.Key)
		if err != nil {
			return false
		}
		claim, err := decodeClaim(row.Value)
		if err != nil {
			return false
		}
		c.records[key] = &claimRecord{requestID: claim.RequestID, response: claim.response()}
	}
	if s, ok := c.slots[n]; ok {
		s.loaded = true
	}
	return true
}

// rebalance requests slots if this agent has less than its share, withdraws the request
// once it has enough, and releases one slot if it has more than its share and another
// agent requests slots.
func (c *Claimer) rebalance(ctx context.Context, owned, fairShare int) {
	requests, err := storer.ScanAll(ctx, c.Table, slotRequestPrefix+c.Service+"/")
	if err != nil {
		return
	}
	ownKey := slotRequestPrefix + c.Service + "/" + c.Owner.Target
	requested, requestedByOthers := false, false
	var commit storer.Commit
	for _, row := range requests {
		if row.Key == ownKey {
			requested = true
			commit.Update(ownKey, row.Version, nil)
			continue
		}
		requestedByOthers = true
	}
	minShare := SlotsPerService / max(c.TargetCount(), 1)
	switch {
	case owned < minShare && !requested:
		commit = storer.Commit{}
		commit.Update(ownKey, 0, []byte(c.Owner.Incarnation))
		_ = c.Table.Commit(ctx, commit)
	case owned >= minShare && requested:
		_ = c.Table.Commit(ctx, commit)
	case owned > fairShare && requestedByOthers:
		c.releaseIdleSlots(ctx, 1)
	}
}

// releaseIdleSlots releases up to n slots without uncommitted claims or claims in progress,
// and those whose earlier release has an unknown outcome. A closed slot takes no claims
// again until its row has been deleted and inserted anew.
func (c *Claimer) releaseIdleSlots(ctx context.Context, n int) {
	for number, s := range c.closeSlots(n) {
		var commit storer.Commit
		commit.Update(SlotKey(c.Service, number), s.version, nil)
		err := c.Table.Commit(ctx, commit)
		if err != nil {
			continue
		}
		c.mu.Lock()
		delete(c.slots, number)
		c.mu.Unlock()
	}
}

// closeSlots closes up to n more slots to new claims and returns all that can be released.
func (c *Claimer) closeSlots(n int) map[int]*slotState {
	c.mu.Lock()
	defer c.mu.Unlock()
	uncommittedSlots := make(map[int]bool)
	for key := range c.uncommitted {
		uncommittedSlots[key.Slot()] = true
	}
	toRelease := make(map[int]*slotState)
	for number, s := range c.slots {
		if s.pins > 0 || uncommittedSlots[number] {
			continue
		}
		if s.closing || n > 0 {
			if !s.closing {
				n--
			}
			s.closing = true
			toRelease[number] = s
		}
	}
	return toRelease
}

// refreshRows rewrites the rows of all slots every refreshInterval while no claim is
// uncommitted.
func (c *Claimer) refreshRows(ctx context.Context) {
	c.mu.Lock()
	due := time.Since(c.lastRefresh) >= refreshInterval && len(c.uncommitted) == 0
	var commit storer.Commit
	for n, s := range c.slots {
		commit.Update(SlotKey(c.Service, n), s.version, encodeOwner(c.Owner))
	}
	if due {
		c.lastRefresh = time.Now()
	}
	c.mu.Unlock()
	if due && len(commit.Writes) > 0 {
		_ = c.Table.Commit(ctx, commit)
	}
}

// ReleaseSlots stops the acquisition of slots, releases those that it can and reports
// whether none is left.
func (c *Claimer) ReleaseSlots(ctx context.Context) bool {
	if c.TargetCount == nil {
		return true
	}
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.Reconcile(ctx)
	c.releaseIdleSlots(ctx, SlotsPerService)
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) == 0
}

func (c *Claimer) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// pinSlot returns the slot of a key and keeps it from being released until unpinSlot; it
// returns nil if slots are disabled.
func (c *Claimer) pinSlot(key Key) (*slotState, error) {
	if c.TargetCount == nil {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owned, ok := c.slots[key.Slot()]
	if !ok || !owned.loaded || owned.closing {
		return nil, ErrNotOwner
	}
	owned.pins++
	return owned, nil
}

func (c *Claimer) unpinSlot(owned *slotState) {
	if owned == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owned.pins--
}

func (c *Claimer) slotVersion(owned *slotState) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return owned.version
}

// updateSlotVersion updates a slot from its row; it returns false if the slot is lost.
func (c *Claimer) updateSlotVersion(n int, row storer.Row) bool {
	if row.Version == 0 {
		return false
	}
	r, err := decodeSlot(row)
	if err != nil || r.Owner != c.Owner {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.slots[n]; ok {
		s.version = r.Version
	}
	return true
}
