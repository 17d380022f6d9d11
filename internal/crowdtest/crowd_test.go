package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// crowdSize is the number of connections that a crowd keeps open.
	crowdSize = 400
	// crowdTime is how long a crowd lasts.
	crowdTime = 1500 * time.Millisecond
	// reconnectPause and maxConnects bound how often a client whose connection was closed connects again.
	reconnectPause = 20 * time.Millisecond
	maxConnects    = 40
	samplePause    = 10 * time.Millisecond
	// clientBuffer is the size of the receive buffers of clients that read slowly or not at all.
	clientBuffer = 4 << 10
)

// target is a listener and a path.
type target struct {
	name    string
	address func(*node) string
	method  string
	path    string
}

var (
	onRoute     = target{"route", func(n *node) string { return n.request }, "POST", "/read/crowd"}
	withoutOne  = target{"no route", func(n *node) string { return n.request }, "POST", "/none"}
	atReady     = target{"ready", func(n *node) string { return n.ready }, "GET", "/v1/readiness"}
	atControl   = target{"control", func(n *node) string { return n.control }, "GET", "/debug/vars"}
	atHeartbeat = target{"heartbeats", func(n *node) string { return n.heartbeat }, "PUT", "/v1/instances/other"}
	atPeers     = target{"peers", func(n *node) string { return n.peer }, "POST", "/read/crowd"}
)

// head returns a request line with the fields that all requests have, without the end of the header.
func (t target) head() string {
	return t.method + " " + t.path + " HTTP/1.1\r\nHost: h.example\r\nTimeout-Ms: 9000\r\n"
}

// behavior sends on a connection what a client of a crowd sends. It returns early if the connection fails.
type behavior func(context.Context, net.Conn, target)

// send writes data and reports whether the connection still works.
func send(conn net.Conn, data []byte) bool {
	_, err := conn.Write(data)
	return err == nil
}

// pieces writes data in pieces with a pause after each.
func pieces(ctx context.Context, conn net.Conn, data []byte, size int, pause time.Duration) bool {
	for len(data) > 0 && ctx.Err() == nil {
		piece := data[:min(size, len(data))]
		if !send(conn, piece) {
			return false
		}
		data = data[len(piece):]
		time.Sleep(pause)
	}
	return true
}

// readAll reads responses until the connection ends.
func readAll(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// shortBody sends a declared body without its last byte.
func shortBody(size, piece int, pause time.Duration) behavior {
	return func(ctx context.Context, conn net.Conn, t target) {
		if send(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), size)) && pieces(ctx, conn, make([]byte, size-1), piece, pause) {
			readAll(conn)
		}
	}
}

// shortChunk sends a chunked body without its last byte.
func shortChunk(size, chunk int) behavior {
	return func(_ context.Context, conn net.Conn, t target) {
		data := []byte(t.head() + "Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent < size; sent += chunk {
			data = fmt.Appendf(data, "%x\r\n", chunk)
			data = append(data, make([]byte, chunk)...)
			data = append(data, "\r\n"...)
		}
		if send(conn, data[:len(data)-len("0\r\n")]) {
			readAll(conn)
		}
	}
}

// shortFields returns fields of about 10 bytes each that come to 30,000 bytes.
func shortFields() []byte {
	var fields bytes.Buffer
	for i := 0; fields.Len() < 30_000; i++ {
		fmt.Fprintf(&fields, "a%04d: b\r\n", i)
	}
	return fields.Bytes()
}

// completeHeaders sends requests with many fields, one after the other.
func completeHeaders(_ context.Context, conn net.Conn, t target) {
	request := append([]byte(t.head()), shortFields()...)
	request = append(request, "Content-Length: 0\r\n\r\n"...)
	buffer := make([]byte, 64<<10)
	for range 50 {
		if !send(conn, request) {
			return
		}
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
	readAll(conn)
}

// headersWithoutBody sends a complete header with many fields that declares a body, and no body.
func headersWithoutBody(_ context.Context, conn net.Conn, t target) {
	request := append([]byte(t.head()), shortFields()...)
	if send(conn, append(request, "Content-Length: 10\r\n\r\n"...)) {
		readAll(conn)
	}
}

// endlessHeaders sends a header with many fields without its end.
func endlessHeaders(_ context.Context, conn net.Conn, t target) {
	if send(conn, append([]byte(t.head()), shortFields()...)) {
		readAll(conn)
	}
}

// oversizedBody sends a body of four times the limit.
func oversizedBody(chunked bool) behavior {
	return func(ctx context.Context, conn net.Conn, t target) {
		const size, piece = 4 * maxBodyBytes, 64 << 10
		if !chunked {
			if send(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), 64*maxBodyBytes)) && pieces(ctx, conn, make([]byte, size), piece, 0) {
				readAll(conn)
			}
			return
		}
		if !send(conn, []byte(t.head()+"Transfer-Encoding: chunked\r\n\r\n")) {
			return
		}
		chunk := append(fmt.Appendf(nil, "%x\r\n", piece), make([]byte, piece)...)
		chunk = append(chunk, "\r\n"...)
		for sent := 0; sent < size && ctx.Err() == nil; sent += piece {
			if !send(conn, chunk) {
				return
			}
		}
		readAll(conn)
	}
}

// unreadPipeline sends many requests and reads no response.
func unreadPipeline(ctx context.Context, conn net.Conn, t target) {
	request := strings.Replace(t.head(), t.method, "GET", 1) + "\r\n"
	if send(conn, []byte(strings.Repeat(request, 2000))) {
		<-ctx.Done()
	}
}

