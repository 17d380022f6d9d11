// Package httpserver ends HTTP servers without waiting for connections that nobody has used.
//
// http.Server.Shutdown takes a connection for used until 5 s after it was opened, even if no byte has come on
// it. Clients and pools open connections ahead of their requests, so a server that is asked often would take
// that long to end.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Closer shuts one server down. It is safe for concurrent use.
type Closer struct {
	server *http.Server

	mu      sync.Mutex
	unused  map[net.Conn]struct{}
	closing bool
}

// New returns the Closer of a server that does not serve yet. It takes the server's ConnState.
func New(server *http.Server) *Closer {
	c := &Closer{server: server, unused: map[net.Conn]struct{}{}}
	server.ConnState = c.track
	return c
}

func (c *Closer) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(c.unused, conn)
	case c.closing:
		_ = conn.Close()
	default:
		c.unused[conn] = struct{}{}
	}
}

// Shutdown closes the listener and all connections without a request, and waits for the others until ctx
// ends. A request that is being read meanwhile may lose its connection, so the handler must refuse requests
// from before the call on.
func (c *Closer) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	for conn := range c.unused {
		_ = conn.Close()
	}
	clear(c.unused)
	c.mu.Unlock()
	return c.server.Shutdown(ctx)
}
