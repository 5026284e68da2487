// Package splitter cuts a stream of server-sent events into whole events.
//
// # Usage
//
//	var s splitter.Splitter
//	whole := s.Feed(chunk) // pass on
//	s.LastID               // where another run would go on
//	s.Pending()            // true if the stream ended in the middle of an event
package splitter

import "bytes"

// maxEventBytes bounds what is held back of one event; a longer one is passed
// on in pieces and can't be resumed within.
const maxEventBytes = 1 << 20

// Splitter holds back the unfinished end of a stream.
type Splitter struct {
	// LastID is the id of the last whole event.
	LastID string
	// Events is the number of whole events.
	Events int64

	rest []byte
}

// Feed takes bytes of the stream and returns those that complete events; the
// result is valid until the next call.
func (s *Splitter) Feed(b []byte) []byte {
	s.rest = append(s.rest, b...)
	end := bytes.LastIndex(s.rest, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := s.rest[:end+2]
	s.scan(whole)
	rest := make([]byte, len(s.rest)-len(whole), max(len(s.rest)-len(whole), 512))
	copy(rest, s.rest[end+2:])
	s.rest = rest
	return whole
}

// Pending reports whether an event has begun and not ended.
func (s *Splitter) Pending() bool {
	return len(s.rest) > 0
}

// TooLong reports whether the unfinished event exceeds what is held back.
func (s *Splitter) TooLong() bool {
	return len(s.rest) > maxEventBytes
}

// DiscardPartial forgets an unfinished event, since another run will send it whole.
func (s *Splitter) DiscardPartial() {
	s.rest = nil
}

// scan counts whole events and remembers the last id.
func (s *Splitter) scan(whole []byte) {
	for len(whole) > 0 {
		event, after, _ := bytes.Cut(whole, []byte("\n\n"))
		whole = after
		if len(event) == 0 {
			continue
		}
		s.Events++
		for line := range bytes.Lines(event) {
			if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
				s.LastID = string(bytes.TrimSpace(id))
			}
		}
	}
}
