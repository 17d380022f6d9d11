package sidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// setShutdownTimeout changes the shutdown timeout of all nodes.
func (f *fleet) setShutdownTimeout(timeout time.Duration) {
	for _, n := range f.nodes {
		changed := *n.settings
		changed.ShutdownTimeout = timeout
		n.node.Reload(&changed)
	}
}

// stopAndClose stops a node and closes what remains, as the exit of its process does.
func (n *fleetNode) stopAndClose() error {
	err := n.node.Stop()
	n.node.Close()
	return err
}

// respondAfter responds after a delay, unless the node cancels the request first.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			respond(w, r)
		case <-r.Context().Done():
		}
	}
}

// neverStarted reports whether a request failed because it arrived after the shutdown, or as its connection
// was being closed, and no upstream has started it.
func (f *fleet) neverStarted(got result) bool {
	if got.err == nil {
		return false
	}
	for _, n := range f.nodes {
		for _, r := range n.upstream.requests() {
			if r.Header.Get("Request-Id") == got.id {
				return false
			}
		}
	}
	return true
}

// Guards against a stopping node that accepts calls of running requests and then aborts them: every call
// must get a response, or a refusal that is true.
func TestStopAbortsNoLateCall(t *testing.T) {
	f := startFleet(t, 1, sameHandler(respondAfter(700*time.Millisecond)))
	must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/open/a", "before", "", 2*time.Second).status)
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	results := make(chan result, 100)
	sent := 0
	for started := time.Now(); time.Since(started) < f.nodes[0].settings.ShutdownTimeout; sent++ {
		id := fmt.Sprint("id", sent)
		go func() { results <- f.send(f.nodes[0], http.MethodGet, "/open/a", id, "", 2*time.Second) }()
		time.Sleep(100 * time.Millisecond)
	}
	must.NoError(t, <-stopped)
	statuses := map[int]int{}
	for range sent {
		got := <-results
		if f.neverStarted(got) {
			continue
		}
		must.NoError(t, got.err)
		must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status, must.Sprint(got.body))
		statuses[got.status]++
	}
	must.Positive(t, statuses[http.StatusOK])
}

// Guards against aborting requests without a response when a shutdown has no time left: the caller must be
// told that the request may have run, and a log line must name it.
func TestStopRespondsToAbortedRequests(t *testing.T) {
	for _, path := range []string{"/read/long/a", "/once/long/a", "/open/long/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 1, sameHandler(respondAfter(time.Minute)))
			f.setShutdownTimeout(4800 * time.Millisecond)
			got := make(chan result, 1)
			go func() { got <- f.send(f.nodes[0], http.MethodGet, path, "cut-1", "key-1", 10*time.Second) }()
			f.eventually(func() error {
				if f.totalRequests() == 0 {
					return errors.New("not running yet")
				}
				return nil
			})
			err := f.nodes[0].stopAndClose()
			must.ErrorIs(t, err, sidecar.ErrRequestsAborted)
			must.StrNotContains(t, err.Error(), "deadline exceeded", must.Sprint("response sent only after the deadline"))
			end := <-got
			must.NoError(t, end.err)
			must.Eq(t, http.StatusBadGateway, end.status)
			must.StrContains(t, end.body, "draining (may_have_run)")
			must.SliceNotEmpty(t, f.logs.find(`"event":"request_cut"`, "cut-1", `"outcome":"may_have_run"`))
			must.SliceNotEmpty(t, f.logs.find(`"event":"stop"`, `"cut":1`))
		})
	}
}

// A stopping node reports the outcome of an aborted call to the node that forwarded it.
func TestStopRespondsToAbortedForwardedCalls(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respondAfter(time.Minute)))
	f.setShutdownTimeout(1500 * time.Millisecond)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	got := make(chan result, 1)
	f.eventually(func() error {
		if f.totalRequests() > 0 {
			return nil
		}
		go func() { got <- f.send(f.nodes[1], http.MethodPost, "/once/a", "cut-1", "key-1", 10*time.Second) }()
		time.Sleep(200 * time.Millisecond)
		return errors.New("not running yet")
	})
	must.Error(t, f.nodes[0].stopAndClose())
	end := <-got
	must.NoError(t, end.err)
	must.Eq(t, http.StatusBadGateway, end.status)
	must.StrContains(t, end.body, "draining (may_have_run)")
}

