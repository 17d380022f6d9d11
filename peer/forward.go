package peer

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	callv1 "github.com/cowslipglade/cowslipglade/rpc/call/v1"
)

// headerReserve asks the destination to reserve a slot and confirm that before the body is sent. The call does
// not run before its body arrives; an empty body is a single chunk of zero length. A sender that has not
// started the body therefore knows that the call has not run, even if the destination or network fails.
const headerReserve = "Cowslip-Reserve"

// Connection settings of a Forwarder.
const (
	// forwardDialTimeout is six round trips between regions of 12 ms each way. A connection takes one.
	forwardDialTimeout = 150 * time.Millisecond
	// forwardMaxIdleTime keeps about as many connections as there were concurrent calls in the recent past;
	// each costs both nodes a file descriptor and about 15 KB. It is below AcceptorIdleTimeout.
	forwardMaxIdleTime = 4 * time.Second
	// forwardIdleConnections is the maximum number of idle connections to each node.
	forwardIdleConnections = 64
	// forwardKeepAlive is the time between probes of a connection that waits for a response. Two of them without an
	// acknowledgement end it, so a partition that lasts as long as a lost segment with its retransmissions does not.
	forwardKeepAlive = 700 * time.Millisecond
	// forwardUserTimeout applies to unacknowledged data; TCP has sent it four times by then.
	forwardUserTimeout = 2 * time.Second
)

// maxRefusalBytes limits the body that is read from a refused reservation; an Acceptor sends an empty one.
const maxRefusalBytes = 4 << 10

// AcceptorIdleTimeout is the idle timeout for the HTTP server of an Acceptor.
const AcceptorIdleTimeout = 30 * time.Second

// ErrNoReservation means that the destination did not confirm a reserved slot in time.
var ErrNoReservation = errors.New("peer: no reservation")

// Forwarder forwards calls to nodes with other upstreams. It sends each call at most once, and the body of a
// non-idempotent call only after the destination has reserved a slot. It is safe for concurrent use.
type Forwarder struct {
	sender string
	pool   *httpconn.Pool
}

// NewForwarder returns a Forwarder for the node named sender.
func NewForwarder(sender string) *Forwarder {
	return &Forwarder{sender: sender, pool: httpconn.NewPool(httpconn.Config{
		DialTimeout:       forwardDialTimeout,
		MaxIdleTime:       forwardMaxIdleTime,
		MaxHeadBytes:      maxResponseHeaderBytes,
		MaxIdlePerAddress: forwardIdleConnections,
		KeepAlive:         forwardKeepAlive,
		UserTimeout:       forwardUserTimeout,
	})}
}

// Sweep closes connections that have exceeded their idle timeout.
func (f *Forwarder) Sweep() { f.pool.Sweep() }

// Drop closes the idle connections to a node that has departed.
func (f *Forwarder) Drop(address string) { f.pool.Drop(address) }

// Close closes idle connections.
func (f *Forwarder) Close() { f.pool.Close() }

// Wait bounds how long a Forwarder waits for a destination.
type Wait struct {
	// Contact is the time for a connection and for the first sign that the destination has received the call.
	Contact time.Duration
	// Slot is the time for a slot, from the begin of the call.
	Slot time.Duration
	// Commit, if not nil, is called before anything is sent that lets the call run. If it returns a refusal, that is not sent.
	Commit func() *call.Refusal
}

// Forward sends a call and returns the destination's response. Errors are of type *call.Refusal.
func (f *Forwarder) Forward(ctx context.Context, to Destination, req *call.Request, wait Wait) (*call.Response, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, wait.Contact)
	conn, err := f.pool.Get(dialCtx, to.Address, forwardMaxIdleTime)
	cancelDial()
	if err != nil {
		return nil, unsentRefusal(ctx, err)
	}
	conn.CloseAfter(ctx)
	if err := ctx.Err(); err != nil { // CloseAfter closes on another goroutine, perhaps after the request was written
		conn.Close()
		return nil, unsentRefusal(ctx, err)
	}
	response, err := f.exchange(conn, to, req, wait)
	if err != nil {
		if refusal := (*call.Refusal)(nil); !errors.As(err, &refusal) {
			conn.Close() // after a refusal, exchange has already released or closed it
		}
		return nil, forwardRefusal(ctx, err)
	}
	if !response.Buffered {
		response.Body = call.OnClose(response.Body, conn.Close)
	}
	return response, nil
}

// unsentRefusal returns the refusal of a call of which nothing was sent that could run. The end of its context says nothing
// about the destination.
func unsentRefusal(ctx context.Context, err error) *call.Refusal {
	code := call.CodePeerFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = call.CodeDeadline
	case ctx.Err() != nil:
		code = call.CodeCanceled
	}
	return call.NewRefusal(code, call.NotRun, "%v", err)
}

