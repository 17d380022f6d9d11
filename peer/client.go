package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// Connection settings of a Client.
const (
	// idleConnectionsPerPeer covers the calls in flight to one upstream, so that bursts do not have to
	// open new connections (about 1 ms each).
	idleConnectionsPerPeer = 256
	idleTimeout            = 90 * time.Second
	dialTimeout            = time.Second
	// maxResponseHeaderBytes exceeds the limit for upstream responses because peers add metadata.
	maxResponseHeaderBytes = 128 << 10
	bufferBytes            = 16 << 10
	// continueTimeout is how long a body that cannot be resent is withheld until the destination accepts
	// the call. It is far above the delay of a work queue. After it the body is sent, and a refusal can no
	// longer be retried.
	continueTimeout = time.Second
)

// Client forwards calls to other nodes. It is safe for concurrent use.
type Client struct {
	sender    string
	keyring   *signature.Keyring
	transport httpconn.StrictTransport
	now       func() time.Time
}

// NewClient returns a client that identifies itself as sender and connects from the local address.
func NewClient(sender string, local netip.Addr, keyring *signature.Keyring) *Client {
	return &Client{
		sender:  sender,
		keyring: keyring,
		now:     time.Now,
		transport: httpconn.StrictTransport{Transport: &http.Transport{
			DialContext:         dialer(local).DialContext,
			MaxIdleConnsPerHost: idleConnectionsPerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			WriteBufferSize:     bufferBytes,
			ReadBufferSize:      bufferBytes,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			ExpectContinueTimeout:  continueTimeout,
		}},
	}
}

// dialer returns a dialer that connects from the local address.
func dialer(local netip.Addr) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Forward sends one call and returns the response, whose body the caller must close. The error is always a
// *call.Refusal: either one that the destination sent, or a local one that states whether the call may have
// run.
func (c *Client) Forward(ctx context.Context, d Destination, req *call.Request) (*call.Response, error) {
	httpRequest, sent, err := c.newRequest(ctx, d, req)
	if err != nil {
		return nil, call.NewRefusal(call.CodeInternal, call.NotRun, "encode call: %v", err)
	}
	httpResponse, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return nil, c.transportRefusal(ctx, d, err, sent)
	}
	return c.readResponse(httpResponse, d, req)
}

func (c *Client) newRequest(ctx context.Context, d Destination, req *call.Request) (*http.Request, *call.OutgoingBody, error) {
	encoded, sign, err := encodeContext(c.keyring, c.sender, d, req, c.now())
	if err != nil {
		return nil, nil, err
	}
	sent := call.NewOutgoingBody(req.Body)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address+Path, sent)
	if err != nil {
		return nil, nil, err
	}
	httpRequest.ContentLength = req.ContentLength
	if req.ContentLength == 0 {
		httpRequest.Body = http.NoBody
	}
	// The transport resends a request without a body only for idempotent methods or if it has one of
	// renamedHeaders; a POST without them is sent once.
	call.CopyHeader(httpRequest.Header, req.Header)
	if req.ContentLength < 0 || req.ContentLength > call.BufferLimit {
		httpRequest.Header["Expect"] = []string{"100-continue"}
	}
	renameHeaders(httpRequest.Header)
	httpRequest.Header[headerContext] = []string{encoded}
	httpRequest.Header[headerSignature] = []string{sign}
	if _, ok := httpRequest.Header["User-Agent"]; !ok {
		httpRequest.Header["User-Agent"] = []string{""}
	}
	return httpRequest, sent, nil
}

// transportRefusal converts the error of a round trip into a refusal. Only a failed dial proves that nothing
// reached the destination.
func (c *Client) transportRefusal(ctx context.Context, d Destination, err error, sent *call.OutgoingBody) error {
	var tooLarge *http.MaxBytesError
	if errors.As(sent.Err(), &tooLarge) {
		return call.NewRefusal(call.CodeBodyTooLarge, call.MayHaveRun, "body is over the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(sent.Err(), os.ErrDeadlineExceeded) {
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "request body did not arrive within the deadline")
	}
	if sent.Err() != nil {
		return call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "request body ended early: %v", sent.Err())
	}
	outcome := call.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		outcome = call.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, outcome, "no answer from %s within the deadline", d.Address)
	case ctx.Err() != nil:
		return call.NewRefusal(call.CodeCanceled, outcome, "canceled while waiting for %s", d.Address)
	default:
		return call.NewRefusal(call.CodePeerFailed, outcome, "call to %s failed: %v", d.Address, err)
	}
}

func (c *Client) readResponse(httpResponse *http.Response, d Destination, req *call.Request) (*call.Response, error) {
	m, err := decodeResponseMetadata(c.keyring,
		httpResponse.Header.Get(headerResponse), httpResponse.Header.Get(headerSignature))
	if err != nil {
		_ = httpResponse.Body.Close()
		return nil, call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "answer of %s: %v", d.Address, err)
	}
	if m.GetCallId() != req.CallID {
		_ = httpResponse.Body.Close()
		return nil, call.NewRefusal(call.CodePeerFailed, call.MayHaveRun,
			"answer of %s belongs to call %s, not to %s", d.Address, m.GetCallId(), req.CallID)
	}
	if m.GetRefusal() != nil {
		// Read the body to its end so that the connection can be reused.
		_, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, bufferBytes))
		_ = httpResponse.Body.Close()
		if err != nil {
			return nil, call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "refusal of %s broke off: %v", d.Address, err)
		}
		return nil, decodeRefusal(m)
	}
	response := &call.Response{
		Status:        httpResponse.StatusCode,
		Header:        http.Header{},
		Body:          httpResponse.Body,
		ContentLength: httpResponse.ContentLength,
		Deadline:      req.Deadline,
		Load:          decodeLoad(m.GetLoad()),
		UnspentBudget: int(m.GetUnspentBudget()),
	}
	call.CopyHeader(response.Header, httpResponse.Header)
	if err := call.BufferResponse(response); err != nil {
		return nil, call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "answer of %s broke off: %v", d.Address, err)
	}
	return response, nil
}

// renamedHeaders maps the headers that make http.Transport treat any request as safe to resend to the names
// used between nodes, because a call must reach its destination at most once.
var renamedHeaders = map[string]string{
	"Idempotency-Key":   "Forwarded-Idempotency-Key",
	"X-Idempotency-Key": "Forwarded-X-Idempotency-Key",
}

func renameHeaders(h http.Header) {
	for name, renamed := range renamedHeaders {
		if values, ok := h[name]; ok {
			h[renamed] = values
			delete(h, name)
		}
	}
}

func restoreHeaders(h http.Header) {
	for name, renamed := range renamedHeaders {
		if values, ok := h[renamed]; ok {
			h[name] = values
			delete(h, renamed)
		}
	}
}
