package timekeeper

import (
	"context"
	"sync"
	"time"
)

// Bounds are the bounds of a call's time.
type Bounds struct {
	// First is the time until the first part of the reply has arrived.
	First time.Duration
	// Stall is the time between two parts, and from the last one to the end.
	Stall time.Duration
	// Whole is the time of the whole call.
	Whole time.Duration
}

// Start returns the context of a call that begins now. It ends when the call has passed a bound.
func (b Bounds) Start(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, b.Whole)
	firstAt := time.Now().Add(b.First)
	var mu sync.Mutex // guards ended
	ended := false
	timer := time.AfterFunc(b.First, cancel)
	ctx = Watch(ctx, func(int) {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			timer.Reset(max(b.Stall, time.Until(firstAt)))
		}
	})
	return ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
		cancel()
	}
}
