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
	callv1 "github.com/cowslipglade/cowslipglade/rpc/call/v1"
)

// headerReserve asks the destination to reserve a slot and say so before the body is sent. The call does
// not run before its body arrives, an empty body being one chunk of no bytes. So a sender that has not
// begun the body knows that the call has not run, whatever happens to the destination or the network.
const headerReserve = "Cowslip-Reserve"

// Times of a Forwarder.
const (
	// forwardDialTimeout is far above a round trip in a region, about 2 ms, and short enough to go to
	// another destination within a target latency of 300 ms.
	forwardDialTimeout = 150 * time.Millisecond
	// forwardMaxIdle keeps about as many connections as calls lately ran at the same time; each costs both
	// nodes a descriptor and about 15 KB. It is below the idle timeout of Acceptor's server.
	forwardMaxIdle = 4 * time.Second
	// forwardIdleConnections are kept to each node.
	forwardIdleConnections = 64
	// forwardKeepAlive finds connections to a node that is cut off within 2 s.
	forwardKeepAlive = 700 * time.Millisecond
	// forwardUserTimeout bounds unacknowledged bytes as forwardKeepAlive bounds silence.
	forwardUserTimeout = 2 * time.Second
)

// maxRefusalBytes bounds the body of a refused reservation in bytes; an Acceptor sends none.
const maxRefusalBytes = 4 << 10

// AcceptorIdleTimeout is for the server that an Acceptor is mounted on.
const AcceptorIdleTimeout = 30 * time.Second

// ErrNoReservation means that the destination did not say in time that it has a slot.
var ErrNoReservation = errors.New("peer: no reservation")

// Forwarder hands calls to the nodes beside other upstreams. It sends each call exactly once, and one
// that is not idempotent only after the destination has reserved a slot. It is safe for concurrent use.
type Forwarder struct {
	sender string
	pool   *httpconn.Pool
}

// NewForwarder returns a Forwarder of the named node.
func NewForwarder(sender string) *Forwarder {
	return &Forwarder{sender: sender, pool: httpconn.NewPool(httpconn.Config{
		DialTimeout:       forwardDialTimeout,
		MaxIdleTime:       forwardMaxIdle,
		MaxHeadBytes:      maxResponseHeaderBytes,
		MaxIdlePerAddress: forwardIdleConnections,
		KeepAlive:         forwardKeepAlive,
		UserTimeout:       forwardUserTimeout,
	})}
}

// Sweep closes idle connections that are too old.
func (f *Forwarder) Sweep() { f.pool.Sweep() }

// Drop closes the idle connections to a node that has gone.
func (f *Forwarder) Drop(address string) { f.pool.Drop(address) }

// Close closes idle connections.
func (f *Forwarder) Close() { f.pool.Close() }

// Forward sends a call and returns the destination's answer. Errors are of type *call.Refusal. reserve
// bounds the wait for a slot of a call that is not idempotent.
func (f *Forwarder) Forward(ctx context.Context, to Destination, req *call.Request, reserve time.Duration) (*call.Response, error) {
	conn, err := f.pool.Get(ctx, to.Address, forwardMaxIdle)
	if err != nil {
		return nil, call.NewRefusal(call.CodePeerFailed, call.NotRun, "%v", err)
	}
	stop := context.AfterFunc(ctx, conn.Close)
	answer, err := f.exchange(conn, to, req, reserve)
	if err != nil {
		stop()
		if refusal := (*call.Refusal)(nil); !errors.As(err, &refusal) {
			conn.Close() // a refusal of the destination has left it to the pool
		}
		return nil, forwardRefusal(ctx, err)
	}
	if answer.Buffered {
		stop()
		return answer, nil
	}
	answer.Body = call.OnClose(answer.Body, func() { stop(); conn.Close() })
	return answer, nil
}

// forwardRefusal turns an error of the exchange into a refusal. After the body was begun the call may
// have run.
func forwardRefusal(ctx context.Context, err error) *call.Refusal {
	var refusal *call.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, ErrNoReservation):
		return call.NewRefusal(call.CodePeerFailed, call.NotRun, "%v", err)
	case errors.Is(err, httpconn.ErrBody):
		return call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "no answer by the deadline: %v", err)
	case ctx.Err() != nil:
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "canceled: %v", err)
	}
	return call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "%v", err)
}

func (f *Forwarder) exchange(conn *httpconn.Conn, to Destination, req *call.Request, reserve time.Duration) (*call.Response, error) {
	head, err := f.head(to, req)
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(req.Deadline.Add(bodyGrace))
	if err := conn.WriteHead(head); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	if !req.Idempotent {
		if err := f.awaitReservation(conn, req, reserve); err != nil {
			return nil, err
		}
	}
	response, sent, err := conn.Exchange(req.Method, req.Body, head.Length)
	if err != nil {
		return nil, err
	}
	return f.readAnswer(conn, req, response, sent)
}

