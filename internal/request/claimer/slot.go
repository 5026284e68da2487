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

// SlotsPerService is the number of slots that the keys of a service are hashed to.
const SlotsPerService = 16

// Owner is the incarnation of an agent that owns a slot.
type Owner struct {
	Target      string
	Incarnation string
}

// SlotRow is the stored state of one owned slot; a slot without a row has no owner.
type SlotRow struct {
	Service string
	Slot    int
	Owner   Owner
	Version uint64
}

// ownerRow is the stored form of an Owner.
type ownerRow struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// SlotKey returns the row key of a slot.
func SlotKey(service string, slot int) string {
	return bookkeeper.SlotPrefix + service + "/" + strconv.Itoa(slot)
}

// ReadSlots returns the owned slots of a service, or of all services if service is empty.
func ReadSlots(ctx context.Context, t storer.Table, service string) ([]SlotRow, error) {
	prefix := bookkeeper.SlotPrefix
	if service != "" {
		prefix += service + "/"
	}
	rows, err := storer.ScanAll(ctx, t, prefix)
	if err != nil {
		return nil, err
	}
	slots := make([]SlotRow, 0, len(rows))
	for _, row := range rows {
		s, err := decodeSlot(row)
		if err != nil {
			return nil, err
		}
		slots = append(slots, s)
	}
	return slots, nil
}

func decodeSlot(row storer.Row) (SlotRow, error) {
	service, number, _ := strings.Cut(strings.TrimPrefix(row.Key, bookkeeper.SlotPrefix), "/")
	slot, err := strconv.Atoi(number)
	if err != nil {
		return SlotRow{}, errors.Errorf("row %q is not a slot row", row.Key)
	}
	var owner ownerRow
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return SlotRow{}, errors.Wrap(err, "decode slot row")
	}
	return SlotRow{Service: service, Slot: slot, Owner: Owner(owner), Version: row.Version}, nil
}

func encodeOwner(o Owner) []byte {
	value, err := json.Marshal(ownerRow(o))
	if err != nil {
		panic(err) // can't happen: ownerRow always encodes
	}
	return value
}
