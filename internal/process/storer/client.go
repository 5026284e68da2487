package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

const (
	maxIdleConnections = 16
	// maxResponseBytes bounds a response.
	maxResponseBytes = 64 << 20
)

// maxTransferTime is how much longer than its timeout a read may last while its reply arrives.
const maxTransferTime = 20 * time.Second

// Client is a Table that calls the platform's table service over HTTP with JSON bodies.
type Client struct {
	URL  string
	HTTP *http.Client

	timeout time.Duration
}

// NewClient returns a client for the platform at url. The timeout bounds each commit, and of a read the
// time until the reply arrives and between its parts.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{URL: url, HTTP: exchanger.NewClient(&net.Dialer{}, maxIdleConnections), timeout: timeout}
}

// Wire types of the table service.
type (
	// ReadRequest requests rows by key.
	ReadRequest struct {
		Keys []string `json:"keys"`
	}
	// ScanRequest requests rows by prefix.
	ScanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// RowsResponse is the response to ReadRequest and ScanRequest.
	RowsResponse struct {
		Rows []WireRow `json:"rows"`
	}
	// WireRow is a Row on the wire.
	WireRow struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	// CommitRequest requests a conditional commit.
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
	req := CommitRequest{
		Conditions: make([]WireRow, len(commit.Conditions)),
		Writes:     make([]WireWrite, len(commit.Writes)),
	}
	for i, cond := range commit.Conditions {
		req.Conditions[i] = WireRow{Key: cond.Key, Version: cond.Version}
	}
	for i, w := range commit.Writes {
		req.Writes[i] = WireWrite{Key: w.Key, Value: w.Value, Delete: w.Value == nil}
	}
	return c.post(ctx, "/table/commit", req, nil)
}

func (c *Client) rows(ctx context.Context, path string, req any) ([]Row, error) {
	var resp RowsResponse
	if err := c.post(ctx, path, req, &resp); err != nil {
		return nil, err
	}
	rows := make([]Row, len(resp.Rows))
	for i, r := range resp.Rows {
		rows[i] = Row{Key: r.Key, Version: r.Version, Value: r.Value}
	}
	return rows, nil
}

// post sends in as JSON and decodes the response into out unless out is nil. A conflict
// is returned as ErrConflict, a failed exchange or another status as ErrUnavailable.
func (c *Client) post(ctx context.Context, path string, in, out any) error {
	bounds := timekeeper.Bounds{First: c.timeout, Stall: c.timeout, Whole: c.timeout}
	if out != nil {
		bounds.Whole += maxTransferTime
	}
	ctx, cancel := bounds.Start(ctx)
	defer cancel()
	body, err := json.Marshal(in)
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
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(timekeeper.Reader(ctx, resp.Body), maxResponseBytes)).Decode(out), "decode platform reply")
}
