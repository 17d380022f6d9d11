// Package upstream is the node's side of the upstream on its own VM: it takes the upstream's
// announcements and downstream calls, and runs calls on it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Errors of Client.Run. Each call that fails wraps one of them.
var (
	// ErrNotConnected means that no connection could be made, so that the call has not run.
	ErrNotConnected = errors.New("upstream: cannot connect")
	// ErrConnectionLost means that the upstream closed the connection while it ran the call.
	ErrConnectionLost = errors.New("upstream: connection lost")
	// ErrRequestBody means that the caller's body broke off.
	ErrRequestBody = errors.New("upstream: request body broke off")
	// ErrCanceled means that the context ended first.
	ErrCanceled = errors.New("upstream: canceled")
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	idleConnections = 1000 // an upstream accepts up to 1,000 connections today

	maxResponseHeaderBytes = 64 << 10
)

// Client runs calls on one upstream. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The default of 10 MB for each call would let one upstream exhaust the node's memory.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Reachable tells whether the upstream at address accepts connections.
func Reachable(address string) bool {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Run sends one call to the upstream at address and returns its answer. token lets the upstream make
// downstream calls for this one. The caller closes the answer's body.
func (c *Client) Run(ctx context.Context, address, token string, req *call.Request) (*call.Response, error) {
	body := call.NewOutgoingBody(req.Body)
	httpRequest, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	c.setBody(httpRequest, req)
	setHeader(httpRequest.Header, token, req)
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return nil, convertError(ctx, err, body)
	}
	if response.StatusCode < http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: answer has status %d", ErrConnectionLost, response.StatusCode)
	}
	answer := &call.Response{
		Status:        response.StatusCode,
		Header:        http.Header{},
		Body:          response.Body,
		ContentLength: response.ContentLength,
		Deadline:      req.Deadline,
	}
	call.CopyHeader(answer.Header, response.Header)
	if req.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		// These answers announce the length of a body that they do not have.
		answer.ContentLength = 0
	}
	if err := call.BufferResponse(answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return answer, nil
}

// setBody keeps the transport from sending a request twice: it replays requests that have no body when
// their connection breaks, but never one whose body cannot be rewound. A replay of an idempotent request
// would be a retry outside its budget, and its failure to connect would hide that the first one ran.
func (c *Client) setBody(httpRequest *http.Request, req *call.Request) {
	httpRequest.ContentLength = req.ContentLength
	if req.ContentLength == 0 && !replayable(req) {
		httpRequest.Body = http.NoBody
	}
}

// replayable tells whether http.Transport would send a request without a body again.
func replayable(req *call.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(req.Header["Idempotency-Key"]) > 0 || len(req.Header["X-Idempotency-Key"]) > 0
}

func setHeader(h http.Header, token string, req *call.Request) {
	call.CopyHeader(h, req.Header)
	h[call.HeaderCall] = []string{token}
	h[call.HeaderRequestID] = []string{req.RequestID}
	h[call.HeaderImportance] = []string{req.Importance.String()}
	if req.Workspace != "" {
		h[call.HeaderWorkspace] = []string{req.Workspace}
	}
	timeout := max(time.Until(req.Deadline).Milliseconds(), 1)
	h[call.HeaderTimeout] = []string{strconv.FormatInt(timeout, 10)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
}

func convertError(ctx context.Context, err error, body *call.OutgoingBody) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	case body.Err() != nil:
		return fmt.Errorf("%w: %w", ErrRequestBody, body.Err())
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ErrCanceled, ctx.Err())
	default:
		return fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
}
