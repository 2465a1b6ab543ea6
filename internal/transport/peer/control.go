package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
)

// ControlPath is the path on which a peer upgrades a connection to JSON-RPC 2.0.
const ControlPath = "/control"

const controlProtocol = "jsonrpc2"

// Errors of calls.
var (
	ErrNoAddress = errors.New("address unknown")
	ErrUpgrade   = errors.New("peer does not speak the control protocol")
)

// Handler handles a call from a peer. The params are JSON.
type Handler interface {
	Handle(ctx context.Context, caller Caller, method string, params []byte) (any, error)
}

// Caller is the peer that made a call.
type Caller struct {
	Host filbertlever.HostID
	Role string
}

// AddressBook looks up the peer address of a host.
type AddressBook interface {
	PeerAddress(filbertlever.HostID) (string, bool)
}

// Control holds one JSON-RPC connection to each host that it communicates with. Either side
// may have dialled the connection.
type Control struct {
	clients   *Clients
	addresses AddressBook
	handler   Handler
	log       *zap.Logger

	mu sync.Mutex
	// conns holds the connection to use for each host.
	conns map[filbertlever.HostID]*jsonrpc2.Conn
	// open holds all connections, including those that a newer one has replaced in conns.
	open   map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewControl returns a Control and the function that closes all connections.
func NewControl(clients *Clients, addresses AddressBook, handler Handler, log *zap.Logger) (*Control, func()) {
	c := &Control{clients: clients, addresses: addresses, handler: handler, log: log, conns: map[filbertlever.HostID]*jsonrpc2.Conn{}, open: map[*jsonrpc2.Conn]struct{}{}}
	return c, c.close
}

// ServeHTTP upgrades a connection that a peer has dialled to JSON-RPC.
func (c *Control) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	host, role, err := Identify(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	if request.Header.Get("Upgrade") != controlProtocol {
		http.Error(w, ErrUpgrade.Error(), http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.log.Warn("hijack control connection", zap.String("Peer", string(host)), zap.Error(err))
		return
	}
	_ = conn.SetDeadline(time.Time{})
	_, err = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+controlProtocol+"\r\n\r\n")
	if err != nil {
		_ = conn.Close()
		return
	}
	c.start(Caller{Host: host, Role: role}, &bufferedConn{ReadWriteCloser: conn, reader: buffered.Reader})
}

// bufferedConn is a hijacked connection. It first returns the data that the HTTP server has
// already buffered.
type bufferedConn struct {
	io.ReadWriteCloser
	reader *bufio.Reader
}

// Read reads from the buffer, then from the connection.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// writeTimeout bounds a write on a control connection.
const writeTimeout = 3 * time.Second

// timeoutWriter closes the connection if a write takes longer than writeTimeout.
//
// If a link stalls without an error, its buffers fill up, and every sender to that peer
// blocks forever on the lock of the JSON-RPC library. Closing the connection makes all of
// these calls return an error.
type timeoutWriter struct {
	io.ReadWriteCloser
}

// Write writes p, and closes the connection after writeTimeout.
func (b *timeoutWriter) Write(p []byte) (int, error) {
	timer := time.AfterFunc(writeTimeout, func() { _ = b.Close() })
	defer timer.Stop()
	return b.ReadWriteCloser.Write(p)
}

// Call calls a method of a host and waits for the result until ctx ends.
func (c *Control) Call(ctx context.Context, host filbertlever.HostID, method string, params, result any) error {
	conn, err := c.conn(ctx, host)
	if err != nil {
		return fmt.Errorf("%s at %s: connect: %w", method, host, err)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		var rpcErr *jsonrpc2.Error
		if !errors.As(err, &rpcErr) {
			// Without any response the connection may be broken without an error.
			c.drop(host, conn)
		}
		return fmt.Errorf("%s at %s: %w", method, host, err)
	}
	return nil
}

// Notify sends a message to a host and does not wait for a response.
func (c *Control) Notify(ctx context.Context, host filbertlever.HostID, method string, params any) error {
	conn, err := c.conn(ctx, host)
	if err != nil {
		return fmt.Errorf("%s at %s: connect: %w", method, host, err)
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.drop(host, conn)
		return fmt.Errorf("%s at %s: %w", method, host, err)
	}
	return nil
}

// conn returns the connection to a host and dials it if there is none.
func (c *Control) conn(ctx context.Context, host filbertlever.HostID) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[host]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	address, ok := c.addresses.PeerAddress(host)
	if !ok {
		return nil, ErrNoAddress
	}
	stream, err := c.dial(ctx, host, address)
	if err != nil {
		return nil, err
	}
	return c.start(Caller{Host: host}, stream), nil
}

// dial connects to a host and upgrades the connection to JSON-RPC.
func (c *Control) dial(ctx context.Context, host filbertlever.HostID, address string) (io.ReadWriteCloser, error) {
	// The connection outlives this call, so it must not be closed when ctx ends.
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "https://"+address+ControlPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", controlProtocol)
	response, err := c.clients.For(host).Do(request)
	if err != nil {
		return nil, err
	}
	stream, ok := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !ok {
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %s: %w", response.Status, ErrUpgrade)
	}
	return stream, nil
}

// start serves JSON-RPC on a connection and uses it for further calls to the host.
func (c *Control) start(caller Caller, stream io.ReadWriteCloser) *jsonrpc2.Conn {
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		var params []byte
		if request.Params != nil {
			params = *request.Params
		}
		return c.handler.Handle(ctx, caller, request.Method, params)
	})
	codec := jsonrpc2.NewBufferedStream(&timeoutWriter{ReadWriteCloser: stream}, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), codec, jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(discardLogger{}))
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		_ = conn.Close()
		return conn
	}
	// The newest connection is used, because after a network partition an older one may be
	// broken without an error.
	c.conns[caller.Host] = conn
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	m := connMonitor{control: c, host: caller.Host, conn: conn}
	go m.run()
	return conn
}

// connMonitor removes a connection from its Control once the connection is closed.
type connMonitor struct {
	control *Control
	host    filbertlever.HostID
	conn    *jsonrpc2.Conn
}

func (m *connMonitor) run() {
	<-m.conn.DisconnectNotify()
	m.control.drop(m.host, m.conn)
}

// drop closes a connection and stops using it.
func (c *Control) drop(host filbertlever.HostID, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[host] == conn {
		delete(c.conns, host)
	}
	delete(c.open, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

func (c *Control) close() {
	c.mu.Lock()
	c.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(c.open))
	for conn := range c.open {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// discardLogger discards the log output of the JSON-RPC library. Its errors are returned to
// the callers.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}
