// Package intake decides what the clients of a node may hold: connections, the bytes of headers and bodies that are
// being read, and responses that have not been taken. When a budget is used up, the client that makes the least progress
// loses its connection.
//
// The decisions use neither clock nor socket; package httpserver applies them to connections. A node has one Ledger for
// each listener, so that a crowd at one does not use up the budgets of another. A Ledger takes its lock a few times for
// each request and looks at all its clients only when a budget is used up; with 2,000 clients that takes about 20 us.
package intake

import (
	"math"
	"time"
)

// Listener is a listener of a node.
type Listener int

// Listeners.
const (
	Requests Listener = iota
	Peers
	Control
	Heartbeats
	Ready
	listenerCount
)

// String returns the name used in logs and metrics.
func (l Listener) String() string {
	return [...]string{"requests", "peers", "control", "heartbeats", "ready"}[l]
}

// Budgets bound what the clients of one listener hold.
type Budgets struct {
	Connections int
	// MinStall is how long a client has made no progress before it can lose its connection to another. While no client has
	// stalled for so long, new ones wait. Without it, a crowd that connects again as soon as it is disconnected left others
	// less than 20 ms for a request.
	MinStall time.Duration
	// Amounts are the bounds by resource.
	Amounts [resourceCount]int64
	// UnreadConnections is the number of connections from which on new ones get small socket buffers.
	UnreadConnections int
}

const (
	// processBytes is the memory of a node without clients, 18 MiB, and a reserve.
	processBytes = 24 << 20
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection with an ordinary request in progress, about 30 KiB: buffers and stacks
	// of net/http, and the parts of a header and a body that are not charged.
	connectionBytes = 32 << 10
	// socketBytes is the size of the receive buffer that Linux gives a connection at first.
	socketBytes = 128 << 10
	// minHeaderBytes fits the charge of one header of 16 KiB that consists of the shortest possible fields.
	minHeaderBytes = 3 << 20
	// minBodyBytes fits the bodies of several requests.
	minBodyBytes = 1 << 20
	// defaultMinStall exceeds a round trip and the retransmission of a lost segment, 200 ms.
	defaultMinStall = 250 * time.Millisecond
	// shortMinStall is for listeners whose requests come in one segment, so that many clients get their turn at few
	// connections. It exceeds a round trip between failure domains, 11 ms.
	shortMinStall = 50 * time.Millisecond
	// maxUploads is half of the slots that most upstreams have. A large body takes 50 ms at the bandwidth of a VM, so the
	// bandwidth is used up first.
	maxUploads = 8
	// minConnections lets the platform and other nodes reach a listener of a very small VM.
	minConnections = 16
)

// share is the part of the memory that is not the process's own, and of the descriptors that are not reserved, that
// a listener gets. Connections of other nodes are many, because they are kept after a call and wait in the queue, and small.
// What is left of the descriptors, a sixteenth, is for the store and for connections to the upstream and to other nodes without
// a call; Calls is for those with one. What is left of the memory is for the requests that run and for garbage.
type share struct{ descriptors, connections, header, body, response float64 }

var shares = [listenerCount]share{
	Requests:   {descriptors: 0.4, connections: 0.25, header: 0.1, body: 0.15, response: 0.08},
	Peers:      {descriptors: 0.2, connections: 0.15, header: 0.02, body: 0.03, response: 0.03},
	Control:    {descriptors: 0.04, connections: 0.02, header: 0.01, body: 0.01, response: 0.01},
	Heartbeats: {descriptors: 0.02, connections: 0.01, header: 0.01, body: 0.01, response: 0.01},
	Ready:      {descriptors: 0.08, connections: 0.03, header: 0.01, body: 0.01, response: 0.01},
}

// callDescriptors is the part of the descriptors for the calls of requests.
const callDescriptors = 0.2

// NewBudgets returns the budgets of a listener on a VM. A limit of the VM that is 0 is unknown and bounds nothing.
func NewBudgets(listener Listener, memory int64, descriptors int) Budgets {
	s := shares[listener]
	b := Budgets{Connections: math.MaxInt, UnreadConnections: math.MaxInt, MinStall: defaultMinStall}
	if listener == Heartbeats || listener == Ready {
		b.MinStall = shortMinStall
	}
	for r := range b.Amounts {
		b.Amounts[r] = math.MaxInt64
	}
	if listener == Requests {
		b.Amounts[Uploads] = maxUploads
	}
	if descriptors > 0 {
		b.Connections = max(minConnections, int(s.descriptors*float64(forConnections(descriptors))))
	}
	if memory > 0 {
		free := float64(max(memory-processBytes, memory/4))
		b.Connections = min(b.Connections, max(minConnections, int(s.connections*free/connectionBytes)))
		b.UnreadConnections = max(minConnections, int(s.response*free/socketBytes))
		b.Amounts[HeaderBytes] = max(minHeaderBytes, int64(s.header*free))
		b.Amounts[BodyBytes] = max(minBodyBytes, int64(s.body*free))
		b.Amounts[ResponseBytes] = max(minBodyBytes, int64(s.response*free))
	}
	return b
}

func forConnections(descriptors int) int {
	return max(descriptors-reservedDescriptors, descriptors/2)
}

// Calls returns how many requests may have calls in progress, each of which takes a descriptor. 0 descriptors are unknown
// and bound nothing.
func Calls(descriptors int) int64 {
	if descriptors <= 0 {
		return math.MaxInt64
	}
	return max(minConnections, int64(callDescriptors*float64(forConnections(descriptors))))
}
