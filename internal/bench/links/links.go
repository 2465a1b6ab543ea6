// Package links limits the bandwidth of loopback connections for measurements.
// Each host has an inbound and an outbound rate, shared by all its connections.
package links

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// maxTransfer is the maximum number of bytes of one read or write. It is small so
// that connections share a link evenly.
const maxTransfer = 4 << 10

// socketBuffer is the size of the kernel's socket buffers. Larger buffers would
// hide the bandwidth limit.
const socketBuffer = 32 << 10

// Link is the network link of one host. It implements network.Network.
type Link struct {
	// In and Out count the transferred bytes.
	In, Out               atomic.Int64
	inLimiter, outLimiter *rate.Limiter
	// stalled is closed when the link stalls.
	stalled   chan struct{}
	stallOnce sync.Once
	// cut is closed when the link is cut.
	cut     chan struct{}
	cutOnce sync.Once

	mu    sync.Mutex
	conns []net.Conn
	down  bool
}

// New returns a link with a rate of bytesPerSecond in each direction.
func New(bytesPerSecond float64) *Link {
	return &Link{inLimiter: newLimiter(bytesPerSecond), outLimiter: newLimiter(bytesPerSecond), stalled: make(chan struct{}), cut: make(chan struct{})}
}

func newLimiter(bytesPerSecond float64) *rate.Limiter {
	// The burst is the amount that may be sent ahead of schedule. It limits how
	// much timers that fire late reduce the rate of the link.
	burst := max(int(bytesPerSecond/200), 2*maxTransfer)
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	limiter.AllowN(time.Now(), burst)
	return limiter
}

// SetRate changes the rate, in bytes per second in each direction.
func (l *Link) SetRate(bytesPerSecond float64) {
	for _, limiter := range []*rate.Limiter{l.inLimiter, l.outLimiter} {
		limiter.SetLimit(rate.Limit(bytesPerSecond))
		limiter.SetBurst(max(int(bytesPerSecond/200), 2*maxTransfer))
	}
}

// Stall blocks all transfers on the link without closing connections.
func (l *Link) Stall() { l.stallOnce.Do(func() { close(l.stalled) }) }

// Cut closes every connection and rejects new ones.
func (l *Link) Cut() {
	l.cutOnce.Do(func() { close(l.cut) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// Listen returns a listener whose connections use the link.
func (l *Link) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &shapedListener{Listener: listener, link: l}, nil
}

// DialContext opens a connection that uses the link.
func (l *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.shapeConn(conn)
}

// shapeConn returns the connection with the link's bandwidth limit.
func (l *Link) shapeConn(conn net.Conn) (net.Conn, error) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer)
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns = append(l.conns, conn)
	return &shapedConn{Conn: conn, link: l}, nil
}

type shapedListener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection. It skips connections that a cut link rejects.
func (s *shapedListener) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, err := s.link.shapeConn(conn); err == nil {
			return conn, nil
		}
	}
}

type shapedConn struct {
	net.Conn
	link *Link
}

// Read reads at most maxTransfer bytes.
func (c *shapedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), maxTransfer)])
	c.throttle(c.link.inLimiter, n)
	c.link.In.Add(int64(n))
	return n, err
}

// Write writes in blocks of at most maxTransfer bytes.
func (c *shapedConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		size := min(maxTransfer, len(b)-written)
		c.throttle(c.link.outLimiter, size)
		n, err := c.Conn.Write(b[written : written+size])
		written += n
		c.link.Out.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// throttle waits until the limiter allows n bytes. On a stalled link it blocks
// until the link is cut.
func (c *shapedConn) throttle(limiter *rate.Limiter, n int) {
	select {
	case <-c.link.stalled:
		<-c.link.cut
	default:
	}
	if n > 0 {
		_ = limiter.WaitN(context.Background(), n)
	}
}
