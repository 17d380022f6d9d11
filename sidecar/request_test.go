package sidecar_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request reaches an upstream with the system headers set, and the response is returned unchanged. The key
// is not forwarded.
func TestRequestPasses(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	for i, path := range []string{"/read/a?b=c", "/once/a", "/open/a"} {
		id := fmt.Sprintf("id-%d", i)
		got := f.send(f.nodes[0], http.MethodPost, path, id, "key-1", time.Second)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		must.Eq(t, "signed", got.header.Get("Response-Signature"))
		must.Eq(t, id, got.header.Get("Request-Id"))
	}
	must.Eq(t, 3, f.totalRequests())
	for _, n := range f.nodes {
		for _, r := range n.upstream.requests() {
			must.Eq(t, "", r.Header.Get("Key"))
			must.Eq(t, "s", r.Header.Get("Caller-Service"))
			must.Eq(t, n.upstream.instance, r.Header.Get("Expected-Instance"))
			must.Eq(t, "h.example", r.Host)
			must.NotEq(t, "1000", r.Header.Get("Timeout-Ms"), must.Sprint("must be reduced by the elapsed time"))
			if r.URL.Path != "/open/a" {
				must.Eq(t, "w", r.Header.Get("Tenant-Id"))
			}
		}
	}
}

// Unknown routes, missing keys and unknown keys are refused permanently while the configuration is current.
func TestRequestDenied(t *testing.T) {
	f := startFleet(t, 1, sameHandler(respond))
	must.Eq(t, http.StatusNotFound, f.send(f.nodes[0], http.MethodGet, "/none/", "id", "key-1", time.Second).status)
	must.Eq(t, http.StatusUnauthorized, f.send(f.nodes[0], http.MethodGet, "/read/", "id", "", time.Second).status)
	must.Eq(t, http.StatusUnauthorized, f.send(f.nodes[0], http.MethodGet, "/read/", "id", "other", time.Second).status)
	must.Eq(t, 0, f.totalRequests())
}

// A non-idempotent request is sent once when its response is lost, and the client is not told that it has
// not run.
func TestNonIdempotentNotRepeatedWhenResponseIsLost(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", time.Second)
	must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(got.body))
	must.Eq(t, 1, f.totalRequests())
}

// An idempotent request is resent to another upstream when its response is lost.
func TestIdempotentRepeatedWhenResponseIsLost(t *testing.T) {
	f := startFleet(t, 2, func(node int) http.HandlerFunc {
		if node == 0 {
			return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}
		return respond
	})
	for i := range 10 {
		must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/read/a", fmt.Sprint("id", i), "key-1", time.Second).status)
	}
}

// A response that is not the upstream's result of the request never reaches the client as a success.
func TestInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"not signed": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"of another request": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", "other")
			respond(w, r)
		},
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Response-Signature", "signed")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("x"))
		},
		"encoded": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			respond(w, r)
		},
		"busy after the run": func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, sameHandler(handler))
			got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", 500*time.Millisecond)
			must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, must.Sprint(got.body))
			must.Eq(t, "", got.header.Get("Response-Signature"))
			must.Eq(t, 1, f.totalRequests())
		})
	}
}

