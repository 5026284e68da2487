// Package splitter splits a stream of server-sent events into complete events.
//
// # Usage
//
//	var s splitter.Splitter
//	complete := s.Feed(chunk) // forward these bytes
//	s.LastID                  // the Last-Event-ID to resume from
//	s.Pending()               // true if the stream ended in the middle of an event
package splitter

import "bytes"

// maxPartialBytes bounds the buffered part of an incomplete event; see TooLong.
const maxPartialBytes = 1 << 20

// Splitter buffers the incomplete event at the end of a stream. Its zero value is ready
// to use.
type Splitter struct {
	// LastID is the ID of the last complete event that has one.
	LastID string
	// Events is the number of complete events.
	Events int64

	partial []byte
}

// Feed adds bytes of the stream and returns all events that are now complete. The
// result is valid until the next call.
func (s *Splitter) Feed(b []byte) []byte {
	s.partial = append(s.partial, b...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	complete := s.partial[:end+2]
	s.recordEvents(complete)
	rest := make([]byte, len(s.partial)-len(complete), max(len(s.partial)-len(complete), 512))
	copy(rest, s.partial[end+2:])
	s.partial = rest
	return complete
}

// Pending reports whether an incomplete event is buffered.
func (s *Splitter) Pending() bool {
	return len(s.partial) > 0
}

// TooLong reports whether the incomplete event exceeds 1 MiB; the caller should then
// treat the stream as broken, as Feed goes on buffering it.
func (s *Splitter) TooLong() bool {
	return len(s.partial) > maxPartialBytes
}

// DiscardPartial drops an incomplete event, because another run will send it again.
func (s *Splitter) DiscardPartial() {
	s.partial = nil
}

// recordEvents counts complete events and records the last event ID.
func (s *Splitter) recordEvents(events []byte) {
	for len(events) > 0 {
		event, remaining, _ := bytes.Cut(events, []byte("\n\n"))
		events = remaining
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
