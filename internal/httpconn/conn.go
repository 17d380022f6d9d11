package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Errors that occur on an open connection.
var (
	// ErrWrite means that the request was not written completely; the server may have received a part of it.
	ErrWrite = errors.New("httpconn: request not sent")
	// ErrNoResponse means that the connection was closed or timed out before the first byte of a response.
	ErrNoResponse = errors.New("httpconn: no answer")
	// ErrMalformed means that the server sent bytes that are not a valid HTTP response.
	ErrMalformed = errors.New("httpconn: malformed answer")
)

// Conn is a client connection that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	limiter *headLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	// Reused reports whether the connection has carried a request before.
	Reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// attempts are the requests that must not be sent on this connection again. forgetful means that there are others.
	attempts  attempts
	forgetful bool
	// detach removes the function that CloseAfter has registered; nil if there is none.
	detach func() bool
}

// Head is a request line with headers. Target and header values are sent unmodified.
type Head struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Length is the body length, or -1 for chunked encoding.
	Length int64
}

// Response is the head of a response with its body. Reading a truncated body returns an error. Closing the
// body reads nothing, so the connection must be closed if the body was not read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body length, or -1 if the server did not declare it.
	Length int64
	// closeAfter means that the server closes the connection after this response.
	closeAfter bool
}

// EndsConnection reports whether the server closes the connection after this response.
func (r *Response) EndsConnection() bool { return r.closeAfter }

// DiscardBody reads the body to its end, so that the next response can be read. A body above limit bytes is
// reported as malformed.
func (r *Response) DiscardBody(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	if err != nil || n <= limit {
		return err
	}
	return fmt.Errorf("%w: body to skip is above %d bytes", ErrMalformed, limit)
}

// WriteHead writes the head of a request with the framing headers of its body. It flushes the head if a body
// follows.
func (c *Conn) WriteHead(h *Head) error {
	w := c.writer
	_, _ = w.WriteString(h.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(h.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(h.Host)
	_, _ = w.WriteString("\r\n")
	if err := h.Header.Write(w); err != nil {
		return fmt.Errorf("%w: %w", ErrWrite, err)
	}
	switch {
	case h.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case h.Length > 0 || (h.Method != http.MethodGet && h.Method != http.MethodHead):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(h.Length, 10))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if h.Length != 0 {
		return c.Flush()
	}
	return nil
}

// Flush sends the buffered bytes.
func (c *Conn) Flush() error {
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrWrite, err)
	}
	return nil
}

// WriteBody sends a body of the length that the head declared.
func (c *Conn) WriteBody(body io.Reader, length int64) error {
	var w io.Writer = c.writer
	var chunks io.WriteCloser
	if length < 0 {
		chunks = httputil.NewChunkedWriter(c.writer)
		w = chunks
	}
	if body != nil {
		n, err := io.Copy(w, body)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrWrite, err)
		}
		if length >= 0 && n != length {
			return fmt.Errorf("%w: body has %d of %d bytes", ErrWrite, n, length)
		}
	}
	if chunks != nil {
		_ = chunks.Close()
		_, _ = c.writer.WriteString("\r\n")
	}
	return c.Flush()
}

