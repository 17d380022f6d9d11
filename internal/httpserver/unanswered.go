package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseCause is why a connection was closed: an intake.Reason or one of the constants.
type CloseCause string

// Causes beside the reasons of a ledger.
const (
	// ByClient means that the client has closed or reset the connection.
	ByClient CloseCause = "client"
	// ByWriteError means that a response could not be written.
	ByWriteError CloseCause = "write_error"
	// ByTruncatedResponse means that a handler has aborted its response.
	ByTruncatedResponse CloseCause = "truncated_response"
	// ByPanic means that a handler has panicked.
	ByPanic CloseCause = "panic"
	// ByStop means that the server was shut down.
	ByStop CloseCause = "stop"
	// ByServer means that the server has closed the connection for another reason.
	ByServer CloseCause = "server"
)

// Unanswered describes requests that were read and whose connection was closed before their response had begun.
type Unanswered struct {
	Remote   net.Addr
	Cause    CloseCause
	Requests int
	// Details are those of the first of the requests, see SetDetails.
	Details any
	// SinceRead is the time from the read of the first request to the close.
	SinceRead time.Duration
	// BeforeRead is how long the last bytes of the connection had been in the socket when the first request was read. It is
	// negative if it is unknown.
	BeforeRead time.Duration
}

// SetDetails sets what Unanswered reports about a request, given its context.
func SetDetails(ctx context.Context, details any) {
	conn, _ := ctx.Value(connKey{}).(*guardedConn)
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if len(conn.requests) > 0 {
		conn.requests[0].details = details
	}
}

// noteCause records why the connection is being closed, unless a cause is known already, and when.
func (c *guardedConn) noteCause(cause CloseCause) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return
	}
	c.cause, c.closedAt = cause, now
	if len(c.requests) > 0 && cause != ByClient {
		c.receivedAt = lastReceived(c.Conn, now)
	}
}

// noteResponse records that the response to the first request has begun. What is written after the close does not count.
func (c *guardedConn) noteResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests) > 0 && c.cause == "" {
		c.requests[0].responded = true
	}
}

// noteReadError records that the client has ended the connection, if err says so.
func (c *guardedConn) noteReadError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.noteCause(ByClient)
	}
}

// notePanic records that a handler has panicked. It is deferred around handlers.
func (c *guardedConn) notePanic() {
	if cause := recover(); cause != nil {
		if cause == http.ErrAbortHandler { //nolint:errorlint // net/http compares it too
			c.noteCause(ByTruncatedResponse)
		} else {
			c.noteCause(ByPanic)
		}
		panic(cause)
	}
}

// lastReceived returns when the last bytes of a connection arrived, or the zero time if that is unknown.
func lastReceived(conn net.Conn, now time.Time) time.Time {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return time.Time{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return time.Time{}
	}
	received := time.Time{}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			received = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	return received
}

// unanswered describes the requests without a response once the connection is closed, or returns nil if there are none.
func (c *guardedConn) unanswered(stopping bool) *Unanswered {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.requests
	if len(requests) > 0 && requests[0].responded {
		requests = requests[1:]
	}
	if len(requests) == 0 || !requests[0].complete {
		return nil
	}
	u := &Unanswered{
		Remote: c.RemoteAddr(), Cause: c.cause, Requests: len(requests), Details: requests[0].details,
		SinceRead: c.closedAt.Sub(requests[0].readAt), BeforeRead: -1,
	}
	if u.Cause == ByServer && stopping {
		u.Cause = ByStop
	}
	if !c.receivedAt.IsZero() {
		u.BeforeRead = max(0, requests[0].readAt.Sub(c.receivedAt))
	}
	return u
}

// reportUnanswered reports the requests without a response once the connection is closed.
func (c *guardedConn) reportUnanswered(stopping bool) {
	if c.guard.config.Unanswered == nil {
		return
	}
	if u := c.unanswered(stopping); u != nil {
		c.guard.config.Unanswered(u)
	}
}