// Guards against waiting for connections on which nothing was sent. Such shutdowns lasted up to the shutdown
// timeout, so more nodes of a failure domain were unavailable at the same time.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	f := startFleet(t, 1, sameHandler(respond))
	s := f.nodes[0].settings
	started := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	for _, address := range []string{s.RequestAddress, s.PeerAddress, s.ControlAddress, s.HeartbeatAddress, s.ReadyAddress} {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	must.NoError(t, <-stopped)
	must.Less(t, 4*time.Second, time.Since(started))
}

// A response that is truncated while it is passed on is logged, because its client only sees a closed
// connection.
func TestTruncatedResponseIsLogged(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		panic(http.ErrAbortHandler)
	}))
	got := f.send(f.nodes[0], http.MethodGet, "/read/a", "broken-1", "key-1", time.Second)
	must.Error(t, got.err)
	f.eventually(func() error {
		if len(f.logs.find(`"event":"answer_broken"`, "broken-1", `"bytes":131072`)) == 0 {
			return errors.New("no log line")
		}
		return nil
	})
}

// Guards against aborting incomplete uploads without a response when a shutdown has no time left for the
// rest of the body: the caller must be told that nothing has run.
func TestStopRespondsToIncompleteUpload(t *testing.T) {
	f := startFleet(t, 1, sameHandler(respond))
	f.setShutdownTimeout(1500 * time.Millisecond)
	conn, err := net.Dial("tcp", f.nodes[0].settings.RequestAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: half-1\r\nTimeout-Ms: 10000\r\nKey: key-1\r\nContent-Length: 10\r\n\r\nhalf")
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, f.nodes[0].stopAndClose())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, 0, f.totalRequests())
	must.SliceNotEmpty(t, f.logs.find(`"event":"request_refused"`, "half-1", `"code":"draining"`))
}

// Guards against a shutdown that considers a forwarded call finished while its response is still being
// streamed.
func TestStopServesCallsOfForwardedStreams(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/open/") {
			respond(w, r)
			return
		}
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		select {
		case <-time.After(1600 * time.Millisecond):
			_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		case <-r.Context().Done():
		}
	}))
	f.setShutdownTimeout(3 * time.Second)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	time.Sleep(300 * time.Millisecond)
	got := make(chan result, 1)
	go func() { got <- f.send(f.nodes[1], http.MethodPost, "/once/a", "stream-1", "key-1", 2*time.Second) }()
	// The request is still running on the upstream of n0, which makes a call through its own node.
	time.Sleep(1350 * time.Millisecond)
	r := f.send(f.nodes[0], http.MethodGet, "/open/b", "call-1", "", 500*time.Millisecond)
	end := <-got
	t.Log("stop:", <-stopped, "stream:", end.status, end.err, len(end.body))
	must.NoError(t, end.err)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
}

// A streamed response to another node that is aborted by a shutdown is counted and logged at this node as
// well.
func TestStopCountsAbortedForwardedStreams(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	f.setShutdownTimeout(1500 * time.Millisecond)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	time.Sleep(300 * time.Millisecond)
	got := make(chan result, 1)
	go func() { got <- f.send(f.nodes[1], http.MethodPost, "/once/a", "cut-1", "key-1", 10*time.Second) }()
	f.eventually(func() error {
		if f.totalRequests() == 0 {
			return errors.New("not running yet")
		}
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	err := f.nodes[0].stopAndClose()
	r := <-got
	t.Log(err, r.err, len(r.body))
	must.SliceNotEmpty(t, f.logs.find(`"node":"n0"`, `"event":"stop"`, `"cut":1`))
}

// Only the stopping node logs an abort. The node where the request entered logs a refusal.
func TestOnlyStoppingNodeLogsAbort(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respondAfter(time.Minute)))
	f.setShutdownTimeout(1500 * time.Millisecond)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	got := make(chan result, 1)
	f.eventually(func() error {
		if f.totalRequests() > 0 {
			return nil
		}
		go func() { got <- f.send(f.nodes[1], http.MethodPost, "/once/a", "cut-1", "key-1", 10*time.Second) }()
		time.Sleep(200 * time.Millisecond)
		return errors.New("not running yet")
	})
	must.Error(t, f.nodes[0].stopAndClose())
	must.Eq(t, http.StatusBadGateway, (<-got).status)
	must.SliceNotEmpty(t, f.logs.find(`"event":"request_refused"`, `"node":"n1"`, "cut-1")) // docs/OPERATIONS.md
}

