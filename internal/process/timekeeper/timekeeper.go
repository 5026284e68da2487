// Package timekeeper tells the caller of a call that parts of its reply arrive, and bounds calls
// by that: a long reply on a slow path takes more time than a path that has failed may take.
//
// # Usage
//
// The caller watches the reply, or bounds the call:
//
//	ctx = timekeeper.Watch(ctx, func(n int) { arrived += n })
//	ctx, cancel := timekeeper.Bounds{First: time.Second, Stall: time.Second, Whole: 20 * time.Second}.Start(ctx)
//	defer cancel()
//
// The transport reports each part that it has read:
//
//	reply, err := io.ReadAll(timekeeper.Reader(ctx, resp.Body))
package timekeeper

import (
	"context"
	"io"
)

// maxPart is the most that is read at a time: a chunked body fills the buffer before it returns.
const maxPart = 4 << 10

type contextKey struct{}

// Watch returns a context for a call. f is called, on any goroutine, each time that a part of the
// call's reply has arrived, with its length in bytes, after the functions of contexts that ctx was
// made from.
func Watch(ctx context.Context, f func(n int)) context.Context {
	outer, _ := ctx.Value(contextKey{}).(func(int))
	if outer == nil {
		return context.WithValue(ctx, contextKey{}, f)
	}
	return context.WithValue(ctx, contextKey{}, func(n int) {
		outer(n)
		f(n)
	})
}

// Detach returns a context whose calls nobody watches.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, nil)
}

// Report tells those that watch a call that a part of its reply has arrived. Its length doesn't
// count the reply's header.
func Report(ctx context.Context, n int) {
	if f, _ := ctx.Value(contextKey{}).(func(int)); f != nil {
		f(n)
	}
}

// Reader returns a reader that reports what it reads of a call's reply.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	return reader{ctx: ctx, r: r}
}

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p[:min(len(p), maxPart)])
	if n > 0 {
		Report(r.ctx, n)
	}
	return n, err
}
