package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/linker"
)

const (
	// maxTransferTime bounds a transfer of the configuration.
	maxTransferTime = time.Minute
	// maxTransfers bounds the transfers that run at once: they share the host's link with requests.
	maxTransfers = 4
)

// transfers runs transfers of the configuration, at most one at a time to each process. A large
// document on a narrow link takes longer than a heartbeat may, and holds up what is sent on the same
// connection, so each has a connection of its own. The zero value is ready for use.
type transfers struct {
	mu      sync.Mutex      // guards running
	running map[string]bool // by address
}

// run calls f with a new link to the process at the other end of the given one, and waits until f
// returns or ctx ends, after which f goes on. It returns at once if an earlier call for the process
// is running, or too many for others are: a later heartbeat calls it again.
func (t *transfers) run(ctx context.Context, r *Router, link *linker.Link, f func(ctx context.Context, link *linker.Link)) {
	if !t.begin(link.Address) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer t.end(link.Address)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxTransferTime)
		defer cancel()
		go func() {
			select {
			case <-link.Done(): // the process may have ended
				cancel()
			case <-ctx.Done():
			}
		}()
		own, err := linker.Dial(ctx, link.Address, r.Secret, r.identity())
		if err != nil {
			return
		}
		defer own.Close()
		f(ctx, own)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (t *transfers) begin(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[address] || len(t.running) >= maxTransfers {
		return false
	}
	if t.running == nil {
		t.running = make(map[string]bool)
	}
	t.running[address] = true
	return true
}

func (t *transfers) end(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, address)
}