// slowSender sends a request with a body at 100 bytes a second.
func slowSender(ctx context.Context, conn net.Conn, t target) {
	pieces(ctx, conn, []byte(t.head()+"Content-Length: 1000\r\n\r\n"+strings.Repeat("a", 1000)), 10, 100*time.Millisecond)
}

// slowReader asks for a large response where there is one and reads 100 bytes a second.
func slowReader(ctx context.Context, conn net.Conn, t target) {
	head := strings.Replace(t.head(), "/read/crowd", "/read/big", 1)
	if !send(conn, []byte(head+"Content-Length: 0\r\n\r\n")) {
		return
	}
	buffer := make([]byte, 10)
	for ctx.Err() == nil {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stopHalfway sends half of a request and ends its direction of the connection.
func stopHalfway(_ context.Context, conn net.Conn, t target) {
	if !send(conn, []byte(t.head()+"Content-Length: 40000\r\n\r\n"+strings.Repeat("a", 20000))) {
		return
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	readAll(conn)
}

// halfHeader sends half of a header and then nothing.
func halfHeader(_ context.Context, conn net.Conn, t target) {
	if send(conn, []byte(t.head()[:len(t.head())/2])) {
		readAll(conn)
	}
}

// runCrowd runs the behaviors, in turn, on crowdSize connections until crowdTime has passed. A client connects again
// after its connection was closed. It returns the highest number of descriptors of the process.
func runCrowd(n *node, to target, behaviors []behavior) int {
	ctx, cancel := context.WithTimeout(n.t.Context(), crowdTime)
	defer cancel()
	var connects atomic.Int64
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() {
			for range maxConnects {
				if ctx.Err() != nil {
					return
				}
				conn, err := net.Dial("tcp4", to.address(n))
				if err == nil {
					connects.Add(1)
					_ = conn.(*net.TCPConn).SetReadBuffer(clientBuffer)
					detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
					behaviors[i%len(behaviors)](ctx, conn, to)
					detach()
					_ = conn.Close()
				}
				time.Sleep(reconnectPause)
			}
		})
	}
	peak := 0
	during := fmt.Errorf("not sent")
	var asked sync.WaitGroup
	asked.Go(func() {
		time.Sleep(crowdTime / 2)
		during = n.ordinaryRequest()
	})
	for ctx.Err() == nil {
		peak = max(peak, n.descriptors())
		time.Sleep(samplePause)
	}
	clients.Wait()
	asked.Wait()
	n.t.Logf("%d connections; ordinary request during the crowd: %v", connects.Load(), during)
	return peak
}

// testCrowd checks the process during and after a crowd.
func testCrowd(t *testing.T, to target, behaviors ...behavior) {
	t.Helper()
	n := startNode(t)
	pid := n.cmd.Process.Pid
	peakDescriptors := runCrowd(n, to, behaviors)
	peakMemory := n.peakMemory()
	t.Logf("peak memory %.1f MiB of %d, descriptors %d of %d", float64(peakMemory)/(1<<20), memoryMb, peakDescriptors, maxFds-reservedFds)
	if peakMemory > memoryMb<<20 {
		t.Errorf("peak memory %d KiB is above %d MiB", peakMemory>>10, memoryMb)
	}
	if peakDescriptors > maxFds-reservedFds {
		t.Errorf("%d descriptors are above %d", peakDescriptors, maxFds-reservedFds)
	}
	n.awaitAnswer()
	select {
	case <-n.exited:
		t.Fatalf("the process has exited: %v\n%s", n.cmd.ProcessState, n.lastLog())
	default:
	}
	must.Eq(t, pid, n.cmd.Process.Pid)
}

// crowd is a kind of crowd by variant. Each variant is tested alone at the listeners that all clients reach, and all of
// them together at the others.
type crowd map[string]behavior

func (c crowd) test(t *testing.T) {
	all := make([]behavior, 0, len(c))
	for name, variant := range c {
		all = append(all, variant)
		for _, to := range []target{onRoute, withoutOne, atReady} {
			t.Run(name+" at "+to.name, func(t *testing.T) { testCrowd(t, to, variant) })
		}
	}
	for _, to := range []target{atControl, atHeartbeat, atPeers} {
		t.Run("all at "+to.name, func(t *testing.T) { testCrowd(t, to, all...) })
	}
}

// Guards against holding memory or descriptors for bodies that never end.
func TestIncompleteBodies(t *testing.T) {
	crowd{
		"one piece": shortBody(64<<10, 64<<10, 0), "small pieces": shortBody(64<<10, 1<<10, time.Millisecond),
		"one chunk": shortChunk(64<<10, 64<<10), "small chunks": shortChunk(64<<10, 1<<10), "large": shortBody(1<<20, 1<<20, 0),
	}.test(t)
}

// Guards against reading, holding or waiting for bodies that are over the operators' limit.
func TestOversizedBodies(t *testing.T) {
	crowd{"declared": oversizedBody(false), "chunked": oversizedBody(true)}.test(t)
}

// Guards against parsed headers that take many times the memory of their bytes.
func TestManyFields(t *testing.T) {
	crowd{"complete": completeHeaders, "without body": headersWithoutBody, "without end": endlessHeaders}.test(t)
}

// Guards against holding responses that their clients do not read.
func TestUnreadPipelines(t *testing.T) {
	crowd{"pipelined": unreadPipeline}.test(t)
}

// Guards against connections that hold their resources by sending or reading next to nothing.
func TestSlowClients(t *testing.T) {
	crowd{"sender": slowSender, "reader": slowReader, "stopped": stopHalfway, "half header": halfHeader}.test(t)
}
