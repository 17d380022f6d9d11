package httpconn

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// StrictTransport is an http.Transport that rejects the malformed responses that net/http accepts, with an error wrapping
// ErrMalformed. It doesn't see a transfer coding in a response of HTTP/1.0, which net/http removes.
type StrictTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		return checkFields(http.Header(header))
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	checkTrailers(response)
	return response, nil
}
