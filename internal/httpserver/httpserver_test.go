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

// serve starts a server and returns it with its address.
func serve(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	s := New("test", &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, listener.Addr().String()
}

// Shutdown must not wait for a connection without a request. http.Server.Shutdown waits 5 s for it.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	s, address := serve(t, func(http.ResponseWriter, *http.Request) {})
	unused, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer unused.Close()
	time.Sleep(firstRequestTimeout)
	start := time.Now()
	must.NoError(t, s.Shutdown(t.Context()))
	must.Less(t, 3*time.Second, time.Since(start))
}

// A request that is running on a new connection when a shutdown starts must complete.
func TestShutdownCompletesRunningRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	received := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			received <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		received <- string(body)
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	time.Sleep(2 * firstRequestTimeout)
	close(release)
	must.Eq(t, "done", <-received)
	must.NoError(t, <-stopped)
}

// A server whose request does not finish must not delay the shutdown of the others.
func TestShutdownAllConcurrently(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	started := make(chan struct{})
	busy, address := serve(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	idle, idleAddress := serve(t, func(http.ResponseWriter, *http.Request) {})
	requestErr := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + address)
		requestErr <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := ShutdownAll(ctx, busy, idle)
	must.ErrorIs(t, err, ErrUnfinished)
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.Error(t, <-requestErr) // the connection is closed
	_, err = net.Dial("tcp", idleAddress)
	must.Error(t, err)
}
