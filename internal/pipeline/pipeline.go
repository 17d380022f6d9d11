// Package pipeline lets a net/http server handle pipelined requests of one connection concurrently.
//
// net/http reads the next request of a connection only after it has written the response to the last one, so eight
// pipelined requests take eight times as long as one. A Conn looks ahead in the bytes that the client sends, without
// changing them, and starts requests of the simplest form before their turn. net/http still reads every request and
// writes every response in order; a handler that comes to a request that was started early takes its result.
//
// The look-ahead runs in the reads that net/http makes anyway, one of which waits for the next request while a handler
// runs. A connection without pipelined requests costs a search for the end of each header, and no parsing.
package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeader bounds the header of a request that is started early.
	maxHeader = 16 << 10
	// readSize is how much of the connection is read at once while a handler runs.
	readSize = 4 << 10
)

// Result is the result of a request that was started early, which may not be there yet.
type Result interface {
	// Discard releases the result if it is not needed. It does not block.
	Discard()
}

// Config configures the early start of requests.
type Config struct {
	// Start begins to handle a request, which ctx ends when the client disconnects, and returns at once. It returns nil for
	// a request that must wait for its turn.
	Start func(ctx context.Context, r *http.Request) Result
	// MaxPerConnection bounds the requests that are started early and not answered on one connection, MaxTotal those of
	// all connections with the holds, of which there are at most half as many.
	MaxPerConnection, MaxTotal int
	// MaxHeader returns the size in bytes above which the server may refuse a header and close the connection; 0 or nil means
	// that there is none.
	MaxHeader func() int64
}

// Pipeline holds the configuration and state that all connections of a server share.
type Pipeline struct {
	config  Config
	waiting atomic.Int64 // requests started early and not answered
	held    atomic.Int64
	started atomic.Int64
	dropped atomic.Int64
}

// New returns a Pipeline.
func New(config Config) *Pipeline { return &Pipeline{config: config} }

func (p *Pipeline) maxHeader() int64 {
	if p.config.MaxHeader == nil {
		return 0
	}
	return p.config.MaxHeader()
}

// Stats are counters for operators.
type Stats struct {
	// Started counts requests started early, Dropped those of them whose result was not used, Waiting those whose turn has
	// not come.
	Started int64 `json:"started"`
	Dropped int64 `json:"dropped"`
	Waiting int64 `json:"waiting"`
	// Held is the number of holds, see Pipeline.Hold.
	Held int64 `json:"held"`
}

// Stats returns the counters.
func (p *Pipeline) Stats() Stats {
	return Stats{Started: p.started.Load(), Dropped: p.dropped.Load(), Waiting: p.waiting.Load(), Held: p.held.Load()}
}

// Hold takes the memory that a response to a request started early may have, for a part of a longer one, and reports whether
// there was room. Release must be called for it.
func (p *Pipeline) Hold() bool {
	total := int64(p.config.MaxTotal)
	if held := p.held.Add(1); held > total/2 || held+p.waiting.Load() > total {
		p.held.Add(-1)
		return false
	}
	return true
}

// Release releases what a number of calls of Hold has taken.
func (p *Pipeline) Release(holds int) { p.held.Add(-int64(holds)) }

func (p *Pipeline) hasRoom() bool {
	return p.waiting.Load()+p.held.Load() < int64(p.config.MaxTotal)
}

// Listener returns a listener whose connections look ahead.
func (p *Pipeline) Listener(inner net.Listener) net.Listener { return &listener{inner, p} }

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, pipeline: l.pipeline}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	return ctx
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	pipeline *Pipeline
	// ctx ends when the client disconnects or the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// unread holds bytes that were read ahead of net/http.
	unread []byte
	// unparsed holds the bytes from the first request on that has not been told apart from the next one.
	unparsed []byte
	// opaque means that the rest of the connection is not looked at.
	opaque bool
	// parsed counts requests whose end was found, served those that handlers have answered. left is the index of the first
	// request that is left to net/http if opaque.
	parsed, served, left int
	// entered means that net/http has accepted the first request that is not answered and has called its handler.
	entered bool
	// sealed means that nothing is started behind that request.
	sealed bool
	early  []earlyRequest
}

type earlyRequest struct {
	index  int
	method string
	target string
	host   string
	result Result
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return c.readAhead(p)
	}
	if n := c.takeUnread(p); n > 0 || len(p) == 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.scan(p[:n])
	c.mu.Unlock()
	c.recordError(err)
	return n, err
}

// readAhead serves the read of one byte by which net/http watches the connection while a handler runs. It does not
// return before the handler ends, unless the client disconnects or no more requests may be started.
func (c *Conn) readAhead(p []byte) (int, error) {
	buffer := p // most clients send nothing meanwhile, so more memory is taken only after the first byte
	for c.mayReadAhead() {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.unread = append(c.unread, buffer[:n]...)
		c.scan(buffer[:n])
		c.mu.Unlock()
		c.recordError(err)
		if err != nil {
			n = c.takeUnread(p)
			if n > 0 && isTimeout(err) {
				err = nil // net/http has ended the wait, as the handler has returned
			}
			return n, err
		}
		if len(buffer) == 1 {
			buffer = make([]byte, readSize)
		}
	}
	return c.takeUnread(p), nil
}

func (c *Conn) takeUnread(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	return n
}

// mayReadAhead reports whether more of the connection may be read while a handler runs. The first bytes are always read,
// because they tell whether the client has disconnected.
func (c *Conn) mayReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unread) == 0 {
		return true
	}
	if c.opaque || len(c.unread) >= maxHeader {
		return false
	}
	return c.hasRoom() || c.sealed && len(c.unparsed)+readSize <= maxHeader
}

