package peer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/httpconn"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// maxControlBodyBytes limits the body of a control message; the largest is a configuration snapshot of 1 MB.
const maxControlBodyBytes = 4 << 20

const controlTimeout = 2 * time.Second

var (
	labelControlRequest  = []byte("control-request")
	labelControlResponse = []byte("control-answer")
)

// NewControlClient returns an HTTP client for twirp calls to other nodes. It signs requests, rejects
// responses that no peer signed, and connects from the local address. It is safe for concurrent use.
func NewControlClient(local netip.Addr, keyring *signature.Keyring) *http.Client {
	return &http.Client{
		Timeout: controlTimeout,
		Transport: &signingTransport{
			keyring: keyring,
			next: httpconn.StrictTransport{Transport: &http.Transport{
				DialContext:         dialer(local).DialContext,
				MaxIdleConnsPerHost: 1,
				MaxIdleConns:        64, // control calls go to varying peers, so few connections are reused
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			}},
		},
	}
}

type signingTransport struct {
	keyring *signature.Keyring
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readControlBody(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(headerSignature, t.keyring.Sign(labelControlRequest, []byte(r.URL.Path), body))
	httpResponse, err := t.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	response, err := readControlBody(httpResponse.Body)
	if err != nil {
		return nil, err
	}
	if err := t.keyring.Verify(httpResponse.Header.Get(headerSignature), labelControlResponse, []byte(r.URL.Path), response); err != nil {
		return nil, fmt.Errorf("%w: answer of %s", ErrUnauthenticated, r.URL.Host)
	}
	httpResponse.Body = io.NopCloser(bytes.NewReader(response))
	return httpResponse, nil
}

// readControlBody reads and closes a body of limited size.
func readControlBody(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxControlBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(data) > maxControlBodyBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, maxControlBodyBytes)
	}
	return data, nil
}

// RequireSignature returns a handler that passes only requests signed by a peer to next and signs the
// responses.
func RequireSignature(keyring *signature.Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readControlBody(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := keyring.Verify(r.Header.Get(headerSignature), labelControlRequest, []byte(r.URL.Path), body); err != nil {
			http.Error(w, ErrUnauthenticated.Error(), http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &responseBuffer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		response := buffered.body.Bytes()
		w.Header().Set(headerSignature, keyring.Sign(labelControlResponse, []byte(r.URL.Path), response))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(response)
	})
}

// responseBuffer buffers a response so that it can be signed.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
