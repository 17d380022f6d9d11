package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
)

const (
	// fieldCost is the memory of a parsed header field beside its bytes: entries of two maps, as the entry node copies the
	// header, with the strings and slices in them. 3,000 fields in 30 KB took 300 KiB before the copy.
	fieldCost = 250
	// byteCost is how often the bytes of a header are in memory: once read, once in the map.
	byteCost = 2
	// freeHeaderBytes and freeBodyBytes of each request are not charged, because every connection accounts for them. With
	// up to about 25 fields, requests are never refused for the headers of others.
	freeHeaderBytes = 8 << 10
	freeBodyBytes   = 4 << 10
	// bufferedBodyBytes is the size up to which bodies are buffered (call.BufferLimit). Larger ones are streamed.
	bufferedBodyBytes = 64 << 10
	// streamBytes is the memory of a declared body that is streamed.
	streamBytes = 32 << 10
	// growthFactor bounds the size of a buffer that grows with a chunked body, by its bytes.
	growthFactor = 2
	// writePieceBytes is the size of the pieces in which a response is sent, so that progress within it is seen.
	writePieceBytes = 16 << 10
	// largeSocketBytes is the size of socket buffers that fit 200 Mbit/s with a round trip of 10 ms. It bounds what the kernel
	// takes of a response that is not read, 4 MiB otherwise.
	largeSocketBytes = 256 << 10
	// smallReceiveBytes and smallSendBytes are the sizes of socket buffers while there are many connections. An upload gets a
	// large one when it begins. The budget for responses bounds the number of connections whose send buffer is full.
	smallReceiveBytes = 16 << 10
	smallSendBytes    = 64 << 10
	// headerSlackBytes is how much a header may exceed the operators' limit, as they may not count the request line.
	headerSlackBytes = 1 << 10
)

const (
	// acceptWait is how long a new connection waits for room before it is closed. It exceeds the time for which clients
	// that make no progress keep theirs.
	acceptWait = 500 * time.Millisecond
	// chargeWait is how long a request waits for room for its header or body before it is refused.
	chargeWait = time.Second
	// roomPollInterval is the time between two attempts to get room. Thousands of connections may try.
	roomPollInterval = 20 * time.Millisecond
)

// ErrNoRoom means that a connection was closed because the budgets of its listener were used up.
var ErrNoRoom = errors.New("httpserver: no room for the request")

// Refused is why a Guard refuses a request.
type Refused int

// Reasons of refusals.
const (
	HeaderTooLarge Refused = iota + 1
	BodyTooLarge
	// BodyNoRoom means that the budget for bodies was used up by requests that are running.
	BodyNoRoom
)

// status returns the status of the refusal and its text.
func (r Refused) status() (int, string) {
	switch r {
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge, "request header is above the limit"
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge, "request body is above the limit"
	}
	return http.StatusServiceUnavailable, "too many request bodies are being read"
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	Ledger *intake.Ledger
	// Limits returns the limits in force.
	Limits func() config.ClientLimits
	// Local reports whether an address is of this VM; nil means never.
	Local func(netip.Addr) bool
	// Refuse writes the response to a request that is refused. If it is nil, the response has a line of text.
	Refuse func(http.ResponseWriter, *http.Request, Refused)
	// Closed is called after a connection was closed; nil is allowed.
	Closed func(remote net.Addr, reason intake.Reason, turn intake.Turn)
	// Unanswered is called after a connection was closed with requests that have no response; nil is allowed.
	Unanswered func(*Unanswered)
}

// Guard applies the decisions of an intake.Ledger to the connections of a server. It is safe for concurrent use.
//
// Its connections may be wrapped by others whose NetConn method returns the wrapped one. Requests are counted by the bytes
// that are read, in whatever pieces, so reading ahead of net/http is allowed.
type Guard struct {
	config GuardConfig
}

// NewGuard returns a guard. Attach it to a server before the server starts, and pass Serve what Listen returns.
func NewGuard(config GuardConfig) *Guard { return &Guard{config: config} }

// Attach wraps the handler and the ConnContext hook of a server.
func (g *Guard) Attach(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		if conn := unwrap(c); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
}

