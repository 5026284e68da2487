package exchanger

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// probeDialTime is how long Probe waits for an answer to one dial, many round trips
	// inside a region, and probeOpenTime how long a connection must stay open.
	probeDialTime = 30 * time.Millisecond
	probeOpenTime = 10 * time.Millisecond
	maxProbeDials = 3
)

// Probe is what dials to an address have shown.
type Probe int

const (
	// ProbeUnknown means that nothing answered, or that connections ended at once.
	ProbeUnknown Probe = iota
	// ProbeRefused means that nothing listens at the address.
	ProbeRefused
	// ProbeOpen means that a connection was accepted and stays open.
	ProbeOpen
)

// Probe dials an address, up to maxProbeDials times if a connection is not answered or ends
// at once, as happens while a process ends: its sockets are not closed at the same
// instant. A connection that stays open is kept for the next request.
func (p *Pool) Probe(ctx context.Context, address string) Probe {
	for range maxProbeDials {
		dialCtx, cancel := context.WithTimeout(ctx, probeDialTime)
		c, err := p.dial(dialCtx, address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return ProbeRefused
		case err == nil:
			pauser.Pause(ctx, probeOpenTime)
			if reusable(c.Conn) {
				p.put(address, c, defaultIdleTimeout)
				return ProbeOpen
			}
			_ = c.Close()
		case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded):
			pauser.Pause(ctx, probeOpenTime)
		}
	}
	return ProbeUnknown
}
