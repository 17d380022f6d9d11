package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Start runs a server that reads each request completely, sends raw in response and closes the connection. It returns the
// address of the server.
func Start(t testing.TB, raw string) string {
	t.Helper()
	return StartFunc(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, raw)
	})
}

// StartFunc runs a server that calls serve with the first request of each connection and closes the connection after it.
// It returns the address of the server.
func StartFunc(t testing.TB, serve func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// resetDelay lets the client receive what was sent before its connection is reset.
const resetDelay = 5 * time.Millisecond

// ResetDuringUpload is a function for StartFunc. It sends the given bytes without reading the request's body, and then
// resets the connection.
func ResetDuringUpload(raw string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, raw)
		time.Sleep(resetDelay)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close resets the connection
		}
	}
}

// Early is a response to a long upload that is complete.
type Early struct {
	Name  string
	Serve func(conn net.Conn, r *http.Request)
}

// EarlyResponses returns complete responses, with the given header lines and body, to a long upload. All but the first are
// sent before the upload has been read.
func EarlyResponses(fields, body string) []Early {
	withoutLength := ok + "\r\n" + fields + "\r\n" + body
	endResponse := func(conn net.Conn) {
		_, _ = io.WriteString(conn, withoutLength)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		time.Sleep(resetDelay)
	}
	return []Early{
		{"without length after the upload", func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, withoutLength)
		}},
		{"without length then reading on", func(conn net.Conn, r *http.Request) {
			endResponse(conn)
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"without length ended before a reset", func(conn net.Conn, _ *http.Request) {
			endResponse(conn)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}},
		{"length then reading on", func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, response(ok, fields, body))
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"length then a reset", ResetDuringUpload(response(ok, fields, body))},
		{"chunked then a reset", ResetDuringUpload(chunked(ok, fields, body, ""))},
	}
}
