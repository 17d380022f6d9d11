package httpserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/intake"
)

// receivedRequest is a request of which at least the header has arrived.
type receivedRequest struct {
	head     intake.Head
	held     [2]int64 // by intake.HeaderBytes and intake.BodyBytes
	received int64    // bytes of a chunked body
	noRoom   bool
	complete bool
	// readAt is when the last byte was read, responded means that a part of the response was written.
	readAt    time.Time
	responded bool
	// details are those of SetDetails.
	details any
}

// guardedConn accounts for what is read from and written to a connection. Only one goroutine at a time may read.
type guardedConn struct {
	net.Conn
	guard  *Guard
	client *intake.Client
	// smallBuffers is set before the connection is used.
	smallBuffers bool
	framer       intake.Framer
	// failed, completed and headerCost belong to the reading goroutine: the error that ends the next read, whether the
	// bytes being accounted for end a header or body, and the cost of the header that is being read with what is charged.
	failed                    error
	completed                 bool
	headerCost, headerCharged int64

	mu sync.Mutex
	// requests are those not yet answered, in order.
	requests     []*receivedRequest
	served       bool
	reading      bool
	readDeadline time.Time
	// between means that no part of a further request had arrived when the read in progress began.
	between bool
	// ending is why the read in progress is to end the connection; empty if it is not. closing means that the next
	// response is the last of the connection.
	ending  intake.Reason
	closing bool
	// overtaken belongs to the reading goroutine: the reason of disconnect if the last read had read something all the same.
	overtaken intake.Reason
	// cause is why the connection was closed, closedAt when; empty before. receivedAt is when its last bytes arrived, if known.
	cause                CloseCause
	closedAt, receivedAt time.Time
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.awaitEarlierResponses()
	}
	ledger := c.guard.config.Ledger
	c.mu.Lock()
	c.reading, c.between = true, c.framer.Between()
	ledger.BeginRead(c.client, c.turn(), time.Now())
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		n, err = c.readArrived(p, err)
	}
	now := time.Now()
	c.noteReadError(err)
	if reason := c.endRead(n > 0); reason != "" {
		c.failed = err
		c.noteCause(CloseCause(reason))
		c.guard.closed(c.RemoteAddr(), reason, ledger.Turn(c.client))
		return 0, err
	}
	if n > 0 {
		if c.framer.Between() {
			ledger.HeaderStarted(c.client, now)
		}
		c.completed = false
		ledger.EndRead(c.client, n, false, now)
		c.framer.Feed(p[:n], c)
		if c.endOvertaken() {
			return 0, c.failed
		}
		if c.failed != nil {
			c.endAfterResponses() // what has arrived before is still served
		}
	}
	if n > 0 && c.completed {
		ledger.EndRead(c.client, 0, true, now)
	}
	return n, err
}

// turn returns what a read waits for. The caller holds the lock.
func (c *guardedConn) turn() intake.Turn {
	switch {
	case len(c.requests) == 0 && c.served && c.framer.Between():
		return intake.Idle
	case len(c.requests) == 0 || len(c.requests) == 1 && !c.requests[0].complete:
		return intake.Sending
	}
	return intake.Running
}

// charge charges the client or reports that there is no room.
func (c *guardedConn) charge(r intake.Resource, bytes int64) bool {
	victims, ok := c.guard.config.Ledger.Charge(c.client, r, bytes, time.Now())
	for _, victim := range victims {
		c.guard.disconnect(victim, intake.LeastProgress)
	}
	return ok
}

// chargeWaiting is charge for the reading goroutine. It waits for room until chargeWait or the read deadline has passed.
func (c *guardedConn) chargeWaiting(r intake.Resource, bytes int64) error {
	start := time.Now()
	for !c.charge(r, bytes) {
		now := time.Now()
		if c.readDeadlinePassed(now) {
			return os.ErrDeadlineExceeded
		}
		if now.Sub(start) >= chargeWait {
			return ErrNoRoom
		}
		time.Sleep(roomPollInterval)
	}
	return nil
}

