// Package crowder plays clients that keep to no limits: it opens many connections to an address
// at once, sends bytes of one kind over each and keeps all of them open.
//
// # Usage
//
//	c := crowder.Open(address, 250, crowder.ShortLines(target))
//	defer c.Close()
//	c.Wait(10 * time.Second)
package crowder

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Target describes the requests that a listener serves.
type Target struct {
	// Path and Header select the route and name the organisation; Header holds whole lines.
	Path   string
	Header string
	// HeadBytes and BodyBytes are the largest head and body inside the listener's limits.
	HeadBytes int
	BodyBytes int
}

// Kind is what each client of a crowd sends.
type Kind struct {
	Name string
	// Send writes to the connection of the n-th client and returns at an error.
	Send func(w io.Writer, n int) error
}

// chunkBytes is the size of the pieces in which a body is sent.
const chunkBytes = 16 << 10

// Kinds returns all kinds of clients.
func Kinds(t Target) []Kind {
	return []Kind{ShortLines(t), OddLines(t), LongHead(t), EndlessHead(t), EmptyLines(t), WholeBody(t), StoppedBody(t), StoppedChunks(t)}
}

// ShortLines sends heads of many short lines with different names. Each asks for a body that
// doesn't come.
func ShortLines(t Target) Kind {
	return Kind{"short header lines", func(w io.Writer, n int) error {
		return write(w, t.head(n, "Content-Length: 10\r\n"+shortLines(t.HeadBytes)))
	}}
}

// OddLines sends heads of many lines that repeat a name, have no value or continue the line before.
// Each asks for a body that doesn't come.
func OddLines(t Target) Kind {
	return Kind{"odd header lines", func(w io.Writer, n int) error {
		odd := "a:\nA: \tb\r\n c\n\t\r\nb:\xff\n"
		lines := strings.Repeat(odd, (t.HeadBytes-headSlack)/len(odd))
		return write(w, t.head(n, "Content-Length: 10\r\n"+lines))
	}}
}

// LongHead sends heads that are sixteen times as long as the limit.
func LongHead(t Target) Kind {
	return Kind{"head over the limit", func(w io.Writer, n int) error {
		if err := write(w, strings.TrimSuffix(t.head(n, "X: "), "\r\n")); err != nil {
			return err
		}
		if err := pieces(16*t.HeadBytes, func(b string) error { return write(w, b) }); err != nil {
			return err
		}
		return write(w, "\r\n\r\n")
	}}
}

// EndlessHead sends heads that stay within the limit and don't end.
func EndlessHead(t Target) Kind {
	return Kind{"head without end", func(w io.Writer, n int) error {
		return write(w, strings.TrimSuffix(t.head(n, shortLines(t.HeadBytes)), "\r\n"))
	}}
}

// EmptyLines sends empty lines instead of a request, after a first request and at once.
func EmptyLines(t Target) Kind {
	return Kind{"empty lines before a request", func(w io.Writer, n int) error {
		if n%2 == 0 {
			if err := write(w, t.head(n, "Content-Length: 0\r\n")); err != nil {
				return err
			}
		}
		for range 64 {
			if err := write(w, strings.Repeat("\r\n", chunkBytes/2)); err != nil {
				return err
			}
		}
		return nil
	}}
}

// WholeBody sends the largest body, whole.
func WholeBody(t Target) Kind {
	return Kind{"whole bodies", func(w io.Writer, n int) error {
		return write(w, t.head(n, fmt.Sprintf("Content-Length: %d\r\n", t.BodyBytes))+strings.Repeat("b", t.BodyBytes))
	}}
}

// StoppedBody sends the largest body piece by piece up to its last byte.
func StoppedBody(t Target) Kind {
	return Kind{"bodies that stop before their end", func(w io.Writer, n int) error {
		if err := write(w, t.head(n, fmt.Sprintf("Content-Length: %d\r\n", t.BodyBytes))); err != nil {
			return err
		}
		return pieces(t.BodyBytes-1, func(b string) error { return write(w, b) })
	}}
}

// StoppedChunks sends the largest body in chunks, without the last one.
func StoppedChunks(t Target) Kind {
	return Kind{"bodies in chunks that stop before their end", func(w io.Writer, n int) error {
		if err := write(w, t.head(n, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		return pieces(t.BodyBytes, func(b string) error { return write(w, fmt.Sprintf("%x\r\n%s\r\n", len(b), b)) })
	}}
}

// LongFrame sends most of a frame of the given size to a listener for links.
func LongFrame(size int) Kind {
	return Kind{"frame before the handshake", func(w io.Writer, _ int) error {
		var length []byte
		for n := size; ; n >>= 7 {
			if n < 0x80 {
				length = append(length, byte(n))
				break
			}
			length = append(length, byte(n)|0x80)
		}
		if err := write(w, string(length)); err != nil {
			return err
		}
		return pieces(size-1, func(b string) error { return write(w, b) })
	}}
}

// headSlack leaves room in a head for the lines that every request has.
const headSlack = 1 << 10

// head returns the head of the n-th client's request.
func (t Target) head(n int, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd-%d\r\n%s%s\r\n", t.Path, n, t.Header, lines)
}

// shortLines returns lines with different short names for a head of at most size bytes.
func shortLines(size int) string {
	const digits = "ghijklmnopqrstuvwxyz0123456789_" // no name of a header that means something
	var b bytes.Buffer
	for n := 0; b.Len() < size-headSlack; n++ {
		for rest := n; ; rest /= len(digits) {
			b.WriteByte(digits[rest%len(digits)])
			if rest < len(digits) {
				break
			}
		}
		b.WriteString(":\n")
	}
	return b.String()
}

func write(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}

func pieces(size int, send func(string) error) error {
	piece := strings.Repeat("p", chunkBytes)
	for left := size; left > 0; left -= chunkBytes {
		if err := send(piece[:min(left, chunkBytes)]); err != nil {
			return err
		}
	}
	return nil
}

// Crowd is a number of open connections.
type Crowd struct {
	wg    sync.WaitGroup
	done  chan struct{}
	mu    sync.Mutex // guards conns and closed
	conns []net.Conn
	// closed is set by Close.
	closed bool
}

// Open opens n connections to an address and sends bytes of one of the kinds over each.
func Open(address string, n int, kinds ...Kind) *Crowd {
	c := &Crowd{done: make(chan struct{})}
	for i := range n {
		c.wg.Go(func() { c.runClient(address, kinds[i%len(kinds)], i) })
	}
	go func() {
		c.wg.Wait()
		close(c.done)
	}()
	return c
}

func (c *Crowd) runClient(address string, kind Kind, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // refused, which is allowed
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	if c.closed {
		_ = conn.Close()
	}
	c.mu.Unlock()
	_ = kind.Send(conn, n) // fails if the process closes the connection, which is allowed
}

// Wait returns when all clients have sent what they send or could send no more, or after the given
// time: a process may leave bytes unread.
func (c *Crowd) Wait(atMost time.Duration) {
	select {
	case <-c.done:
	case <-time.After(atMost):
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	<-c.done
}
