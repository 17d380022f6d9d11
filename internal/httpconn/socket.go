package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// socket is a TCP connection that reports an error of the connection, such as a reset, to its reader even if a concurrent
// write has met it. The kernel reports such an error once, to the system call that comes first. A read after it returns the
// end of the stream, which completes a response without a length.
type socket struct {
	net.Conn
	raw syscall.RawConn

	// mu is held during each system call that writes, so that a read at the end of the stream can't miss its error.
	mu     sync.Mutex
	failed error
}

func newSocket(conn net.Conn) (*socket, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("httpconn: connection of type %T", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{Conn: conn, raw: raw}, nil
}

// DialContext returns a dial function for http.Transport whose connections report an error to both their reader and their
// writer.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s, err := newSocket(conn)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return s, nil
	}
}

// SyscallConn implements syscall.Conn.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.raw, nil }

// Read implements io.Reader.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.failed != nil {
			return n, s.operationError("read", s.failed)
		}
	}
	return n, err
}

// Write implements io.Writer.
func (s *socket) Write(p []byte) (int, error) {
	written := 0
	var failed error
	err := s.raw.Write(func(fd uintptr) bool {
		for {
			n, err := s.writeOnce(fd, p[written:])
			written += n
			switch {
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return false
			case err != nil:
				failed = s.operationError("write", err)
				return true
			case written == len(p):
				return true
			}
		}
	})
	if failed != nil {
		err = failed
	}
	return written, err
}

// writeOnce makes one system call and records an error of the connection. EPIPE is not one: a write gets it after the peer
// has ended the stream, or after a read has returned the error, and in both cases the reader sees the right end by itself.
func (s *socket) writeOnce(fd uintptr, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := syscall.Write(int(fd), p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EPIPE) {
		s.failed = err
	}
	return 0, err
}

// ReadFrom implements io.ReaderFrom, so that a bufio.Writer on the connection copies long bodies in large pieces.
func (s *socket) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{s}, r)
}

func (s *socket) operationError(operation string, err error) error {
	return &net.OpError{
		Op: operation, Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: os.NewSyscallError(operation, err),
	}
}