// forwardRefusal converts an error of exchange into a refusal. Once sending the body has started, the call may
// have run.
func forwardRefusal(ctx context.Context, err error) *call.Refusal {
	var refusal *call.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, ErrNoReservation):
		return unsentRefusal(ctx, err)
	case errors.Is(err, httpconn.ErrBody):
		return call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "no answer by the deadline: %v", err)
	case ctx.Err() != nil:
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "canceled: %v", err)
	}
	return call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "%v", err)
}

func (f *Forwarder) exchange(conn *httpconn.Conn, to Destination, req *call.Request, wait Wait) (*call.Response, error) {
	head, err := f.head(to, req)
	if err != nil {
		conn.Close()
		return nil, err
	}
	commit := func() error {
		if wait.Commit == nil {
			return nil
		}
		if refusal := wait.Commit(); refusal != nil {
			conn.Close()
			return refusal
		}
		return nil
	}
	if req.Idempotent {
		if err := commit(); err != nil {
			return nil, err
		}
	}
	conn.SetDeadline(req.Deadline.Add(deadlineGrace))
	if err := conn.WriteHead(head); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	if !req.Idempotent {
		if err := f.awaitReservation(conn, req, wait); err != nil {
			return nil, err
		}
		if err := commit(); err != nil {
			return nil, err
		}
	}
	httpResponse, sent, err := conn.Exchange(req.Method, req.Body, head.Length)
	if err != nil {
		return nil, err
	}
	return f.readResponse(conn, req, httpResponse, sent)
}

func (f *Forwarder) head(to Destination, req *call.Request) (*httpconn.Head, error) {
	message := contextMessage(f.sender, to, req, time.Now())
	// The request line carries method and target, and the destination does not check keys.
	message.Method, message.Target, message.KeyHash = "", "", ""
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, call.NewRefusal(call.CodeInternal, call.NotRun, "%v", err)
	}
	header := make(http.Header, len(req.Header)+2)
	for name, values := range req.Header {
		header[name] = values
	}
	header[headerContext] = []string{base64.RawURLEncoding.EncodeToString(data)}
	head := &httpconn.Head{Method: req.Method, Target: req.Target, Host: req.Host, Header: header, Length: req.ContentLength}
	if !req.Idempotent {
		header[headerReserve] = []string{"1"}
		head.Length = -1
	}
	return head, nil
}

