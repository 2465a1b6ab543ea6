package process_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memNetwork is an in-memory network whose connections can be reset and stalled.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
}

func newMemNetwork() *memNetwork { return &memNetwork{listeners: map[string]*listener{}} }

// iface is the network interface of one process. It implements network.Network.
type iface struct {
	network *memNetwork
	// ip is the IP address of the process's host.
	ip string

	mu sync.Mutex
	// killed refuses all connections from and to the process.
	killed bool
	// stalled holds back all data from and to the process without an error.
	stalled bool
	// changed is closed and replaced when killed or stalled changes.
	changed chan struct{}
}

// iface returns a new interface with an IP address.
func (n *memNetwork) iface(ip string) *iface {
	return &iface{network: n, ip: ip, changed: make(chan struct{})}
}

// kill disconnects the process permanently. It resets its connections and
// removes its listeners.
func (i *iface) kill() {
	i.update(func() { i.killed = true })
	i.resetConns()
	i.network.mu.Lock()
	defer i.network.mu.Unlock()
	for address, l := range i.network.listeners {
		if l.iface == i {
			delete(i.network.listeners, address)
		}
	}
}

// resetConns resets all connections of the process, which keeps running.
func (i *iface) resetConns() {
	i.network.mu.Lock()
	var conns []*conn
	for _, c := range i.network.conns {
		if c.iface == i || c.other.iface == i {
			conns = append(conns, c)
		}
	}
	i.network.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// stallAndRelease stalls the process without a connection error and removes its
// listeners, so that a replacement can use the same addresses.
func (i *iface) stallAndRelease() {
	i.setStalled(true)
	i.network.mu.Lock()
	defer i.network.mu.Unlock()
	for address, l := range i.network.listeners {
		if l.iface == i {
			delete(i.network.listeners, address)
		}
	}
}

// setStalled starts or stops holding back all data from and to the process.
func (i *iface) setStalled(on bool) { i.update(func() { i.stalled = on }) }

// update changes the state of the interface and wakes all blocked operations.
func (i *iface) update(change func()) {
	i.mu.Lock()
	change()
	close(i.changed)
	i.changed = make(chan struct{})
	i.mu.Unlock()
	i.network.mu.Lock()
	conns := append([]*conn(nil), i.network.conns...)
	i.network.mu.Unlock()
	for _, c := range conns {
		c.recv.wake()
	}
}

// state returns the state of the interface and the channel that is closed when
// it changes.
func (i *iface) state() (killed, stalled bool, changed <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.killed, i.stalled, i.changed
}

// Listen listens on an address, which must not be in use.
func (i *iface) Listen(address string) (net.Listener, error) {
	i.network.mu.Lock()
	defer i.network.mu.Unlock()
	if _, taken := i.network.listeners[address]; taken {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{iface: i, address: address, accept: make(chan net.Conn, 1024), closed: make(chan struct{})}
	i.network.listeners[address] = l
	return l, nil
}

// DialContext connects to an address. It blocks while either side is stalled, at
// most one second.
func (i *iface) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for {
		i.network.mu.Lock()
		l := i.network.listeners[address]
		i.network.mu.Unlock()
		killed, stalled, changed := i.state()
		if l == nil || killed {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		_, peerStalled, peerChanged := l.iface.state()
		if !stalled && !peerStalled {
			return l.connect(i)
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-changed:
		case <-peerChanged:
		}
	}
}

// listener implements net.Listener.
type listener struct {
	iface   *iface
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// connect creates a connection from an interface to the listener.
func (l *listener) connect(from *iface) (net.Conn, error) {
	a, b := &conn{iface: from}, &conn{iface: l.iface}
	a.other, b.other = b, a
	a.recv, b.recv = newRecvBuffer(), newRecvBuffer()
	l.iface.network.mu.Lock()
	l.iface.network.conns = append(l.iface.network.conns, a, b)
	l.iface.network.mu.Unlock()
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.iface.network.mu.Lock()
		if l.iface.network.listeners[l.address] == l {
			delete(l.iface.network.listeners, l.address)
		}
		l.iface.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr implements net.Addr.
type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// conn is one end of a connection. recv holds the bytes that it has not read.
type conn struct {
	iface *iface
	other *conn
	recv  *recvBuffer
}

// recvBuffer holds the bytes in flight to one end of a connection.
type recvBuffer struct {
	mu       sync.Mutex
	cond     *sync.Cond
	data     []byte
	closed   bool
	broken   bool
	deadline time.Time
	timer    *time.Timer
}

// maxBuffered is the buffered size above which writes block.
const maxBuffered = 256 << 10

func newRecvBuffer() *recvBuffer {
	buf := &recvBuffer{}
	buf.cond = sync.NewCond(&buf.mu)
	return buf
}

// wake wakes the reads and writes that wait on the buffer.
func (buf *recvBuffer) wake() {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	buf.cond.Broadcast()
}

// stalled reports whether either end of the connection is stalled.
func (c *conn) stalled() bool {
	_, local, _ := c.iface.state()
	_, remote, _ := c.other.iface.state()
	return local || remote
}

// Read reads bytes that have arrived. It blocks while either end is stalled.
func (c *conn) Read(b []byte) (int, error) {
	buf := c.recv
	buf.mu.Lock()
	defer buf.mu.Unlock()
	for {
		switch {
		case buf.broken:
			return 0, syscall.ECONNRESET
		case !buf.deadline.IsZero() && !time.Now().Before(buf.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(buf.data) > 0 && !c.stalled():
			n := copy(b, buf.data)
			buf.data = buf.data[n:]
			buf.cond.Broadcast()
			return n, nil
		case buf.closed && len(buf.data) == 0:
			return 0, io.EOF
		}
		buf.cond.Wait()
	}
}

// Write sends bytes to the other end. It blocks while more than maxBuffered bytes
// are unread.
func (c *conn) Write(b []byte) (int, error) {
	buf := c.other.recv
	buf.mu.Lock()
	defer buf.mu.Unlock()
	for len(buf.data) > maxBuffered && !buf.closed && !buf.broken {
		buf.cond.Wait()
	}
	if buf.closed || buf.broken {
		return 0, errors.Join(syscall.EPIPE, net.ErrClosed)
	}
	buf.data = append(buf.data, b...)
	buf.cond.Broadcast()
	return len(b), nil
}

// Close closes the connection for both ends.
func (c *conn) Close() error {
	for _, buf := range []*recvBuffer{c.recv, c.other.recv} {
		buf.mu.Lock()
		buf.closed = true
		if buf == c.recv {
			buf.data = nil
		}
		if buf.timer != nil {
			buf.timer.Stop()
		}
		buf.cond.Broadcast()
		buf.mu.Unlock()
	}
	return nil
}

// reset breaks the connection, so that both ends get errors.
func (c *conn) reset() {
	for _, buf := range []*recvBuffer{c.recv, c.other.recv} {
		buf.mu.Lock()
		buf.broken = true
		buf.cond.Broadcast()
		buf.mu.Unlock()
	}
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.iface.ip + ":1") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.other.iface.ip + ":1") }

// SetDeadline sets the read deadline. Writes have no deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time after which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	buf := c.recv
	buf.mu.Lock()
	defer buf.mu.Unlock()
	buf.deadline = t
	if buf.timer != nil {
		buf.timer.Stop()
		buf.timer = nil
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 && !buf.closed {
		buf.timer = time.AfterFunc(wait, buf.wake)
	}
	buf.cond.Broadcast()
	return nil
}

// SetWriteDeadline does nothing, as writes have no deadline.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
