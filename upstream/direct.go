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
	// directDialTimeout is far above a connection on one VM and leaves time for another upstream.
	directDialTimeout = 500 * time.Millisecond
	// directMaxIdle is below the shortest usual idle timeout of servers, 10 s.
	directMaxIdle = 8 * time.Second
	// onceMaxIdle is the age up to which an idle connection may carry a request that must not be repeated.
	onceMaxIdle = 3 * time.Second
	// directIdleConnections are kept to the upstream; a new one costs the upstream about 1 ms.
	directIdleConnections = 256
	// deadlineGrace lets an upstream's own answer at the deadline arrive.
	deadlineGrace = 100 * time.Millisecond
	// maxStrayAnswers bounds the answers to other requests that are skipped on one connection.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of each of them in bytes. A larger one costs more than a new connection.
	maxStrayBytes = 1 << 20
)

// Errors of Direct besides those of Client.
var (
	// ErrMalformedAnswer means that the upstream sent something that is not a complete answer.
	ErrMalformedAnswer = errors.New("upstream: malformed answer")
)

// Direct runs calls at upstreams that speak plain HTTP/1.1, one call at a time on each connection. It
// sends each call exactly once. It is safe for concurrent use.
type Direct struct {
	pool *httpconn.Pool
	// belongs tells whether an answer with the header is that of the request.
	belongs func(answer http.Header, requestID string) bool
}

// NewDirect returns a client. belongs tells whether an answer's header names the request.
func NewDirect(belongs func(answer http.Header, requestID string) bool) *Direct {
	return &Direct{belongs: belongs, pool: httpconn.NewPool(httpconn.Config{
		DialTimeout:       directDialTimeout,
		MaxIdleTime:       directMaxIdle,
		MaxHeadBytes:      maxResponseHeaderBytes,
		MaxIdlePerAddress: directIdleConnections,
	})}
}

// Opened returns the number of connections opened so far.
func (d *Direct) Opened() int64 { return d.pool.Opened() }

// Sweep closes idle connections that are too old.
func (d *Direct) Sweep() { d.pool.Sweep() }

// Drop closes the idle connections to an upstream that has gone.
func (d *Direct) Drop(address string) { d.pool.Drop(address) }

// Close closes idle connections.
func (d *Direct) Close() { d.pool.Close() }

// Run sends a call and returns the upstream's answer, whose header is complete and unchanged. Errors wrap
// ErrNotConnected when nothing was sent; after any other the upstream may have run the call.
func (d *Direct) Run(ctx context.Context, address string, req *call.Request) (*call.Response, error) {
	maxIdle := directMaxIdle
	if !req.Idempotent {
		maxIdle = onceMaxIdle
	}
	conn, err := d.pool.Get(ctx, address, maxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	if ctx.Err() != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, ctx.Err())
	}
	conn.SetDeadline(req.Deadline.Add(deadlineGrace))
	stop := context.AfterFunc(ctx, conn.Close)
	answer, err := d.exchange(conn, req)
	if err != nil {
		stop()
		conn.Close()
		return nil, directError(ctx, err)
	}
	if answer.Buffered {
		stop()
		return answer, nil
	}
	answer.Body = call.OnClose(answer.Body, func() { stop(); conn.Close() })
	return answer, nil
}

func (d *Direct) exchange(conn *httpconn.Conn, req *call.Request) (*call.Response, error) {
	head := httpconn.Head{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header, Length: req.ContentLength}
	if err := conn.WriteHead(&head); err != nil {
		return nil, err
	}
	response, sent, err := conn.Exchange(req.Method, req.Body, req.ContentLength)
	for stray := 0; err == nil && !d.belongs(response.Header, req.RequestID); stray++ {
		if stray == maxStrayAnswers {
			return nil, fmt.Errorf("%w: answers of other requests", ErrMalformedAnswer)
		}
		if err = response.DiscardBody(maxStrayBytes); err != nil {
			break
		}
		response, err = conn.ReadResponse(req.Method)
	}
	if err != nil {
		return nil, err
	}
	answer := &call.Response{
		Status: response.Status, Header: response.Header, Body: response.Body, ContentLength: response.Length,
		Deadline: req.Deadline,
	}
	if err := call.BufferResponse(answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	if answer.Buffered {
		if sent {
			conn.Release(response)
		} else {
			conn.Close()
		}
	}
	return answer, nil
}

// directError names the cause that the caller acts on.
func directError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, httpconn.ErrBody):
		return fmt.Errorf("%w: %w", ErrRequestBody, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ErrCanceled, err)
	case errors.Is(err, ErrMalformedAnswer), errors.Is(err, httpconn.ErrMalformed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrConnectionLost, err)
}

// Probe asks the health path of an upstream. It returns the answer's status and header.
func (d *Direct) Probe(ctx context.Context, address, path string) (int, http.Header, error) {
	conn, err := d.pool.Get(ctx, address, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	head := httpconn.Head{Method: http.MethodGet, Target: path, Host: address, Header: http.Header{}}
	if err := conn.WriteHead(&head); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	response, _, err := conn.Exchange(http.MethodGet, nil, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return response.Status, response.Header, nil
}

// Accepts tells whether the upstream takes a new connection.
func (d *Direct) Accepts(ctx context.Context, address string) bool {
	conn, err := d.pool.Get(ctx, address, 0)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
