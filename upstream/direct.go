package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
)

const (
	// directDialTimeout far exceeds the time to connect within a VM and leaves time to try another upstream.
	directDialTimeout = 500 * time.Millisecond
	// directMaxIdleTime is below the shortest common idle timeout of servers, 10 s.
	directMaxIdleTime = 8 * time.Second
	// nonIdempotentMaxIdleTime is the maximum idle time of a connection that is reused for a non-idempotent
	// request.
	nonIdempotentMaxIdleTime = 3 * time.Second
	// directIdleConnections is the maximum number of idle connections to an upstream; a new one costs it about 1 ms.
	directIdleConnections = 256
	// deadlineGrace lets a response that the upstream sends at the deadline arrive.
	deadlineGrace = 100 * time.Millisecond
	// maxStrayResponses limits the responses to other requests that one call discards.
	maxStrayResponses = 2
	// maxStrayBytes limits the body of each of them; reading more costs more than a new connection.
	maxStrayBytes = 1 << 20
)

// Errors of DirectClient in addition to those of Client.
var (
	// ErrMalformedResponse means that the upstream did not send a complete response to the request.
	ErrMalformedResponse = errors.New("upstream: malformed answer")
)

// DirectClient runs calls on upstreams that speak plain HTTP/1.1, one call at a time per connection. It sends
// each call at most once. It is safe for concurrent use.
type DirectClient struct {
	pool *httpconn.Pool
	read ReadHeader
}

// ReadHeader returns the ID of the request that a response with the given header names, or an empty string, and whether
// the response tells that the request has not run.
type ReadHeader func(http.Header) (requestID string, notRun bool)

// NewDirectClient returns a client. onBroken, if not nil, is called with the address of an upstream that has closed an idle
// connection; it may have restarted.
func NewDirectClient(read ReadHeader, onBroken func(address string)) *DirectClient {
	return &DirectClient{read: read, pool: httpconn.NewPool(httpconn.Config{
		OnBroken:          onBroken,
		DialTimeout:       directDialTimeout,
		MaxIdleTime:       directMaxIdleTime,
		MaxHeadBytes:      maxResponseHeaderBytes,
		MaxIdlePerAddress: directIdleConnections,
	})}
}

// Opened returns the number of connections opened so far.
func (d *DirectClient) Opened() int64 { return d.pool.Opened() }

// Avoided returns how often an idle connection was not used since it had carried an earlier attempt of the request.
func (d *DirectClient) Avoided() int64 { return d.pool.Avoided() }

// Sweep closes connections that have exceeded their idle timeout.
func (d *DirectClient) Sweep() { d.pool.Sweep() }

// Drop closes the idle connections to an upstream that has departed.
func (d *DirectClient) Drop(address string) { d.pool.Drop(address) }

// Close closes idle connections.
func (d *DirectClient) Close() { d.pool.Close() }

// Run sends a call and returns the upstream's response with its complete, unmodified header. An error wraps
// ErrNotConnected if nothing was sent; after any other error the upstream may have run the call.
func (d *DirectClient) Run(ctx context.Context, address string, req *call.Request) (*call.Response, error) {
	maxIdleTime := directMaxIdleTime
	if !req.Idempotent {
		maxIdleTime = nonIdempotentMaxIdleTime
	}
	if req.RequestID == "" {
		maxIdleTime = 0 // on a reused connection, its response could not be told from another
	}
	conn, err := d.pool.GetFor(ctx, address, maxIdleTime, req.RequestID)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	if ctx.Err() != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, ctx.Err())
	}
	conn.SetDeadline(req.Deadline.Add(deadlineGrace))
	conn.CloseAfter(ctx)
	response, err := d.exchange(conn, req)
	if err != nil {
		conn.Close()
		return nil, directError(ctx, err)
	}
	if !response.Buffered {
		response.Body = call.OnClose(response.Body, conn.Close)
	}
	return response, nil
}

func (d *DirectClient) exchange(conn *httpconn.Conn, req *call.Request) (*call.Response, error) {
	head := httpconn.Head{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header, Length: req.ContentLength}
	if err := conn.WriteHead(&head); err != nil {
		return nil, err
	}
	httpResponse, sent, err := conn.Exchange(req.Method, req.Body, req.ContentLength)
	for stray := 0; err == nil && !d.answers(httpResponse, conn.Reused || stray > 0, req.RequestID); stray++ {
		if stray == maxStrayResponses {
			return nil, fmt.Errorf("%w: answers of other requests", ErrMalformedResponse)
		}
		if err = httpResponse.DiscardBody(maxStrayBytes); err != nil {
			break
		}
		httpResponse, err = conn.ReadFinal(req.Method)
	}
	if err != nil {
		return nil, err
	}
	response := &call.Response{
		Status: httpResponse.Status, Header: httpResponse.Header,
		Body: httpResponse.Body, ContentLength: httpResponse.Length,
		Deadline: req.Deadline,
	}
	if err := call.BufferResponse(response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedResponse, err)
	}
	if response.Buffered {
		if d.mayBeResent(response) {
			conn.Remember(req.RequestID, req.Deadline.Add(deadlineGrace))
		}
		if sent {
			conn.Release(httpResponse)
		} else {
			conn.Close()
		}
	}
	return response, nil
}

// mayBeResent reports whether the request may be sent again after a response.
func (d *DirectClient) mayBeResent(response *call.Response) bool {
	_, notRun := d.read(response.Header)
	return notRun || response.Status >= http.StatusBadRequest
}

// answers reports whether a response belongs to the request. Upstreams may refuse a request without naming it. Only
// the first response of a connection can be attributed then: a later one may repeat a refusal of an earlier request.
func (d *DirectClient) answers(response *httpconn.Response, later bool, requestID string) bool {
	id, _ := d.read(response.Header)
	return id == requestID || id == "" && !later
}

// directError wraps an error of exchange in the error that identifies its cause.
func directError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, httpconn.ErrBody):
		return fmt.Errorf("%w: %w", ErrRequestBody, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ErrCanceled, err)
	case errors.Is(err, ErrMalformedResponse), errors.Is(err, httpconn.ErrMalformed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrConnectionLost, err)
}

// Probe requests the health path of an upstream and returns the status and header of the response.
func (d *DirectClient) Probe(ctx context.Context, address, path string) (int, http.Header, error) {
	conn, err := d.pool.Get(ctx, address, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	conn.CloseAfter(ctx)
	head := httpconn.Head{Method: http.MethodGet, Target: path, Host: address, Header: http.Header{}}
	if err := conn.WriteHead(&head); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	httpResponse, _, err := conn.Exchange(http.MethodGet, nil, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return httpResponse.Status, httpResponse.Header, nil
}

// Accepts reports whether the upstream accepts a new connection.
func (d *DirectClient) Accepts(ctx context.Context, address string) bool {
	conn, err := d.pool.Get(ctx, address, 0)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
