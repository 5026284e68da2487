package splitter_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/splitter"
)

// FuzzFeed splits a stream at any point and checks that Feed returns only complete
// events, in order and without loss, and that Pending reports a remaining part.
func FuzzFeed(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"), 7)
	f.Add([]byte("\n\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		cut = max(min(cut, len(stream)), 0)
		var s splitter.Splitter
		var got []byte
		got = append(got, s.Feed(stream[:cut])...)
		got = append(got, s.Feed(stream[cut:])...)
		assert.Assert(t, bytes.HasPrefix(stream, got))
		assert.Assert(t, len(got) == 0 || bytes.HasSuffix(got, []byte("\n\n")))
		assert.Equal(t, s.Pending(), len(got) < len(stream))
	})
}

func TestLastID(t *testing.T) {
	var s splitter.Splitter
	s.Feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	assert.Equal(t, s.LastID, "1")
	assert.Equal(t, s.Events, int64(1))
	s.Resume()
	assert.Equal(t, string(s.Feed([]byte("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n")
	assert.Equal(t, s.LastID, "2")
	assert.Assert(t, !s.Pending())
}

// TestRepeatedEventsAreNotReturned resumes a stream at a target that starts again.
func TestRepeatedEventsAreNotReturned(t *testing.T) {
	const first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, tt := range []struct {
		name, events string
		repeats      bool
	}{
		{"goes on", "id: 3\ndata: c\n\n", false},
		{"goes on after a comment", ": ping\n\nid: 3\ndata: c\n\n", false},
		{"skips an event", "id: 4\ndata: d\n\n", false},
		{"has an id that is no number", "id: c\ndata: c\n\n", false},
		{"repeats the last event", "id: 2\ndata: b\n\n", true},
		{"starts again", first, true},
		{"starts again after a comment", ": ping\n\n" + first, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s splitter.Splitter
			s.Feed([]byte(first))
			s.Resume()
			want := tt.events
			if tt.repeats {
				want = ""
			}
			assert.Equal(t, string(s.Feed([]byte(tt.events))), want)
			assert.Equal(t, s.Repeats(), tt.repeats)
		})
	}
}

// TestEventsWithoutIDsHaveNoPosition checks that a stream is not resumed from an event
// that is not its last one.
func TestEventsWithoutIDsHaveNoPosition(t *testing.T) {
	var s splitter.Splitter
	assert.Assert(t, s.Resumable())
	s.Feed([]byte("id: 1\ndata: a\n\n: ping\n\n"))
	assert.Assert(t, s.Resumable())
	s.Feed([]byte("event: x\ndata: b\n\n"))
	assert.Assert(t, !s.Resumable())
	s.Feed([]byte("id: 3\ndata: c\n\n"))
	assert.Assert(t, s.Resumable())
}