// A response truncated by a client disconnect is not logged as broken.
func TestClientDisconnectIsNotLoggedAsTruncated(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	conn, err := net.Dial("tcp", f.nodes[0].settings.RequestAddress)
	must.NoError(t, err)
	_, err = fmt.Fprint(conn, "GET /read/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: left-1\r\nTimeout-Ms: 2000\r\nKey: key-1\r\n\r\n")
	must.NoError(t, err)
	_, err = conn.Read(make([]byte, 4<<10))
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	_ = conn.Close()
	time.Sleep(500 * time.Millisecond)
	lines := f.logs.find(`"event":"answer_broken"`, "left-1")
	must.SliceEmpty(t, lines)
}

// Guards against running requests that fail during a shutdown because, without workspaces, their calls
// cannot be distinguished from client requests. The call may be repeated: one that must not is refused so late, as it could be
// aborted while it runs.
func TestStopServesCallsWithoutWorkspaces(t *testing.T) {
	var local atomic.Pointer[fleetNode]
	var f *fleet
	f = startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/parent" {
			time.Sleep(500 * time.Millisecond)
			if got := f.send(local.Load(), http.MethodGet, "/read/call", "call", "", 1800*time.Millisecond); got.status != http.StatusOK {
				t.Log("call:", got.status, strings.TrimSpace(got.body), got.err)
				w.Header().Set("Response-Signature", "signed")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
		respond(w, r)
	}))
	local.Store(f.nodes[0])
	entry, err := f.store.Get(t.Context(), "op/config")
	must.NoError(t, err)
	document := fmt.Sprintf(configuration, 2, `"key-1"`, 1, 1)
	document, _, _ = strings.Cut(document, `"tenants"`)
	document += `"tenants":[]}`
	_, err = f.store.CompareAndSwap(t.Context(), "op/config", entry.Revision, []byte(document), kvstore.NoLease)
	must.NoError(t, err)
	f.eventually(func() error {
		if got := f.send(f.nodes[0], http.MethodGet, "/read/a", "id", "", time.Second); got.status != http.StatusOK {
			return errors.New(got.body)
		}
		return nil
	})
	f.setShutdownTimeout(3 * time.Second)
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	time.Sleep(1200 * time.Millisecond) // within the accept period
	got := f.send(f.nodes[0], http.MethodPost, "/once/parent", "parent", "", 2*time.Second)
	must.NoError(t, <-stopped)
	must.Eq(t, http.StatusOK, got.status)
}

// Guards against a stopping destination that waits for the rest of an upload until it exits, and loses the
// call.
func TestStopRespondsToForwardedIncompleteUpload(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	f.setShutdownTimeout(1500 * time.Millisecond)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	time.Sleep(300 * time.Millisecond)
	conn, err := net.Dial("tcp", f.nodes[1].settings.RequestAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: half-1\r\nTimeout-Ms: 10000\r\nKey: key-1\r\nContent-Length: %d\r\n\r\nhalf", 4*call.BufferLimit)
	must.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	stopErr := f.nodes[0].stopAndClose()
	took := time.Since(start)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	var buf bytes.Buffer
	_, _ = buf.ReadFrom(response.Body)
	t.Log(took, stopErr, response.StatusCode, buf.String(), f.totalRequests())
	must.Eq(t, 0, f.totalRequests())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode) // nothing has run
}

// After the accept period, a stopping node still accepts calls of its own upstream that end in time, but no
// calls from other nodes.
func TestLateInStopOnlyLocalCallsAreAccepted(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			respondAfter(4*time.Second)(w, r)
			return
		}
		respond(w, r)
	}))
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	running := make(chan result, 1)
	f.eventually(func() error { // keeps the node from exiting early
		if f.totalRequests() > 0 {
			return nil
		}
		go func() {
			running <- f.send(f.nodes[1], http.MethodPost, "/once/long/slow", "slow", "key-1", 10*time.Second)
		}()
		time.Sleep(200 * time.Millisecond)
		return errors.New("not running yet")
	})
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	time.Sleep(2800 * time.Millisecond) // after the accept period

	local := f.send(f.nodes[0], http.MethodGet, "/open/long/a", "own", "", 10*time.Second)
	must.NoError(t, local.err)
	must.Eq(t, http.StatusOK, local.status, must.Sprint(local.body))
	runs := f.totalRequests()
	other := f.send(f.nodes[1], http.MethodPost, "/once/a", "other", "key-1", time.Second)
	must.NoError(t, other.err)
	must.Eq(t, http.StatusServiceUnavailable, other.status, must.Sprint(other.body))
	must.Eq(t, runs, f.totalRequests())
	must.Eq(t, http.StatusOK, (<-running).status)
	must.NoError(t, <-stopped)
}

