package exchanger

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxCopiedBytes is the size up to which a body is copied behind its head, to be sent with it.
const maxCopiedBytes = 16 << 10

// write sends a request and returns how many bytes were sent.
func write(c net.Conn, req Request) (int64, error) {
	if len(req.Body) > maxCopiedBytes {
		buffers := net.Buffers{encodeHead(req), req.Body}
		return buffers.WriteTo(c)
	}
	n, err := c.Write(append(encodeHead(req), req.Body...))
	return int64(n), err
}

// encodeHead returns the bytes of a request's head.
func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(req.Body), maxCopiedBytes))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true}) // writes to a bytes.Buffer never fail
	switch {
	case req.Upload != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(req.UploadLength, 10) + "\r\n")
	case req.HasBody || len(req.Body) > 0:
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send writes a request. Its upload, if any, goes on after that. n is how many bytes were sent until then.
func send(c net.Conn, req Request) (u *upload, n int64, err error) {
	n, err = write(c, req)
	if err == nil && req.Upload != nil {
		u = startUpload(c, req.Upload, req.UploadLength)
	}
	return u, n, err
}

// upload is the writing of a body while the response is read. The methods of a nil upload are those of one that is
// complete.
type upload struct {
	ended chan struct{}
	err   error // valid when ended is closed
}

func startUpload(c net.Conn, body io.Reader, length int64) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		n, err := io.Copy(c, body)
		if err == nil && n != length {
			err = errors.Errorf("the body has %d bytes instead of %d", n, length)
		}
		u.err = err
	}()
	return u
}

// complete reports whether the whole body was written. It ends a write that the target keeps waiting, since a target
// that has read the body does not; the connection can't be used for another request then.
func (u *upload) complete(c net.Conn) bool {
	if u == nil {
		return true
	}
	_ = c.SetWriteDeadline(past)
	<-u.ended
	_ = c.SetWriteDeadline(time.Time{})
	return u.err == nil
}

// wait waits until the body is no longer used, after the connection was closed.
func (u *upload) wait() {
	if u != nil {
		<-u.ended
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)
