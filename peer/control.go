package peer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// maxControlBytes bounds one control message; the largest is a configuration snapshot of 1 MB.
const maxControlBytes = 4 << 20

const controlTimeout = 2 * time.Second

var (
	labelControlRequest = []byte("control-request")
	labelControlAnswer  = []byte("control-answer")
)

// NewControlClient returns an HTTP client for twirp calls to other nodes. It signs requests and
// refuses answers that no peer signed. It connects from the local address and is safe for concurrent
// use.
func NewControlClient(local netip.Addr, keyring *signature.Keyring) *http.Client {
	return &http.Client{
		Timeout: controlTimeout,
		Transport: &controlTransport{
			keyring: keyring,
			next: &http.Transport{
				DialContext:         dialer(local).DialContext,
				MaxIdleConnsPerHost: 1,
				MaxIdleConns:        64, // control goes to changing peers; few connections are used again
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			},
		},
	}
}

type controlTransport struct {
	keyring *signature.Keyring
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *controlTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readControl(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(headerSignature, t.keyring.Sign(labelControlRequest, []byte(r.URL.Path), body))
	response, err := t.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	answer, err := readControl(response.Body)
	if err != nil {
		return nil, err
	}
	if err := t.keyring.Verify(response.Header.Get(headerSignature), labelControlAnswer, []byte(r.URL.Path), answer); err != nil {
		return nil, fmt.Errorf("%w: answer of %s", ErrUnauthenticated, r.URL.Host)
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

// readControl reads and closes a body of bounded size.
func readControl(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxControlBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(data) > maxControlBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, maxControlBytes)
	}
	return data, nil
}

// RequireSignature lets only messages that a peer signed through to next, and signs its answers.
func RequireSignature(keyring *signature.Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readControl(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := keyring.Verify(r.Header.Get(headerSignature), labelControlRequest, []byte(r.URL.Path), body); err != nil {
			http.Error(w, ErrUnauthenticated.Error(), http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &bufferedWriter{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		answer := buffered.body.Bytes()
		w.Header().Set(headerSignature, keyring.Sign(labelControlAnswer, []byte(r.URL.Path), answer))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(answer)
	})
}

// bufferedWriter holds an answer until it can be signed.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedWriter) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedWriter) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedWriter) Write(p []byte) (int, error) { return b.body.Write(p) }
