package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// BufferLimit is the size up to which requests and answers are held whole. A buffered request can be
// sent again, and a buffered answer that breaks off becomes a clean error.
const BufferLimit = 64 << 10

// ErrTruncated means that a body ended before its announced length.
var ErrTruncated = errors.New("call: body is truncated")

// BufferBody reads body whole when it fits into BufferLimit and returns its bytes. Otherwise it
// returns nil bytes and a reader that yields the complete body. length is the announced length, or -1.
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

// BytesBody returns a body over data.
func BytesBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// BufferResponse replaces the body of an answer by bytes in memory when it fits into BufferLimit. It
// closes the original body in that case, and also on error.
func BufferResponse(answer *Response) error {
	original := answer.Body
	data, rest, err := BufferBody(original, answer.ContentLength)
	if err != nil {
		_ = original.Close()
		return err
	}
	if rest != nil {
		answer.Body = struct {
			io.Reader
			io.Closer
		}{rest, original}
		return nil
	}
	_ = original.Close()
	answer.Body = BytesBody(data)
	answer.ContentLength = int64(len(data))
	answer.Buffered = true
	return nil
}

// OutgoingBody passes a request body to an HTTP transport and records its read error, which the
// transport reports only as text. It is used by one request at a time.
type OutgoingBody struct {
	reader io.Reader
	failed atomic.Pointer[error]
}

// NewOutgoingBody returns a body that reads from reader; nil means empty.
func NewOutgoingBody(reader io.Reader) *OutgoingBody {
	return &OutgoingBody{reader: reader}
}

// Read passes the body through.
func (b *OutgoingBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return n, err
}

// Close does nothing; the owner of the reader closes it.
func (b *OutgoingBody) Close() error { return nil }

// Err returns the read error, or nil. The transport may still be reading when it is called.
func (b *OutgoingBody) Err() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}
