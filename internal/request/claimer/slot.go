package claimer

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// SlotsPerService is how many slots the keys of a service are spread over.
const SlotsPerService = 16

// Owner is the agent's incarnation that owns a slot.
type Owner struct {
	Target      string
	Incarnation string
}

// SlotRow is the durable state of one owned slot; a slot without a row has no owner.
type SlotRow struct {
	Service string
	Slot    int
	Owner   Owner
	Version uint64
}

// ownerRow is the row type of a slot.
type ownerRow struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// SlotKey returns the row key of a slot.
func SlotKey(service string, slot int) string {
	return bookkeeper.SlotPrefix + service + "/" + strconv.Itoa(slot)
}

// ReadSlots returns the owned slots of a service, or of all if service is empty.
func ReadSlots(ctx context.Context, t storer.Table, service string) ([]SlotRow, error) {
	prefix := bookkeeper.SlotPrefix
	if service != "" {
		prefix += service + "/"
	}
	rows, err := storer.ScanAll(ctx, t, prefix)
	if err != nil {
		return nil, err
	}
	out := make([]SlotRow, 0, len(rows))
	for _, row := range rows {
		s, err := decodeSlot(row)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func decodeSlot(row storer.Row) (SlotRow, error) {
	name, number, _ := strings.Cut(strings.TrimPrefix(row.Key, bookkeeper.SlotPrefix), "/")
	slot, err := strconv.Atoi(number)
	if err != nil {
		return SlotRow{}, errors.Errorf("row %q is no slot", row.Key)
	}
	var o ownerRow
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return SlotRow{}, errors.Wrap(err, "decode slot row")
	}
	return SlotRow{Service: name, Slot: slot, Owner: Owner(o), Version: row.Version}, nil
}

func encodeOwner(o Owner) []byte {
	value, err := json.Marshal(ownerRow(o))
	if err != nil {
		panic(err) // the row type always encodes
	}
	return value
}
