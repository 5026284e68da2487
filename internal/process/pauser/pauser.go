// Package pauser provides a sleep that ends early when its context ends.
//
// # Usage
//
//	pauser.Pause(ctx, 100*time.Millisecond)
package pauser

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
