package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
)

// heldListener returns connections whose reads can be held.
type heldListener struct {
	net.Listener
	opened   func(*heldConn)
	accepted chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &heldConn{Conn: inner, closed: make(chan struct{})}
	l.opened(c)
	l.accepted <- c
	return c, nil
}

// heldConn is a connection whose reader gets no processor for a while. before holds the next read until the channel is
// closed, after the return of the next read that has bytes; closed is closed when the connection is.
type heldConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu            sync.Mutex
	before, after chan struct{}
}

func (c *heldConn) NetConn() net.Conn { return c.Conn }

func (c *heldConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// hold holds the next read before it reads, or after it has read bytes, and returns the function that ends that.
func (c *heldConn) hold(before bool) (release func()) {
	held := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if before {
		c.before = held
	} else {
		c.after = held
	}
	return sync.OnceFunc(func() { close(held) })
}

func (c *heldConn) wait(held *chan struct{}) {
	c.mu.Lock()
	channel := *held
	*held = nil
	c.mu.Unlock()
	if channel != nil {
		<-channel
	}
}

func (c *heldConn) Read(p []byte) (int, error) {
	c.wait(&c.before)
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.wait(&c.after)
	}
	return n, err
}

// heldServer is a server with one connection.
type heldServer struct {
	*Server
	t      *testing.T
	held   *heldConn
	client net.Conn
	reader *bufio.Reader
}

// startHeld starts a server and opens a connection. beforeRead is called with it before the first read of each request.
func startHeld(t *testing.T, beforeRead func(c *heldConn, kept bool), handler http.HandlerFunc) *heldServer {
	t.Helper()
	guard := NewGuard(GuardConfig{Ledger: intake.NewLedger(smallVM), Limits: func() config.ClientLimits { return config.ClientLimits{} }})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	guard.Attach(server)
	s := &heldServer{t: t, Server: New("test", server)}
	inner := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		inner(c, state)
		if state == http.StateIdle {
			beforeRead(s.held, true)
		}
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	accepted := make(chan *heldConn, 1)
	opened := func(c *heldConn) {
		s.held = c
		beforeRead(c, false)
	}
	go func() { _ = s.Serve(wrappedListener{guard.Listen(&heldListener{listener, opened, accepted})}) }()
	t.Cleanup(func() { _ = s.Close() })
	s.client, err = net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.client.Close() })
	must.NoError(t, s.client.SetDeadline(time.Now().Add(20*time.Second)))
	<-accepted
	s.reader = bufio.NewReader(s.client)
	return s
}

func (s *heldServer) send(text string) {
	s.t.Helper()
	_, err := io.WriteString(s.client, text)
	must.NoError(s.t, err)
}

// mustAnswer reads a response and reports whether it says that it is the last on its connection.
func (s *heldServer) mustAnswer() (last bool) {
	s.t.Helper()
	response, err := http.ReadResponse(s.reader, nil)
	must.NoError(s.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(s.t, err)
	must.Eq(s.t, http.StatusOK, response.StatusCode)
	return response.Close
}

// shutdownWhileHeld begins a shutdown, waits until it has closed the connection, or longer than it waits for unused ones,
// and lets the connection be read.
func (s *heldServer) shutdownWhileHeld(release func()) {
	s.t.Helper()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	select {
	case <-s.held.closed:
	case <-time.After(2 * firstRequestTimeout):
	}
	release()
	select {
	case err := <-stopped:
		must.NoError(s.t, err)
	case <-time.After(10 * time.Second):
		s.t.Fatal("the shutdown did not end")
	}
}

const heldRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a shutdown that closes a connection from which a request has been read, or in whose socket one waits.
func TestShutdownAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, test := range map[string]struct{ kept, before bool }{
		"read from a kept connection":        {true, false},
		"read from a new connection":         {false, false},
		"in the socket of a kept connection": {true, true},
		"in the socket of a new connection":  {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := make(chan func(), 1)
			s := startHeld(t, func(c *heldConn, kept bool) {
				if kept == test.kept {
					held <- c.hold(test.before)
				}
			}, func(http.ResponseWriter, *http.Request) {})
			if test.kept {
				s.send(heldRequest)
				must.False(t, s.mustAnswer())
			}
			release := <-held
			defer release()
			s.send(heldRequest)
			time.Sleep(50 * time.Millisecond)
			s.shutdownWhileHeld(release)
			must.True(t, s.mustAnswer())
		})
	}
}

func neverHeld(*heldConn, bool) {}

// A request that waits behind one that is running at the begin of a shutdown is answered too.
func TestShutdownAnswersPipelinedRequest(t *testing.T) {
	entered, finish := make(chan struct{}, 2), make(chan struct{})
	s := startHeld(t, neverHeld, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the header says that the connection is kept
		entered <- struct{}{}
		<-finish
	})
	s.send(heldRequest)
	<-entered
	s.send(heldRequest)
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	must.NoError(t, s.Shutdown(t.Context()))
	must.False(t, s.mustAnswer())
	must.True(t, s.mustAnswer())
}

// A shutdown waits for the rest of a header for a short time only, and for the rest of a body until the handler gives up.
func TestShutdownWithIncompleteRequests(t *testing.T) {
	t.Run("header without an end", func(t *testing.T) {
		t.Parallel()
		s := startHeld(t, neverHeld, func(http.ResponseWriter, *http.Request) {})
		s.send(heldRequest[:20])
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		must.NoError(t, s.Shutdown(t.Context()))
		must.Less(t, 3*time.Second, time.Since(start))
	})
	t.Run("rest of the header", func(t *testing.T) {
		t.Parallel()
		s := startHeld(t, neverHeld, func(http.ResponseWriter, *http.Request) {})
		s.send(heldRequest[:20])
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		time.Sleep(firstRequestTimeout / 3)
		s.send(heldRequest[20:])
		must.True(t, s.mustAnswer())
		must.NoError(t, <-stopped)
	})
	t.Run("rest of the body", func(t *testing.T) {
		t.Parallel()
		s := startHeld(t, neverHeld, func(w http.ResponseWriter, r *http.Request) {
			if body, err := io.ReadAll(r.Body); err != nil || string(body) != "body" || r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		s.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		time.Sleep(2 * firstRequestTimeout)
		s.send("dy")
		s.mustAnswer()
		must.NoError(t, <-stopped)
	})
}
