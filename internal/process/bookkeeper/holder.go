package bookkeeper

import "slices"

// Holder is the durable state of one incarnation of a router.
//
// Only the incarnation itself writes its row, until another router suspects it.
type Holder struct {
	Incarnation string
	Router      string
	Domain      string
	Address     string
	// FlushNumber is the number of the incarnation's last commit. Reading it resolves
	// a commit with unknown outcome.
	FlushNumber uint64
	// NextSequence is the lowest sequence that was not in use at the last flush.
	NextSequence uint64
	// OpenSequences lists the sequences below NextSequence whose bill is not in the
	// ledger yet.
	OpenSequences []uint64
	// BilledSequences lists the sequences from NextSequence on whose bill a recovery
	// has committed to the ledger.
	BilledSequences []uint64
	// Agents maps each agent incarnation that may spend this holder's tokens to its target.
	Agents map[string]string
	// Budgets lists the organisations whose tokens this holder may hold.
	Budgets []string
	// SuspectedBy is the name of the router that suspects this holder of being dead.
	SuspectedBy string
	// Fenced is set once the holder may still settle but never draw again.
	Fenced bool
	// Closed is set once the holder has settled all bills and returned all tokens.
	Closed bool
}

// InLedger reports whether the bill of a sequence has been committed.
func (h *Holder) InLedger(sequence uint64) bool {
	if sequence < h.NextSequence {
		return !slices.Contains(h.OpenSequences, sequence)
	}
	return slices.Contains(h.BilledSequences, sequence)
}

// MarkBilled records that the bill of a sequence is committed.
func (h *Holder) MarkBilled(sequence uint64) {
	if sequence >= h.NextSequence {
		h.BilledSequences = append(h.BilledSequences, sequence)
		return
	}
	if i := slices.Index(h.OpenSequences, sequence); i >= 0 {
		h.OpenSequences = slices.Delete(h.OpenSequences, i, i+1)
	}
}
