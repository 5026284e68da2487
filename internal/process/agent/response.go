package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
)

// maxChunkBytes bounds the data of one frame: far below framer.MaxFrameBytes, above which
// the router refuses a frame and loses contact with the run.
const maxChunkBytes = 1 << 20

// responseWriter is the Sink that sends the response of one attempt to its router.
type responseWriter struct {
	stream   *linker.Stream
	attempt  uint64
	keepBody bool // the body is kept for replay

	status      int
	contentType string
	body        []byte
	bytes       int64
	hash        xxhash.Digest
	started     bool
}

// Head implements Sink.Head.
func (w *responseWriter) Head(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	return w.stream.Write(&framer.Head{Attempt: w.attempt, Status: status, ContentType: contentType})
}

// Data implements Sink.Data.
func (w *responseWriter) Data(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if !w.started {
		w.hash.Reset()
		w.started = true
	}
	_, _ = w.hash.Write(p) // never fails
	w.bytes += int64(len(p))
	if w.keepBody {
		w.body = append(w.body, p...)
	}
	for piece := range slices.Chunk(p, maxChunkBytes) {
		if err := w.stream.Write(&framer.Chunk{Attempt: w.attempt, Data: piece}); err != nil {
			return err
		}
	}
	return nil
}

// lengthAndChecksum returns the length and the checksum of the body sent so far.
func (w *responseWriter) lengthAndChecksum() (int64, uint64) {
	if !w.started {
		return 0, 0
	}
	return w.bytes, w.hash.Sum64()
}
