package intake

import (
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
)

// Resource is something that clients hold.
type Resource int

// Resources.
const (
	// HeaderBytes is the memory of headers, parsed and unparsed.
	HeaderBytes Resource = iota
	// BodyBytes is the memory of request bodies.
	BodyBytes
	// ResponseBytes is the memory of responses that are being sent.
	ResponseBytes
	// Uploads is the number of requests that may hold a slot of an upstream while a part of their body is missing.
	Uploads
	resourceCount
)

// progressBytes is the number of bytes that count as progress. A client that moves fewer makes none until a header or
// body is complete, so that single bytes do not keep a connection.
const progressBytes = 1 << 10

// idlePerWaiting is the number of idle connections for each that waits for its client from which on idle ones are closed.
// Below it, a crowd has to make room for itself.
const idlePerWaiting = 4

// Turn tells what a connection waits for.
type Turn int

// Turns, in the order in which clients lose their connection.
const (
	// Closing means that the server has ended its direction and waits for the client to close the connection.
	Closing Turn = iota
	// Sending means that a part of a request is missing, or the first request.
	Sending
	// Receiving means that the client has to take a response.
	Receiving
	// Idle means that the connection has carried a request and waits for the next.
	Idle
	// Running means that the node has to do something. Such a client keeps its connection.
	Running
)

// String returns the name used in logs.
func (t Turn) String() string {
	return [...]string{"closing", "sending", "receiving", "idle", "running"}[t]
}

// order is the rank of a turn among victims. Sending and Receiving are equal: only progress matters.
func (t Turn) order() int {
	if t == Receiving {
		return int(Sending)
	}
	return int(t)
}

// Client is the account of one connection. The fields, except Owner, are owned by its Ledger.
type Client struct {
	// Owner is the connection.
	Owner any
	// local means that the connection comes from this VM. Such a client loses its connection after all others, so that a
	// crowd does not starve the upstream of this VM.
	local bool
	// reading is what a read waits for: Sending, Idle, or Running if the node does not read or only expects a further
	// request. readSince is when that began.
	reading   Turn
	readSince time.Time
	// writing means that the node is sending a response. closing means that it has ended its direction.
	writing, closing bool
	// readAt and writeAt are when the client last made progress, readAt without the time in which the node did not read.
	readAt, writeAt time.Time
	// headerAt is when the header that is being read began.
	headerAt time.Time
	moved    int64
	held     [resourceCount]int64
	closed   bool
	// activity counts what the client was seen to send or to be sent; activityAtRemoval is its value when closed was set.
	activity, activityAtRemoval uint64
}

func (c *Client) turn() Turn {
	switch {
	case c.closing:
		return Closing
	case c.writing:
		return Receiving
	}
	return c.reading
}

// progressAt returns when the client last made progress in what the connection waits for.
func (c *Client) progressAt() time.Time {
	switch c.turn() {
	case Receiving:
		return c.writeAt
	case Idle:
		return c.readSince
	}
	return c.readAt
}

// Ledger holds the accounts of the clients of one listener. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	budgets Budgets
	clients map[*Client]struct{}
	used    [resourceCount]int64
	// retryAt is the time before which no victim will be found for a resource, because nothing has been released since.
	retryAt [resourceCount]time.Time
}

// NewLedger returns a ledger without clients.
func NewLedger(budgets Budgets) *Ledger {
	return &Ledger{budgets: budgets, clients: map[*Client]struct{}{}}
}

// NewClient returns the account of a connection, for Open. local means that the connection comes from this VM.
func NewClient(owner any, local bool) *Client { return &Client{Owner: owner, local: local} }

// Open adds a client or returns false if there is no room now. The victim, if any, must be disconnected. unread means that
// the sockets of all clients together could hold too many bytes that nothing has read, so this one must have small buffers.
func (l *Ledger) Open(c *Client, now time.Time) (victim *Client, ok, unread bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.clients) >= l.budgets.Connections {
		victim, _ = l.victim(now, func(*Client) bool { return true })
		if victim == nil {
			return nil, false, false
		}
		l.remove(victim)
	}
	c.reading, c.readSince, c.readAt = Sending, now, now
	l.clients[c] = struct{}{}
	return victim, true, len(l.clients) > l.budgets.UnreadConnections
}

// Close removes a client and all that it holds.
func (l *Ledger) Close(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
}

// BeginRead records that the node waits for bytes of the client, see Client.reading for turn.
func (l *Ledger) BeginRead(c *Client, turn Turn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.reading == Running {
		c.readAt = c.readAt.Add(now.Sub(c.readSince))
	}
	if c.reading != turn {
		c.reading, c.readSince = turn, now
	}
}

// EndRead records bytes that the client has sent. complete means that they end a header or body.
func (l *Ledger) EndRead(c *Client, bytes int, complete bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.moved += int64(bytes)
	c.activity++
	if complete || c.moved >= progressBytes {
		c.moved, c.readAt = 0, now
	}
	c.reading, c.readSince = Running, now
}

// BeginWrite records that the client has to take a part of a response.
func (l *Ledger) BeginWrite(c *Client, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.writing, c.writeAt = true, now
	c.activity++
}

// EndWrite records that the client has taken it.
func (l *Ledger) EndWrite(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.writing = false
}

// EndDirection records that the node will send nothing more.
func (l *Ledger) EndDirection(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.closing = true
}

// HeaderStarted records that the first byte of a header has arrived.
func (l *Ledger) HeaderStarted(c *Client, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.headerAt, c.readAt, c.moved = now, now, 0
}

