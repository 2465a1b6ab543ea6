package channel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"

	"golang.org/x/sys/unix"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// ErrReset means that a connection did not end in an orderly way: its server reset it, or did not take the
// whole request. A response that ends with its connection is then not complete.
var ErrReset = errors.New("the connection was reset")

// tcpClosed is the state of a connection that was reset, while it is open in this process.
const tcpClosed = unix.BPF_TCP_CLOSE

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
//
// The kernel reports a reset once, to whichever call comes first. If that is the write of an upload, a read
// returns the bytes that have arrived and then io.EOF.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF {
		if failure := c.failure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// failure returns an ErrReset if the connection was reset or the upload failed, otherwise nil. An upload that
// goes on is no failure: a server may end its side first and read the rest.
func (c *conn) failure() error {
	if c.upload != nil {
		if _, err := c.upload.result(); err != nil {
			return fmt.Errorf("%w: write: %w", ErrReset, err)
		}
	}
	// The write that got the error may not have returned yet.
	if c.isReset() {
		return ErrReset
	}
	return nil
}

// isReset reports whether the connection, which this process has not closed, was reset.
func (c *conn) isReset() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return err == nil && reset
}

// Failure returns an ErrReset if the connection was reset or the server did not take the whole request, also
// if that was noticed only after the end of the response was read. It must not be called after Finish.
func (r *Response) Failure() error { return r.conn.failure() }
