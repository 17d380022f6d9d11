// Package httpconn is an HTTP/1.1 client whose caller decides about every send.
//
// http.Transport sends some requests again by itself when a reused connection breaks, which must not
// happen to a request that may run once only. Here a request is written to one connection exactly once,
// the connection's age and state are known before it is written, and a connection returns to the pool
// only when it holds nothing but the end of a complete answer. Parsing is that of net/http.
//
// Pool is safe for concurrent use. A Conn belongs to one request at a time.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrDial means that no connection could be opened, so nothing was sent.
var ErrDial = errors.New("httpconn: cannot connect")

// bufferSize of each direction of a connection, in bytes. Heads and most answers fit.
const bufferSize = 4 << 10

// Config sets the bounds of a Pool.
type Config struct {
	// DialTimeout bounds the wait for a new connection.
	DialTimeout time.Duration
	// MaxIdle is the age at which an idle connection is closed. It must be below the idle timeout of the
	// server, or requests cross its close.
	MaxIdle time.Duration
	// MaxHeadBytes bounds the status line and the header of an answer together.
	MaxHeadBytes int
	// MaxIdlePerAddress bounds the idle connections kept to one address; each costs about 9 KB.
	MaxIdlePerAddress int
	// KeepAlive is how long a connection may hear nothing before the kernel probes it, and the time
	// between probes; 0 leaves it unprobed.
	KeepAlive time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	UserTimeout time.Duration
}

// keepAliveProbes is the number of unanswered probes that break a connection.
const keepAliveProbes = 2

// Pool keeps idle connections by address.
type Pool struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*Conn
	opened int64
	closed bool
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

// Get returns a connection to an address. Idle ones younger than maxIdle are preferred, the last used
// first; a maxIdle of 0 asks for a new one. The error wraps ErrDial.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.takeIdle(address, min(maxIdle, p.config.MaxIdle))
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.clean() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) takeIdle(address string, maxIdle time.Duration) *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if now.Sub(last.idleSince) >= min(maxIdle, last.lifetime) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	source := &headSource{raw: raw}
	return &Conn{
		pool: p, address: address, raw: raw, lifetime: p.config.MaxIdle,
		source: source, reader: bufio.NewReaderSize(source, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Sweep closes idle connections that are too old to be used. Call it now and then.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.lifetime {
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

// Drop closes all idle connections to an address, for a server that is known to be gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections and those that are released later.
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

// put takes a connection back and reports whether it was kept.
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