// HeaderEnded records that the header is complete.
func (l *Ledger) HeaderEnded(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.headerAt = time.Time{}
}

// Charge adds an amount to what the client holds. The victims must be disconnected. It returns false if there is no room now.
// The caller may try again while the client is in turn Running. A client that was removed itself uses up no budget.
func (l *Ledger) Charge(c *Client, r Resource, amount int64, now time.Time) (victims []*Client, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		c.held[r] += amount // Keep may take the removal back
		return nil, true
	}
	for l.used[r]+amount > l.budgets.Amounts[r] {
		if now.Before(l.retryAt[r]) {
			return victims, false
		}
		victim, retryAt := l.victim(now, func(other *Client) bool { return other != c && other.held[r] > 0 })
		if victim == nil {
			l.retryAt[r] = retryAt
			return victims, false
		}
		l.remove(victim)
		victims = append(victims, victim)
	}
	c.held[r] += amount
	l.used[r] += amount
	return victims, true
}

// Release subtracts an amount from what the client holds.
func (l *Ledger) Release(c *Client, r Resource, amount int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.held[r] -= amount
	if c.closed {
		return
	}
	l.used[r] -= amount
	l.retryAt[r] = time.Time{}
}

func (l *Ledger) remove(c *Client) {
	if c.closed {
		return
	}
	c.closed, c.activityAtRemoval = true, c.activity
	delete(l.clients, c)
	for r, amount := range c.held {
		if amount > 0 {
			l.used[r] -= amount
			l.retryAt[r] = time.Time{}
		}
	}
}

// Overtaken reports whether a removed client has sent or been sent something since.
func (l *Ledger) Overtaken(c *Client) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.activity != c.activityAtRemoval
}

// Keep takes the removal of a client back whose connection could not be closed, as it has sent something meanwhile. The budgets
// may be exceeded by what it holds.
func (l *Ledger) Keep(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		return
	}
	c.closed = false
	l.clients[c] = struct{}{}
	for r, amount := range c.held {
		l.used[r] += amount
	}
}

// victim returns the client that loses its connection first, or nil and the time from which on there may be one. A client
// keeps its connection while it waits for the node, and for Budgets.MinStall after it has made progress. An idle one keeps it
// while there are enough others to take room from, as its client may use it at any moment.
func (l *Ledger) victim(now time.Time, eligible func(*Client) bool) (worst *Client, retryAt time.Time) {
	retryAt = now.Add(l.budgets.MinStall)
	idle, waiting := 0, 0
	for c := range l.clients {
		turn := c.turn()
		if turn == Running || !eligible(c) {
			continue
		}
		if turn == Idle {
			idle++
		} else {
			waiting++
		}
		if end := c.progressAt().Add(l.budgets.MinStall); turn != Closing && now.Before(end) {
			if end.Before(retryAt) {
				retryAt = end
			}
			continue
		}
		if worst == nil || c.before(worst) {
			worst = c
		}
	}
	if worst != nil && worst.turn() == Idle && idle <= idlePerWaiting*waiting {
		return nil, retryAt
	}
	return worst, retryAt
}

// before reports whether c loses its connection before d.
func (c *Client) before(d *Client) bool {
	if a, b := c.turn().order(), d.turn().order(); a != b {
		return a < b
	}
	if c.local != d.local {
		return d.local
	}
	return c.progressAt().Before(d.progressAt())
}

// Reason is why a client loses its connection.
type Reason string

// Reasons.
const (
	// LeastProgress means that a budget was used up.
	LeastProgress Reason = "least_progress"
	// NoRoom means that a budget was used up by clients that wait for the node.
	NoRoom        Reason = "no_room"
	HeaderTimeout Reason = "header_timeout"
	IdleTimeout   Reason = "idle_timeout"
	// Stalled means that the client has neither sent nor taken anything for long.
	Stalled Reason = "stalled"
)

const (
	// defaultIdleTimeout applies where operators set none.
	defaultIdleTimeout = time.Minute
	// stallFactor times the idle timeout is how long a client may make no progress within a body or a response. Time
	// limits of requests are shorter, so it concerns requests that have none.
	stallFactor = 2
)

// Overdue removes the clients whose time is over and returns them with the reasons. They must be disconnected.
func (l *Ledger) Overdue(limits config.ClientLimits, now time.Time) map[*Client]Reason {
	idle := limits.IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := map[*Client]Reason{}
	for c := range l.clients {
		switch turn := c.turn(); {
		case turn == Sending && !c.headerAt.IsZero() && limits.HeaderTimeout > 0 && now.Sub(c.headerAt) > limits.HeaderTimeout:
			overdue[c] = HeaderTimeout
		case turn == Idle && now.Sub(c.readSince) > idle:
			overdue[c] = IdleTimeout
		case (turn == Sending || turn == Receiving) && now.Sub(c.progressAt()) > stallFactor*idle:
			overdue[c] = Stalled
		}
	}
	for c := range overdue {
		l.remove(c)
	}
	return overdue
}

// Status is what the clients of a listener hold.
type Status struct {
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	HeaderBytes    int64 `json:"header_bytes"`
	BodyBytes      int64 `json:"body_bytes"`
	ResponseBytes  int64 `json:"response_bytes"`
	Uploads        int64 `json:"uploads"`
}

// Status returns what the clients hold now.
func (l *Ledger) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{len(l.clients), l.budgets.Connections, l.used[HeaderBytes], l.used[BodyBytes], l.used[ResponseBytes], l.used[Uploads]}
}

// Turn returns what the connection of a client waits for, or waited for when it was removed.
func (l *Ledger) Turn(c *Client) Turn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.turn()
}
