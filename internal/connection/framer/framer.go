// Package framer reads and writes the messages between the processes of the fleet:
// length-delimited protobuf frames with one message each.
//
// # Usage
//
//	f := framer.New(conn)
//	err := f.Write(&framer.Ping{Incarnation: "router-1@7f3a"})
//	pong, err := framer.ReadAs[*framer.Pong](f)
//
// The message types are independent of the generated wire types; codec.go and store.go
// convert between them.
package framer

import (
	"bufio"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/egretroute/egretroute/internal/connection/framer/wire"
)

// MaxFrameBytes is the maximum size of a frame from a peer.
const MaxFrameBytes = 16 << 20

// MaxHandshakeBytes is the maximum size of a frame on an unbuffered Framer.
const MaxHandshakeBytes = 4 << 10

const readBufferBytes = 4 << 10

// ErrUnexpectedMessage is returned when a peer sends a message of a type that the
// protocol does not allow at this point.
var ErrUnexpectedMessage = errors.New("unexpected message")

// Framer reads and writes messages on one byte stream. Write may be called concurrently,
// Read only from one goroutine.
type Framer struct {
	r  protodelim.Reader
	w  io.Writer
	mu sync.Mutex // guards w
	// maxBytes is the maximum size of a frame that is read.
	maxBytes int64
}

// New returns a Framer over rw.
func New(rw io.ReadWriter) *Framer {
	return &Framer{r: bufio.NewReaderSize(rw, readBufferBytes), w: rw, maxBytes: MaxFrameBytes}
}

// NewUnbuffered returns a Framer that never reads beyond the current message, so that
// another protocol may take over the stream. It is for peers that are not authenticated yet.
func NewUnbuffered(rw io.ReadWriter) *Framer {
	return &Framer{r: byteReader{rw}, w: rw, maxBytes: MaxHandshakeBytes}
}

// byteReader adds an unbuffered ReadByte to a reader.
type byteReader struct {
	io.Reader
}

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// Write sends one message.
func (f *Framer) Write(m any) error {
	frame, err := encode(m)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = protodelim.MarshalTo(f.w, frame)
	return errors.Wrap(err, "write frame")
}

// Read returns the next message.
func (f *Framer) Read() (any, error) {
	var frame wire.Frame
	opts := protodelim.UnmarshalOptions{MaxSize: f.maxBytes}
	if err := opts.UnmarshalFrom(f.r, &frame); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	return decode(&frame)
}

// ReadAs reads the next message, which must be a T.
func ReadAs[T any](f *Framer) (T, error) {
	var zero T
	m, err := f.Read()
	if err != nil {
		return zero, err
	}
	t, ok := m.(T)
	if !ok {
		return zero, errors.Wrapf(ErrUnexpectedMessage, "got %T, want %T", m, zero)
	}
	return t, nil
}
