// Package bookkeeper defines the durable state of budgets: the rows for
// budgets, holders and the ledger, and the arithmetic that moves tokens.
//
// # Usage
//
//	b, err := bookkeeper.DecodeBudget(row.Value)
//	err = b.Draw("router-1@7f3a", "derby-hall", 5000)
//	commit.Update(bookkeeper.BudgetKey("alpha"), row.Version, bookkeeper.EncodeBudget(b))
//
// Every movement is part of one conditional commit, so tokens are never made
// or lost; Budget.Check tells if they were.
package bookkeeper

import "fmt"

// Prefixes of the rows.
const (
	BudgetPrefix = "budget/"
	HolderPrefix = "holder/"
	LedgerPrefix = "ledger/"
	ClaimPrefix  = "claim/"
	SlotPrefix   = "tenure/"
	FencedPrefix = "death/"
)

// EpochKey is a row that every new holder rewrites, so that a commit can depend
// on no holder having come since.
const EpochKey = "epoch"

// BudgetKey returns the row key of an organisation's budget.
func BudgetKey(organisation string) string {
	return BudgetPrefix + organisation
}

// HolderKey returns the row key of a router's incarnation.
func HolderKey(incarnation string) string {
	return HolderPrefix + incarnation
}

// FencedKey returns the row key that records that an incarnation was fenced.
func FencedKey(incarnation string) string {
	return FencedPrefix + incarnation
}

// SegmentKey returns the row key of the ledger segment of one flush.
func SegmentKey(incarnation string, flush uint64) string {
	return fmt.Sprintf("%s%s/%012d", LedgerPrefix, incarnation, flush)
}
