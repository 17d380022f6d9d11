package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ReplayBody makes a request body available to several attempts. A small body is buffered; a larger one is
// streamed and can be read only once. A destination reads the body only after it has admitted the call, so a
// refused attempt leaves the stream for the next one. Attempts may run concurrently only if the body is
// buffered.
type ReplayBody struct {
	data   []byte
	stream io.Reader

	mu       sync.Mutex
	consumed bool // a part of stream has been read
	attempt  int  // the attempt that may read stream
}

// errAttemptEnded is returned to an attempt that reads the stream after it was superseded.
var errAttemptEnded = errors.New("call: request body was passed to a later attempt")

// attemptBody is the stream of a ReplayBody for one attempt. A transport may still read it after the
// attempt has ended.
type attemptBody struct {
	body    *ReplayBody
	attempt int
}

// Read reads from the stream unless a later attempt has superseded this one.
func (a attemptBody) Read(p []byte) (int, error) {
	a.body.mu.Lock()
	ended := a.attempt != a.body.attempt
	a.body.consumed = a.body.consumed || !ended
	a.body.mu.Unlock()
	if ended {
		return 0, errAttemptEnded
	}
	return a.body.stream.Read(p)
}

// NewReplayBody returns the body of a request and buffers it if it fits into BufferLimit. Errors wrap
// ErrTruncated.
func NewReplayBody(req *Request) (*ReplayBody, error) {
	data, stream, err := BufferBody(req.Body, req.ContentLength)
	if err != nil {
		return nil, err
	}
	return &ReplayBody{data: data, stream: stream}, nil
}

// Replayable reports whether another attempt can read the complete body. If it returns true for a streamed
// body, the previous attempt can no longer read it.
func (b *ReplayBody) Replayable() bool {
	if b.stream == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return false
	}
	b.attempt++
	return true
}

// Attach returns a copy of the request with the body for the next attempt.
func (b *ReplayBody) Attach(req *Request) *Request {
	attempt := *req
	if b.stream != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		attempt.Body = attemptBody{b, b.attempt}
		return &attempt
	}
	attempt.ContentLength = int64(len(b.data))
	attempt.Body = bytes.NewReader(b.data)
	return &attempt
}

// Data returns the body if it is buffered, otherwise nil.
func (b *ReplayBody) Data() []byte { return b.data }

// Buffered reports whether the body is in memory, so that any number of attempts can read it.
func (b *ReplayBody) Buffered() bool { return b.stream == nil }

// Beginning reads the first bytes of a body that is not buffered and that no attempt has read yet. They remain part of it.
// Errors wrap ErrTruncated.
func (b *ReplayBody) Beginning(bytesWanted int) ([]byte, error) {
	beginning := make([]byte, bytesWanted)
	n, err := io.ReadFull(b.stream, beginning)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	b.stream = io.MultiReader(bytes.NewReader(beginning[:n]), b.stream)
	return beginning[:n], nil
}

// Buffer reads a body that no attempt has read yet, and buffers it if it has at most limit bytes. Errors wrap ErrTruncated.
func (b *ReplayBody) Buffer(limit int) error {
	if b.stream == nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.stream, int64(limit)+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if len(data) > limit {
		b.stream = io.MultiReader(bytes.NewReader(data), b.stream)
		return nil
	}
	b.data, b.stream = data, nil
	return nil
}

// OnClose wraps body so that each Close is followed by a call to after.
func OnClose(body io.ReadCloser, after func()) io.ReadCloser {
	return &closeFuncBody{ReadCloser: body, after: after}
}

type closeFuncBody struct {
	io.ReadCloser
	after func()
}

// Close closes the body, then calls after.
func (b *closeFuncBody) Close() error {
	err := b.ReadCloser.Close()
	b.after()
	return err
}
