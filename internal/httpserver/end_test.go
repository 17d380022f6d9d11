package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
)

// pausedListener accepts connections whose reads can be held.
type pausedListener struct {
	net.Listener
	accepted chan *pausedConn
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &pausedConn{TCPConn: c.(*net.TCPConn)}
	l.accepted <- held
	return held, nil
}

// pausedConn stands for a reader that gets no processor time: a read waits before it looks at the socket, or after it has read.
type pausedConn struct {
	*net.TCPConn
	before, after atomic.Pointer[gate]
	// skipped is the number of reads that pass before one waits.
	skipped atomic.Int64
}

type gate struct{ reached, open chan struct{} }

func newGate() *gate { return &gate{make(chan struct{}), make(chan struct{})} }

func (g *gate) wait() {
	if g != nil {
		close(g.reached)
		<-g.open
	}
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if c.skipped.Add(-1) < 0 {
		c.before.Swap(nil).wait()
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.after.Swap(nil).wait()
	}
	return n, err
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a connection being closed under a request that its client has sent before: it was run and not answered.
func TestRequestReadAsConnectionIsSweptIsAnswered(t *testing.T) {
	for name, end := range map[string]func(g *guarded){
		"idle limit":     func(g *guarded) { g.guard.Sweep(time.Now().Add(time.Hour)) },
		"used-up budget": func(g *guarded) { g.dial(get) },
	} {
		for _, held := range []string{"read", "in the socket"} {
			t.Run(name+", "+held, func(t *testing.T) {
				budgets := smallVM
				budgets.Connections, budgets.MinStall = 1, shortStall
				accepted := make(chan *pausedConn, 10)
				var ran atomic.Int64
				g := startGuardedOn(t, func(l net.Listener) net.Listener { return pausedListener{l, accepted} }, budgets,
					config.ClientLimits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
						ran.Add(1)
						readBody(w, r)
					})
				client, reader := g.dial(get)
				must.Eq(t, http.StatusOK, status(reader))
				time.Sleep(2 * shortStall)
				conn, pause := <-accepted, newGate()
				if held == "read" {
					conn.after.Store(pause)
				} else {
					conn.skipped.Store(1) // the one by which net/http watches the connection while the handler runs
					conn.before.Store(pause)
					must.Eq(t, http.StatusOK, request(t, client, reader))
					<-pause.reached
					time.Sleep(2 * shortStall)
				}
				ran.Store(0)
				_, err := io.WriteString(client, get)
				must.NoError(t, err)
				<-pause.reached
				end(g)
				time.Sleep(2 * shortStall)
				close(pause.open)
				must.Eq(t, http.StatusOK, status(reader), must.Sprintf("requests run: %d", ran.Load()))
			})
		}
	}
}

const shortStall = 50 * time.Millisecond

func request(t *testing.T, client net.Conn, reader *bufio.Reader) int {
	t.Helper()
	_, err := io.WriteString(client, get)
	must.NoError(t, err)
	return status(reader)
}

// Guards against connections that are kept for good because a request might come.
func TestSweepClosesIdleConnections(t *testing.T) {
	g := startGuarded(t, smallVM, config.ClientLimits{IdleTimeout: time.Minute}, readBody)
	client, reader := g.dial(get)
	must.Eq(t, http.StatusOK, status(reader))
	g.guard.Sweep(time.Now())
	must.Eq(t, http.StatusOK, request(t, client, reader))
	time.Sleep(20 * time.Millisecond) // until the server waits for the next request
	g.guard.Sweep(time.Now().Add(time.Hour))
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	g.awaitNothingHeld(0)
	must.Eq(t, []intake.Reason{intake.IdleTimeout}, g.closedFor())
}

// Guards against a request of which a part was passed on being ended without a response, as others need its room.
func TestStalledUploadThatLosesItsConnectionIsAnswered(t *testing.T) {
	budgets := smallVM
	budgets.Connections, budgets.MinStall = 1, shortStall
	g := startGuarded(t, budgets, config.ClientLimits{}, readBody)
	_, reader := g.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")
	time.Sleep(2 * shortStall)
	_, other := g.dial(get)
	must.Eq(t, http.StatusOK, status(other))
	must.Eq(t, http.StatusBadRequest, status(reader))
	must.Eq(t, []intake.Reason{intake.LeastProgress}, g.closedFor())
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Guards against requests that are running being ended, as there is no room for one behind them on their connection.
func TestRequestBeforeOneWithoutRoomIsAnswered(t *testing.T) {
	header := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 200)
	for name, next := range map[string]struct {
		text   string
		status int
	}{
		"whole header":        {header + "\r\n", http.StatusServiceUnavailable},
		"part of a header":    {header, 0},
		"header in two reads": {header + strings.Repeat("a", 3000) + "\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			budgets := smallVM
			budgets.Amounts[intake.HeaderBytes] = 0
			proceed := make(chan struct{})
			look := pipeline.New(pipeline.Config{MaxPerConnection: 1, MaxTotal: 1, Start: func(context.Context, *http.Request) pipeline.Result { return nil }})
			g := startGuardedOn(t, nil, budgets, config.ClientLimits{}, func(w http.ResponseWriter, r *http.Request) {
				<-proceed
				if r.Context().Err() != nil {
					w.WriteHeader(http.StatusBadGateway) // what the request led to was canceled
					return
				}
				readBody(w, r)
			}, look.Listener)
			client, reader := g.dial(get)
			time.Sleep(20 * time.Millisecond)
			_, err := io.WriteString(client, next.text)
			must.NoError(t, err)
			time.Sleep(chargeWait + 200*time.Millisecond)
			close(proceed)
			must.Eq(t, http.StatusOK, status(reader))
			must.Eq(t, next.status, status(reader))
		})
	}
}

// Guards against a request that is being read being ended without a response, as there is no room for its body.
func TestBodyWithoutRoomIsAnswered(t *testing.T) {
	budgets := smallVM
	budgets.Amounts[intake.BodyBytes] = 0
	g := startGuarded(t, budgets, config.ClientLimits{}, readBody)
	_, reader := g.dial("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" + strings.Repeat("a", 0x4000) + "\r\n0\r\n\r\n")
	must.Eq(t, http.StatusBadRequest, status(reader))
}
