package spender

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// wireBudget is the encoding of a Budget in its row.
type wireBudget struct {
	Granted  int64        `json:"granted"`
	Spent    int64        `json:"spent"`
	Reserved int64        `json:"busy,omitempty"`
	Rate     int64        `json:"rate,omitempty"`
	Holders  int          `json:"holders,omitempty"`
	Lenders  []wireLender `json:"lenders,omitempty"`
}

type wireLender struct {
	Router string `json:"router"`
	Spare  int64  `json:"spare"`
}

// wireHolding is the encoding of a Holding in its row.
type wireHolding struct {
	Incarnation       string  `json:"incarnation"`
	Held              int64   `json:"held"`
	Allowance         int64   `json:"mark"`
	AllowanceGrowth   float64 `json:"slope"`
	Commit            uint64  `json:"commit"`
	Unpublished       int64   `json:"unshown,omitempty"`
	PublishedReserved int64   `json:"shownBusy,omitempty"`
	PublishedRate     int64   `json:"shownRate,omitempty"`
	Published         int64   `json:"shown,omitempty"`
	Closed            bool    `json:"closed,omitempty"`
	Withheld          int64   `json:"withheld,omitempty"`
}

func encodeBudget(b Budget) []byte {
	w := wireBudget{Granted: b.Granted, Spent: b.Spent, Reserved: b.Reserved, Rate: b.Rate, Holders: b.Holders}
	for _, l := range b.Lenders {
		w.Lenders = append(w.Lenders, wireLender(l))
	}
	return encodeRow(w)
}

// decodeBudget decodes a row; a row that does not exist is an empty budget.
func decodeBudget(value []byte) (Budget, error) {
	w, err := decodeRow[wireBudget](value)
	b := Budget{Granted: w.Granted, Spent: w.Spent, Reserved: w.Reserved, Rate: w.Rate, Holders: w.Holders}
	for _, l := range w.Lenders {
		b.Lenders = append(b.Lenders, Lender(l))
	}
	return b, err
}

func encodeHolding(h Holding) []byte {
	return encodeRow(wireHolding(h))
}

// decodeHolding decodes a row; a row that does not exist is an empty holding.
func decodeHolding(value []byte) (Holding, error) {
	w, err := decodeRow[wireHolding](value)
	return Holding(w), err
}

func encodeRow[T any](w T) []byte {
	b, _ := json.Marshal(w) // numbers, strings and slices of them always encode
	return b
}

func decodeRow[T any](value []byte) (T, error) {
	var w T
	if len(value) == 0 {
		return w, nil
	}
	err := json.Unmarshal(value, &w)
	return w, errors.Wrap(err, "decode row")
}
