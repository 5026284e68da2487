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

// fetchKey is the key of transfers from other routers: all bring the same.
const fetchKey = "fetch"

// transfers runs transfers of the configuration, at most one at a time for each key. A large
// document on a narrow link takes longer than a heartbeat may, and holds up what is sent on the same
// connection, so each has a connection of its own. The zero value is ready for use.
type transfers struct {
	mu      sync.Mutex      // guards running
	running map[string]bool // by key
}

// run calls f with a new link to the process at the other end of the given one, and waits until f
// returns or ctx ends, after which f goes on. It returns at once if an earlier call with the key is
// running, or too many others are: a later heartbeat calls it again.
func (t *transfers) run(ctx context.Context, r *Router, key string, link *linker.Link, f func(ctx context.Context, link *linker.Link)) {
	if !t.begin(key) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer t.end(key)
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

func (t *transfers) begin(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[key] || len(t.running) >= maxTransfers {
		return false
	}
	if t.running == nil {
		t.running = make(map[string]bool)
	}
	t.running[key] = true
	return true
}

func (t *transfers) end(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, key)
}
