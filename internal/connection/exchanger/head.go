package exchanger

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeaderBytes bounds the header of a response, with the interim responses before it, and a trailer.
	maxHeaderBytes = 64 << 10
	// maxHeaderTime is how long a header may take from its first byte to its last, and all
	// interim responses together.
	maxHeaderTime = time.Second
	// maxInterimResponses is how many interim (1xx) responses may come before the final one.
	maxInterimResponses = 8
)

const (
	// minStatus and maxStatus bound the status of a response, minFinalStatus that of a final one (RFC 9110, 15).
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
	// protocolPrefix is how a status line begins.
	protocolPrefix = "HTTP/1."
)

// IsFinalStatus reports whether status is that of a final response.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}

// readHead reads the header of the final response and skips interim (1xx) ones. A target may
// take its time before a header, but not within one.
func readHead(c *conn, method string) (*http.Response, error) {
	left := maxHeaderBytes
	var firstInterim time.Time
	for range maxInterimResponses + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.answered = true
		_ = c.SetReadDeadline(time.Now().Add(maxHeaderTime))
		resp, err := parseHead(c.reader, method, &left)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errors.Wrap(ErrEndless, "response header")
		}
		if err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		if IsFinalStatus(resp.StatusCode) {
			return resp, nil
		}
		if firstInterim.IsZero() {
			firstInterim = time.Now()
		}
		if time.Since(firstInterim) > maxHeaderTime {
			break
		}
	}
	return nil, errors.Wrap(ErrEndless, "interim responses")
}

// parseHead reads the header of one response, of at most left bytes. Each line is checked before net/http parses the
// header, since its parser takes more than RFC 9112 allows. The body of the returned response must not be read.
func parseHead(r *bufio.Reader, method string, left *int) (*http.Response, error) {
	if start, err := r.Peek(len(protocolPrefix)); err != nil {
		return nil, err
	} else if string(start) != protocolPrefix { // the line may have no end
		return nil, malformed("it begins with %q", start)
	}
	line, err := readLine(r, left)
	if err != nil {
		return nil, err
	}
	if err := checkStatusLine(line); err != nil {
		return nil, err
	}
	head := bytes.NewBufferString(line + "\r\n")
	if err := readFields(r, head, left); err != nil {
		return nil, err
	}
	if strings.HasPrefix(line, "HTTP/1.0 ") && hasField(head.String(), "Transfer-Encoding") {
		return nil, malformed("chunks in HTTP/1.0") // net/http would take them for the body
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(head, head.Len()), &http.Request{Method: method})
	if err != nil {
		return nil, malformed("%v", err)
	}
	return resp, nil
}

// hasField reports whether a header has a field.
func hasField(head, name string) bool {
	for line := range strings.Lines(head) {
		if n, _, _ := strings.Cut(line, ":"); strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// readFields reads the lines of a header or of a trailer, up to the empty one, into b.
func readFields(r *bufio.Reader, b *bytes.Buffer, left *int) error {
	for {
		line, err := readLine(r, left)
		if err != nil {
			return err
		}
		b.WriteString(line)
		b.WriteString("\r\n")
		if line == "" {
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
}

// readLine reads a line without its end and counts its bytes as used.
func readLine(r *bufio.Reader, left *int) (string, error) {
	var begin string // of a line that is longer than the buffer
	for {
		piece, err := r.ReadSlice('\n')
		if *left -= len(piece); *left < 0 {
			return "", errors.Wrap(ErrEndless, "response header")
		}
		switch err {
		case nil:
			return strings.TrimSuffix(begin+string(piece[:len(piece)-1]), "\r"), nil
		case bufio.ErrBufferFull:
			begin += string(piece)
		default:
			return "", err
		}
	}
}

// checkStatusLine returns an error that wraps ErrMalformed unless line is a status line of HTTP/1.x.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor := strings.TrimPrefix(version, protocolPrefix)
	if _, err := strconv.ParseUint(minor, 10, 8); err != nil || len(minor) != 1 {
		return malformed("protocol %.100q", version)
	}
	status, err := strconv.ParseUint(code, 10, 16) // takes no sign
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus {
		return malformed("status %.100q", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("reason phrase %.100q", reason)
	}
	return nil
}

// checkField returns an error that wraps ErrMalformed unless line is a field line. It refuses folded lines: what stands
// in them is easily taken for a part of the value before.
func checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return malformed("field name %.100q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value of field %.100q", name)
	}
	return nil
}

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return errors.Wrapf(ErrMalformed, format, args...)
}
