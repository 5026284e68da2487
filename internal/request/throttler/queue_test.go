package throttler_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/throttler"
)

var epoch = time.Unix(1000, 0)

// at returns a time of a case.
func at(millis float64) time.Time {
	return epoch.Add(time.Duration(millis * float64(time.Millisecond)))
}

// service is a service of which only limited targets are left.
type service struct {
	queue   throttler.Queue
	supply  throttler.Supply
	waiting map[string]*throttler.Waiter
}

// play performs one step.
func (s *service) play(t *testing.T, step string) {
	var now, a, b, c float64
	var what, name string
	_, err := fmt.Sscan(step, &now, &what)
	assert.NilError(t, err, step)
	args := strings.Fields(step)[2:]
	switch what {
	case "supply":
		_, err := fmt.Sscan(strings.Join(args, " "), &a, &b, &c)
		assert.NilError(t, err, step)
		s.supply = throttler.Supply{Next: at(a), PerSecond: b, Total: c}
	case "request":
		_, err := fmt.Sscan(strings.Join(args, " "), &name, &a, &b)
		assert.NilError(t, err, step)
		d := s.queue.Decide(s.supply, s.queue.Ahead(nil, int(a)), at(b), at(now))
		if d.Wait {
			s.waiting[name] = s.queue.Join(int(a))
		}
		assert.Equal(t, describe(d), strings.Join(args[3:], " "), step)
	case "again":
		_, err := fmt.Sscan(strings.Join(args, " "), &name, &a)
		assert.NilError(t, err, step)
		d := s.queue.Decide(s.supply, s.queue.Ahead(s.waiting[name], 0), at(a), at(now))
		assert.Equal(t, describe(d), strings.Join(args[2:], " "), step)
	case "leaves":
		s.queue.Leave(s.waiting[args[0]])
	default:
		t.Fatalf("unknown step %q", step)
	}
}

// describe returns a decision as testdata/queue.txt has it.
func describe(d throttler.Decision) string {
	verb := "returns"
	if d.Wait {
		verb = "waits"
	}
	return fmt.Sprintf("%s %d", verb, d.At.Sub(epoch).Milliseconds())
}

// TestQueue plays the cases of testdata/queue.txt.
func TestQueue(t *testing.T) {
	text, err := os.ReadFile("testdata/queue.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(text), "\n=== ")[1:] {
		title, steps, _ := strings.Cut(block, "\n")
		t.Run(title, func(t *testing.T) {
			s := &service{waiting: make(map[string]*throttler.Waiter)}
			for _, step := range strings.Split(strings.TrimSpace(steps), "\n") {
				s.play(t, step)
			}
		})
	}
}
