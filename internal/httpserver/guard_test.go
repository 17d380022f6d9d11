package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
)

// guarded is a server with a Guard, as on the smallest VM.
type guarded struct {
	t       *testing.T
	address string
	ledger  *intake.Ledger
	guard   *Guard
	server  *Server
	// unanswered receives what is reported; panics makes handlers panic that wait for it.
	unanswered chan *Unanswered
	panics     chan any

	mu      sync.Mutex
	reasons []intake.Reason
}

// wrappedListener wraps each connection, as a listener does that reads ahead.
type wrappedListener struct{ net.Listener }

type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

func (l wrappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return wrappedConn{c}, err
}

func startGuarded(t *testing.T, budgets intake.Budgets, limits config.ClientLimits, handler http.HandlerFunc) *guarded {
	t.Helper()
	return startGuardedOn(t, nil, budgets, limits, handler)
}

// startGuardedOn is startGuarded with a listener below the guard, if it is not nil, and others above it.
func startGuardedOn(t *testing.T, below func(net.Listener) net.Listener, budgets intake.Budgets, limits config.ClientLimits, handler http.HandlerFunc,
	above ...func(net.Listener) net.Listener,
) *guarded {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	g := &guarded{t: t, address: listener.Addr().String(), ledger: intake.NewLedger(budgets), unanswered: make(chan *Unanswered, 100), panics: make(chan any, 1)}
	g.guard = NewGuard(GuardConfig{
		Ledger: g.ledger, Limits: func() config.ClientLimits { return limits },
		Closed: func(_ net.Addr, reason intake.Reason, _ intake.Turn) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.reasons = append(g.reasons, reason)
		},
		Unanswered: func(u *Unanswered) {
			select {
			case g.unanswered <- u:
			default: // no test reads so many
			}
		},
	})
	server := &http.Server{Handler: handler}
	if below != nil {
		listener = below(listener)
	}
	listener = g.guard.Listen(listener)
	for _, wrap := range above {
		listener = wrap(listener)
	}
	g.guard.Attach(server)
	g.server = New("test", server)
	go func() { _ = g.server.Serve(wrappedListener{listener}) }()
	t.Cleanup(func() { _ = g.server.Close() })
	return g
}

// closedFor returns the reasons for which connections were closed.
func (g *guarded) closedFor() []intake.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.reasons)
}

func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(make([]byte, 20<<10))
}

// dial opens a connection and writes text to it.
func (g *guarded) dial(text string) (net.Conn, *bufio.Reader) {
	g.t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	must.NoError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(g.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	must.NoError(g.t, err)
	return conn, bufio.NewReader(conn)
}

// status reads a response and returns its status, or 0 if there is none.
func status(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (g *guarded) awaitNothingHeld(connections int) {
	g.t.Helper()
	must.Wait(g.t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		held := g.ledger.Status()
		held.MaxConnections = 0
		if held != (intake.Status{Connections: connections}) {
			return fmt.Errorf("held: %+v", held)
		}
		return nil
	}), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
}

var smallVM = intake.NewBudgets(intake.Requests, 184<<20, 4100)

// Guards against refusing what is within the operators' limits and against letting through what is above them.
func TestGuardLimits(t *testing.T) {
	limits := config.ClientLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20}
	g := startGuarded(t, smallVM, limits, readBody)
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	chunk := "10000\r\n" + strings.Repeat("a", 0x10000) + "\r\n"
	for name, test := range map[string]struct {
		request string
		want    int
	}{
		"shortest fields":     {post + strings.Repeat("a:\r\n", (16<<10-len(post)-24)/4) + "Content-Length: 1\r\n\r\na", http.StatusOK},
		"one long field":      {post + "A: " + strings.Repeat("a", 16<<10-len(post)-30) + "\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		"large body":          {post + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("a", 1<<20), http.StatusOK},
		"large chunked body":  {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 16) + "0\r\n\r\n", http.StatusOK},
		"HTTP/1.0":            {"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\na", http.StatusOK},
		"header above":        {post + "A: " + strings.Repeat("a", 18<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body above":          {post + "Content-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge},
		"body above, waiting": {post + "Expect: 100-continue\r\nContent-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunked above":       {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 17), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := g.dial(test.request)
			must.Eq(t, test.want, status(reader))
			_ = conn.Close()
		})
	}
	g.awaitNothingHeld(0)
}

