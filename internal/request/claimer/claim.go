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
	Key          string // the client's idempotency key
}

// Slot returns the number of the service's slot that the key hashes to.
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
	decoded, err := hex.DecodeString(strings.TrimPrefix(row, claimPrefix(service, slot)))
	if err != nil {
		return Key{}, errors.Wrap(err, "decode claim key")
	}
	organisation, key, _ := strings.Cut(string(decoded), "\x00")
	return Key{Service: service, Organisation: organisation, Key: key}, nil
}

// Response is the response of a finished run.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// claimRow is the stored form of a claim.
type claimRow struct {
	RequestID   string `json:"requestId"`
	Finished    bool   `json:"finished,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EncodeStartedClaim returns the row value of a claim whose run may have started.
func EncodeStartedClaim(requestID string) []byte {
	return encodeClaim(claimRow{RequestID: requestID})
}

func encodeClaim(row claimRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // can't happen: claimRow always encodes
	}
	return value
}

func decodeClaim(value []byte) (claimRow, error) {
	var row claimRow
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "decode claim row")
}

// response returns the stored response, or nil if the run has not finished.
func (r claimRow) response() *Response {
	if !r.Finished {
		return nil
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

func newClaimRow(requestID string, response *Response) claimRow {
	row := claimRow{RequestID: requestID}
	if response != nil {
		row.Finished, row.Status, row.ContentType, row.Body = true, response.Status, response.ContentType, response.Body
	}
	return row
}
