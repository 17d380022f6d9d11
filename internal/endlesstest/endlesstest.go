// Package endlesstest sends answers that never end, for tests of clients that must bound what they read.
package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// mostSent bounds an answer in bytes, and so the harm of a client without a bound; the connection stays
	// open after it.
	mostSent = 32 << 20
	// block is the size of one write in bytes.
	block = 4 << 10
	// sendBuffer in bytes keeps the kernel from taking more than the client reads.
	sendBuffer = 16 << 10
)

// Pour sends first and then unit again and again, and returns when the client has closed the connection.
// sent counts the bytes.
func Pour(conn net.Conn, first, unit string, sent *atomic.Int64) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	next, repeated := first, strings.Repeat(unit, 1+block/len(unit))
	for left := mostSent; left > 0; {
		n, err := io.WriteString(conn, next)
		left -= n
		sent.Add(int64(n))
		if err != nil {
			return
		}
		next = repeated
	}
	_, _ = io.Copy(io.Discard, conn) // ends with the connection
}

// Server answers each request without end.
type Server struct {
	Address string
	sent    atomic.Int64
	open    atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Start serves until the test ends. Each answer is first and then unit without end.
func Start(t testing.TB, first, unit string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String()}
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.open.Add(1)
			go s.serve(conn, first, unit)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn, first, unit string) {
	defer s.open.Add(-1)
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		Pour(conn, first, unit, &s.sent)
	}
}

// Sent returns the number of bytes that clients have taken.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Open returns the number of connections that no side has closed.
func (s *Server) Open() int64 { return s.open.Load() }