// Guards against aborting a call late in a stop while the request that made it still waits for it: the request must
// be aborted first, so that its upstream gives up the call.
func TestStopAbortsRequestsBeforeTheirCalls(t *testing.T) {
	var local atomic.Pointer[fleetNode]
	var f *fleet
	calls := make(chan result, 10)
	f = startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/once/long/parent":
			time.Sleep(1900 * time.Millisecond)
			request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+local.Load().settings.RequestAddress+"/open/long/slow", nil)
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "h.example"
			request.Header.Set("Request-Id", r.Header.Get("Request-Id")+".call")
			request.Header.Set("Timeout-Ms", "8000")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				calls <- result{err: err}
				return
			}
			_ = response.Body.Close()
			calls <- result{status: response.StatusCode}
		case "/open/long/slow":
			<-r.Context().Done()
		default:
			respond(w, r)
		}
	}))
	local.Store(f.nodes[0])
	must.NoError(t, f.nodes[0].node.Heartbeat(f.nodes[0].beat(2, false)))
	f.setShutdownTimeout(3 * time.Second)
	must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/open/long/a", "before", "", time.Second).status)
	const parents = 4 // each needs two of the upstream's slots
	for i := range parents {
		go f.send(f.nodes[0], http.MethodPost, "/once/long/parent", fmt.Sprint("p", i), "key-1", 10*time.Second)
	}
	time.Sleep(100 * time.Millisecond)
	must.Error(t, f.nodes[0].stopAndClose())
	for range parents {
		got := <-calls
		must.Zero(t, got.status, must.Sprint("call aborted before its request"))
		must.ErrorIs(t, got.err, context.Canceled)
	}
}

// Guards against accepting a client's request on an open route late in a stop and aborting it: while the upstream is
// idle, it cannot be a call made by a running request.
func TestStopRefusesLateClientsOnOpenRoutes(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			respondAfter(time.Minute)(w, r)
			return
		}
		respond(w, r)
	}))
	f.setShutdownTimeout(3 * time.Second)
	must.NoError(t, f.nodes[0].node.Heartbeat(f.nodes[0].beat(2, true))) // the other upstream runs all requests
	time.Sleep(300 * time.Millisecond)
	go f.send(f.nodes[0], http.MethodPost, "/once/long/slow", "slow", "key-1", 10*time.Second) // keeps the node from exiting early
	f.eventually(func() error {
		if len(f.nodes[1].upstream.requests()) == 0 {
			return errors.New("not running yet")
		}
		return nil
	})
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	time.Sleep(1800 * time.Millisecond) // after the accept period
	got := f.send(f.nodes[0], http.MethodGet, "/open/long/slow", "late", "", 10*time.Second)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status, must.Sprint(got.body))
	must.ErrorIs(t, <-stopped, sidecar.ErrRequestsAborted) // the first request
}

// Guards against running a request late in a stop that may outlast it and must not be repeated: it would be aborted, and
// its sender could not know whether it has run. On an open route it may be a call made by a running request.
func TestStopRunsNoLateRequestThatMustNotBeRepeated(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			respondAfter(time.Minute)(w, r)
			return
		}
		respond(w, r)
	}))
	f.setShutdownTimeout(3 * time.Second)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	time.Sleep(300 * time.Millisecond)                                                         // until the other node is known to be draining
	go f.send(f.nodes[0], http.MethodPost, "/once/long/slow", "slow", "key-1", 10*time.Second) // keeps the upstream busy
	f.eventually(func() error {
		if len(f.nodes[0].upstream.requests()) == 0 {
			return errors.New("not running yet")
		}
		return nil
	})
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].stopAndClose() }()
	time.Sleep(1800 * time.Millisecond) // after the accept period
	late := f.send(f.nodes[0], http.MethodPost, "/open/once/slow", "late", "", 10*time.Second)
	short := f.send(f.nodes[0], http.MethodPost, "/open/once/a", "short", "", 300*time.Millisecond)
	must.NoError(t, late.err)
	must.Eq(t, http.StatusServiceUnavailable, late.status, must.Sprint(late.body))
	must.StrContains(t, late.body, "not_run")
	must.NoError(t, short.err)
	must.Eq(t, http.StatusOK, short.status, must.Sprint("ends before the node does: ", short.body))
	must.ErrorIs(t, <-stopped, sidecar.ErrRequestsAborted) // the first request
	for _, r := range f.nodes[0].upstream.requests() {
		must.NotEq(t, "late", r.Header.Get("Request-Id"))
	}
}