// headLimiter reads from a connection and limits the number of bytes while a head is read, because
// http.ReadResponse buffers lines of any length.
type headLimiter struct {
	raw       io.Reader
	limiting  bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limiting {
		return l.raw.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.raw.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

var errHeadTooLong = errors.New("httpconn: head is too long")

// ReadResponse reads the head of the next response, which may be an informational one. The body must be read
// to its end before the connection is released. A head above Config.MaxHeadBytes is malformed.
func (c *Conn) ReadResponse(method string) (*Response, error) {
	c.limiter.limiting, c.limiter.remaining = true, c.pool.config.MaxHeadBytes-c.reader.Buffered()
	defer func() { c.limiter.limiting = false }() // net/http limits chunk headers and trailers of the body
	if _, err := c.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if err := c.checkHTTP10(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // the returned Response carries the body
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	checkTrailers(response)
	if response.Body == http.NoBody {
		response.ContentLength = 0 // a response to HEAD declares the length of a body that it does not have
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header,
		Body:   io.NopCloser(response.Body), // the original Close reads to the end
		Length: response.ContentLength, closeAfter: response.Close || !response.ProtoAtLeast(1, 1),
	}, nil
}

// SetDeadline sets the deadline of all reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// CloseAfter closes the connection when ctx ends, unless it has been released before.
func (c *Conn) CloseAfter(ctx context.Context) { c.detach = context.AfterFunc(ctx, c.Close) }

// Release returns the connection to the pool after a complete response. It closes the connection instead if
// the server has sent further bytes, which belong to no request, or has announced the close, if it has carried more
// requests than it can remember, or if the context of CloseAfter has ended: its close may follow at any time and must not
// abort a later request.
func (c *Conn) Release(response *Response) {
	if c.closed.Load() {
		return
	}
	attached := c.detach != nil && !c.detach()
	c.detach = nil
	if attached || response.closeAfter || c.forgetful || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleTimeout = announcedIdleTimeout(response.Header.Get("Keep-Alive"), c.pool.config.MaxIdleTime)
	c.SetDeadline(time.Time{})
	if c.idleTimeout <= 0 || !c.pool.put(c) {
		c.Close()
	}
}

// keepAliveMargin is subtracted from the idle timeout that a server announces in whole seconds, so that
// no request is sent while the server closes the connection.
const keepAliveMargin = time.Second

// announcedIdleTimeout returns how long a connection may be idle, given the Keep-Alive header of its last
// response, or maxIdleTime if the header sets no shorter time.
func announcedIdleTimeout(keepAlive string, maxIdleTime time.Duration) time.Duration {
	for _, parameter := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || time.Duration(seconds) > maxIdleTime/time.Second {
			return maxIdleTime
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return maxIdleTime
}

// Close closes the connection. It may be called from another goroutine to abort a request.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.raw.Close()
	}
}

// reusable reports whether the server has neither closed an idle connection nor sent data on it.
func (c *Conn) reusable() bool {
	if c.closed.Load() || c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), buffer[:])
		noData = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
		return true
	})
	return err == nil && noData
}

// inlineBodyBytes is the size up to which a body is written before the response is read. It fits into the
// smallest send window, so the write cannot block on a server that responds without reading.
const inlineBodyBytes = 4 << 10

// Exchange sends the body of a request whose head has been written and reads the head of the final
// response. If the response arrives while a long body is still being sent, sent is false and the connection
// must not be released. An error of the body's reader is returned wrapped in ErrBody.
func (c *Conn) Exchange(method string, body io.Reader, length int64) (response *Response, sent bool, err error) {
	if length >= 0 && length <= inlineBodyBytes {
		if err := c.WriteBody(body, length); err != nil {
			return nil, false, err
		}
		response, err = c.ReadFinal(method)
		return response, true, err
	}
	recorder := &errorRecorder{reader: body}
	written := make(chan error, 1)
	go func() {
		err := c.WriteBody(recorder, length)
		if recorder.err.Load() != nil {
			c.Close() // lets the server tell a truncated body from a slow one
		}
		written <- err
	}()
	response, err = c.ReadFinal(method)
	if failed := recorder.err.Load(); failed != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrBody, *failed)
	}
	select {
	case failed := <-written:
		return response, failed == nil, err
	default:
		return response, false, err
	}
}

// ErrBody means that reading the request body from its source failed.
var ErrBody = errors.New("httpconn: request body failed")

// maxInformational limits the informational responses before a final one; servers send one or two.
const maxInformational = 10

// ReadFinal reads the head of the next final response and skips informational ones before it.
func (c *Conn) ReadFinal(method string) (*Response, error) {
	for range maxInformational + 1 {
		response, err := c.ReadResponse(method)
		if err != nil || response.Status >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d informational answers", ErrMalformed, maxInformational)
}

// errorRecorder records the read error of a body.
type errorRecorder struct {
	reader io.Reader
	err    atomic.Pointer[error]
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err.Store(&err)
	}
	return n, err
}