func (c *Conn) hasRoom() bool {
	return !c.sealed && len(c.early) < c.pipeline.config.MaxPerConnection && c.pipeline.hasRoom()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordError ends the requests that were started early if the client has disconnected.
func (c *Conn) recordError(err error) {
	if err != nil && !isTimeout(err) {
		c.cancel()
	}
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets the behavior of Close as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opaque = true
	c.dropAll()
	return err
}

var headerEnd = []byte("\r\n\r\n")

// scan looks for requests that can be started early in the bytes that follow those scanned before. It is called with
// c.mu held.
func (c *Conn) scan(data []byte) {
	if c.opaque {
		return
	}
	rest := data
	if len(c.unparsed) > 0 {
		c.unparsed = append(c.unparsed, data...)
		rest = c.unparsed
	}
	for {
		end := bytes.Index(rest, headerEnd)
		if end < 0 {
			break
		}
		header := rest[:end+len(headerEnd)]
		behind := c.parsed > c.served
		if behind && (!c.entered || !c.hasRoom()) {
			break // until it is entered, net/http may reject the request before this one and close the connection
		}
		if !isSimple(header) || behind && !c.startEarly(header) {
			c.stopLookAhead()
			return
		}
		c.parsed++
		rest = rest[len(header):]
	}
	if len(rest) > maxHeader || len(rest) >= len(longestMethod) && !hasSimpleMethod(rest) {
		c.stopLookAhead()
		return
	}
	c.unparsed = append([]byte(nil), rest...)
}

// stopLookAhead leaves the rest of the connection to net/http. Requests started early keep their turn.
func (c *Conn) stopLookAhead() { c.opaque, c.unparsed, c.left = true, nil, c.parsed }

const longestMethod = "HEAD /"

func hasSimpleMethod(header []byte) bool {
	return bytes.HasPrefix(header, []byte("GET /")) || bytes.HasPrefix(header, []byte(longestMethod))
}

// isSimple reports whether a header is certainly that of a request without a body, after which the next request follows.
// It is strict: what it does not know is left to net/http.
func isSimple(header []byte) bool {
	if !hasSimpleMethod(header) {
		return false
	}
	if bytes.Count(header, []byte("\n")) != bytes.Count(header, []byte("\r\n")) {
		return false
	}
	line, _, _ := bytes.Cut(header, []byte("\r\n"))
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return false
	}
	lower := bytes.ToLower(header)
	for _, field := range [][]byte{[]byte("\ncontent-length"), []byte("\ntransfer-encoding"), []byte("\nexpect"), []byte("\nupgrade"), []byte("\nconnection"), []byte("\ntrailer")} {
		if bytes.Contains(lower, field) {
			return false
		}
	}
	return true
}

// accepted reports whether net/http certainly accepts a request, which it checks more strictly than http.ReadRequest does.
func accepted(r *http.Request) bool {
	if r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// startEarly starts a request before its turn and reports whether it did.
func (c *Conn) startEarly(header []byte) bool {
	if limit := c.pipeline.maxHeader(); limit > 0 && int64(len(header)) > limit {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil || r.ContentLength != 0 || !accepted(r) {
		return false
	}
	r.RemoteAddr = c.RemoteAddr().String()
	request := earlyRequest{index: c.parsed, method: r.Method, target: r.RequestURI, host: r.Host}
	request.result = c.pipeline.config.Start(c.ctx, r)
	if request.result == nil {
		return false
	}
	c.pipeline.waiting.Add(1)
	c.pipeline.started.Add(1)
	c.early = append(c.early, request)
	return true
}

// Take returns the result of the request that a handler has come to, or nil if it was not started early. The handler must
// call the returned function when it has written the response.
func Take(r *http.Request) (result Result, done func()) {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		return nil, func() {}
	}
	return c.take(r), c.finish
}

func (c *Conn) take(r *http.Request) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entered = true
	result := c.takeFirst(r)
	c.scan(nil)
	return result
}

func (c *Conn) takeFirst(r *http.Request) Result {
	if len(c.early) == 0 {
		return nil
	}
	first := c.early[0]
	if first.index > c.served {
		return nil
	}
	if first.index < c.served || first.method != r.Method || first.target != r.RequestURI || first.host != r.Host {
		// net/http has read other requests than the look-ahead has.
		c.stopLookAhead()
		c.dropAll()
		return nil
	}
	c.early = c.early[1:]
	c.pipeline.waiting.Add(-1)
	return first.result
}

func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	c.entered, c.sealed = false, false
	c.scan(nil)
}

func (c *Conn) dropAll() {
	for _, request := range c.early {
		request.result.Discard()
		c.pipeline.waiting.Add(-1)
		c.pipeline.dropped.Add(1)
	}
	c.early = nil
}

// Last reports whether no request has been read behind the one that a handler answers, so that the connection may be closed
// after its response. It then prevents that one is started until that has been written. What follows a request that the
// look-ahead leaves to net/http is not known.
func Last(r *http.Request) bool {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.early) > 0 || len(c.unread) > 0 || len(c.unparsed) > 0 || c.parsed > c.served+1 || c.opaque && c.left > c.served {
		return false
	}
	c.sealed = true
	return true
}

// Seal prevents that requests behind the one that a handler answers are started until its response has been written.
func Seal(r *http.Request) { seal(r, true) }

// SealLast is Seal if none of them has been started, and reports whether that is so.
func SealLast(r *http.Request) bool { return seal(r, false) }

func seal(r *http.Request, always bool) bool {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.early) == 0
	c.sealed = c.sealed || always || last
	return last
}
