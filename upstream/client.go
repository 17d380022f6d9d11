// Package upstream is the interface of a node to the upstream on its VM: it receives the upstream's
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
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
)

// Errors of Client.Run. Each error that Run returns wraps one of them.
var (
	// ErrNotConnected means that no connection could be opened, so the call has not run.
	ErrNotConnected = errors.New("upstream: cannot connect")
	// ErrConnectionLost means that the connection failed before a complete response; the call may have run.
	ErrConnectionLost = errors.New("upstream: connection lost")
	// ErrRequestBody means that reading the caller's request body failed.
	ErrRequestBody = errors.New("upstream: request body broke off")
	// ErrCanceled means that the context ended before the call completed.
	ErrCanceled = errors.New("upstream: canceled")
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	idleConnections = 1000 // an upstream accepts up to 1,000 connections

	maxResponseHeaderBytes = 64 << 10
)

// Client runs calls on one upstream. It is safe for concurrent use.
type Client struct {
	transport httpconn.StrictTransport
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{transport: httpconn.StrictTransport{Transport: &http.Transport{
		DialContext:         httpconn.DialContext(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// With the default of 10 MB per call, one upstream could exhaust the node's memory.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Reachable reports whether the upstream at address accepts connections.
func Reachable(address string) bool {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Run sends one call to the upstream at address and returns the response, whose body the caller must close.
// token authorizes the upstream to make downstream calls on behalf of this call.
func (c *Client) Run(ctx context.Context, address, token string, req *call.Request) (*call.Response, error) {
	body := call.NewOutgoingBody(req.Body)
	httpRequest, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	c.setBody(httpRequest, req)
	setHeader(httpRequest.Header, token, req)
	httpResponse, err := c.transport.RoundTrip(httpRequest) //nolint:bodyclose // the returned Response carries the body
	if err != nil {
		return nil, convertError(ctx, err, body)
	}
	response := &call.Response{
		Status:        httpResponse.StatusCode,
		Header:        http.Header{},
		Body:          httpResponse.Body,
		ContentLength: httpResponse.ContentLength,
		Deadline:      req.Deadline,
	}
	call.CopyHeader(response.Header, httpResponse.Header)
	if req.Method == http.MethodHead || httpResponse.StatusCode == http.StatusNoContent || httpResponse.StatusCode == http.StatusNotModified {
		// These responses may declare the length of a body that they do not have.
		response.ContentLength = 0
	}
	if err := call.BufferResponse(response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return response, nil
}

// setBody prevents the transport from resending a request. When a connection breaks, the transport resends
// requests without a body, but never one whose body cannot be rewound. Resending an idempotent request would
// be a retry outside the retry budget, and a failed dial of the second attempt would hide that the first
// one may have run.
func (c *Client) setBody(httpRequest *http.Request, req *call.Request) {
	httpRequest.ContentLength = req.ContentLength
	if req.ContentLength == 0 && !transportMayResend(req) {
		httpRequest.Body = http.NoBody
	}
}

// transportMayResend reports whether http.Transport may resend the request if it has no body.
func transportMayResend(req *call.Request) bool {
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
