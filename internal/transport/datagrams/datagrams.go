// Package datagrams sends and takes the small messages between processes, many with
// one system call.
//
// Sent and received one by one, messages cost more in system calls and wake-ups than in content.
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
	// maxBatch is how many messages one system call moves: those of a pause at 12,000
	// a second.
	maxBatch = 64
	// maxMessageBytes is the largest message that is taken; longer ones are cut off there.
	maxMessageBytes = 8 << 10
	// minWakeInterval is the least time between two wake-ups for what has arrived; messages of one
	// entry are several times as far apart.
	minWakeInterval = 5 * time.Millisecond
)

// Socket sends and takes messages. It is safe for concurrent use, but for Receive.
type Socket struct {
	conn  net.PacketConn
	batch *ipv4.PacketConn
	// buffers has room for what one system call takes.
	buffers []ipv4.Message
	// lastReceiveAt is when messages were last taken.
	lastReceiveAt time.Time

	mu       sync.Mutex
	resolved map[string]net.Addr
}

// New returns a socket on a UDP connection, which it closes.
func New(conn net.PacketConn) *Socket {
	s := &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), buffers: make([]ipv4.Message, maxBatch), resolved: map[string]net.Addr{}}
	for i := range s.buffers {
		s.buffers[i].Buffers = [][]byte{make([]byte, maxMessageBytes)}
	}
	return s
}

// Listen returns a socket at an address.
func Listen(address string) (*Socket, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return New(conn), nil
}

// Close ends the socket; Receive then fails.
func (s *Socket) Close() error { return s.conn.Close() }

// Address returns where the socket takes messages.
func (s *Socket) Address() net.Addr { return s.conn.LocalAddr() }

// Send sends one message to each address. One that cannot be sent is as good as lost; an
// error names the addresses that are none.
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

// Reply sends a message back to where one came from.
func (s *Socket) Reply(data []byte, to net.Addr) {
	s.send([]ipv4.Message{{Buffers: [][]byte{data}, Addr: to}})
}

// maxResolved is how many addresses are kept: those of all processes aimed for.
const maxResolved = 4096

// resolve returns an address as the system wants it, and caches it.
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

// send sends all messages but those that fail.
func (s *Socket) send(messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := s.batch.WriteBatch(messages[:min(len(messages), maxBatch)], 0)
		if err != nil {
			// The first one left was refused, as for an address that is unreachable.
			n = max(n, 0) + 1
		}
		messages = messages[min(max(n, 1), len(messages)):]
	}
}

// Receive waits for messages and hands each to take, which must not keep its data.
//
// It wakes at most once in a pause, and then takes all that has arrived. A message on a
// quiet socket is taken at once.
func (s *Socket) Receive(take func(data []byte, from net.Addr)) error {
	time.Sleep(minWakeInterval - time.Since(s.lastReceiveAt))
	n, err := s.batch.ReadBatch(s.buffers, 0)
	if err != nil {
		return err
	}
	s.lastReceiveAt = time.Now()
	for _, message := range s.buffers[:n] {
		take(message.Buffers[0][:message.N], message.Addr)
	}
	return nil
}