// Guards against the body of an accepted request being withheld because of the handshake.
func TestGuardContinue(t *testing.T) {
	g := startGuarded(t, smallVM, config.ClientLimits{BodyBytes: 1 << 20}, readBody)
	conn, reader := g.dial("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	must.Eq(t, http.StatusContinue, status(reader))
	_, err := io.WriteString(conn, "hello")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status(reader))
}

// Guards against accounts that keep what a request held after it was answered: the budget would be used up for good.
func TestGuardReleases(t *testing.T) {
	g := startGuarded(t, smallVM, config.ClientLimits{}, readBody)
	fields := strings.Repeat("a:\r\n", 2000)
	request := "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: 40000\r\n\r\n" + strings.Repeat("a", 40000)
	_, reader := g.dial(strings.Repeat(request, 5) + "OPTIONS * HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + request)
	for range 7 {
		must.Eq(t, http.StatusOK, status(reader))
	}
	g.awaitNothingHeld(1)
	conn, _ := g.dial(request[:len(request)-1])
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return g.ledger.Status().BodyBytes > 0 }), wait.Timeout(10*time.Second)))
	_ = conn.Close()
	g.awaitNothingHeld(1)
}

// Guards against a crowd that keeps others out: those that make no progress lose their connection to a new one, an idle
// connection that has been in use does not.
func TestGuardCrowd(t *testing.T) {
	budgets := smallVM
	budgets.Connections = 20
	g := startGuarded(t, budgets, config.ClientLimits{}, readBody)
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	kept, keptReader := g.dial(request)
	must.Eq(t, http.StatusOK, status(keptReader))
	for range 40 {
		g.dial("GET / HTTP/1.1\r\nHo")
	}
	_, reader := g.dial(request)
	must.Eq(t, http.StatusOK, status(reader))
	_, err := io.WriteString(kept, request)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status(keptReader))
	g.mu.Lock()
	defer g.mu.Unlock()
	must.SliceNotEmpty(t, g.reasons)
	for _, reason := range g.reasons {
		must.Eq(t, intake.LeastProgress, reason)
	}
}

// Guards against a refusal that is not true or not sent when the budget for bodies is used up by requests that run.
func TestGuardRefusesBodies(t *testing.T) {
	budgets := smallVM
	budgets.Amounts[intake.BodyBytes] = 100 << 10
	release := make(chan struct{})
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	g := startGuarded(t, budgets, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
		readBody(w, r)
		<-release
	})
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("a", 60000)
	_, first := g.dial(request)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return g.ledger.Status().BodyBytes > 0 }), wait.Timeout(10*time.Second)))
	_, second := g.dial(request)
	must.Eq(t, http.StatusServiceUnavailable, status(second))
	once.Do(func() { close(release) })
	must.Eq(t, http.StatusOK, status(first))
}

// Guards against incomplete uploads that hold the slots of an upstream while other uploads wait.
func TestGuardUploads(t *testing.T) {
	budgets := smallVM
	budgets.Amounts[intake.Uploads] = 2
	g := startGuarded(t, budgets, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
		end, err := BeginUpload(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer end()
		readBody(w, r)
	})
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100000)
	for range 4 {
		g.dial(request[:len(request)-1])
	}
	_, reader := g.dial(request)
	must.Eq(t, http.StatusOK, status(reader))
}

// Guards against a shutdown that waits for a connection for which there is no room.
func TestGuardStopsWhileWaiting(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	guard := NewGuard(GuardConfig{Ledger: intake.NewLedger(intake.Budgets{}), Limits: func() config.ClientLimits { return config.ClientLimits{} }})
	wrapped := guard.Listen(listener)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	accepted := make(chan error, 1)
	go func() {
		_, err := wrapped.Accept()
		accepted <- err
	}()
	must.NoError(t, wrapped.Close())
	must.ErrorIs(t, <-accepted, net.ErrClosed)
}
