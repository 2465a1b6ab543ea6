// Package network abstracts listening and dialing, so that tests can replace TCP with
// faulty links.
package network

import (
	"context"
	"net"
	"time"
)

// Network listens and dials.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct {
	// DialTimeout limits one connection attempt.
	DialTimeout time.Duration
}

const keepAliveInterval = 15 * time.Second

// Listen listens on IP:port.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext connects to IP:port.
func (t TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: t.DialTimeout, KeepAlive: keepAliveInterval}
	return ReportResets(dialer.DialContext)(ctx, network, address)
}

// MaxResponseHead is the largest head of a response, including the informational responses before
// it, that is read from any server.
const MaxResponseHead = 32 << 10

// MaxMessage is the largest message of a remote call that is read from any server.
const MaxMessage = 32 << 20