func (f *Forwarder) head(to Destination, req *call.Request) (*httpconn.Head, error) {
	data, err := proto.Marshal(contextMessage(f.sender, to, req, time.Now()))
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

// awaitReservation returns nil once the destination holds a slot for the call. A refusal leaves the
// connection usable.
func (f *Forwarder) awaitReservation(conn *httpconn.Conn, req *call.Request, reserve time.Duration) error {
	limit := time.Now().Add(reserve)
	if req.Deadline.Before(limit) {
		limit = req.Deadline
	}
	conn.SetDeadline(limit)
	response, err := conn.ReadResponse(req.Method)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	if response.Status == http.StatusProcessing {
		conn.SetDeadline(req.Deadline.Add(bodyGrace))
		return nil
	}
	if err := response.DiscardBody(maxRefusalBytes); err != nil {
		return fmt.Errorf("%w: %w", ErrNoReservation, err)
	}
	meta, err := decodeMetadata(response.Header.Get(headerAnswer))
	if err != nil || meta.GetRefusal() == nil || meta.CallId != req.CallID || meta.GetRefusal().GetMayHaveRun() {
		return fmt.Errorf("%w: status %d", ErrNoReservation, response.Status)
	}
	if err := conn.WriteBody(nil, -1); err != nil {
		conn.Close()
	} else {
		conn.Release(response)
	}
	return decodeRefusal(meta)
}

func (f *Forwarder) readAnswer(conn *httpconn.Conn, req *call.Request, response *httpconn.Response, sent bool) (*call.Response, error) {
	meta, err := decodeMetadata(response.Header.Get(headerAnswer))
	if err != nil {
		return nil, err
	}
	if meta.CallId != req.CallID {
		return nil, fmt.Errorf("%w: answer of another call", ErrMalformed)
	}
	answer := &call.Response{
		Status: response.Status, Header: response.Header, Body: response.Body, ContentLength: response.Length,
		Deadline: req.Deadline, Load: decodeLoad(meta.GetLoad()),
	}
	if err := call.BufferResponse(answer); err != nil {
		return nil, err
	}
	if answer.Buffered {
		if sent {
			conn.Release(response)
		} else {
			conn.Close()
		}
	}
	if meta.GetRefusal() != nil {
		if !answer.Buffered {
			_ = answer.Body.Close()
			conn.Close()
		}
		return nil, decodeRefusal(meta)
	}
	return answer, nil
}

func decodeMetadata(encoded string) (*callv1.AnswerMetadata, error) {
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

// AcceptHandler runs calls that other nodes forward. reserved must be called once, when the call has its
// slot and before its body is read; after an error of it the call must not run.
type AcceptHandler interface {
	HandleForwarded(ctx context.Context, incoming *Incoming, reserved func() error) (*call.Response, error)
}

// Acceptor takes calls from Forwarders. It trusts the network between nodes, as the operators' settings
// hold no secret. It is safe for concurrent use.
type Acceptor struct {
	handler AcceptHandler
}

// NewAcceptor returns an Acceptor, which is the handler of a whole server.
func NewAcceptor(handler AcceptHandler) *Acceptor { return &Acceptor{handler: handler} }

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	incoming, err := parseContext(r.Header.Get(headerContext), now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reserve := r.Header.Get(headerReserve) != ""
	incoming.Header = http.Header{}
	call.CopyHeader(incoming.Header, r.Header)
	incoming.Host = r.Host
	incoming.Body = r.Body
	incoming.ContentLength = r.ContentLength
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(incoming.Deadline.Add(bodyGrace))
	incoming.AbortBody = func() {
		_ = controller.SetReadDeadline(time.Now()) // fails only when the connection has gone
	}
	ctx, cancel := context.WithDeadline(r.Context(), incoming.Deadline)
	defer cancel()
	reserved := func() error { return nil }
	if reserve {
		if err := controller.EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		reserved = func() error {
			w.WriteHeader(http.StatusProcessing)
			return bufferIncoming(&incoming.Request)
		}
	}
	answer, err := a.handler.HandleForwarded(ctx, incoming, reserved)
	meta := &callv1.AnswerMetadata{CallId: incoming.CallID}
	if err != nil {
		refusal := call.AsRefusal(err)
		meta.Refusal = refusalMessage(refusal)
		if refusal.Load != nil {
			meta.Load = encodeLoad(*refusal.Load)
		}
		a.writeMetadata(w, meta)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(refusal.Status())
		if reserve {
			// The sender ends the body that it now keeps. net/http would read that end after it has stopped
			// watching the connection, and panic.
			_ = controller.Flush()
			_ = controller.SetReadDeadline(time.Now().Add(bodyGrace))
			_, _ = io.Copy(io.Discard, r.Body)
		}
		return
	}
	meta.Load = encodeLoad(answer.Load)
	a.writeMetadata(w, meta)
	httpresponse.Write(w, r.Method, answer)
}

func (a *Acceptor) writeMetadata(w http.ResponseWriter, meta *callv1.AnswerMetadata) {
	data, err := proto.Marshal(meta)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerAnswer] = []string{base64.RawURLEncoding.EncodeToString(data)}
}

// bufferIncoming reads a body whole if it is small. A sender that gives up closes the connection, so a
// body that ends is the sender's order to run the call.
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

func parseContext(encoded string, now time.Time) (*Incoming, error) {
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return unmarshalContext(data, now)
}
