package channel

import (
	"fmt"
	"io"
	"net"
	"slices"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// upload is the body of a request that is written while its response is read.
type upload struct {
	// done is closed when the write has ended. err is set before that.
	done chan struct{}
	err  error
}

// run writes the body.
func (u *upload) run(conn net.Conn, body intake.Body) {
	defer close(u.done)
	// Writing consumes the list of segments, which a further attempt needs.
	segments := net.Buffers(slices.Clone(body))
	_, u.err = segments.WriteTo(conn)
}

// result reports whether the write has ended, and its error.
func (u *upload) result() (ended bool, err error) {
	select {
	case <-u.done:
		return true, u.err
	default:
		return false, nil
	}
}

// Read reads from the server. It returns io.EOF only if nothing shows that the connection was reset.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF {
		if failure := c.failure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// failure returns a network.ErrReset if the connection was reset or the upload failed, otherwise nil. An upload that
// goes on is no failure: a server may end its side first and read the rest.
func (c *conn) failure() error {
	if c.upload != nil {
		if _, err := c.upload.result(); err != nil {
			return fmt.Errorf("%w: write: %w", network.ErrReset, err)
		}
	}
	// The write that got the error may not have returned yet.
	if network.IsReset(c.Conn) {
		return network.ErrReset
	}
	return nil
}

// Failure returns a network.ErrReset if the connection was reset or the server did not take the whole request, also
// if that was noticed only after the end of the response was read. It must not be called after Finish.
func (r *Response) Failure() error { return r.conn.failure() }
