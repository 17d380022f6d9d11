package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cowslipglade/cowslipglade/internal/httpconn"
)

// maxHealthBytes bounds the body of a response of the health path, which is ignored.
const maxHealthBytes = 64 << 10

// HealthConn is a connection on which the health path of an upstream is requested again and again. Between two requests
// it tells at once when the upstream closes it, which is the first sign that the upstream's process has ended. One
// request may be in progress at a time.
type HealthConn struct {
	conn      *httpconn.Conn
	address   string
	responses chan *httpconn.Response
	broken    chan struct{}
	closeOnce sync.Once
	// awaiting means that a request has been sent whose response has not been read.
	awaiting atomic.Bool
	// announced means that the upstream has announced the close of the connection.
	announced atomic.Bool
	err       error // set before broken is closed
}

// OpenHealth opens a connection for health requests. The error wraps ErrNotConnected.
func (d *DirectClient) OpenHealth(ctx context.Context, address string) (*HealthConn, error) {
	conn, err := d.pool.Get(ctx, address, 0)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	h := &HealthConn{conn: conn, address: address, responses: make(chan *httpconn.Response, 1), broken: make(chan struct{})}
	go h.read()
	return h, nil
}

// read receives responses until the connection breaks. It is the only reader of the connection.
func (h *HealthConn) read() {
	for {
		response, err := h.conn.ReadFinal(http.MethodGet)
		if err == nil {
			err = response.DiscardBody(maxHealthBytes)
		}
		if err != nil {
			h.fail(err)
			return
		}
		if !h.awaiting.CompareAndSwap(true, false) {
			h.fail(errUnsolicited)
			return
		}
		if response.EndsConnection() {
			h.announced.Store(true)
		}
		select {
		case h.responses <- response:
		default: // the response to a request that was given up
			h.fail(errUnsolicited)
			return
		}
	}
}

var errUnsolicited = errors.New("upstream: answer without a request")

func (h *HealthConn) fail(err error) {
	h.closeOnce.Do(func() {
		h.err = err
		h.conn.Close()
		close(h.broken)
	})
}

// Broken is closed when the connection has broken or was closed.
func (h *HealthConn) Broken() <-chan struct{} { return h.broken }

// CloseAnnounced reports whether the upstream has announced in its last response that it closes the connection.
func (h *HealthConn) CloseAnnounced() bool { return h.announced.Load() }

// Close closes the connection and ends a request on it.
func (h *HealthConn) Close() { h.fail(errors.New("upstream: health connection closed")) }

// Probe requests the path and returns the status and header of the response. After an error the connection is closed.
func (h *HealthConn) Probe(ctx context.Context, path string) (int, http.Header, error) {
	if err := h.request(path); err != nil {
		return 0, nil, err
	}
	return h.response(ctx)
}

func (h *HealthConn) request(path string) error {
	head := httpconn.Head{Method: http.MethodGet, Target: path, Host: h.address, Header: http.Header{}}
	h.awaiting.Store(true)
	err := h.conn.WriteHead(&head)
	if err == nil {
		err = h.conn.Flush()
	}
	if err != nil {
		h.fail(err)
		return fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return nil
}

// response waits for the response to the request that was sent. A response that came before the connection broke counts.
func (h *HealthConn) response(ctx context.Context) (int, http.Header, error) {
	select {
	case response := <-h.responses:
		return response.Status, response.Header, nil
	case <-h.broken:
		select {
		case response := <-h.responses:
			return response.Status, response.Header, nil
		default:
			return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, h.err)
		}
	case <-ctx.Done():
		h.fail(ctx.Err())
		return 0, nil, fmt.Errorf("%w: %w", ErrConnectionLost, ctx.Err())
	}
}
