package httpserver

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Body is a request body whose read deadline ends with it.
//
// While a handler runs, net/http reads ahead on the connection. If a read deadline passes during that time,
// net/http cancels the contexts of the running request and of all later requests on the connection.
type Body struct {
	io.ReadCloser
	setReadDeadline func(time.Time) error

	mu    sync.Mutex
	ended bool
	after func()
	// tooLarge means that the body is above the limit of its http.MaxBytesReader.
	tooLarge bool
}

// NewBody returns the body of a request that w answers, without a deadline.
func NewBody(w http.ResponseWriter, r *http.Request) *Body {
	return &Body{ReadCloser: r.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, ended: r.ContentLength == 0}
}

// SetDeadline sets the time after which reads fail. It has no effect once the body has been read.
func (b *Body) SetDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil
	}
	return b.setReadDeadline(t)
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	if limit := (*http.MaxBytesError)(nil); errors.As(err, &limit) {
		b.mu.Lock()
		b.tooLarge = true
		b.mu.Unlock()
	}
	return n, err
}

// TooLarge reports whether the body was found to be above its limit.
func (b *Body) TooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// AfterEnd sets a function that is called once the body has been read, at once if it has been.
func (b *Body) AfterEnd(after func()) {
	b.mu.Lock()
	ended := b.ended
	b.after = after
	b.mu.Unlock()
	if ended {
		after()
	}
}

func (b *Body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		_ = b.setReadDeadline(time.Time{}) // fails only if the connection is closed
		if b.after != nil {
			b.after()
		}
	}
}
