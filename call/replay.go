package call

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// ReplayBody holds a request body for several attempts when it is small, or passes it once. A destination
// asks for the body only when it takes the call, so a refused attempt leaves the body for another. Attempts
// may run at the same time only when the body is held.
type ReplayBody struct {
	data   []byte
	stream io.Reader

	mu      sync.Mutex
	read    bool // a part of stream has been read
	attempt int  // that may read stream
}

// errAttemptOver is what an attempt reads that has been given up.
var errAttemptOver = errors.New("call: the body has gone to another attempt")

// attemptBody is the stream of a ReplayBody for one attempt. A transport may read it after the attempt
// has ended.
type attemptBody struct {
	body    *ReplayBody
	attempt int
}

// Read reads from the stream unless the attempt has been given up.
func (a attemptBody) Read(p []byte) (int, error) {
	a.body.mu.Lock()
	over := a.attempt != a.body.attempt
	a.body.read = a.body.read || !over
	a.body.mu.Unlock()
	if over {
		return 0, errAttemptOver
	}
	return a.body.stream.Read(p)
}

// NewReplayBody reads a small body of a request whole. The error wraps ErrTruncated.
func NewReplayBody(req *Request) (*ReplayBody, error) {
	data, stream, err := BufferBody(req.Body, req.ContentLength)
	if err != nil {
		return nil, err
	}
	return &ReplayBody{data: data, stream: stream}, nil
}

// Replayable tells whether another attempt can have the whole body. If so, the last attempt can no longer
// read it.
func (b *ReplayBody) Replayable() bool {
	if b.stream == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read {
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

// Data returns the body if it is held.
func (b *ReplayBody) Data() []byte { return b.data }

// Held tells whether the body is in memory, so that any number of attempts can have it.
func (b *ReplayBody) Held() bool { return b.stream == nil }

// OnClose returns a body that calls a function after each Close.
func OnClose(body io.ReadCloser, after func()) io.ReadCloser {
	return &closeFuncBody{ReadCloser: body, after: after}
}

type closeFuncBody struct {
	io.ReadCloser
	after func()
}

// Close closes the body and calls the function.
func (b *closeFuncBody) Close() error {
	err := b.ReadCloser.Close()
	b.after()
	return err
}
