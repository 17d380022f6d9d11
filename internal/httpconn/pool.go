// Package httpconn is an HTTP/1.1 client that never resends a request on its own.
//
// http.Transport retries some requests automatically when a reused connection breaks, which is not allowed
// for a request that must run at most once. This package writes a request to one connection exactly once,
// checks the age and state of the connection beforehand, and returns it to the pool only after a complete
// response with no bytes following it. It uses the parser of net/http.
//
// A server may send a response once more, late. The ID of its request tells it from the response to another request, but not
// from the response to a later attempt of the same one. So a later attempt goes over another connection: Conn.Remember,
// Pool.GetFor.
//
// Responses decide what callers are told, so a malformed one must not pass for an answer. The parser accepts some: status
// lines and field names that HTTP/1.x does not define, and the end of a connection whose reset was met by a write. Conn and,
// for the users of http.Transport, StrictTransport reject these with ErrMalformed; DialContext makes connections that report
// a reset to their reader.
//
// Pool is safe for concurrent use. A Conn belongs to one request at a time.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrDial means that no connection could be opened, so no bytes were sent.
var ErrDial = errors.New("httpconn: cannot connect")

// bufferSize is the buffer size in bytes for each direction of a connection. Heads and most responses fit.
const bufferSize = 4 << 10

// Config sets the limits of a Pool.
type Config struct {
	// DialTimeout limits the time to open a new connection.
	DialTimeout time.Duration
	// MaxIdleTime is how long a connection may be idle before it is closed. It must be below the idle
	// timeout of the server, or requests race with the server's close.
	MaxIdleTime time.Duration
	// MaxHeadBytes limits the total size of the status line and the headers of a response.
	MaxHeadBytes int
	// MaxIdlePerAddress limits the idle connections to one address; each costs about 9 KB.
	MaxIdlePerAddress int
	// KeepAlive is the TCP keep-alive idle time and the interval between probes; 0 disables probes.
	KeepAlive time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	UserTimeout time.Duration
	// OnBroken, if not nil, is called with the address when an idle connection is found closed by the server, or with
	// data on it that belongs to no request.
	OnBroken func(address string)
}

// keepAliveProbes is the number of unacknowledged probes after which the connection fails.
const keepAliveProbes = 2

// Pool keeps idle connections by address.
type Pool struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*Conn
	opened int64
	closed bool

	avoided atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	p := &Pool{config: config, idle: map[string][]*Conn{}}
	p.dialer = net.Dialer{Timeout: config.DialTimeout, KeepAlive: -1}
	if config.KeepAlive > 0 {
		p.dialer.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: config.KeepAlive, Interval: config.KeepAlive, Count: keepAliveProbes,
		}
	}
	if config.UserTimeout > 0 {
		milliseconds := int(config.UserTimeout.Milliseconds())
		p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
			})
			return errors.Join(err, failed)
		}
	}
	return p
}

// Get returns a connection to an address. It prefers the most recently used connection if that has been idle
// for less than maxIdleTime; a maxIdleTime of 0 always opens a new one. The error wraps ErrDial.
func (p *Pool) Get(ctx context.Context, address string, maxIdleTime time.Duration) (*Conn, error) {
	return p.get(ctx, address, maxIdleTime, func(*Conn) bool { return true })
}

// GetFor is like Get for an attempt of a request. It returns no connection that remembers an earlier attempt of it.
func (p *Pool) GetFor(ctx context.Context, address string, maxIdleTime time.Duration, requestID string) (*Conn, error) {
	now := time.Now()
	avoided := false
	c, err := p.get(ctx, address, maxIdleTime, func(c *Conn) bool {
		fit := !c.attempts.contains(requestID, now)
		avoided = avoided || !fit
		return fit
	})
	if avoided {
		p.avoided.Add(1)
	}
	return c, err
}

// get returns the most recently used connection that is fit, or a new one. fit is called with the lock held.
func (p *Pool) get(ctx context.Context, address string, maxIdleTime time.Duration, fit func(*Conn) bool) (*Conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDial, err) // the caller would close the idle connection
		}
		c := p.takeIdle(address, min(maxIdleTime, p.config.MaxIdleTime), fit)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.reusable() {
			c.Reused = true
			return c, nil
		}
		c.Close()
		if p.config.OnBroken != nil {
			p.config.OnBroken(address)
		}
	}
}

func (p *Pool) takeIdle(address string, maxIdleTime time.Duration, fit func(*Conn) bool) *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !fit(c) {
			continue
		}
		if now.Sub(c.idleSince) >= min(maxIdleTime, c.idleTimeout) {
			return nil
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	raw, err := DialContext(&p.dialer)(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limiter := &headLimiter{raw: raw}
	return &Conn{
		pool: p, address: address, raw: raw, idleTimeout: p.config.MaxIdleTime,
		limiter: limiter,
		reader:  bufio.NewReaderSize(limiter, bufferSize),
		writer:  bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Avoided returns how often GetFor has passed over an idle connection.
func (p *Pool) Avoided() int64 { return p.avoided.Load() }

// Sweep closes connections that have exceeded their idle timeout. It should be called periodically.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Drop closes all idle connections to the address of a server that is known to have departed.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections; connections released later are closed as well.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}

// put returns a connection to the pool and reports whether it was kept.
func (p *Pool) put(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= p.config.MaxIdlePerAddress {
		return false
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(list, c)
	return true
}
