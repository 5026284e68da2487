package receiver

import "bytes"

const (
	// lineCost is about what net/http holds and copies for a header line beside its bytes.
	lineCost = 192
	// byteCost is how often the bytes of a head are held: in the line and in the copy that is
	// forwarded.
	byteCost = 2
	// maxEmptyLines is the number of empty lines before a request that are read.
	maxEmptyLines = 8
)

// Head scans the head of a request as it arrives. It counts what the head will cost once it is
// parsed, and checks nothing else.
type Head struct {
	Bytes int
	Lines int
	// EmptyLines counts the lines before the request line.
	EmptyLines int
	// Complete is set once the empty line at the end has been seen.
	Complete bool

	// lineBytes is the length of the current line so far; startsWithCR is set if its first byte is a
	// carriage return.
	lineBytes    int
	startsWithCR bool
}

// Feed scans the next bytes and returns how many of them belong to the head.
func (h *Head) Feed(b []byte) int {
	rest := b
	for len(rest) > 0 {
		n := bytes.IndexByte(rest, '\n')
		if n < 0 {
			h.addToLine(rest)
			h.Bytes += len(rest)
			return len(b)
		}
		h.addToLine(rest[:n])
		h.Bytes += n + 1
		rest = rest[n+1:]
		empty := h.lineBytes == 0 || (h.lineBytes == 1 && h.startsWithCR)
		h.lineBytes = 0
		switch {
		case !empty:
			h.Lines++
		case h.Lines == 0:
			h.EmptyLines++
		default:
			h.Complete = true
			return len(b) - len(rest)
		}
	}
	return len(b)
}

// addToLine adds bytes without a newline to the current line.
func (h *Head) addToLine(b []byte) {
	if h.lineBytes == 0 && len(b) > 0 {
		h.startsWithCR = b[0] == '\r'
	}
	h.lineBytes += len(b)
}

// Cost returns the number of bytes that the head takes once it is parsed.
func (h *Head) Cost() int64 {
	return int64(byteCost*h.Bytes + lineCost*h.Lines)
}
