// Package bookkeeper defines the durable state of budgets: the rows of budgets,
// holders and the ledger, and the arithmetic that moves tokens between them.
//
// # Usage
//
//	b, err := bookkeeper.DecodeBudget(row.Value)
//	err = b.Draw("router-1@7f3a", "derby-hall", 5000)
//	commit.Update(bookkeeper.BudgetKey("alpha"), row.Version, bookkeeper.EncodeBudget(b))
//
// Every movement is part of one conditional commit, so tokens are neither created
// nor lost. Budget.Check verifies this.
package bookkeeper

import "fmt"

// Prefixes of row keys.
const (
	BudgetPrefix = "budget/"
	HolderPrefix = "holder/"
	LedgerPrefix = "ledger/"
	ClaimPrefix  = "claim/"
	SlotPrefix   = "tenure/"
	FencedPrefix = "death/"
)

// EpochKey is the key of a row that every new holder rewrites. A commit that is
// conditional on its version fails if a holder has registered since.
const EpochKey = "epoch"

// BudgetKey returns the row key of an organisation's budget.
func BudgetKey(organisation string) string {
	return BudgetPrefix + organisation
}

// HolderKey returns the row key of a router's incarnation.
func HolderKey(incarnation string) string {
	return HolderPrefix + incarnation
}

// FencedKey returns the key of the row that records that an incarnation was fenced.
func FencedKey(incarnation string) string {
	return FencedPrefix + incarnation
}

// SegmentKey returns the row key of the ledger segment of one flush.
func SegmentKey(incarnation string, flush uint64) string {
	return fmt.Sprintf("%s%s/%012d", LedgerPrefix, incarnation, flush)
}
