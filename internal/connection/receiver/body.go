package receiver

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

// Errors of ReadBody. The request has not run.
var (
	// ErrTooLarge is returned for a body over its limit.
	ErrTooLarge = errors.New("body too large")
	// ErrNoRoom is returned for a body for which no memory is left.
	ErrNoRoom = errors.New("no memory left for the body")
	// ErrLate is returned for a body that has not arrived by the deadline.
	ErrLate = errors.New("body not received in time")
)

const (
	// firstBodyBytes is the size of a body's first buffer. It doubles as the body arrives.
	firstBodyBytes = 16 << 10
	// roomWait is the longest wait of a body for others to be released, roomPause the time between
	// two attempts.
	roomWait  = 500 * time.Millisecond
	roomPause = 20 * time.Millisecond
)

// ReadBody reads a request's body of length bytes, or of an unknown length if that is negative, of at
// most limit bytes. c may be nil.
func (c *Conn) ReadBody(body io.Reader, length, limit int64, deadline time.Time) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case c == nil:
		return read(body, length, limit, unlimited, func(int64) {})
	case c.holder.Evicted():
		return nil, ErrNoRoom
	case length == 0:
		return nil, nil
	case length > 0:
		c.beyond -= length
	}
	c.inBody.Store(true)
	defer c.inBody.Store(false)
	c.setPhase(receiving)
	c.holder.Enter(budgeter.Receiving, deadline)
	b, err := read(body, length, limit, c.growBody, func(n int64) { c.holder.Release(budgeter.Body, n) })
	if !c.Evicted() { // otherwise net/http would wait for the rest of the body
		c.setPhase(running)
	}
	c.holder.Enter(budgeter.Running, time.Time{})
	switch {
	case errors.Is(err, ErrTooLarge):
		return nil, err
	case err != nil && !time.Now().Before(deadline):
		return nil, ErrLate
	case c.holder.Evicted() || (err != nil && c.Evicted()):
		return nil, ErrNoRoom
	case errors.Is(err, ErrNoRoom):
		c.listener.Budget.Refuse()
	}
	return b, err
}

// ReadResponse reads a response of length bytes, or of an unknown length if that is negative, up to
// limit bytes or for as long as there is room; whole reports whether nothing is left to read. c may be
// nil.
func (c *Conn) ReadResponse(response io.Reader, length, limit int64) (b []byte, whole bool, err error) {
	grow, release := unlimited, func(int64) {}
	if c != nil {
		grow = func(n int64) error { return c.holder.Grow(budgeter.Response, n) }
		release = func(n int64) { c.holder.Release(budgeter.Response, n) }
	}
	b, err = read(response, length, limit, grow, release)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, budgeter.ErrNoRoom) {
		return b, false, nil
	}
	return b, err == nil, err
}

func unlimited(int64) error {
	return nil
}

// growBody asks for room for n bytes of a body, and waits a little for others to be released.
func (c *Conn) growBody(n int64) error {
	for end := time.Now().Add(rand.N(roomWait)); ; time.Sleep(roomPause) {
		if c.holder.Grow(budgeter.Body, n) == nil {
			return nil
		}
		if c.holder.Evicted() || time.Now().After(end) {
			return ErrNoRoom
		}
	}
}

// read reads up to one byte more than limit into a buffer that grows as the bytes arrive. It returns
// what it has read with any error. grow is asked before each allocation, and release told of each
// buffer that is given up.
func read(r io.Reader, length, limit int64, grow func(int64) error, release func(int64)) ([]byte, error) {
	if length > limit {
		length = limit + 1
	}
	most := length
	if length < 0 {
		most = limit + 1 // one more shows that there are too many
	}
	var b []byte
	for int64(len(b)) < most {
		if len(b) == cap(b) {
			size := min(max(2*int64(cap(b)), firstBodyBytes), most)
			if err := grow(size); err != nil {
				return b, err
			}
			larger := make([]byte, len(b), size)
			copy(larger, b)
			release(int64(cap(b)))
			b = larger
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && int64(len(b)) <= limit:
			return b, nil
		case err != nil && err != io.EOF:
			return b, err
		}
	}
	if int64(len(b)) > limit {
		return b, ErrTooLarge
	}
	if n, err := r.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return b, errors.Wrap(io.ErrUnexpectedEOF, "no end after the length")
	}
	return b, nil
}
