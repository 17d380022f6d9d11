// Package httpserver stops HTTP servers gracefully without waiting for connections on which no request came.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// requestWait is how long after it was opened a connection of a stopping server may still bring its first
	// request. Both usually arrive within a round trip of each other.
	requestWait = 250 * time.Millisecond
	// pollInterval is how often such connections are looked for.
	pollInterval = 20 * time.Millisecond
)

// ErrUnfinished means that requests were still running at the end of a stop.
var ErrUnfinished = errors.New("httpserver: requests not finished")

// Server is an http.Server with a Shutdown that closes silent connections: http.Server waits up to 5 s for
// them. It is safe for concurrent use.
type Server struct {
	*http.Server
	// Name stands for the server in errors.
	Name string

	mu sync.Mutex
	// silent maps connections without a request to the time at which they were opened.
	silent map[net.Conn]time.Time
}

// New returns a Server around one that does not serve yet. It takes the ConnState hook.
func New(name string, server *http.Server) *Server {
	s := &Server{Server: server, Name: name, silent: map[net.Conn]time.Time{}}
	server.ConnState = s.connState
	return s
}

func (s *Server) connState(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.silent[connection] = time.Now()
		return
	}
	delete(s.silent, connection)
}

// Shutdown closes the listener, waits until running requests have ended and closes all connections. When ctx
// ends first, it closes those of running requests as well and returns an error that wraps ErrUnfinished.
func (s *Server) Shutdown(ctx context.Context) error {
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
			s.closeSilent(now.Add(-requestWait))
		}
	}
}

// closeSilent closes connections that were opened before a time and brought no request.
func (s *Server) closeSilent(before time.Time) {
	s.mu.Lock()
	var silent []net.Conn
	for connection, opened := range s.silent {
		if opened.Before(before) {
			silent = append(silent, connection)
		}
	}
	s.mu.Unlock()
	for _, connection := range silent {
		_ = connection.Close() // its reader reports and ends
	}
}

// ShutdownAll shuts servers down at the same time, so that none uses up the time of another.
func ShutdownAll(ctx context.Context, servers ...*Server) error {
	errs := make([]error, len(servers))
	var stopped sync.WaitGroup
	for i, s := range servers {
		stopped.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	stopped.Wait()
	return errors.Join(errs...)
}
