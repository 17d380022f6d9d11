package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// checkHead returns an error wrapping ErrMalformed if the head of a response, interim or final, violates HTTP/1.x although
// net/http accepts it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrMalformed, response.Proto)
	}
	// Switching protocols is malformed because no request asks for it: what follows is not HTTP.
	if status := response.StatusCode; status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrMalformed, response.Status)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("%w: control byte in the reason phrase %q", ErrMalformed, response.Status)
	}
	return checkFields(response.Header)
}

// checkFields returns an error wrapping ErrMalformed for a field name that is not a token. net/http accepts blanks in
// names: "Content-Length : 5" is a field that does not frame the body.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// checkedBody is the body of a response in chunks. It reports malformed trailers in place of the end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// checkTrailers lets the body of a response report malformed trailers.
func checkTrailers(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{response.Body, response}
	}
}

// checkHTTP10 returns an error wrapping ErrMalformed if the next response is one of HTTP/1.0 with a transfer coding, which
// makes its framing faulty (RFC 9112, section 6.1). net/http removes the field and returns the encoded body, so the head is
// read here first. The connection must not be reused after it, because its reader is replaced.
func (c *Conn) checkHTTP10() error {
	const version = "HTTP/1.0 "
	if start, _ := c.reader.Peek(len(version)); string(start) != version {
		return nil
	}
	var read bytes.Buffer
	head := textproto.NewReader(bufio.NewReader(io.TeeReader(c.reader, &read)))
	_, _ = head.ReadLine()
	fields, _ := head.ReadMIMEHeader() // the parser of net/http meets the same errors
	c.reader = bufio.NewReaderSize(io.MultiReader(&read, c.reader), bufferSize)
	if len(fields["Transfer-Encoding"]) > 0 {
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	}
	return nil
}
