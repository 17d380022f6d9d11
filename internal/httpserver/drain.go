package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// drainConn is a connection that a shutdown does not close. The shutdown ends the wait for the next request by a read
// deadline, and the goroutine that reads looks at the socket once more before it gives up. So the connection is not closed
// under a request that has been read or that waits to be read.
type drainConn struct {
	net.Conn
	// base is the innermost connection. Its deadline can be set without that of its wrappers.
	base   net.Conn
	opened time.Time

	mu sync.Mutex
	// ending means that no further request is waited for.
	ending bool
	phase  readPhase
	// used means that the connection has carried a request.
	used bool
	// deadline is the read deadline that the server has set, deadlines how many it has set since it began to wait.
	deadline  time.Time
	deadlines int
}

// readPhase is what a read on a connection is for.
type readPhase int

const (
	// waitingForRequest means that nothing of the next request has been read.
	waitingForRequest readPhase = iota
	// readingHeader means that a part of the request has been read, but not the whole header.
	readingHeader
	// serving means that a handler runs or is about to run.
	serving
)

func newDrainConn(conn net.Conn) *drainConn {
	c := &drainConn{Conn: conn, base: conn, opened: time.Now()}
	for {
		switch inner := c.base.(type) {
		case *guardedConn:
			c.base = inner.Conn
		case interface{ NetConn() net.Conn }:
			c.base = inner.NetConn()
		default:
			return c
		}
	}
}

// Read implements net.Conn.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.arrived() {
		n, err = c.Conn.Read(p)
		c.restoreDeadline()
	}
	if n > 0 {
		c.bytesRead()
	}
	return n, err
}

func (c *drainConn) bytesRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waitingForRequest {
		c.enter(readingHeader)
	}
}

// arrived reports whether bytes of the next request are in the socket although the time to wait for them has ended. In that
// case it removes the read deadline of the innermost connection, so that they are read however late that is.
func (c *drainConn) arrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	overdue := !c.deadline.IsZero() && !now.Before(c.deadline)
	if c.phase == serving || c.phase == readingHeader && overdue || !hasUnread(c.base) {
		return false
	}
	if overdue {
		c.deadline = now.Add(firstRequestTimeout)
	}
	c.phase = readingHeader
	return c.base.SetReadDeadline(time.Time{}) == nil
}

func (c *drainConn) restoreDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.setBaseDeadline(c.deadline) // fails only if the connection is closed
}

// enter begins a phase. The caller holds the lock.
func (c *drainConn) enter(phase readPhase) {
	c.phase = phase
	if c.ending {
		_ = c.setBaseDeadline(c.deadline) // fails only if the connection is closed
	}
}

// setBaseDeadline sets the read deadline of the innermost connection to that of the server, or to an earlier one if the
// connection is to end. The caller holds the lock.
func (c *drainConn) setBaseDeadline(t time.Time) error {
	if c.ending {
		switch c.phase {
		case waitingForRequest:
			t = longAgo
		case readingHeader:
			if limit := time.Now().Add(firstRequestTimeout); t.IsZero() || limit.Before(t) {
				t = limit
			}
		case serving:
		}
	}
	return c.base.SetReadDeadline(t)
}

// requestRead is called when the header of a request has been read, requestEnded when its response has been written.
func (c *drainConn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = true
	c.enter(serving)
}

func (c *drainConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines = 0
	c.enter(waitingForRequest)
}

// end ends the connection once the requests that have arrived are answered.
func (c *drainConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.ending = true
		c.enter(c.phase)
	}
}

// unusedSince reports whether the connection was opened after a time and has carried no request.
func (c *drainConn) unusedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.used && c.opened.After(t)
}

// SetReadDeadline implements net.Conn. net/http sets one when it begins to wait for a request, and another one when it has
// a part of the request, which may have been read together with the request before.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	err := c.Conn.SetReadDeadline(t)
	if c.deadlines++; c.deadlines > 1 && c.phase == waitingForRequest {
		c.phase = readingHeader
	}
	if c.ending {
		err = errors.Join(err, c.setBaseDeadline(t))
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *drainConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// NetConn returns the wrapped connection.
func (c *drainConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the direction to the client. net/http calls it and leaves the connection open for a while.
func (c *drainConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets the behavior of Close as that of net.TCPConn.
func (c *drainConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// hasUnread reports whether bytes wait in the socket of a connection.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// drainListener wraps the connections of a server.
type drainListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newDrainConn(inner)
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.connections[c] = struct{}{}
	return c, nil
}

// closeLast tells clients during a shutdown that a response is the last one on its connection.
func (s *Server) closeLast(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() && !MoreRequests(r) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

type drainKey struct{}

// MoreRequests reports whether bytes that follow a request have arrived on its connection, so that the connection should not
// be closed after the response. It is false while the body of the request is incomplete. Without a Guard, bytes that have been
// read together with the request are not known of.
func MoreRequests(r *http.Request) bool {
	c, ok := r.Context().Value(drainKey{}).(*drainConn)
	if !ok {
		return false
	}
	guarded := unwrap(c.Conn)
	if guarded == nil {
		return r.ContentLength == 0 && hasUnread(c.base)
	}
	guarded.mu.Lock()
	requests := guarded.requests
	more, complete := len(requests) > 1, len(requests) == 1 && requests[0].complete
	guarded.mu.Unlock()
	return more || complete && hasUnread(c.base)
}
