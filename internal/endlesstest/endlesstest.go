// Package endlesstest sends responses that never end, to test that clients limit how much they read.
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
	// maxBytes caps a response, and so the damage done by a client without a limit. The connection stays open
	// after it.
	maxBytes = 32 << 20
	// writeBytes is the minimum size of a repeated write.
	writeBytes = 4 << 10
	// sendBufferBytes limits how much the kernel buffers beyond what the client reads.
	sendBufferBytes = 16 << 10
)

// WriteEndless writes first and then unit repeatedly, and returns when the client has closed the connection.
// It adds the number of bytes written to sent.
func WriteEndless(conn net.Conn, first, unit string, sent *atomic.Int64) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	next, repeated := first, strings.Repeat(unit, 1+writeBytes/len(unit))
	for remaining := maxBytes; remaining > 0; {
		n, err := io.WriteString(conn, next)
		remaining -= n
		sent.Add(int64(n))
		if err != nil {
			return
		}
		next = repeated
	}
	_, _ = io.Copy(io.Discard, conn) // returns when the connection is closed
}

// Server responds to each request with an endless response.
type Server struct {
	Address string
	sent    atomic.Int64
	open    atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Start serves until the test ends. Each response is first, followed by unit repeatedly.
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
		WriteEndless(conn, first, unit, &s.sent)
	}
}

// Sent returns the number of bytes that the connections have accepted.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Open returns the number of connections that neither side has closed.
func (s *Server) Open() int64 { return s.open.Load() }
