package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const maxIdleConnections = 16

// Client speaks to the platform over HTTP and JSON.
type Client struct {
	URL  string
	HTTP *http.Client
}

// NewClient returns a client for the platform at url.
func NewClient(url string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{URL: url, HTTP: &http.Client{Transport: transport, Timeout: timeout}}
}

// Wire types of the table service.
type (
	// ReadRequest asks for rows by key.
	ReadRequest struct {
		Keys []string `json:"keys"`
	}
	// ScanRequest asks for rows by prefix.
	ScanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// RowsResponse answers ReadCall and ScanCall.
	RowsResponse struct {
		Rows []WireRow `json:"rows"`
	}
	// WireRow is a Row on the wire.
	WireRow struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	// CommitRequest asks for a conditional commit.
	CommitRequest struct {
		Conditions []WireRow   `json:"conditions"`
		Writes     []WireWrite `json:"writes"`
	}
	// WireWrite is a Write on the wire.
	WireWrite struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Delete bool   `json:"delete"`
	}
)

// Read implements Table.Read.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, "/table/read", ReadRequest{Keys: keys})
}

// Scan implements Table.Scan.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.rows(ctx, "/table/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

// Commit implements Table.Commit.
func (c *Client) Commit(ctx context.Context, commit Commit) error {
	call := CommitRequest{
		Conditions: make([]WireRow, len(commit.Conditions)),
		Writes:     make([]WireWrite, len(commit.Writes)),
	}
	for i, cond := range commit.Conditions {
		call.Conditions[i] = WireRow{Key: cond.Key, Version: cond.Version}
	}
	for i, w := range commit.Writes {
		call.Writes[i] = WireWrite{Key: w.Key, Value: w.Value, Delete: w.Value == nil}
	}
	return c.post(ctx, "/table/commit", call, nil)
}

func (c *Client) rows(ctx context.Context, path string, call any) ([]Row, error) {
	var reply RowsResponse
	if err := c.post(ctx, path, call, &reply); err != nil {
		return nil, err
	}
	rows := make([]Row, len(reply.Rows))
	for i, r := range reply.Rows {
		rows[i] = Row(r)
	}
	return rows, nil
}

// post sends one call and maps every failure to ErrConflict or ErrUnavailable.
func (c *Client) post(ctx context.Context, path string, call, reply any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return errors.Wrap(err, "encode platform call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build platform call")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrConflict
	default:
		return errors.Wrapf(ErrUnavailable, "platform answered %s", resp.Status)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(reply), "decode platform reply")
}
