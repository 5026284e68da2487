package gateway

import (
	"net/http"
	"strconv"
)

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// clientResponse is the response to one request, and its only writer. It begins at most
// once, and the client receives it as complete only if finish was called.
type clientResponse struct {
	w http.ResponseWriter
	// status is the status that was sent, or 0.
	status   int
	complete bool
}

// begun reports whether a status and headers have been sent.
func (o *clientResponse) begun() bool {
	return o.status != 0
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
	if !o.complete {
		panic(http.ErrAbortHandler)
	}
}
