package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// BufferLimit is the size in bytes up to which request and response bodies are buffered in memory. A
// buffered request can be resent, and a truncated response is detected before any of it is sent on.
const BufferLimit = 64 << 10

// ErrTruncated means that a body ended before its declared length.
var ErrTruncated = errors.New("call: body is truncated")

// BufferBody reads the entire body and returns its bytes if it fits into BufferLimit. Otherwise it
// returns nil bytes and a reader that yields the complete body. length is the declared length, or -1.
func BufferBody(body io.Reader, length int64) ([]byte, io.Reader, error) {
	if body == nil || length == 0 {
		return []byte{}, nil, nil
	}
	if length > BufferLimit {
		return nil, body, nil
	}
	var buffer bytes.Buffer
	if length > 0 {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(body, BufferLimit+1))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if n > BufferLimit {
		return nil, io.MultiReader(&buffer, body), nil
	}
	if length > 0 && n != length {
		return nil, nil, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, n, length)
	}
	return buffer.Bytes(), nil, nil
}

// BytesBody returns a body that reads from data.
func BytesBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// BufferResponse replaces the body of a response with a copy in memory if it fits into BufferLimit. In
// that case, and on error, it closes the original body.
func BufferResponse(response *Response) error {
	original := response.Body
	data, rest, err := BufferBody(original, response.ContentLength)
	if err != nil {
		_ = original.Close()
		return err
	}
	if rest != nil {
		response.Body = struct {
			io.Reader
			io.Closer
		}{rest, original}
		return nil
	}
	_ = original.Close()
	response.Body = BytesBody(data)
	response.ContentLength = int64(len(data))
	response.Buffered = true
	return nil
}

// OutgoingBody passes a request body to an HTTP transport and records its read error, because the
// transport reports it only as text. It serves one request at a time.
type OutgoingBody struct {
	reader  io.Reader
	readErr atomic.Pointer[error]
}

// NewOutgoingBody returns a body that reads from reader; a nil reader means an empty body.
func NewOutgoingBody(reader io.Reader) *OutgoingBody {
	return &OutgoingBody{reader: reader}
}

// Read reads from the underlying reader and records any error other than io.EOF.
func (b *OutgoingBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readErr.Store(&err)
	}
	return n, err
}

// Close does nothing because the owner of the reader closes it.
func (b *OutgoingBody) Close() error { return nil }

// Err returns the recorded read error, or nil. It may be called while the transport is still reading.
func (b *OutgoingBody) Err() error {
	if err := b.readErr.Load(); err != nil {
		return *err
	}
	return nil
}
