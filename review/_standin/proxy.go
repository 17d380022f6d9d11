package main

import (
	"encoding/base64"
	"errors"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const proxyChunkBytes = 32 << 10

// network decides which machines are cut off from the others and from the store.
type network struct {
	machines []string

	mu      sync.Mutex
	cut     map[string]bool
	changed chan struct{} // closed when cut changes
}

func newNetwork(machines []string) *network {
	return &network{machines: machines, cut: map[string]bool{}, changed: make(chan struct{})}
}

// setCut cuts machines off, but not from each other, or ends the cut.
func (n *network) setCut(cut bool, machines ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, machine := range machines {
		n.cut[machine] = cut
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether the link between two machines is cut, and returns a channel that is closed at the next
// change.
func (n *network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] != n.cut[b], n.changed
}

// await waits until the link is not cut.
func (n *network) await(a, b string) {
	for {
		blocked, changed := n.blocked(a, b)
		if !blocked {
			return
		}
		<-changed
	}
}

// proxy is the network in front of one listener of a machine. As on a partitioned link, bytes of open connections
// are held during a cut and arrive after it, unless their sender has reset the connection, and a connection that is
// opened during a cut is not established.
type proxy struct {
	network  *network
	machine  string // to which the listener belongs
	sender   string // of all connections, or empty if their first bytes name it
	target   string
	listener net.Listener
}

func newProxy(n *network, machine, sender, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{network: n, machine: machine, sender: sender, target: target, listener: listener}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(conn)
		}
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	first, sender := p.identify(client)
	if sender == "" {
		return
	}
	if blocked, _ := p.network.blocked(sender, p.machine); blocked {
		_, _ = io.Copy(io.Discard, client) // until the sender gives up
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	if _, err := server.Write(first); err != nil {
		reset(client)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(server, client, sender)
	}()
	p.copy(client, server, sender)
	<-done
}

// identify reads the first bytes of a connection, up to those that name the sender.
func (p *proxy) identify(client net.Conn) (first []byte, sender string) {
	buffer := make([]byte, proxyChunkBytes)
	for sender = p.sender; len(first) == 0 || sender == ""; {
		count, err := client.Read(buffer)
		first = append(first, buffer[:count]...)
		if sender == "" {
			sender = p.network.senderOf(first)
		}
		if err != nil && (count == 0 || sender == "") {
			return nil, ""
		}
	}
	return first, sender
}

// copy forwards bytes in one direction and holds them during a cut.
func (p *proxy) copy(from, to net.Conn, sender string) {
	buffer := make([]byte, proxyChunkBytes)
	for {
		count, err := from.Read(buffer)
		p.network.await(sender, p.machine)
		if wasReset(from) {
			reset(to) // what was held is lost
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite() // fails only if the connection is closed
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// wasReset reports whether the other side has reset a connection.
func wasReset(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	state := 0
	if err := raw.Control(func(fd uintptr) { state, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }); err != nil {
		return true
	}
	return state != 0
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

var callContext = regexp.MustCompile(`(?i)\r\nCowslip-Context: ([A-Za-z0-9_-]+)`)

// senderOf returns the machine that sent the first bytes of a connection, or an empty string if they do not name it
// yet. An exchange, and the context of a forwarded call, name no other machine than their sender.
func (n *network) senderOf(data []byte) string {
	text := string(data)
	if match := callContext.FindStringSubmatch(text); match != nil {
		if decoded, err := base64.RawURLEncoding.DecodeString(match[1]); err == nil {
			text = string(decoded)
		}
	}
	for _, machine := range n.machines {
		if strings.Contains(text, machine) {
			return machine
		}
	}
	return ""
}
