package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkState is the state of all connections through a proxy.
type linkState string

const (
	linkOpen    linkState = "open"
	linkDelayed linkState = "delayed"
	// linkReset resets connections, including new ones.
	linkReset linkState = "reset"
	// linkBlackhole forwards nothing and keeps connections open.
	linkBlackhole linkState = "silent"
	// linkOneWay forwards requests and holds responses back.
	linkOneWay linkState = "one way"
	// linkStale is linkBlackhole for existing connections, while new ones work.
	linkStale linkState = "forgotten"
)

const (
	// proxyDelay is half the timeout of an exchange between nodes.
	proxyDelay       = 200 * time.Millisecond
	proxyDialTimeout = time.Second
	proxyChunkBytes  = 16 << 10
)

// proxy forwards TCP connections to an address.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	state linkState
	// changed is closed when the state changes.
	changed chan struct{}
	conns   map[*proxyConn]struct{}
	closed  bool
}

type proxyConn struct {
	client, server net.Conn
	// blackholed connections no longer forward anything.
	blackholed bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, state: linkOpen, changed: make(chan struct{}), conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		switch state {
		case linkReset:
			conn.reset()
		case linkStale:
			conn.blackholed = true
		}
	}
	if state == linkStale {
		state = linkOpen
	}
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) close() {
	p.set(linkReset)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(&proxyConn{client: client})
		}
	}
}

func (p *proxy) serve(conn *proxyConn) {
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
		conn.reset()
	}()
	if !p.waitForLink(conn, true) {
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, proxyDialTimeout)
	if err != nil {
		return
	}
	p.mu.Lock()
	conn.server = server
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(conn, conn.client, server, true)
	}()
	p.copy(conn, server, conn.client, false)
	<-done
}

// copy forwards bytes in one direction until that direction is closed or the link is reset.
func (p *proxy) copy(conn *proxyConn, from, to net.Conn, request bool) {
	buffer := make([]byte, proxyChunkBytes)
	for {
		count, err := from.Read(buffer)
		if !p.waitForLink(conn, request) {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// waitForLink waits until the link forwards bytes in the given direction. It returns false if the link is reset.
func (p *proxy) waitForLink(conn *proxyConn, request bool) bool {
	for {
		p.mu.Lock()
		state, changed, blackholed, closed := p.state, p.changed, conn.blackholed, p.closed
		p.mu.Unlock()
		switch {
		case closed || state == linkReset:
			return false
		case blackholed || state == linkBlackhole || state == linkOneWay && !request:
			<-changed
			continue
		case state == linkDelayed:
			time.Sleep(proxyDelay)
		}
		return true
	}
}

// reset closes both connections and discards buffered data.
func (c *proxyConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok && tcp != nil {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
