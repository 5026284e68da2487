package spender

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// wireStockRow is the form of a Row in the table.
type wireStockRow struct {
	Spent   int64                      `json:"spent"`
	Holders map[string]wireStockHolder `json:"holders"`
}

type wireStockHolder struct {
	Router string  `json:"router"`
	Held   int64   `json:"held"`
	Mark   int64   `json:"mark"`
	Slope  float64 `json:"slope"`
	Busy   int64   `json:"busy"`
	Rate   float64 `json:"rate"`
	Commit uint64  `json:"commit"`
}

func encodeStockRow(r Row) []byte {
	w := wireStockRow{Spent: r.Spent, Holders: make(map[string]wireStockHolder, len(r.Holders))}
	for name, h := range r.Holders {
		w.Holders[name] = wireStockHolder(h)
	}
	b, _ := json.Marshal(w) // numbers, texts and maps of them always encode
	return b
}

func decodeStockRow(b []byte) (Row, error) {
	var w wireStockRow
	if len(b) > 0 {
		if err := json.Unmarshal(b, &w); err != nil {
			return Row{}, errors.Wrap(err, "decode budget row")
		}
	}
	r := Row{Spent: w.Spent, Holders: make(map[string]RowHolder, len(w.Holders))}
	for name, h := range w.Holders {
		r.Holders[name] = RowHolder(h)
	}
	return r, nil
}