// statusQueued is the informational response to a reserved call that waits for a slot. Without it, a sender could not
// tell a destination that is busy from one that is gone.
const statusQueued = http.StatusEarlyHints

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitReservation returns nil once the destination has reserved a slot for the call. After a refusal the
// connection remains reusable.
func (f *Forwarder) awaitReservation(conn *httpconn.Conn, req *call.Request, wait Wait) error {
	start := time.Now()
	conn.SetDeadline(earlier(start.Add(min(wait.Contact, wait.Slot)), req.Deadline))
	httpResponse, err := conn.ReadResponse(req.Method)
	if err == nil && httpResponse.Status == statusQueued {
		conn.SetDeadline(earlier(start.Add(wait.Slot), req.Deadline))
		httpResponse, err = conn.ReadResponse(req.Method)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	if httpResponse.Status == http.StatusProcessing {
		conn.SetDeadline(req.Deadline.Add(deadlineGrace))
		return nil
	}
	if err := httpResponse.DiscardBody(maxRefusalBytes); err != nil {
		return fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	meta, err := unmarshalResponseMetadata(httpResponse.Header.Get(headerResponse))
	if err != nil || meta.GetRefusal() == nil || meta.CallId != req.CallID || meta.GetRefusal().GetMayHaveRun() {
		return fmt.Errorf("%w: status %d", ErrNoReservation, httpResponse.Status)
	}
	if err := conn.WriteBody(nil, -1); err != nil {
		conn.Close()
	} else {
		conn.Release(httpResponse)
	}
	return decodeRefusal(meta)
}

func (f *Forwarder) readResponse(conn *httpconn.Conn, req *call.Request, httpResponse *httpconn.Response, sent bool) (*call.Response, error) {
	meta, err := unmarshalResponseMetadata(httpResponse.Header.Get(headerResponse))
	if err != nil {
		return nil, err
	}
	if meta.CallId != req.CallID {
		return nil, fmt.Errorf("%w: answer of another call", ErrMalformed)
	}
	response := &call.Response{
		Status: httpResponse.Status, Header: httpResponse.Header,
		Body: httpResponse.Body, ContentLength: httpResponse.Length,
		Deadline: req.Deadline, Load: decodeLoad(meta.GetLoad()), Limits: decodeLimits(meta.GetLimits()),
	}
	if err := call.BufferResponse(response); err != nil {
		return nil, err
	}
	if response.Buffered {
		if sent {
			conn.Release(httpResponse)
		} else {
			conn.Close()
		}
	}
	if meta.GetRefusal() != nil {
		if !response.Buffered {
			_ = response.Body.Close()
			conn.Close()
		}
		return nil, decodeRefusal(meta)
	}
	return response, nil
}

func unmarshalResponseMetadata(encoded string) (*callv1.AnswerMetadata, error) {
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var m callv1.AnswerMetadata
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.CallId == "" {
		return nil, fmt.Errorf("%w: no call id", ErrMalformed)
	}
	return &m, nil
}

// AcceptHandler runs calls that other nodes forward. HandleForwarded must call reserved once, after it has
// reserved a slot and before it reads the body. If reserved returns an error, the call must not run.
type AcceptHandler interface {
	HandleForwarded(ctx context.Context, incoming *Incoming, reserved func() error) (*call.Response, error)
}

// Acceptor receives calls from Forwarders. It does not authenticate them, because the operators' settings
// contain no shared secret; the network between nodes is trusted. It is safe for concurrent use.
type Acceptor struct {
	handler AcceptHandler
}

// NewAcceptor returns an Acceptor. It must be the root handler of a server, because it handles every path.
func NewAcceptor(handler AcceptHandler) *Acceptor { return &Acceptor{handler: handler} }

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	incoming, err := decodeUnsignedContext(r, now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reserve := r.Header.Get(headerReserve) != ""
	incoming.Header = http.Header{}
	call.CopyHeader(incoming.Header, r.Header)
	incoming.Host = r.Host
	body := httpserver.NewBody(w, r)
	incoming.Body = body
	incoming.ContentLength = r.ContentLength
	controller := http.NewResponseController(w)
	_ = body.SetDeadline(incoming.Deadline.Add(deadlineGrace))
	incoming.AbortBody = func() {
		_ = body.SetDeadline(time.Now()) // fails only if the connection is closed
	}
	ctx, cancel := context.WithDeadline(r.Context(), incoming.Deadline)
	defer cancel()
	reserved := func() error { return nil }
	incoming.Queued = func() {}
	if reserve {
		if err := controller.EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		incoming.Queued = func() { w.WriteHeader(statusQueued) }
		reserved = func() error {
			w.WriteHeader(http.StatusProcessing)
			return bufferIncoming(&incoming.Request)
		}
	}
	var response *call.Response
	if err = bufferDeclared(&incoming.Request); err == nil {
		response, err = a.handler.HandleForwarded(ctx, incoming, reserved)
	}
	meta := &callv1.AnswerMetadata{CallId: incoming.CallID}
	if err != nil {
		refusal := call.AsRefusal(err)
		meta.Refusal = refusalMessage(refusal)
		if refusal.Load != nil {
			meta.Load = encodeLoad(*refusal.Load)
		}
		meta.Limits = encodeLimits(refusal.Limits)
		a.writeMetadata(w, meta)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(refusal.Status())
		if reserve {
			// The sender terminates the body that it withheld. Without this, net/http would read the
			// terminating chunk after it has stopped its background read of the connection, and panic.
			_ = controller.Flush()
			_ = body.SetDeadline(time.Now().Add(deadlineGrace))
			_, _ = io.Copy(io.Discard, body)
		}
		return
	}
	meta.Load, meta.Limits = encodeLoad(response.Load), encodeLimits(response.Limits)
	a.writeMetadata(w, meta)
	httpresponse.Write(w, r, response)
}

func (a *Acceptor) writeMetadata(w http.ResponseWriter, meta *callv1.AnswerMetadata) {
	data, err := proto.Marshal(meta)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerResponse] = []string{base64.RawURLEncoding.EncodeToString(data)}
}

// bufferIncoming buffers the body if it is small. A sender that gives up closes the connection, so a body that
// ends properly means that the sender wants the call to run.
func bufferIncoming(req *call.Request) error {
	data, rest, err := call.BufferBody(req.Body, -1)
	if err != nil {
		return err
	}
	if rest != nil {
		req.Body, req.ContentLength = rest, -1
		return nil
	}
	req.Body, req.ContentLength = call.BytesBody(data), int64(len(data))
	return nil
}

// bufferDeclared reads a body of a declared length that fits into memory, which its sender has sent with the head. Only after
// the end of a body does net/http watch the connection, so a call that waits with an unread one would outlast its sender.
func bufferDeclared(req *call.Request) error {
	if req.ContentLength <= 0 || req.ContentLength > call.BufferLimit {
		return nil
	}
	data, _, err := call.BufferBody(req.Body, req.ContentLength)
	if err != nil {
		return call.NewRefusal(call.CodeIncompleteBody, call.NotRun, "%v", err)
	}
	req.Body = call.BytesBody(data)
	return nil
}

// decodeUnsignedContext returns the call context of a request. Method and target are those of the request line.
func decodeUnsignedContext(r *http.Request, now time.Time) (*Incoming, error) {
	data, err := base64.RawURLEncoding.DecodeString(r.Header.Get(headerContext))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var m callv1.Context
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m.Method, m.Target = r.Method, r.RequestURI
	return incomingCall(&m, now)
}
