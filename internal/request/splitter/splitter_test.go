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
	s.DiscardPartial()
	assert.Equal(t, string(s.Feed([]byte("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n")
	assert.Equal(t, s.LastID, "2")
	assert.Assert(t, !s.Pending())
}
