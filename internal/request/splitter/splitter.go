// Package splitter splits a stream of server-sent events into complete events, and says
// whether and from where the stream can resume at another target.
//
// # Usage
//
//	var s splitter.Splitter
//	complete := s.Feed(chunk) // forward these bytes
//	s.LastID                  // the Last-Event-ID to resume from
//	s.Pending()               // true if the stream ended in the middle of an event
//	s.Resume()                // another target goes on after LastID
//	s.Repeats()               // true if it did not: it has sent an earlier event again
package splitter

import (
	"bytes"
	"strconv"
)

const (
	// maxPartialBytes bounds the buffered part of an incomplete event; see Endless.
	maxPartialBytes = 256 << 10
	// maxIdleBytes bounds what comes after an event with data or an ID without another one,
	// such as comments.
	maxIdleBytes = 64 << 10
)

// Splitter buffers the incomplete event at the end of a stream. Its zero value is ready
// to use.
type Splitter struct {
	// LastID is the ID of the last complete event that has one.
	LastID string
	// Events is the number of complete events with data or an ID.
	Events int64

	partial   []byte
	idleBytes int // of comments and other lines since the last event that counts
	// unnumbered is set if the last event with data has no ID.
	unnumbered bool
	// resumed is set until the first event with an ID after Resume.
	resumed bool
	repeats bool
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
	if s.repeats = s.repeats || s.startsAgain(complete); s.repeats {
		return nil
	}
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

// Endless reports whether the incomplete event, or what came instead of events, exceeds its
// bound; the caller should then treat the stream as broken, as Feed goes on buffering it.
func (s *Splitter) Endless() bool {
	return len(s.partial) > maxPartialBytes || s.idleBytes > maxIdleBytes
}

// Resumable reports whether LastID tells where all events so far end.
func (s *Splitter) Resumable() bool {
	return !s.unnumbered
}

// Resume drops an incomplete event, because another run will send it again. Events of
// that run must have IDs above LastID.
func (s *Splitter) Resume() {
	s.partial, s.idleBytes = nil, 0
	s.resumed, s.repeats = s.LastID != "", false
}

// Repeats reports whether the stream has sent an earlier event again after Resume. Feed
// returns no events from then on.
func (s *Splitter) Repeats() bool {
	return s.repeats
}

// startsAgain reports whether the first ID in events is not above LastID after Resume.
// IDs that are no numbers can't be compared.
func (s *Splitter) startsAgain(events []byte) bool {
	if !s.resumed {
		return false
	}
	id, ok := firstID(events)
	if !ok {
		return false
	}
	s.resumed = false
	got, gotErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.LastID, 10, 64)
	return gotErr == nil && lastErr == nil && got <= last
}

// firstID returns the first event ID in events.
func firstID(events []byte) (string, bool) {
	for line := range bytes.Lines(events) {
		if id, ok := field(line, "id:"); ok {
			return id, true
		}
	}
	return "", false
}

// field returns the value of a line that begins with name.
func field(line []byte, name string) (string, bool) {
	value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte(name))
	return string(bytes.TrimSpace(value)), ok
}

// recordEvents counts complete events and records the last event ID.
func (s *Splitter) recordEvents(events []byte) {
	for len(events) > 0 {
		event, remaining, _ := bytes.Cut(events, []byte("\n\n"))
		events = remaining
		id, numbered := firstID(event)
		hasData := bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
		switch {
		case numbered:
			s.LastID, s.unnumbered = id, false
		case hasData:
			s.unnumbered = true
		default:
			s.idleBytes += len(event) + len("\n\n")
			continue
		}
		s.Events++
		s.idleBytes = 0
	}
}