// Sweep closes the connections whose time is over. It should be called about once a second.
func (g *Guard) Sweep(now time.Time) {
	for client, reason := range g.config.Ledger.Overdue(g.config.Limits(), now) {
		g.disconnect(client, reason)
	}
}

func (g *Guard) disconnect(client *intake.Client, reason intake.Reason) {
	client.Owner.(*guardedConn).disconnect(reason)
}

// Listen returns a listener whose connections are accounted for.
func (g *Guard) Listen(listener net.Listener) net.Listener {
	return &guardedListener{Listener: listener, guard: g, closed: make(chan struct{})}
}

type guardedListener struct {
	net.Listener
	guard     *Guard
	closeOnce sync.Once
	closed    chan struct{}
}

// Close implements net.Listener.
func (l *guardedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// open adds a connection to the ledger. Further connections wait in the backlog meanwhile.
func (l *guardedListener) open(conn *guardedConn) (ok, unread bool) {
	for start := time.Now(); ; {
		victim, ok, unread := l.guard.config.Ledger.Open(conn.client, time.Now())
		if victim != nil {
			l.guard.disconnect(victim, intake.LeastProgress)
		}
		if ok || time.Since(start) >= acceptWait {
			return ok, unread
		}
		select {
		case <-l.closed:
			return false, false
		case <-time.After(roomPollInterval):
		}
	}
}

// Accept implements net.Listener. It closes connections for which there is no room within acceptWait.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &guardedConn{Conn: raw, guard: l.guard}
		conn.client = intake.NewClient(conn, l.guard.local(raw.RemoteAddr()))
		ok, unread := l.open(conn)
		if !ok {
			_ = raw.Close()
			l.guard.closed(raw.RemoteAddr(), intake.NoRoom, intake.Sending)
			continue
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			conn.smallBuffers = unread
			setBuffers(tcp, unread)
		}
		return conn, nil
	}
}

// setBuffers bounds the socket buffers of a connection. Errors mean that it is closed.
func setBuffers(tcp *net.TCPConn, small bool) {
	if !small {
		_ = tcp.SetWriteBuffer(largeSocketBytes)
		return
	}
	_ = tcp.SetReadBuffer(smallReceiveBytes)
	_ = tcp.SetWriteBuffer(smallSendBytes)
}

func (g *Guard) local(remote net.Addr) bool {
	address, err := netip.ParseAddrPort(remote.String())
	return err == nil && g.config.Local != nil && g.config.Local(address.Addr())
}

func (g *Guard) closed(remote net.Addr, reason intake.Reason, turn intake.Turn) {
	if g.config.Closed != nil {
		g.config.Closed(remote, reason, turn)
	}
}

type connKey struct{}

// unwrap returns the connection of a Guard within wrappers, or nil.
func unwrap(c net.Conn) *guardedConn {
	for {
		switch conn := c.(type) {
		case *guardedConn:
			return conn
		case interface{ NetConn() net.Conn }:
			c = conn.NetConn()
		default:
			return nil
		}
	}
}

// handler refuses requests that are over the limits, before they reach next.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*guardedConn)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		conn.announceClose(w.Header(), r)
		limits := g.config.Limits()
		if request := conn.firstRequest(); request != nil {
			if request.head.Uncertain {
				w.Header().Set("Connection", "close")
			}
			if refused := request.refused(r, limits); refused != 0 {
				w.Header().Set("Connection", "close")
				g.refuse(w, r, refused)
				return
			}
		}
		if limits.BodyBytes > 0 && r.ContentLength != 0 {
			r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
		}
		defer conn.notePanic()
		next.ServeHTTP(w, r)
	})
}

func (q *receivedRequest) refused(r *http.Request, limits config.ClientLimits) Refused {
	switch {
	case limits.HeaderBytes > 0 && int64(q.head.Bytes) > limits.HeaderBytes+headerSlackBytes:
		return HeaderTooLarge
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return BodyTooLarge
	case q.noRoom:
		return BodyNoRoom
	}
	return 0
}

func (g *Guard) refuse(w http.ResponseWriter, r *http.Request, refused Refused) {
	if g.config.Refuse != nil {
		g.config.Refuse(w, r, refused)
		return
	}
	status, text := refused.status()
	http.Error(w, text, status)
}
