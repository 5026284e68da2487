package gateway

import (
	"io"
	"mime"
	"net/http"
	"strconv"
)

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// clientResponse writes the response to one request. The client receives it as complete
// only if finish was called.
type clientResponse struct {
	w http.ResponseWriter
	// closeDelimited is set for a client for which the end of the connection may be that
	// of the response.
	closeDelimited bool
	// status is the status that was sent, or 0.
	status   int
	complete bool
}

// begun reports whether a status and headers have been sent.
func (o *clientResponse) begun() bool {
	return o.status != 0
}

// continuedBy reports whether a target's response with this status and these headers may
// continue the response that another target has begun.
func (o *clientResponse) continuedBy(status int, h http.Header) bool {
	return status == o.status && mediaType(h) == mediaType(o.w.Header())
}

// mediaType returns the media type without parameters, or "" if there is none.
func mediaType(h http.Header) string {
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type")) // malformed types count as none
	return t
}

// begin sends the status and the headers of a body of length bytes.
func (o *clientResponse) begin(h http.Header, status, length int) {
	header := o.w.Header()
	for name, values := range h {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length != unknownLength {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	o.status = status
	o.w.WriteHeader(status)
}

// write sends a part of the body.
func (o *clientResponse) write(b []byte) error {
	_, err := o.w.Write(b)
	return err
}

// copy sends the rest of the body from r.
func (o *clientResponse) copy(r io.Reader) error {
	_, err := io.Copy(o.w, r)
	return err
}

// flush sends what net/http has buffered.
func (o *clientResponse) flush() error {
	return http.NewResponseController(o.w).Flush()
}

// finish marks the response as complete.
func (o *clientResponse) finish() {
	o.complete = true
}

// end is the last call of the handler. It aborts the connection unless the response is
// complete, as net/http ends any other response regularly, even one that never began.
func (o *clientResponse) end() {
	if o.complete {
		return
	}
	if o.closeDelimited {
		o.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection, which a client can tell from its regular end. The client
// may lose bytes that it has not read yet.
func (o *clientResponse) reset() {
	conn, _, err := http.NewResponseController(o.w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	_ = conn.Close()
}
