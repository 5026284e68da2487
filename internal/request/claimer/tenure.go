package claimer

import (
	"context"
	"time"

	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	reviewInterval = time.Second
	// refreshEvery is how often an owner without loose claims rewrites its rows;
	// routers that died before the last rewrite can't know of loose claims.
	refreshEvery = 10 * time.Second
	// absentReviews is how many reviews a slot may stay without an owner before
	// an agent takes it beyond its fair share.
	absentReviews = 3
	// loosePerReview bounds the loose claims committed between two reviews.
	loosePerReview = 200
	// wantPrefix starts the rows of agents that ask for slots.
	wantPrefix = "want/"
)

// slot is a slot that this agent owns.
type slot struct {
	version uint64
	users   int // claims being made
	loaded  bool
	closing bool
}

// Run takes, refreshes and gives up slots until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		c.Review(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Review compares the slots held with the platform's rows once.
func (c *Claimer) Review(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	rows, err := ReadSlots(ctx, c.Table, c.Service)
	if err != nil {
		return
	}
	owned := c.reconcile(rows)
	c.flushLoose(ctx)
	if c.isLeaving() {
		return
	}
	if c.TargetCount() == 0 {
		return // no configuration yet
	}
	fair := (SlotsPerService + max(c.TargetCount(), 1) - 1) / max(c.TargetCount(), 1)
	for _, n := range c.absentSlots(rows) {
		if owned < fair || c.absentFor(n) >= absentReviews {
			if c.take(ctx, n) {
				owned++
			}
		}
	}
	c.loadAll(ctx)
	c.giveUp(ctx, 0)
	c.share(ctx, owned, fair)
	c.refresh(ctx)
}

// reconcile drops slots that were lost and returns how many are left.
func (c *Claimer) reconcile(rows []SlotRow) int {
	mine := make(map[int]uint64)
	for _, row := range rows {
		if row.Owner == c.Owner {
			mine[row.Slot] = row.Version
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, s := range c.slots {
		version, ok := mine[n]
		if !ok {
			delete(c.slots, n)
			continue
		}
		s.version = version
	}
	for n, version := range mine {
		if _, ok := c.slots[n]; !ok {
			c.addSlot(n, version)
		}
	}
	return len(c.slots)
}

// addSlot notes a slot as owned; it is used once its claims are loaded.
func (c *Claimer) addSlot(n int, version uint64) {
	if c.slots == nil {
		c.slots = make(map[int]*slot)
	}
	c.slots[n] = &slot{version: version}
}

// absentSlots returns the slots without an owner, and counts for how long.
func (c *Claimer) absentSlots(rows []SlotRow) []int {
	held := make(map[int]bool)
	for _, row := range rows {
		held[row.Slot] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.absent == nil {
		c.absent = make(map[int]int)
	}
	var out []int
	for n := range SlotsPerService {
		if held[n] {
			delete(c.absent, n)
			continue
		}
		c.absent[n]++
		out = append(out, n)
	}
	return out
}

func (c *Claimer) absentFor(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absent[n]
}

// take makes this agent the owner of a slot that has none.
func (c *Claimer) take(ctx context.Context, n int) bool {
	var commit storer.Commit
	commit.Update(SlotKey(c.Service, n), 0, encodeOwner(c.Owner))
	if c.Table.Commit(ctx, commit) != nil {
		return false
	}
	row, err := storer.ReadOne(ctx, c.Table, SlotKey(c.Service, n))
	if err != nil {
		return false // the next review finds the row
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addSlot(n, row.Version)
	return true
}

// loadAll reads the claims of slots just taken, so that they hold while the
// platform is down too.
func (c *Claimer) loadAll(ctx context.Context) {
	for _, n := range c.unloaded() {
		if !c.load(ctx, n) {
			return
		}
	}
}

func (c *Claimer) unloaded() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []int
	for n, s := range c.slots {
		if !s.loaded {
			out = append(out, n)
		}
	}
	return out
}

func (c *Claimer) load(ctx context.Context, n int) bool {
	rows, err := storer.ScanAll(ctx, c.Table, claimPrefix(c.Service, n))
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = make(map[Key]*record)
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
		c.records[key] = &record{requestID: claim.RequestID, answer: claim.answer()}
	}
	if s, ok := c.slots[n]; ok {
		s.loaded = true
	}
	return true
}

// share asks for slots if this agent has few, and gives one up if it has many
// and another agent asks.
func (c *Claimer) share(ctx context.Context, owned, fair int) {
	wants, err := storer.ScanAll(ctx, c.Table, wantPrefix+c.Service+"/")
	if err != nil {
		return
	}
	own := wantPrefix + c.Service + "/" + c.Owner.Target
	asked, others := false, false
	var commit storer.Commit
	for _, row := range wants {
		if row.Key == own {
			asked = true
			commit.Update(own, row.Version, nil)
			continue
		}
		others = true
	}
	least := SlotsPerService / max(c.TargetCount(), 1)
	switch {
	case owned < least && !asked:
		commit = storer.Commit{}
		commit.Update(own, 0, []byte(c.Owner.Incarnation))
		_ = c.Table.Commit(ctx, commit)
	case owned >= least && asked:
		_ = c.Table.Commit(ctx, commit)
	case owned > fair && others:
		c.giveUp(ctx, 1)
	}
}

// giveUp frees up to n slots in which no claim is loose or being made, and
// those whose freeing was not answered before: once closed, a slot is never
// used again without its row having been deleted and taken anew.
func (c *Claimer) giveUp(ctx context.Context, n int) {
	for number, s := range c.closable(n) {
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

// closable closes up to n slots to new claims and returns them.
func (c *Claimer) closable(n int) map[int]*slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	loose := make(map[int]bool)
	for key := range c.loose {
		loose[key.Slot()] = true
	}
	out := make(map[int]*slot)
	for number, s := range c.slots {
		if s.users > 0 || loose[number] {
			continue
		}
		if s.closing || n > 0 {
			if !s.closing {
				n--
			}
			s.closing = true
			out[number] = s
		}
	}
	return out
}

// refresh rewrites the rows of all slots while no claim is loose.
func (c *Claimer) refresh(ctx context.Context) {
	c.mu.Lock()
	due := time.Since(c.lastWrite) >= refreshEvery && len(c.loose) == 0
	var commit storer.Commit
	for n, s := range c.slots {
		commit.Update(SlotKey(c.Service, n), s.version, encodeOwner(c.Owner))
	}
	if due {
		c.lastWrite = time.Now()
	}
	c.mu.Unlock()
	if due && len(commit.Writes) > 0 {
		_ = c.Table.Commit(ctx, commit)
	}
}

// Leave gives all slots up; it reports whether none is left.
func (c *Claimer) Leave(ctx context.Context) bool {
	if c.TargetCount == nil {
		return true
	}
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.Review(ctx)
	c.giveUp(ctx, SlotsPerService)
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) == 0
}

func (c *Claimer) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// enter returns the slot of a key for the time of one claim; nil if there are no slots.
func (c *Claimer) enter(key Key) (*slot, error) {
	if c.TargetCount == nil {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.slots[key.Slot()]
	if !ok || !s.loaded || s.closing {
		return nil, ErrNotOwner
	}
	s.users++
	return s, nil
}

func (c *Claimer) leave(s *slot) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.users--
}

func (c *Claimer) slotVersion(s *slot) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.version
}

// refreshSlot takes over a row just read; false means that the slot is lost.
func (c *Claimer) refreshSlot(n int, row storer.Row) bool {
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
