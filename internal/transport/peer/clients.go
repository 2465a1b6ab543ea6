package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// Timeouts and limits of connections between processes.
const (
	DialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerHost   = 32
	bufferSize       = 32 << 10
	// pingIdleTime is how long no frame may arrive before a ping is sent.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
)

// Clients holds the HTTP clients for each host. They verify that the host presents a
// certificate for its host ID. Clients is safe for concurrent use.
type Clients struct {
	keys    *Keys
	network network.Network

	mu sync.Mutex
	// clients are used for chunks and control connections.
	clients map[filbertlever.HostID]*http.Client
	// requestClients are used for calls of which many run concurrently.
	requestClients map[filbertlever.HostID]*http.Client
}

// NewClients returns clients that authenticate with keys, and the function that closes
// their idle connections.
func NewClients(keys *Keys, links network.Network) (*Clients, func()) {
	c := &Clients{keys: keys, network: links, clients: map[filbertlever.HostID]*http.Client{}, requestClients: map[filbertlever.HostID]*http.Client{}}
	return c, c.close
}

// For returns the client for a host. The client has no timeout, so each request must
// be bounded by its context.
func (c *Clients) For(host filbertlever.HostID) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[host]
	if ok {
		return client
	}
	client = network.NewClient(c.transport(host))
	c.clients[host] = client
	return client
}

// ForRequests returns the client for a host that multiplexes concurrent calls over one
// HTTP/2 connection. Pings detect a stalled connection.
func (c *Clients) ForRequests(host filbertlever.HostID) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.requestClients[host]
	if ok {
		return client
	}
	transport := c.transport(host)
	transport.ForceAttemptHTTP2 = true
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout}
	client = network.NewClient(transport)
	c.requestClients[host] = client
	return client
}

func (c *Clients) transport(host filbertlever.HostID) *http.Transport {
	return &http.Transport{
		DialContext:         c.network.DialContext,
		TLSClientConfig:     c.keys.ClientConfig(host),
		TLSHandshakeTimeout: handshakeTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
		DisableCompression:  true,

		MaxResponseHeaderBytes: network.MaxResponseHead,
	}
}

func (c *Clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, clients := range []map[filbertlever.HostID]*http.Client{c.clients, c.requestClients} {
		for _, client := range clients {
			client.CloseIdleConnections()
		}
	}
}
