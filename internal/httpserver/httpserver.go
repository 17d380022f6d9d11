// Package httpserver shuts HTTP servers down gracefully without waiting for connections that carried no request, and bounds
// what their clients hold.
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
	// pollInterval is the interval of checks for connections that have exceeded firstRequestTimeout.
	pollInterval = 20 * time.Millisecond
)

// ErrUnfinished means that requests were still running when the shutdown context ended.
var ErrUnfinished = errors.New("httpserver: requests not finished")

// Server is an http.Server whose Shutdown closes connections on which no request has arrived; http.Server waits
// up to 5 s for them. It is safe for concurrent use.
type Server struct {
	*http.Server
	// Name identifies the server in errors.
	Name string
	// stopping means that Shutdown or Close has been called.
	stopping atomic.Bool

	mu sync.Mutex
	// unused maps connections without a request to the time at which they were opened.
	unused map[net.Conn]time.Time
}

// New wraps a server that is not yet serving. It sets the server's ConnState hook.
func New(name string, server *http.Server) *Server {
	s := &Server{Server: server, Name: name, unused: map[net.Conn]time.Time{}}
	server.ConnState = s.connState
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[connection] = time.Now()
		return
	}
	delete(s.unused, connection)
}

// Shutdown closes the listener, waits for running requests to finish and closes all connections. If ctx ends
// first, it also closes the connections of running requests and returns an error that wraps ErrUnfinished.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	done := make(chan error, 1)
	go func() { done <- s.Server.Shutdown(ctx) }()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			if err != nil {
				return fmt.Errorf("%w: %s listener: %w", ErrUnfinished, s.Name, errors.Join(err, s.Close()))
			}
			return nil
		case now := <-ticker.C:
			s.closeUnused(now.Add(-firstRequestTimeout))
		}
	}
}

// closeUnused closes connections that were opened before a time and carried no request.
func (s *Server) closeUnused(before time.Time) {
	s.mu.Lock()
	var unused []net.Conn
	for connection, opened := range s.unused {
		if opened.Before(before) {
			unused = append(unused, connection)
		}
	}
	s.mu.Unlock()
	for _, connection := range unused {
		_ = connection.Close() // the goroutine that reads from it sees the error and returns
	}
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
