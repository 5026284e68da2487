package agent

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// partKey identifies a part across all payers.
type partKey struct {
	payer    string
	sequence uint64
}

// pendingBill is a bill that is not known to be durable.
type pendingBill struct {
	bill       framer.Bill
	finishedAt time.Time
}

// billTracker tracks the parts of running attempts, and the bills of finished ones until
// they are durable.
type billTracker struct {
	mu      sync.Mutex // guards the fields below; no other lock is taken while it is held
	pending map[partKey]pendingBill
	running map[partKey]framer.Part
	fenced  map[string]bool
	listed  map[string]bool // payers whose holder row lists this agent
}

// maxOverdueBills bounds the bills of one Pong.
const maxOverdueBills = 200

// allowPayer records that a payer's holder row lists this agent.
func (t *billTracker) allowPayer(payer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed == nil {
		t.listed = make(map[string]bool)
	}
	t.listed[payer] = true
}

// begin marks parts as running. It returns false if a payer is fenced, if a payer's
// holder row does not list this agent, or if a part is running or has a pending bill.
func (t *billTracker) begin(parts []framer.Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[partKey]framer.Part)
		t.pending = make(map[partKey]pendingBill)
	}
	for _, p := range parts {
		k := partKey{p.Payer, p.Sequence}
		_, running := t.running[k]
		_, pending := t.pending[k]
		if running || pending || t.fenced[p.Payer] || !t.listed[p.Payer] {
			return false
		}
	}
	for _, p := range parts {
		t.running[partKey{p.Payer, p.Sequence}] = p
	}
	return true
}

// abandon removes running parts whose request did not run and never will.
func (t *billTracker) abandon(parts []framer.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		delete(t.running, partKey{p.Payer, p.Sequence})
	}
}

// finish replaces the running parts of a run by pending bills that share out usage in
// the order of the parts.
func (t *billTracker) finish(run *framer.Run, usage int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, bill := range run.SplitBill(usage) {
		k := partKey{bill.Payer, bill.Sequence}
		delete(t.running, k)
		t.pending[k] = pendingBill{bill: bill, finishedAt: now}
	}
}

// removeDurable removes bills that are in the ledger.
func (t *billTracker) removeDurable(payer string, sequences []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seq := range sequences {
		delete(t.pending, partKey{payer, seq})
	}
}

// overdue returns at most maxOverdueBills bills that have been pending since before the
// given time.
func (t *billTracker) overdue(before time.Time) []framer.Bill {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []framer.Bill
	for _, b := range t.pending {
		if len(out) == maxOverdueBills {
			break
		}
		if b.finishedAt.Before(before) {
			out = append(out, b.bill)
		}
	}
	return out
}

// fence refuses a payer's parts from now on and returns its pending bills and running
// parts.
func (t *billTracker) fence(payer string) (pending []framer.Bill, running []framer.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced == nil {
		t.fenced = make(map[string]bool)
	}
	t.fenced[payer] = true
	for k, v := range t.pending {
		if k.payer == payer {
			pending = append(pending, v.bill)
		}
	}
	for k, p := range t.running {
		if k.payer == payer {
			running = append(running, p)
		}
	}
	return pending, running
}

// find returns the pending bills of parts, and whether one of the parts is running.
func (t *billTracker) find(parts []framer.Part) (pending []framer.Bill, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		k := partKey{p.Payer, p.Sequence}
		if _, ok := t.running[k]; ok {
			running = true
		}
		if b, ok := t.pending[k]; ok {
			pending = append(pending, b.bill)
		}
	}
	return pending, running
}

// anyFenced reports whether a payer of the parts has been fenced.
func (t *billTracker) anyFenced(parts []framer.Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.fenced[p.Payer] {
			return true
		}
	}
	return false
}

// release removes a fenced payer's bills; the payer stays fenced.
func (t *billTracker) release(payer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.pending {
		if k.payer == payer {
			delete(t.pending, k)
		}
	}
}

// count returns the number of pending bills.
func (t *billTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}
