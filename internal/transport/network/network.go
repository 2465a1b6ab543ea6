// Package network is how processes listen and connect, so that tests can put
// links with faults in place of TCP.
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

// TCP is the real network.
type TCP struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
}

const keepAliveInterval = 15 * time.Second

// Listen listens on IP:port.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext connects to IP:port.
func (t TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: t.DialTimeout, KeepAlive: keepAliveInterval}
	return dialer.DialContext(ctx, network, address)
}
