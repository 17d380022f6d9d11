package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/sidecar"
)

// sendAhead writes requests on one connection without reading and returns it.
func sendAhead(t *testing.T, n *fleetNode, requests ...string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.settings.RequestAddress)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, strings.Join(requests, ""))
	must.NoError(t, err)
	return conn
}

func pipelined(method, path string, i int) string {
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id%d\r\nTimeout-Ms: 10000\r\nKey: key-1\r\n%s\r\n", method, path, i, i, length)
}

// Guards against running pipelined requests one after the other, and against responses that are out of order.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	const count = 8
	var running, most atomic.Int64
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		for now := running.Add(1); ; {
			if old := most.Load(); old >= now || most.CompareAndSwap(old, now) {
				break
			}
		}
		defer running.Add(-1)
		time.Sleep(100 * time.Millisecond)
		respond(w, r)
	}))
	requests := make([]string, count)
	for i := range requests {
		requests[i] = pipelined(http.MethodGet, "/read/", i)
	}
	reader := bufio.NewReader(sendAhead(t, f.nodes[0], requests...))
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, fmt.Sprint("id", i), response.Header.Get("Request-Id"))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
	must.Eq(t, count, f.totalRequests())
	must.GreaterEq(t, count-1, most.Load())
}

// Guards against starting a request that must not run twice before those ahead of it on the connection are answered.
func TestPipelinedWriteWaits(t *testing.T) {
	var reads atomic.Int64
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			must.Eq(t, 2, reads.Load())
		}
		time.Sleep(100 * time.Millisecond)
		reads.Add(1)
		respond(w, r)
	}))
	reader := bufio.NewReader(sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodGet, "/read/", 1),
		pipelined(http.MethodPost, "/once/", 2), pipelined(http.MethodGet, "/read/", 3)))
	for i := range 4 {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(i))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
}

// Guards against pipelined requests that go on at upstreams after their client has left.
func TestPipelinedClientLeaves(t *testing.T) {
	var ended atomic.Int64
	f := startFleet(t, 1, sameHandler(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended.Add(1)
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodGet, "/read/", 1), pipelined(http.MethodGet, "/read/", 2))
	f.eventually(func() error { return expectRequests(f, 3) })
	must.NoError(t, conn.Close())
	f.eventually(func() error {
		if got := ended.Load(); got != 3 {
			return fmt.Errorf("%d of 3 requests ended", got)
		}
		return nil
	})
}

func expectRequests(f *fleet, want int) error {
	if got := f.totalRequests(); got != want {
		return fmt.Errorf("%d requests at upstreams, want %d", got, want)
	}
	return nil
}

// Guards against closing the connection in a stop while requests behind the answered one are running.
func TestPipelinedRequestsOutlastStop(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		respond(w, r)
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodGet, "/read/", 1), pipelined(http.MethodGet, "/read/", 2))
	f.eventually(func() error { return expectRequests(f, 3) })
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].node.Stop() }()
	reader := bufio.NewReader(conn)
	for i := range 3 {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprint(i))
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(i))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
	must.NoError(t, <-stopped)
}

// Guards against closing the connection in a stop while requests behind the answered one have been read, which must wait for
// their turn.
func TestStopAnswersPipelinedWrite(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		respond(w, r)
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodPost, "/once/", 1), pipelined(http.MethodGet, "/read/", 2))
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	f.eventually(func() error { return expectRequests(f, 1) })
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].node.Stop() }()
	reader := bufio.NewReader(conn)
	for i := range 3 {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprint(i))
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(i))
		must.Eq(t, i == 2, response.Close, must.Sprint(i))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
	must.NoError(t, <-stopped)
}

// Guards against a stop that aborts requests which were started early without a response.
func TestStopRespondsToAbortedPipelinedRequests(t *testing.T) {
	f := startFleet(t, 1, sameHandler(respondAfter(time.Minute)))
	f.setShutdownTimeout(4800 * time.Millisecond)
	requests := make([]string, 3)
	for i := range requests {
		requests[i] = pipelined(http.MethodGet, "/read/long/", i)
	}
	conn := sendAhead(t, f.nodes[0], requests...)
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	f.eventually(func() error { return expectRequests(f, len(requests)) })
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].node.Stop() }()
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprint(i))
		must.Eq(t, http.StatusBadGateway, response.StatusCode, must.Sprint(i))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
	must.ErrorIs(t, <-stopped, sidecar.ErrRequestsAborted)
}
