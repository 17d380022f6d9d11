package httpconn

import (
	"bufio"
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

// Errors of a connection that was open.
var (
	// ErrWrite means that the request was not written whole; a part of it may have arrived.
	ErrWrite = errors.New("httpconn: request not sent")
	// ErrNoAnswer means that the connection ended or fell silent before the head of an answer.
	ErrNoAnswer = errors.New("httpconn: no answer")
	// ErrMalformed means that the server sent bytes that are no HTTP answer.
	ErrMalformed = errors.New("httpconn: malformed answer")
)

// Conn is one connection that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	source  *headSource
	reader  *bufio.Reader
	writer  *bufio.Writer
	// Reused tells that the connection has carried a request before.
	Reused    bool
	idleSince time.Time
	lifetime  time.Duration
	closed    atomic.Bool
}

// Head is a request line with headers. Target and header values are sent as they are.
type Head struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Length is that of the body, -1 for a body in chunks.
	Length int64
}

// Answer is the head of an answer with its body, which ends with an error when it is broken off. Closing the
// body reads nothing, so a connection whose answer is discarded must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is that of the body, -1 when it is not announced.
	Length int64
	// lastOnConnection means that the server closes the connection after it.
	lastOnConnection bool
}

// Skip reads the body to its end, so that the next answer can be read. A body above limit bytes is malformed.
func (a *Answer) Skip(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, limit+1))
	if err != nil || n <= limit {
		return err
	}
	return fmt.Errorf("%w: body to skip is above %d bytes", ErrMalformed, limit)
}

// WriteHead sends the head of a request and its body's framing, but no byte of the body.
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

// Flush sends what is buffered.
func (c *Conn) Flush() error {
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrWrite, err)
	}
	return nil
}

// WriteBody sends a body of the length that the head announced.
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

// headSource reads from a connection. While a head is read it bounds the bytes, as http.ReadResponse holds
// a line of any length.
type headSource struct {
	raw   io.Reader
	bound bool
	left  int
}

// Read implements io.Reader.
func (s *headSource) Read(p []byte) (int, error) {
	if !s.bound {
		return s.raw.Read(p)
	}
	if s.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := s.raw.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

var errHeadTooLong = errors.New("httpconn: head is too long")

// ReadAnswer reads the head of the next answer. Its body must be read to its end before the connection is
// released. Informational answers are returned like others. A head above Config.MaxHeadBytes is malformed.
func (c *Conn) ReadAnswer(method string) (*Answer, error) {
	c.source.bound, c.source.left = true, c.pool.config.MaxHeadBytes-c.reader.Buffered()
	defer func() { c.source.bound = false }() // net/http bounds chunk sizes and trailers of the body
	if _, err := c.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // the body is handed on in Answer
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if response.Body == http.NoBody {
		response.ContentLength = 0 // an answer to HEAD announces the length of a body that it does not have
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		Body:   io.NopCloser(response.Body), // whose own Close reads to the end
		Length: response.ContentLength, lastOnConnection: response.Close,
	}, nil
}

// SetDeadline bounds all reads and writes; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// Release returns the connection to the pool after a complete answer. It is closed instead when the
// server has sent more bytes, which belong to no request, or has asked for the close.
func (c *Conn) Release(answer *Answer) {
	if c.closed.Load() {
		return
	}
	if answer.lastOnConnection || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.lifetime = idleLifetime(answer.Header.Get("Keep-Alive"), c.pool.config.MaxIdle)
	c.SetDeadline(time.Time{})
	if c.lifetime <= 0 || !c.pool.put(c) {
		c.Close()
	}
}

// keepAliveMargin is subtracted from the idle timeout that a server announces in whole seconds, so that
// no request is sent while the server closes.
const keepAliveMargin = time.Second

// idleLifetime returns how long a connection may be idle, given the Keep-Alive header of its last answer.
func idleLifetime(keepAlive string, most time.Duration) time.Duration {
	for _, parameter := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || time.Duration(seconds) > most/time.Second {
			return most
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return most
}

// Close closes the connection. It may be called from another goroutine to abandon a request.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.raw.Close()
	}
}

// clean tells whether the server has neither closed an idle connection nor sent anything on it.
func (c *Conn) clean() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), one[:])
		quiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
		return true
	})
	return err == nil && quiet
}

// inlineBody is the size up to which a body is written before the answer is read. It fits into the
// smallest send window, so the write cannot wait for a server that answers without reading.
const inlineBody = 4 << 10

// Exchange sends the body of a request whose head has been written and reads the head of the final
// answer. When the answer comes while a long body is still being sent, sent is false, and the connection
// must not be released. A failure of the body's reader is returned as ErrBody.
func (c *Conn) Exchange(method string, body io.Reader, length int64) (answer *Answer, sent bool, err error) {
	if length >= 0 && length <= inlineBody {
		if err := c.WriteBody(body, length); err != nil {
			return nil, false, err
		}
		answer, err = c.readFinal(method)
		return answer, true, err
	}
	source := &bodySource{reader: body}
	written := make(chan error, 1)
	go func() {
		err := c.WriteBody(source, length)
		if source.err.Load() != nil {
			c.Close() // half a body must not look like a slow one
		}
		written <- err
	}()
	answer, err = c.readFinal(method)
	if failed := source.err.Load(); failed != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrBody, *failed)
	}
	select {
	case failed := <-written:
		return answer, failed == nil, err
	default:
		return answer, false, err
	}
}

// ErrBody means that the body of the request could not be read from its source.
var ErrBody = errors.New("httpconn: request body failed")

// maxInformational bounds the informational answers before a final one; servers send one or two.
const maxInformational = 10

// readFinal skips informational answers.
func (c *Conn) readFinal(method string) (*Answer, error) {
	for range maxInformational + 1 {
		answer, err := c.ReadAnswer(method)
		if err != nil || answer.Status >= http.StatusOK {
			return answer, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d informational answers", ErrMalformed, maxInformational)
}

// bodySource remembers the read error of a body.
type bodySource struct {
	reader io.Reader
	err    atomic.Pointer[error]
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err.Store(&err)
	}
	return n, err
}
