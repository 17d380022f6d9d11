package httpserver

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
)

// removeIdle removes the only client from the ledger, as a sweep does before it ends the connections.
func removeIdle(t *testing.T, g *guarded) *intake.Client {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // until the server waits for the next request
	overdue := g.ledger.Overdue(config.ClientLimits{IdleTimeout: time.Minute}, time.Now().Add(time.Hour))
	must.MapLen(t, 1, overdue)
	for client := range overdue {
		return client
	}
	return nil
}

// Guards against a running request being canceled because its connection was idle when the sweep looked at it.
func TestRequestThatRunsWhenSweepEndsItsConnectionIsAnswered(t *testing.T) {
	entered, finish := make(chan struct{}, 2), make(chan struct{})
	g := startGuarded(t, smallVM, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/second" {
			return
		}
		entered <- struct{}{}
		select {
		case <-finish:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway) // what the request led to was canceled
		}
	})
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	removed := removeIdle(t, g)
	_, err := io.WriteString(client, strings.Replace(get, "/", "/second", 1))
	must.NoError(t, err)
	<-entered
	time.Sleep(20 * time.Millisecond) // until net/http watches the connection
	g.guard.disconnect(removed, intake.IdleTimeout)
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	must.Eq(t, http.StatusOK, status(reader))
}

// Guards against a response being cut off because the connection was idle when the sweep looked at it.
func TestResponseThatIsSentWhenSweepEndsItsConnectionIsComplete(t *testing.T) {
	const size = 16 << 20
	g := startGuarded(t, smallVM, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			w.Header().Set("Content-Length", "16777216")
			_, _ = w.Write(make([]byte, size))
		}
	})
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	removed := removeIdle(t, g)
	_, err := io.WriteString(client, strings.Replace(get, "/", "/second", 1))
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // until the socket is full
	g.guard.disconnect(removed, intake.IdleTimeout)
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	must.NoError(t, err, must.Sprintf("%d of %d bytes", n, size))
}

// Guards against a client being credited with what it was not charged, which enlarges the budgets of its listener.
func TestKeptClientReleasesOnlyWhatItHolds(t *testing.T) {
	entered, finish := make(chan struct{}, 2), make(chan struct{})
	g := startGuarded(t, smallVM, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			entered <- struct{}{}
			<-finish
		}
		readBody(w, r)
	})
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	removed := removeIdle(t, g)
	_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n")
	must.NoError(t, err)
	<-entered
	g.guard.disconnect(removed, intake.IdleTimeout)
	close(finish)
	_, err = io.WriteString(client, strings.Repeat("a", 30000))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status(reader))
	time.Sleep(50 * time.Millisecond) // until the server has noted that it has answered
	must.NoError(t, client.Close())
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, g.ledger.Status().Connections)
	must.Eq(t, 0, g.ledger.Status().BodyBytes)
}

// Guards against a connection that no sweep ends, as its client was removed while a handler ran and then takes no response.
func TestClientRemovedWhileHandlerRunsIsSwept(t *testing.T) {
	entered, finish, returned := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
	g := startGuarded(t, smallVM, config.ClientLimits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/second" {
			return
		}
		entered <- struct{}{}
		<-finish
		_, _ = w.Write(make([]byte, 16<<20))
		close(returned)
	})
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	removed := removeIdle(t, g)
	_, err := io.WriteString(client, strings.Replace(get, "/", "/second", 1))
	must.NoError(t, err)
	<-entered
	time.Sleep(20 * time.Millisecond) // until net/http watches the connection
	g.guard.disconnect(removed, intake.IdleTimeout)
	close(finish)
	time.Sleep(100 * time.Millisecond) // until the socket is full
	g.guard.Sweep(time.Now().Add(time.Hour))
	select {
	case <-returned:
	case <-time.After(2 * time.Second):
		t.Errorf("the handler is still writing, connections in the ledger: %d", g.ledger.Status().Connections)
	}
}

