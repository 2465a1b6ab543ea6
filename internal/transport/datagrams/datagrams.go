// Package datagrams sends and receives the small UDP messages between processes, many per
// system call.
//
// Sent and received individually, the messages would cost more in system calls and
// wake-ups than in content.
package datagrams

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/ipv4"
)

const (
	// maxBatch is the maximum number of messages per system call: those that arrive within
	// minWakeInterval at 12,000 a second.
	maxBatch = 64
	// maxMessageBytes is the size of the receive buffers; longer messages are truncated.
	maxMessageBytes = 8 << 10
	// minWakeInterval is the minimum time between two wake-ups to receive messages. The
	// messages of one entry are several times as far apart.
	minWakeInterval = 5 * time.Millisecond
)

// Socket sends and receives messages. It is safe for concurrent use, except for Receive.
type Socket struct {
	conn  net.PacketConn
	batch *ipv4.PacketConn
	// buffers holds the messages that one system call receives.
	buffers       []ipv4.Message
	lastReceiveAt time.Time

	mu       sync.Mutex
	resolved map[string]net.Addr
}

// New returns a socket that uses a UDP connection; Close closes the connection.
func New(conn net.PacketConn) *Socket {
	s := &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), buffers: make([]ipv4.Message, maxBatch), resolved: map[string]net.Addr{}}
	for i := range s.buffers {
		s.buffers[i].Buffers = [][]byte{make([]byte, maxMessageBytes)}
	}
	return s
}

// Listen returns a socket that listens on an address.
func Listen(address string) (*Socket, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return New(conn), nil
}

// Close closes the socket; Receive then returns an error.
func (s *Socket) Close() error { return s.conn.Close() }

// Address returns the socket's local address.
func (s *Socket) Address() net.Addr { return s.conn.LocalAddr() }

// Send sends a message to each address. Messages that cannot be sent are dropped without
// an error, as if lost in transit. The error lists the addresses that are invalid.
func (s *Socket) Send(data []byte, addresses ...string) error {
	messages := make([]ipv4.Message, 0, len(addresses))
	var errs []error
	for _, address := range addresses {
		to, err := s.resolve(address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		messages = append(messages, ipv4.Message{Buffers: [][]byte{data}, Addr: to})
	}
	s.send(messages)
	return errors.Join(errs...)
}

// Reply sends a message to the address from which another one was received.
func (s *Socket) Reply(data []byte, to net.Addr) {
	s.send([]ipv4.Message{{Buffers: [][]byte{data}, Addr: to}})
}

// maxResolved limits the cached addresses. It is enough for all processes of the largest
// intended deployment.
const maxResolved = 4096

// resolve parses an address and caches the result.
func (s *Socket) resolve(address string) (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to, ok := s.resolved[address]; ok {
		return to, nil
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if len(s.resolved) >= maxResolved {
		clear(s.resolved)
	}
	s.resolved[address] = to
	return to, nil
}

// send sends all messages and skips those that fail.
func (s *Socket) send(messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := s.batch.WriteBatch(messages[:min(len(messages), maxBatch)], 0)
		if err != nil {
			// The first remaining message failed, for example because its address is
			// unreachable.
			n = max(n, 0) + 1
		}
		messages = messages[min(max(n, 1), len(messages)):]
	}
}

// Receive waits for messages and calls handle for each one. handle must not retain data.
//
// It wakes at most once per minWakeInterval and then handles all messages that have
// arrived. A message that arrives after a longer pause is handled at once.
func (s *Socket) Receive(handle func(data []byte, from net.Addr)) error {
	time.Sleep(minWakeInterval - time.Since(s.lastReceiveAt))
	n, err := s.batch.ReadBatch(s.buffers, 0)
	if err != nil {
		return err
	}
	s.lastReceiveAt = time.Now()
	for _, message := range s.buffers[:n] {
		handle(message.Buffers[0][:message.N], message.Addr)
	}
	return nil
}
