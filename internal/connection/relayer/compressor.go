package relayer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	// minCompressedBytes is the length from which values are compressed.
	minCompressedBytes = 16 << 10
	// maxReplyBytes bounds the values of a reply after decompression. The platform's API
	// documentation caps a read at 1 MB plus one row.
	maxReplyBytes = 16 << 20
)

var errReplyTooLong = errors.New("relayed rows are too long")

// compressor compresses the values of rows. It keeps the last one, because all routers ask for
// the same change.
type compressor struct {
	mu         sync.Mutex // guards the fields below, and held while a value is compressed
	value      []byte
	compressed []byte
}

// compress returns the row with its value compressed if that makes it shorter.
func (c *compressor) compress(r framer.RowValue) framer.RowValue {
	if len(r.Value) < minCompressedBytes {
		return r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(c.value, r.Value) {
		compressed, err := deflate(r.Value)
		if err != nil {
			return r
		}
		c.value, c.compressed = r.Value, compressed
	}
	if len(c.compressed) < len(r.Value) {
		r.Value, r.Compressed = c.compressed, true
	}
	return r
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress row")
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress row")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress row")
	}
	return b.Bytes(), nil
}

// decompress returns the row with its value as it is in the store, which may be limit bytes long.
func decompress(r framer.RowValue, limit int) (framer.RowValue, error) {
	if !r.Compressed {
		return r, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), int64(limit)+1))
	if err != nil {
		return r, errors.Wrap(err, "decompress row")
	}
	if len(value) > limit {
		return r, errReplyTooLong
	}
	r.Value, r.Compressed = value, false
	return r, nil
}