// BeginUpload waits until the client of a request may hold a slot of an upstream while its body is incomplete, and returns the
// function that ends that. It returns ErrNoRoom if others hold all, or the error of ctx, the context of the request.
func BeginUpload(ctx context.Context) (end func(), err error) {
	conn, _ := ctx.Value(connKey{}).(*guardedConn)
	if conn == nil {
		return func() {}, nil
	}
	for start := time.Now(); !conn.charge(intake.Uploads, 1); {
		if time.Since(start) >= chargeWait {
			return nil, ErrNoRoom
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(roomPollInterval):
		}
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && conn.smallBuffers {
		_ = tcp.SetReadBuffer(largeSocketBytes) // fails only if the connection is closed
	}
	return sync.OnceFunc(func() { conn.guard.config.Ledger.Release(conn.client, intake.Uploads, 1) }), nil
}

func (c *guardedConn) readDeadlinePassed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && !now.Before(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// HeaderPart implements intake.Sink.
func (c *guardedConn) HeaderPart(bytes, lines int) {
	c.headerCost += byteCost*int64(bytes) + fieldCost*int64(lines)
	if more := c.headerCost - freeHeaderBytes - c.headerCharged; more > 0 && c.failed == nil {
		if c.failed = c.chargeWaiting(intake.HeaderBytes, more); c.failed != nil {
			return
		}
		c.headerCharged += more
	}
}

// HeaderEnd implements intake.Sink.
func (c *guardedConn) HeaderEnd(head intake.Head) {
	request := &receivedRequest{head: head}
	request.held[intake.HeaderBytes] = c.headerCharged
	c.headerCost, c.headerCharged, c.completed = 0, 0, true
	c.guard.config.Ledger.HeaderEnded(c.client)
	// A declared body is charged at once, as its buffer is allocated at once. One that is over the limit is not read.
	body := head.Length
	if body > bufferedBodyBytes {
		body = streamBytes
	}
	if body -= freeBodyBytes; body > 0 && c.failed == nil {
		request.noRoom = c.chargeWaiting(intake.BodyBytes, body) != nil
		if !request.noRoom {
			request.held[intake.BodyBytes] = body
		}
	}
	request.noRoom = request.noRoom || c.failed != nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
}

// BodyPart implements intake.Sink.
func (c *guardedConn) BodyPart(bytes int) {
	request := c.lastRequest()
	if request == nil || request.head.Length >= 0 || c.failed != nil {
		return
	}
	request.received += int64(bytes)
	buffered := min(request.received, bufferedBodyBytes+freeBodyBytes)
	if more := growthFactor*(buffered-freeBodyBytes) - request.held[intake.BodyBytes]; more > 0 {
		if c.failed = c.chargeWaiting(intake.BodyBytes, more); c.failed != nil {
			return
		}
		request.held[intake.BodyBytes] += more
	}
}

// RequestEnd implements intake.Sink.
func (c *guardedConn) RequestEnd() {
	c.completed = true
	if request := c.lastRequest(); request != nil {
		c.mu.Lock()
		request.complete, request.readAt = true, time.Now()
		c.mu.Unlock()
	}
	c.headerCost = 0 // of trailers
}

// lastRequest returns the request whose body is being read, or nil if it has been answered.
func (c *guardedConn) lastRequest() *receivedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests) == 0 {
		return nil
	}
	return c.requests[len(c.requests)-1]
}

// firstRequest returns the request that is to be answered next, or nil.
func (c *guardedConn) firstRequest() *receivedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests) == 0 {
		return nil
	}
	return c.requests[0]
}

// answered releases what the first request holds. The connection stays open.
func (c *guardedConn) answered() {
	ledger := c.guard.config.Ledger
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	if len(c.requests) == 0 || c.cause != "" { // the response may not have arrived; Close releases what it held
		return
	}
	for r, bytes := range c.requests[0].held {
		if bytes > 0 {
			ledger.Release(c.client, intake.Resource(r), bytes)
		}
	}
	c.requests = c.requests[1:]
	if c.reading && len(c.requests) == 0 {
		ledger.BeginRead(c.client, intake.Idle, time.Now()) // another wrapper reads ahead
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (written int, err error) {
	ledger := c.guard.config.Ledger
	if len(p) > freeBodyBytes {
		// The response in memory may be larger than the part that is being written. It is sent even if there is no room, as
		// refusing it would not free anything.
		bytes := growthFactor * int64(len(p))
		if c.charge(intake.ResponseBytes, bytes) {
			defer ledger.Release(c.client, intake.ResponseBytes, bytes)
		}
	}
	for err == nil && written < len(p) {
		ledger.BeginWrite(c.client, time.Now())
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		ledger.EndWrite(c.client)
		written += n
	}
	if err != nil {
		c.noteCause(ByWriteError)
	}
	if written > 0 {
		c.noteResponse()
	}
	return written, err
}

// CloseWrite ends the direction to the client. net/http calls it and leaves the connection open for a while.
func (c *guardedConn) CloseWrite() error {
	c.guard.config.Ledger.EndDirection(c.client)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets the behavior of Close as that of net.TCPConn.
func (c *guardedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.noteCause(ByServer)
	c.guard.config.Ledger.Close(c.client)
	return c.Conn.Close()
}
