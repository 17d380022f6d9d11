package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func serve(t *testing.T, handler http.HandlerFunc) (address string, closer *Closer) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler}
	closer = New(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), closer
}

// Guards against a shutdown that waits 5 s for a connection on which nothing was sent.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	address, closer := serve(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	response, err := http.Get("http://" + address) // accepted after conn
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	must.NoError(t, closer.Shutdown(ctx))
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// A request in progress gets its whole answer.
func TestShutdownAwaitsRequests(t *testing.T) {
	begun := make(chan struct{})
	address, closer := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	body := make(chan string, 1)
	go func() {
		defer close(body)
		response, err := http.Get("http://" + address)
		if err != nil {
			return
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		body <- string(data)
	}()
	<-begun
	must.NoError(t, closer.Shutdown(t.Context()))
	must.Eq(t, "whole", <-body)
}
