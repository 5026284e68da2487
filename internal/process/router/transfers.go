package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/linker"
)

// maxTransferTime bounds a transfer of the configuration. A link that has failed is closed much
// sooner, when its heartbeats fail.
const maxTransferTime = time.Minute

// transfers runs transfers of the configuration, at most one at a time on each link. A large
// document on a slow link takes longer than a heartbeat may. The zero value is ready for use.
type transfers struct {
	mu      sync.Mutex // guards running
	running map[*linker.Link]bool
}

// run calls f for a link and waits until f returns or ctx ends, after which f goes on. It returns
// at once if an earlier call for the link is running.
func (t *transfers) run(ctx context.Context, link *linker.Link, f func(ctx context.Context)) {
	if !t.begin(link) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer t.end(link)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxTransferTime)
		defer cancel()
		f(ctx)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (t *transfers) begin(link *linker.Link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[link] {
		return false
	}
	if t.running == nil {
		t.running = make(map[*linker.Link]bool)
	}
	t.running[link] = true
	return true
}

func (t *transfers) end(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, link)
}
