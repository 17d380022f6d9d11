package scenario

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// addrPair identifies a pair of hosts by their IP addresses, with the lower one first.
type addrPair [2]netip.Addr

func newAddrPair(a, b netip.Addr) addrPair {
	if b.Less(a) {
		a, b = b, a
	}
	return addrPair{a, b}
}

// partitionMode selects what happens to the traffic between a partitioned pair.
type partitionMode string

const (
	// partitionReset resets connections and drops packets.
	partitionReset partitionMode = "reset"
	// partitionHold keeps connections open without forwarding data, and drops packets.
	partitionHold partitionMode = "hold"
	// partitionPackets drops only packets, so that membership updates are lost while calls succeed.
	partitionPackets partitionMode = "packets"
)

// partitions holds the pairs of addresses that cannot reach each other. It is safe for concurrent use.
type partitions struct {
	mutex sync.Mutex
	modes map[addrPair]partitionMode
	links map[*link]struct{}
	// healed is closed when the current partitions end.
	healed chan struct{}
}

// link is one connection through a relay.
type link struct {
	addrs addrPair
	conns [2]net.Conn
}

func newPartitions() *partitions {
	return &partitions{modes: map[addrPair]partitionMode{}, links: map[*link]struct{}{}, healed: make(chan struct{})}
}

// state returns the mode of a pair, which is empty if the pair is not partitioned, and a channel that is closed when
// the partitions end.
func (p *partitions) state(addrs addrPair) (mode partitionMode, healed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.modes[addrs], p.healed
}

// connectionState reports whether connections of a pair are blocked and whether they are held open, and returns a
// channel that is closed when the partitions end.
func (p *partitions) connectionState(addrs addrPair) (blocked, hold bool, healed <-chan struct{}) {
	mode, healed := p.state(addrs)
	return mode == partitionReset || mode == partitionHold, mode == partitionHold, healed
}

// add partitions a pair. In mode partitionReset it resets established connections.
func (p *partitions) add(addrs addrPair, mode partitionMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.modes[addrs] = mode
	for l := range p.links {
		if l.addrs == addrs && mode == partitionReset {
			l.reset()
		}
	}
}

// heal ends all partitions. It resets blocked connections, because their peers may have timed out.
func (p *partitions) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for l := range p.links {
		if mode := p.modes[l.addrs]; mode == partitionReset || mode == partitionHold {
			l.reset()
		}
	}
	clear(p.modes)
	close(p.healed)
	p.healed = make(chan struct{})
}

func (p *partitions) track(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.links[l] = struct{}{}
}

func (p *partitions) untrack(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
}

// reset closes both connections and discards buffered data.
func (l *link) reset() {
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// relay forwards TCP connections and UDP packets to one process. The source IP address identifies the sender,
// because nodes connect from the IP address of their peer listener.
type relay struct {
	partitions *partitions
	target     netip.AddrPort
	listener   net.Listener
	packetConn *net.UDPConn

	mutex sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn // by source
}

const (
	dialTimeout    = 2 * time.Second
	maxPacketBytes = 64 << 10
	chunkBytes     = 32 << 10
)

// startRelay starts a relay that listens on a TCP and a UDP address.
func startRelay(partitions *partitions, address, target netip.AddrPort) (*relay, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	r := &relay{
		partitions: partitions, target: target, listener: listener, packetConn: packetConn,
		flows: map[netip.AddrPort]*net.UDPConn{},
	}
	go r.accept()
	go r.forwardPackets()
	return r, nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	_ = r.packetConn.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, flow := range r.flows {
		_ = flow.Close()
	}
}

func (r *relay) addrs(source netip.Addr) addrPair {
	return newAddrPair(source.Unmap(), r.target.Addr())
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forwardConnection(conn)
	}
}

// forwardConnection forwards one connection. If the pair is partitioned with partitionHold, it keeps the connection
// open until the partition ends and then resets it.
func (r *relay) forwardConnection(conn net.Conn) {
	l := &link{addrs: r.addrs(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()), conns: [2]net.Conn{conn}}
	r.partitions.track(l)
	defer r.partitions.untrack(l)
	defer l.reset()
	blocked, hold, healed := r.partitions.connectionState(l.addrs)
	if blocked && hold {
		<-healed
	}
	if blocked {
		return
	}
	dst, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil {
		return
	}
	r.partitions.mutex.Lock()
	l.conns[1] = dst
	r.partitions.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		r.copy(l, conn, dst)
		close(done)
	}()
	r.copy(l, dst, conn)
	<-done
}

// copy copies bytes in one direction until the source is closed, and then closes that direction.
func (r *relay) copy(l *link, src, dst net.Conn) {
	buffer := make([]byte, chunkBytes)
	for {
		count, err := src.Read(buffer)
		blocked, _, healed := r.partitions.connectionState(l.addrs)
		if blocked {
			<-healed
			return
		}
		if count > 0 {
			if _, writeErr := dst.Write(buffer[:count]); writeErr != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// forwardPackets forwards packets to the target. Each source has its own socket, so that replies can be returned
// to it.
func (r *relay) forwardPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, source, err := r.packetConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if mode, _ := r.partitions.state(r.addrs(source.Addr())); mode != "" {
			continue
		}
		if flow := r.flow(source); flow != nil {
			_, _ = flow.Write(buffer[:count])
		}
	}
}

func (r *relay) flow(source netip.AddrPort) *net.UDPConn {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if flow := r.flows[source]; flow != nil {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.flows[source] = flow
	go r.forwardReplies(flow, source)
	return flow
}

// forwardReplies returns the replies of the target to the source of a flow.
func (r *relay) forwardReplies(flow *net.UDPConn, source netip.AddrPort) {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the process is not listening
		}
		if mode, _ := r.partitions.state(r.addrs(source.Addr())); mode == "" {
			_, _ = r.packetConn.WriteToUDPAddrPort(buffer[:count], source)
		}
	}
}
