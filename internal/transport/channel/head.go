package channel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/filbertlever/filbertlever/internal/protocol/httphead"
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
	// usualHead is enough for most heads.
	usualHead = 1 << 10
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
	// unread holds bytes that are read again before further ones from reader.
	unread []byte
}

// begin begins the head of a response, which includes the informational responses before it.
func (r *headReader) begin() { r.reading, r.left, r.exceeded = true, network.MaxResponseHead, false }

// end ends the head. What follows is not limited.
func (r *headReader) end() {
	r.total.Add(-r.reserved)
	r.reading, r.reserved = false, 0
}

func (r *headReader) Read(data []byte) (int, error) {
	if len(r.unread) > 0 {
		n := copy(data, r.unread)
		if r.unread = r.unread[n:]; len(r.unread) == 0 {
			r.unread = nil
		}
		return n, nil
	}
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

// readHead reads a head up to the empty line that ends it.
func readHead(reader *bufio.Reader) ([]byte, error) {
	head := make([]byte, 0, usualHead)
	for lineStart := 0; ; {
		part, err := reader.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if line := head[lineStart:]; len(line) == 1 || string(line) == "\r\n" {
			return head, nil
		}
		lineStart = len(head)
	}
}

// read returns the head of the next response and skips informational (1xx) responses.
//
// A faulty server may send a head, or informational responses, without end.
func (c *conn) read(request *Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for range maxInformational + 1 {
		head, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		status, err := httphead.Check(head)
		if err != nil {
			return nil, err
		}
		if httphead.Informational(status) {
			continue
		}
		c.unread(head)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err == nil {
			response.Body = &checkedBody{ReadCloser: response.Body, response: response}
		}
		return response, err
	}
	return nil, ErrHeadTooLarge
}

// errTrailer means that the fields after a body in chunks are malformed.
var errTrailer = errors.New("malformed trailer")

// checkedBody is a body whose trailer is checked when it ends.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

func (b *checkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != io.EOF {
		return n, err
	}
	for name := range b.response.Trailer {
		if !httphead.IsName(name) {
			return n, fmt.Errorf("%w: %.40q", errTrailer, name)
		}
	}
	return n, err
}

// unread puts bytes that were read back in front of the reader.
func (c *conn) unread(data []byte) {
	// Peek cannot fail for what is buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.unread = slices.Concat(data, buffered, c.head.unread)
	c.reader.Reset(c.head)
}

// unreadBytes returns how many bytes were received and not read.
func (c *conn) unreadBytes() int { return c.reader.Buffered() + len(c.head.unread) }
