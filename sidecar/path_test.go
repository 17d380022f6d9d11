package sidecar_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request reaches an upstream with the headers of the system set by it, and its answer comes back
// unchanged. The key stays behind.
func TestRequestPasses(t *testing.T) {
	f := startFleet(t, 2, always(answer))
	for i, path := range []string{"/read/a?b=c", "/once/a", "/open/a"} {
		id := fmt.Sprintf("id-%d", i)
		got := f.send(f.nodes[0], http.MethodPost, path, id, "key-1", time.Second)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		must.Eq(t, "signed", got.header.Get("Response-Signature"))
		must.Eq(t, id, got.header.Get("Request-Id"))
	}
	must.Eq(t, 3, f.totalRuns())
	for _, n := range f.nodes {
		for _, r := range n.upstream.ran() {
			must.Eq(t, "", r.Header.Get("Key"))
			must.Eq(t, "s", r.Header.Get("Caller-Service"))
			must.Eq(t, n.upstream.instance, r.Header.Get("Expected-Instance"))
			must.Eq(t, "h.example", r.Host)
			must.NotEq(t, "1000", r.Header.Get("Timeout-Ms"), must.Sprint("time was spent on the way"))
			if r.URL.Path != "/open/a" {
				must.Eq(t, "w", r.Header.Get("Tenant-Id"))
			}
		}
	}
}

// Unknown routes, missing and unknown keys are refused for good while the configuration is current.
func TestRequestDenied(t *testing.T) {
	f := startFleet(t, 1, always(answer))
	must.Eq(t, http.StatusNotFound, f.send(f.nodes[0], http.MethodGet, "/none/", "id", "key-1", time.Second).status)
	must.Eq(t, http.StatusUnauthorized, f.send(f.nodes[0], http.MethodGet, "/read/", "id", "", time.Second).status)
	must.Eq(t, http.StatusUnauthorized, f.send(f.nodes[0], http.MethodGet, "/read/", "id", "other", time.Second).status)
	must.Eq(t, 0, f.totalRuns())
}

// A request that must not run twice is sent once when its answer is lost, and the client is not told that
// it has not run.
func TestOnceWhenAnswerIsLost(t *testing.T) {
	f := startFleet(t, 2, always(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", time.Second)
	must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(got.body))
	must.Eq(t, 1, f.totalRuns())
}

// A request that may be repeated goes to another upstream when its answer is lost.
func TestRepeatWhenAnswerIsLost(t *testing.T) {
	f := startFleet(t, 2, func(node int) http.HandlerFunc {
		if node == 0 {
			return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}
		return answer
	})
	for i := range 10 {
		must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/read/a", fmt.Sprint("id", i), "key-1", time.Second).status)
	}
}

// Answers that are not the upstream's result of this request never reach the client as a success.
func TestForeignAnswers(t *testing.T) {
	for name, behaviour := range map[string]http.HandlerFunc{
		"not signed": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"of another request": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", "other")
			answer(w, r)
		},
		"cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Response-Signature", "signed")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("x"))
		},
		"encoded": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			answer(w, r)
		},
		"busy after the run": func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, always(behaviour))
			got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", 500*time.Millisecond)
			must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, must.Sprint(got.body))
			must.Eq(t, "", got.header.Get("Response-Signature"))
			must.Eq(t, 1, f.totalRuns())
		})
	}
}

// An upstream that says that it has not run a request is believed: the request goes elsewhere, or is
// refused with a status that says so.
func TestUpstreamRefuses(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := startFleet(t, 1, always(refuse))
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", time.Second)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// After the acknowledgement of a drain or a departure the upstream gets nothing more, and a late heartbeat
// of it or of its predecessor changes nothing.
func TestLeavingUpstream(t *testing.T) {
	f := startFleet(t, 2, always(answer))
	leaving := f.nodes[0]
	must.NoError(t, leaving.node.Heartbeat(leaving.beat(3, true)))
	must.Error(t, leaving.node.Heartbeat(leaving.beat(2, false)), must.Sprint("sent before the drain"))
	old := leaving.beat(9, false)
	old.Born = 500
	must.Error(t, leaving.node.Heartbeat(old), must.Sprint("of an earlier start"))
	for i := range 20 {
		must.Eq(t, http.StatusOK, f.send(f.nodes[i%2], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", time.Second).status)
	}
	must.SliceEmpty(t, leaving.upstream.ran())

	other := f.nodes[1]
	other.node.Departed(other.upstream.instance, 1000)
	before := len(other.upstream.ran())
	must.Eq(t, http.StatusServiceUnavailable, f.send(other, http.MethodPost, "/once/a", "id-last", "key-1", time.Second).status)
	must.Len(t, before, other.upstream.ran())
}

// A node that cannot confirm that it has the newest configuration stops admitting keyed requests before
// the operators' time for withdrawn keys is over, and goes on with routes that need no key.
func TestWithdrawnKeyWhileStoreIsDown(t *testing.T) {
	f := startFleet(t, 2, always(answer))
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

// When a client leaves, the work for it ends at the upstream as well.
func TestClientLeaves(t *testing.T) {
	f := startFleet(t, 2, always(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
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
			gone := n.upstream.gone
			n.upstream.mu.Unlock()
			if gone > 0 {
				return nil
			}
		}
		return errors.New("still running")
	})
	must.Less(t, time.Second, time.Since(started))
}

// The route's time limit ends the wait, and the answer says that the request may have run.
func TestRouteTimeout(t *testing.T) {
	f := startFleet(t, 1, always(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	started := time.Now()
	got := f.send(f.nodes[0], http.MethodPost, "/once/a", "id", "key-1", 10*time.Second)
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Between(t, 2*time.Second, time.Since(started), 2500*time.Millisecond)
}

// A planned stop answers what is running, and says at once that the node is not ready.
func TestStopFinishesRequests(t *testing.T) {
	f := startFleet(t, 2, always(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		answer(w, r)
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

// While a node stops, its upstream still gets the calls that have no other upstream. They used to be refused
// for the whole time of the stop.
func TestStopServesOnlyUpstream(t *testing.T) {
	f := startFleet(t, 2, always(answer))
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

// A stopping node does not begin requests that it would have to cut. Clients that kept coming used to lose
// those that ran at its end.
func TestStopRefusesLateRequests(t *testing.T) {
	f := startFleet(t, 1, always(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		answer(w, r)
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
		if f.notTaken(got) {
			continue
		}
		must.NoError(t, got.err)
		must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status, must.Sprint(got.body))
		statuses[got.status]++
	}
	must.Positive(t, statuses[http.StatusOK])
	must.Positive(t, statuses[http.StatusServiceUnavailable])
}

// HEAD requests used to be answered 502, as their answers announce a body that does not come.
func TestHeadRequest(t *testing.T) {
	f := startFleet(t, 2, always(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", "100")
	}))
	for i := range 8 { // some of them are forwarded
		got := f.send(f.nodes[0], http.MethodHead, "/read/a", fmt.Sprint("id", i), "key-1", time.Second)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
	}
}
