package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"golang.org/x/sys/unix"

	"github.com/filbertlever/filbertlever/internal/protocol/httphead"
)

// ErrReset means that a connection did not end in an orderly way: its server reset it, or did not take the
// whole request. A response that ends with its connection is then not complete.
var ErrReset = errors.New("the connection was reset")

// tcpClosed is the state of a connection that was reset, while it is open in this process.
const tcpClosed = unix.BPF_TCP_CLOSE

// IsReset reports whether a connection was reset, by its server or because this process has closed it.
//
// The kernel reports a reset once, to whichever call comes first. If that is a write, a read returns the bytes
// that have arrived and then io.EOF.
func IsReset(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return err != nil || reset
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a DialFunc whose connections return ErrReset, not io.EOF, if they were reset.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok && err == nil {
			return resetReporter{tcp}, nil
		}
		return c, err
	}
}

type resetReporter struct{ *net.TCPConn }

func (r resetReporter) Read(data []byte) (int, error) {
	n, err := r.TCPConn.Read(data)
	if err == io.EOF && IsReset(r.TCPConn) {
		err = ErrReset
	}
	return n, err
}

// NewClient returns a client whose responses have heads of HTTP. net/http accepts other statuses, and names of
// fields that it does not recognise as what they are for the server.
func NewClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: &checkedTransport{transport}}
}

// checkedTransport is a transport that checks the heads of responses.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response, request.Header.Get("Upgrade") != ""); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// ErrHead means that the head of a response is not one of HTTP.
var ErrHead = errors.New("not the head of a response")

// checkHead checks what is left of a head after net/http has read it.
func checkHead(response *http.Response, upgrades bool) error {
	status := response.StatusCode
	if (status < 200 || status > 599) && (status != http.StatusSwitchingProtocols || !upgrades) {
		return fmt.Errorf("%w: status %.20q", ErrHead, response.Status)
	}
	for name := range response.Header {
		if !httphead.IsName(name) {
			return fmt.Errorf("%w: field %.40q", ErrHead, name)
		}
	}
	return nil
}
