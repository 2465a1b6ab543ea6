// Package intake decides what a process holds of what clients send: which requests may use the memory for
// headers and bodies, which connections stay open, and what is evicted when a bound is reached.
package intake

import "time"

// Host is what the host grants a process.
type Host struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// Listener is a group of listeners whose connections share a bound.
type Listener int

// The listeners.
const (
	// ListenerCallers accepts callers' requests.
	ListenerCallers Listener = iota
	// ListenerPublic answers where callers should connect to, and checks of readiness and metrics.
	ListenerPublic
	// ListenerPeers accepts other processes of the system.
	ListenerPeers
	listenerCount
)

var listenerNames = [listenerCount]string{"Callers", "Public", "Peers"}

func (l Listener) String() string { return listenerNames[l] }

// Listeners returns all listeners.
func Listeners() []Listener { return []Listener{ListenerCallers, ListenerPublic, ListenerPeers} }

// Limits bounds what a process holds of what clients send.
type Limits struct {
	// Bytes is the memory for headers and bodies, and Reserve the part of it that only small requests
	// may use.
	Bytes, Reserve int64
	// SmallBytes is the most that a small request holds.
	SmallBytes int64
	// Connections is the number of open connections of each listener.
	Connections [listenerCount]int
	// Unregistered is the number of other entries that are known by their messages only.
	Unregistered int
	// LeastRate is the rate in bytes per second at which headers and bodies must arrive, and Grace how
	// far one may fall behind it.
	LeastRate int64
	Grace     time.Duration
	// Patience is how far a request may fall behind LeastRate before it may be evicted.
	Patience time.Duration
}

// Defaults and shares.
const (
	// softLimitShare is the part of the memory that is set as the garbage collector's soft limit. What is
	// beyond it is for the program itself and for the sockets' buffers.
	softLimitShare = 0.6
	// calmBytes is what a process uses without load.
	calmBytes = 40 << 20
	// bytesShare is the part of the memory for headers and bodies. On a small host it is half of what the
	// soft limit leaves beside calmBytes, so that the collector has room.
	bytesShare    = 0.2
	minBytes      = 1 << 20
	reserveShare  = 0.25
	maxSmallBytes = 64 << 10

	// connectionBytes is what a connection costs with its goroutine, its buffers and a small request, and
	// connectionShare the part of the memory for connections.
	connectionBytes = 16 << 10
	connectionShare = 0.12
	minConnections  = 4

	// unregisteredBytes is what an entry costs that is known by its messages only, and unregisteredShare the
	// part of the memory for these.
	unregisteredBytes = 2 << 10
	unregisteredShare = 0.02
	// maxFileDescriptors are kept for files; on a host with few descriptors an eighth of them.
	maxFileDescriptors = 200

	// The connections that a process opens itself get the rest: a request in flight at a server uses one
	// on either side.
	callersSixteenths = 6
	publicSixteenths  = 1
	peersSixteenths   = 2
	sixteenths        = 16

	// A link that is narrowed or loses packets carries several times leastRate.
	leastRate = 16 << 10
	grace     = 5 * time.Second
	patience  = 500 * time.Millisecond
)

// SoftLimit returns the limit of the garbage collector.
func SoftLimit(memory int64) int64 { return int64(softLimitShare * float64(memory)) }

// LimitsOf returns the limits that follow from a host.
func LimitsOf(h Host) Limits {
	beside := (SoftLimit(h.Memory) - calmBytes) / 2
	bytes := max(min(int64(bytesShare*float64(h.Memory)), beside), minBytes)
	l := Limits{
		Bytes: bytes, Reserve: int64(reserveShare * float64(bytes)), SmallBytes: min(maxSmallBytes, bytes/16),
		Unregistered: int(unregisteredShare * float64(h.Memory) / unregisteredBytes), LeastRate: leastRate, Grace: grace, Patience: patience,
	}
	sockets := h.Descriptors - min(maxFileDescriptors, h.Descriptors/8)
	affordable := int(connectionShare * float64(h.Memory) / connectionBytes)
	for listener, share := range [listenerCount]int{callersSixteenths, publicSixteenths, peersSixteenths} {
		byMemory := affordable * share / (callersSixteenths + publicSixteenths + peersSixteenths)
		l.Connections[listener] = max(min(sockets*share/sixteenths, byMemory), minConnections)
	}
	return l
}

// LargestRequest returns the most that one request can hold.
func (l Limits) LargestRequest() int64 { return l.Bytes - l.Reserve }
