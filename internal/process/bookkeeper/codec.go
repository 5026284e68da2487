package bookkeeper

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// Encoded forms of the rows in the platform's table. They have the same fields as
// the domain types, which carry no tags.
type (
	holdingRow struct {
		Held     int64   `json:"held"`
		Domain   string  `json:"domain,omitempty"`
		Rate     float64 `json:"rate,omitempty"`
		SlowRate float64 `json:"slowRate,omitempty"`
	}
	budgetRow struct {
		Organisation string                `json:"organisation"`
		Limit        int64                 `json:"limit"`
		Remaining    int64                 `json:"remaining"`
		Spent        int64                 `json:"spent"`
		Uncertain    int64                 `json:"uncertain,omitempty"`
		Holders      map[string]holdingRow `json:"holders,omitempty"`
	}
	holderRow struct {
		Incarnation     string            `json:"incarnation"`
		Router          string            `json:"router"`
		Domain          string            `json:"domain"`
		Address         string            `json:"address"`
		FlushNumber     uint64            `json:"flush"`
		NextSequence    uint64            `json:"next"`
		OpenSequences   []uint64          `json:"open,omitempty"`
		BilledSequences []uint64          `json:"billed,omitempty"`
		Agents          map[string]string `json:"agents,omitempty"`
		Budgets         []string          `json:"budgets,omitempty"`
		SuspectedBy     string            `json:"suspect,omitempty"`
		Fenced          bool              `json:"fenced,omitempty"`
		Closed          bool              `json:"closed,omitempty"`
	}
	billRow struct {
		Organisation string `json:"organisation"`
		RequestID    string `json:"requestId"`
		Payer        string `json:"payer"`
		Sequence     uint64 `json:"sequence"`
		Amount       int64  `json:"amount"`
		Target       string `json:"target,omitempty"`
		Uncertain    int64  `json:"uncertain,omitempty"`
	}
)

// EncodeBudget encodes b as a row value.
func EncodeBudget(b *Budget) []byte {
	row := budgetRow{
		Organisation: b.Organisation, Limit: b.Limit, Remaining: b.Remaining, Spent: b.Spent, Uncertain: b.Uncertain,
		Holders: make(map[string]holdingRow, len(b.Holders)),
	}
	for k, h := range b.Holders {
		row.Holders[k] = holdingRow(h)
	}
	return marshal(row)
}

// DecodeBudget decodes the row value of a budget.
func DecodeBudget(value []byte) (*Budget, error) {
	var row budgetRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, errors.Wrap(err, "decode budget row")
	}
	b := NewBudget(row.Organisation, row.Limit)
	b.Remaining, b.Spent, b.Uncertain = row.Remaining, row.Spent, row.Uncertain
	for k, h := range row.Holders {
		b.Holders[k] = Holding(h)
	}
	return b, nil
}

// EncodeHolder encodes h as a row value.
func EncodeHolder(h *Holder) []byte {
	return marshal(holderRow(*h))
}

// DecodeHolder decodes the row value of a holder.
func DecodeHolder(value []byte) (*Holder, error) {
	var row holderRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, errors.Wrap(err, "decode holder row")
	}
	h := Holder(row)
	if h.Agents == nil {
		h.Agents = make(map[string]string)
	}
	return &h, nil
}

// EncodeBills encodes the bills of a ledger segment as a row value.
func EncodeBills(bills []framer.Bill) []byte {
	rows := make([]billRow, len(bills))
	for i, b := range bills {
		rows[i] = billRow(b)
	}
	return marshal(rows)
}

// DecodeBills decodes the row value of a ledger segment.
func DecodeBills(value []byte) ([]framer.Bill, error) {
	var rows []billRow
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, errors.Wrap(err, "decode ledger segment")
	}
	bills := make([]framer.Bill, len(rows))
	for i, r := range rows {
		bills[i] = framer.Bill(r)
	}
	return bills, nil
}

// marshal encodes a row; encoding the types of this file can't fail.
func marshal(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return value
}