// Guards against a request being run and not answered because the sweep ends its connection as the rest of its header is read.
func TestRequestWhoseHeaderEndsAsConnectionIsSweptIsAnswered(t *testing.T) {
	accepted, ran := make(chan *pausedConn, 10), make(chan struct{}, 10)
	g := startGuardedOn(t, func(l net.Listener) net.Listener { return pausedListener{l, accepted} }, smallVM,
		config.ClientLimits{HeaderTimeout: time.Minute}, func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	<-ran
	_, err := io.WriteString(client, get[:20])
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	conn, pause := <-accepted, newGate()
	conn.after.Store(pause)
	_, err = io.WriteString(client, get[20:])
	must.NoError(t, err)
	<-pause.reached
	g.guard.Sweep(time.Now().Add(time.Hour))
	close(pause.open)
	answered := status(reader)
	time.Sleep(50 * time.Millisecond)
	if len(ran) > 0 {
		must.Eq(t, http.StatusOK, answered, must.Sprint("the request was run"))
	}
}

type startedEarly struct{ dropped chan struct{} }

func (s startedEarly) Discard() { close(s.dropped) }

// earlyServer is a server that starts requests early and whose handler waits for finish once it has begun the request /first.
func earlyServer(t *testing.T, below func(net.Listener) net.Listener) (g *guarded, entered, finish chan struct{}, started chan startedEarly) {
	t.Helper()
	entered, finish, started = make(chan struct{}, 10), make(chan struct{}), make(chan startedEarly, 10)
	look := pipeline.New(pipeline.Config{MaxPerConnection: 4, MaxTotal: 4, Start: func(context.Context, *http.Request) pipeline.Result {
		result := startedEarly{make(chan struct{})}
		started <- result
		return result
	}})
	server := &http.Server{ConnContext: pipeline.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, done := pipeline.Take(r)
		defer done()
		if r.URL.Path == "/first" {
			entered <- struct{}{}
			<-finish
		}
	})}
	g = &guarded{t: t, ledger: intake.NewLedger(smallVM)}
	g.guard = NewGuard(GuardConfig{Ledger: g.ledger, Limits: func() config.ClientLimits { return config.ClientLimits{IdleTimeout: time.Minute} }})
	g.guard.Attach(server)
	g.server = New("test", server)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	g.address = listener.Addr().String()
	if below != nil {
		listener = below(listener)
	}
	go func() { _ = g.server.Serve(look.Listener(g.guard.Listen(listener))) }()
	t.Cleanup(func() { _ = g.server.Close() })
	return g, entered, finish, started
}

const first = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a request being started early behind a response that was announced as the last of its connection.
func TestNothingIsStartedBehindTheLastResponse(t *testing.T) {
	accepted := make(chan *pausedConn, 10)
	g, entered, finish, started := earlyServer(t, func(l net.Listener) net.Listener { return pausedListener{l, accepted} })
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	time.Sleep(20 * time.Millisecond)
	conn, pause := <-accepted, newGate()
	conn.after.Store(pause)
	_, err := io.WriteString(client, first)
	must.NoError(t, err)
	<-pause.reached
	g.guard.Sweep(time.Now().Add(time.Hour))
	close(pause.open)
	<-entered
	_, err = io.WriteString(client, get)
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	close(finish)
	must.Eq(t, http.StatusOK, status(reader))
	if len(started) > 0 {
		must.Eq(t, http.StatusOK, status(reader), must.Sprint("a request was started early and not answered"))
	}
}

// Guards against a shutdown that drops requests that were started early.
func TestShutdownAnswersRequestsStartedEarly(t *testing.T) {
	g, entered, finish, started := earlyServer(t, nil)
	client, reader := g.dial(first)
	<-entered
	_, err := io.WriteString(client, get+get)
	must.NoError(t, err)
	for range 2 {
		<-started
	}
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	must.NoError(t, g.server.Shutdown(t.Context()))
	for i := range 3 {
		must.Eq(t, http.StatusOK, status(reader), must.Sprintf("response %d of 3", i+1))
	}
}

// fullListener has no descriptors left.
type fullListener struct {
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *fullListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
}

func (l *fullListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *fullListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a shutdown that outlasts its context, as net/http waits for up to a second between two attempts to accept.
func TestShutdownEndsInTimeWithoutDescriptors(t *testing.T) {
	s := New("test", &http.Server{Handler: http.NotFoundHandler(), ErrorLog: log.New(io.Discard, "", 0)})
	go func() { _ = s.Serve(&fullListener{closed: make(chan struct{})}) }()
	time.Sleep(1400 * time.Millisecond) // 5 ms to 640 ms have passed, the wait of a second has begun
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	_ = s.Shutdown(ctx) // connections that were not accepted are not of interest
	must.Less(t, 300*time.Millisecond, time.Since(start))
}
