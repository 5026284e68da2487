package claimer

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
)

// Key identifies a non-idempotent request.
type Key struct {
	Service      string
	Organisation string
	Key          string
}

// Slot returns the slot of the service that the key belongs to.
func (k Key) Slot() int {
	return int(xxhash.Sum64String(k.Organisation+"\x00"+k.Key) % SlotsPerService)
}

// RowKey returns the key of the claim's row.
func (k Key) RowKey() string {
	return claimPrefix(k.Service, k.Slot()) + hex.EncodeToString([]byte(k.Organisation+"\x00"+k.Key))
}

func claimPrefix(service string, slot int) string {
	return bookkeeper.ClaimPrefix + service + "/" + strconv.Itoa(slot) + "/"
}

// keyOfRow returns the key that a claim's row belongs to.
func keyOfRow(service string, slot int, row string) (Key, error) {
	text, err := hex.DecodeString(strings.TrimPrefix(row, claimPrefix(service, slot)))
	if err != nil {
		return Key{}, errors.Wrap(err, "decode claim key")
	}
	organisation, key, _ := strings.Cut(string(text), "\x00")
	return Key{Service: service, Organisation: organisation, Key: key}, nil
}

// Response is the answer of a finished run.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// claimRow is the row type of a claim.
type claimRow struct {
	RequestID   string `json:"requestId"`
	Finished    bool   `json:"finished,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EncodeStartedClaim returns the row value of a claim whose run may have begun.
func EncodeStartedClaim(requestID string) []byte {
	return encodeClaim(claimRow{RequestID: requestID})
}

func encodeClaim(row claimRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // the row type always encodes
	}
	return value
}

func decodeClaim(value []byte) (claimRow, error) {
	var row claimRow
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "decode claim row")
}

// answer returns the answer that a row keeps, or nil.
func (r claimRow) answer() *Response {
	if !r.Finished {
		return nil
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

func finishedRow(requestID string, a *Response) claimRow {
	row := claimRow{RequestID: requestID}
	if a != nil {
		row.Finished, row.Status, row.ContentType, row.Body = true, a.Status, a.ContentType, a.Body
	}
	return row
}
