// Package spender spends prepaid budgets without exceeding their limits.
//
// A TokenPool holds the tokens that one incarnation of a router has drawn from the
// platform's budget rows. A request reserves its worst case from the pool before it
// runs and settles its actual usage afterwards. A Flusher commits bills, settlements,
// draws and returns in one conditional commit. Nothing depends on a clock: a drawn
// token stays out of the row until it is settled, returned, or recovered by asking
// every agent that could have spent it.
//
// An Allocator serves the same purpose for gateways in large fleets. It settles
// requests in the router's own Holding rows and changes the shared Budget rows only to
// draw or return tokens or to publish its figures. A Heartbeater writes how many held
// tokens may be reserved, which bounds what counts as spent if the router crashes.
//
// # Usage
//
//	pool := spender.NewTokenPool("router-1@7f3a")
//	flusher := &spender.Flusher{Pool: pool, Table: table, Policy: spender.NewProportional(0.05, spender.DefaultTrendFactor)}
//	part, err := pool.Reserve("alpha", 700)
//	pool.Settle(framer.Bill{Organisation: "alpha", RequestID: id, Sequence: part.Sequence, Amount: 212})
//	err = flusher.Flush(ctx, time.Now())
package spender

import "github.com/pkg/errors"

// Errors of token pools and flushers.
var (
	// ErrInsufficientTokens is returned when the free tokens of a pool do not cover a
	// reservation.
	ErrInsufficientTokens = errors.New("token pool does not cover the reservation")
	// ErrFenced is returned once the incarnation may no longer draw or reserve.
	ErrFenced = errors.New("incarnation is fenced")
)
