package channel

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// ErrHeadTooLarge means that a server sent a head of a response that exceeds the limit.
var ErrHeadTooLarge = errors.New("head of the response is too large")

const (
	// maxInformational limits the informational responses before a response.
	maxInformational = 5
	// maxLargeHeads limits the bytes of all heads being read, beyond the first readBufferSize of
	// each.
	maxLargeHeads = 16 << 20
)

// headReader reads from a connection and limits the size of the head of each response.
type headReader struct {
	reader io.Reader
	// total is the number of bytes of all heads being read beyond readBufferSize, and reserved
	// the part of this one.
	total    *atomic.Int64
	reserved int64
	// reading is true while a head is read, and left is what remains of its limit.
	reading bool
	left    int
	// exceeded is true once the head has exceeded a limit.
	exceeded bool
}

// begin begins the head of a response, which includes the informational responses before it.
func (r *headReader) begin() { r.reading, r.left, r.exceeded = true, network.MaxResponseHead, false }

// end ends the head. What follows is not limited.
func (r *headReader) end() {
	r.total.Add(-r.reserved)
	r.reading, r.reserved = false, 0
}

func (r *headReader) Read(data []byte) (int, error) {
	if !r.reading {
		return r.reader.Read(data)
	}
	if r.left <= 0 || r.exceeded {
		r.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := r.reader.Read(data[:min(len(data), r.left)])
	r.left -= n
	if beyond := int64(network.MaxResponseHead - r.left - readBufferSize); beyond > r.reserved {
		total := r.total.Add(beyond - r.reserved)
		r.reserved = beyond
		if total > maxLargeHeads {
			r.exceeded = true
			return 0, ErrHeadTooLarge
		}
	}
	return n, err
}
