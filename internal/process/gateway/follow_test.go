package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgeOfAReply compares the time up to which a reply has all changes. It was taken for the time at which the reply
// arrived, however long that had been under way.
func TestAgeOfAReply(t *testing.T) {
	start := time.Now()
	for _, tt := range []struct {
		name  string
		wait  time.Duration
		first time.Duration // of the reply's parts; 0 if none is known
		end   time.Duration
		empty bool
		want  time.Duration
	}{
		{"a reply with changes", time.Second, 900 * time.Millisecond, 5 * time.Second, false, 0},
		{"a reply without changes", time.Second, 1010 * time.Millisecond, 1020 * time.Millisecond, true, time.Second},
		{"a reply without changes, long under way", time.Second, 1900 * time.Millisecond, 2 * time.Second, true, time.Second},
		{"a reply without changes, before the wait", time.Second, 300 * time.Millisecond, 400 * time.Millisecond, true, 300 * time.Millisecond},
		{"a store that reports no parts", time.Second, 0, 400 * time.Millisecond, true, 400 * time.Millisecond},
		{"an empty list", 0, 700 * time.Millisecond, 800 * time.Millisecond, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := feedCall{startedAt: start, wait: tt.wait}
			if tt.first > 0 {
				c.recordPart(start.Add(tt.first), 1)
			}
			assert.Equal(t, c.currentAt(start.Add(tt.end), tt.empty).Sub(start), tt.want)
		})
	}
}

// TestPartsAfterTheCall counts a part that arrives after the call has returned for nothing.
func TestPartsAfterTheCall(t *testing.T) {
	c := feedCall{startedAt: time.Now()}
	assert.Assert(t, !c.recordPart(time.Now(), 100))
	assert.Assert(t, c.recordPart(time.Now(), 5000))
	c.end()
	assert.Assert(t, !c.recordPart(time.Now(), 5000))
}
