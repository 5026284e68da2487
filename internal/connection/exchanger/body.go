package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// newBody returns the body that follows a response's header. It returns io.EOF only if the body is complete, as far
// as its framing tells.
func newBody(r *bufio.Reader, resp *http.Response) io.Reader {
	switch {
	case resp.Body == http.NoBody:
		return http.NoBody
	case len(resp.TransferEncoding) > 0:
		return &chunkedBody{chunks: httputil.NewChunkedReader(r), r: r}
	case resp.ContentLength >= 0:
		return &lengthBody{r: r, left: resp.ContentLength}
	default:
		return r
	}
}

// lengthBody is a body with a length.
type lengthBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, with its trailer.
type chunkedBody struct {
	chunks io.Reader
	r      *bufio.Reader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	left := maxHeaderBytes
	var trailer bytes.Buffer
	if err := readFields(b.r, &trailer, &left); err != nil {
		return n, errors.Wrap(err, "read trailer")
	}
	return n, io.EOF
}
