// Package httpserver shuts HTTP servers down gracefully, without losing requests that have arrived and without waiting for
// connections that carried none, and bounds what their clients hold. A connection is ended by the goroutine that reads it,
// because nobody else knows whether a request has arrived.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is how long a new connection may take to send its first request during a shutdown.
	// A client usually sends it within a round trip of connecting.
	firstRequestTimeout = 250 * time.Millisecond
	// pollInterval is the interval of checks for connections that are still open, or have exceeded firstRequestTimeout.
	pollInterval = 20 * time.Millisecond
)

// ErrUnfinished means that requests were still running when the shutdown context ended.
var ErrUnfinished = errors.New("httpserver: requests not finished")

// Server is an http.Server whose Shutdown answers every request that arrives before the close of its connection, and closes
// connections on which no request has arrived; http.Server closes idle connections without regard to what has been read
// from them, and waits up to 5 s for unused ones. It is safe for concurrent use.
type Server struct {
	*http.Server
	// Name identifies the server in errors.
	Name string
	// stopping means that Shutdown has been called.
	stopping atomic.Bool
	// serving counts the calls of Serve.
	serving sync.WaitGroup

	mu          sync.Mutex
	listeners   []net.Listener
	connections map[*drainConn]struct{}
}

// New wraps a server that is not yet serving. It wraps the server's handler and its ConnContext hook, which still gets the
// connection that its listener has returned, and sets its ConnState hook.
func New(name string, server *http.Server) *Server {
	s := &Server{Server: server, Name: name, connections: map[*drainConn]struct{}{}}
	server.Handler = s.closeLast(server.Handler)
	server.ConnState = s.connState
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*drainConn); ok {
			ctx, c = context.WithValue(ctx, drainKey{}, conn), conn.Conn
		}
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return ctx
	}
	return s
}

func (s *Server) connState(connection net.Conn, state http.ConnState) {
	if conn := unwrap(connection); conn != nil {
		switch state {
		case http.StateIdle:
			conn.answered()
		case http.StateClosed:
			conn.reportUnanswered(s.stopping.Load())
		}
	}
	conn, ok := connection.(*drainConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.requestRead()
	case http.StateIdle:
		conn.requestEnded()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, conn)
	}
}

// Serve accepts connections until Shutdown or Close is called. It always returns an error, http.ErrServerClosed after these.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	s.listeners = append(s.listeners, listener)
	s.serving.Add(1)
	s.mu.Unlock()
	defer s.serving.Done()
	err := s.Server.Serve(&drainListener{listener, s})
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listeners, waits until the requests that have arrived are answered and ends all connections. If ctx
// ends first, it closes the connections of running requests and returns an error that wraps ErrUnfinished.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	s.serving.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.endConnections(time.Now().Add(-firstRequestTimeout)) > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s listener: %w", ErrUnfinished, s.Name, errors.Join(ctx.Err(), s.Close()))
		case <-ticker.C:
		}
	}
	return s.Close()
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for _, listener := range s.listeners {
		_ = listener.Close() // may be closed already
	}
	s.listeners = nil
}

// endConnections ends all connections but those that were opened after a time and carried no request. It returns how many
// are open.
func (s *Server) endConnections(unusedSince time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		if !conn.unusedSince(unusedSince) {
			conn.end()
		}
	}
	return len(s.connections)
}

// ShutdownAll shuts servers down concurrently, so that a slow one does not use up the time of the others.
func ShutdownAll(ctx context.Context, servers ...*Server) error {
	errs := make([]error, len(servers))
	var stopped sync.WaitGroup
	for i, s := range servers {
		stopped.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	stopped.Wait()
	return errors.Join(errs...)
}