// An upstream's statement that it has not run a request is trusted: the request is sent elsewhere, or
// refused with a status that says so.
func TestUpstreamRefuses(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := startFleet(t, 1, sameHandler(refuse))
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", time.Second)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// After a drain or departure is acknowledged, the upstream receives no further requests, and late heartbeats
// of it or of an earlier upstream process have no effect.
func TestLeavingUpstream(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	leaving := f.nodes[0]
	must.NoError(t, leaving.node.Heartbeat(leaving.beat(3, true)))
	must.Error(t, leaving.node.Heartbeat(leaving.beat(2, false)), must.Sprint("sent before the drain"))
	old := leaving.beat(9, false)
	old.StartTimeMS = 500
	must.Error(t, leaving.node.Heartbeat(old), must.Sprint("sent by an earlier process"))
	for i := range 20 {
		must.Eq(t, http.StatusOK, f.send(f.nodes[i%2], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", time.Second).status)
	}
	must.SliceEmpty(t, leaving.upstream.requests())

	other := f.nodes[1]
	other.node.Departed(other.upstream.instance, 1000)
	before := len(other.upstream.requests())
	must.Eq(t, http.StatusServiceUnavailable, f.send(other, http.MethodPost, "/once/a", "id-last", "key-1", time.Second).status)
	must.Len(t, before, other.upstream.requests())
}

// A node that cannot confirm that its configuration is the newest stops admitting keyed requests before the
// operators' time limit for withdrawn keys, and continues to serve routes that need no key.
func TestWithdrawnKeyWhileStoreIsDown(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/read/a", "id-0", "key-1", time.Second).status)
	f.configure(2, `"key-2"`, 1000)
	f.store.SetDown(true)
	time.Sleep(f.nodes[0].settings.WithdrawalTime)
	got := f.send(f.nodes[0], http.MethodGet, "/read/a", "id-1", "key-1", time.Second)
	must.SliceContains(t, []int{http.StatusServiceUnavailable, http.StatusUnauthorized}, got.status)
	must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/open/a", "id-2", "", time.Second).status)
	f.store.SetDown(false)
	f.eventually(func() error {
		if got := f.send(f.nodes[0], http.MethodGet, "/read/a", "id-3", "key-2", time.Second); got.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", got.status, got.body)
		}
		return nil
	})
}

// When a client disconnects, the upstream's work for it is canceled as well.
func TestClientDisconnects(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[0].settings.RequestAddress+"/open/a", nil)
	must.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", "id")
	r.Header.Set("Timeout-Ms", "1800")
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	must.ErrorIs(t, err, context.DeadlineExceeded)
	started := time.Now()
	f.eventually(func() error {
		for _, n := range f.nodes {
			n.upstream.mu.Lock()
			disconnected := n.upstream.disconnected
			n.upstream.mu.Unlock()
			if disconnected > 0 {
				return nil
			}
		}
		return errors.New("still running")
	})
	must.Less(t, time.Second, time.Since(started))
}

// The route's timeout ends a request, and the response states that it may have run.
func TestRouteTimeout(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	started := time.Now()
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", 10*time.Second)
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Between(t, 2*time.Second, time.Since(started), 2500*time.Millisecond)
}

// A graceful shutdown finishes running requests and reports immediately that the node is not ready.
func TestStopFinishesRequests(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		respond(w, r)
	}))
	results := make(chan result, 8)
	for i := range cap(results) {
		go func() {
			results <- f.send(f.nodes[i%2], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", 2*time.Second)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].node.Stop() }()
	f.eventually(func() error {
		response, err := http.Get("http://" + f.nodes[0].settings.ReadyAddress + "/v1/readiness")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return errors.New("still ready")
		}
		return nil
	})
	for range cap(results) {
		got := <-results
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	}
	must.NoError(t, <-stopped)
}

// Guards against refusing calls during the entire shutdown of a node whose upstream is the only one of its
// service.
func TestStopServesOnlyUpstream(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true)))
	stopped := make(chan error, 1)
	started := time.Now()
	go func() { stopped <- f.nodes[0].node.Stop() }()
	for i := 0; time.Since(started) < 2*time.Second; i++ {
		got := f.send(f.nodes[1], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", time.Second)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		time.Sleep(20 * time.Millisecond)
	}
	must.NoError(t, <-stopped)
}

// Guards against a stopping node that starts requests which it has to abort. Clients that kept sending lost
// the requests that were running at the end.
func TestStopRefusesLateRequests(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		respond(w, r)
	}))
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].node.Stop() }()
	results := make(chan result, 100)
	sent := 0
	for started := time.Now(); time.Since(started) < f.nodes[0].settings.ShutdownTimeout; sent++ {
		id := fmt.Sprint("id", sent)
		go func() { results <- f.send(f.nodes[0], http.MethodPost, "/once/a", id, "key-1", 5*time.Second) }()
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
	must.Positive(t, statuses[http.StatusServiceUnavailable])
}

// Guards against 502 responses to HEAD requests, whose responses declare a body length but have no body.
func TestHeadRequest(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", "100")
	}))
	for i := range 8 { // some of these are forwarded
		got := f.send(f.nodes[0], http.MethodHead, "/read/a", fmt.Sprint("id", i), "key-1", time.Second)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
	}
}

// Guards against telling a client that its request has not run because the upstream repeats an earlier refusal while
// it runs the request.
func TestRepeatedRefusalOfEarlierRequest(t *testing.T) {
	for name, status := range map[string]string{
		"busy": "503 Service Unavailable\r\nNot-Executed: 1", "of another address": "421 Misdirected Request\r\nInstance-Id: i-0",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			refusal := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
			f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, refusal)
				next, err := http.ReadRequest(buffered.Reader)
				if err != nil {
					return
				}
				runs.Add(1)
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nContent-Length: 2\r\n\r\nok", next.Header.Get("Request-Id"))
			}))
			for i := range 20 {
				for _, n := range f.nodes { // a node waits for a heartbeat after another upstream had the address
					must.NoError(t, n.node.Heartbeat(n.beat(int64(i+2), false)))
				}
				before := runs.Load()
				got := f.send(f.nodes[0], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", time.Second)
				ran := runs.Load() - before
				must.LessEq(t, 1, ran, must.Sprint("sent to a second upstream"))
				if ran == 1 {
					must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
				}
			}
			must.Positive(t, runs.Load())
		})
	}
}
