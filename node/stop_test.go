package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
)

// plannedStop is the planned stop of a node of a fleet.
type plannedStop struct {
	t     *testing.T
	node  *Node
	began time.Time
	done  chan error
}

// beginStop stops node i with the shutdown timeout and returns once the node drains.
func (f *fleet) beginStop(t *testing.T, i int, timeout time.Duration) *plannedStop {
	s := &plannedStop{t: t, node: f.nodes[i], began: time.Now(), done: make(chan error, 1)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		s.done <- s.node.Stop(ctx)
	}()
	t.Cleanup(func() { f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return n == s.node }) })
	f.eventually("node drains", s.node.local.isDraining)
	return s
}

// wait returns the error of the finished stop.
func (s *plannedStop) wait() error {
	select {
	case err := <-s.done:
		return err
	case <-time.After(20 * time.Second):
		s.t.Fatal("the stop did not finish")
		return nil
	}
}

// result is what the caller of a request received.
type result struct {
	status int
	body   string
	err    error
}

func (r result) String() string { return fmt.Sprintf("%d %s %v", r.status, r.body, r.err) }

// doAsync sends a request in the background.
func (f *fleet) doAsync(i int, path string, header http.Header, body io.Reader) <-chan result {
	seen := make(chan result, 1)
	go func() {
		status, text, err := f.do(i, http.MethodPost, path, header, body)
		seen <- result{status, text, err}
	}()
	return seen
}

func mustBeRefused(t *testing.T, r result, code call.Code, outcome call.Outcome) {
	t.Helper()
	must.NoError(t, r.err)
	var refusal httpresponse.RefusalBody
	must.NoError(t, json.Unmarshal([]byte(r.body), &refusal), must.Sprint(r))
	must.Eq(t, code, refusal.Code, must.Sprint(r))
	must.Eq(t, outcome.String(), refusal.Outcome, must.Sprint(r))
}

// blockingUpstream returns a handler that signals the start of each call and responds when the test ends or the
// call is canceled.
func blockingUpstream(t *testing.T) (http.HandlerFunc, chan struct{}) {
	started, release := make(chan struct{}, 100), make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}, started
}

// Guards against closing the connections of requests that outlast the shutdown timeout without a response.
func TestStopRespondsToRunningRequests(t *testing.T) {
	for _, c := range []struct {
		name                     string
		entry, home, at, stopped int
	}{
		{"entry node", 0, 0, 1, 0},
		{"node of the upstream", 1, 1, 0, 0},
		{"home", 1, 0, 1, 0},
		{"all in one", 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var log syncBuffer
			f := newLoggedFleet(t, 2, zerolog.New(&log))
			handler, started := blockingUpstream(t)
			f.upstream(c.at, "hold", handler)
			seen := f.doAsync(c.entry, "/hold/a", keyed(call.HeaderRequestID, f.requestID(c.home)), nil)
			<-started
			s := f.beginStop(t, c.stopped, 1500*time.Millisecond)
			mustBeRefused(t, <-seen, call.CodeDraining, call.MayHaveRun)
			must.Less(t, 1500*time.Millisecond, time.Since(s.began))
			must.ErrorContains(t, s.wait(), "1 requests aborted")
			must.Eq(t, 1, strings.Count(log.String(), `"requests":1,"message":"requests aborted at the shutdown timeout"`), must.Sprint(log.String()))
		})
	}
}

// A request whose body is still arriving at the shutdown timeout must get the outcome not_run.
func TestStopRespondsToIncompleteUploads(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "stock", func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request reached the upstream") })
	body, writer := io.Pipe()
	defer writer.Close()
	seen := f.doAsync(0, "/stock/a", keyed(), body)
	_, err := writer.Write([]byte("half"))
	must.NoError(t, err)
	f.eventually("request is running", func() bool { return f.nodes[0].requests.count() == 1 })
	s := f.beginStop(t, 0, time.Second)
	mustBeRefused(t, <-seen, call.CodeDraining, call.NotRun)
	must.Error(t, s.wait())
}

// Guards against a stopping home node that accepts requests which cannot finish in time, and aborts them.
func TestStopRefusesLateHomeRequests(t *testing.T) {
	f := newFleet(t, 2)
	var late atomic.Int64
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	started := make(chan struct{}, 1)
	f.upstream(1, "hold", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hold/long":
			started <- struct{}{}
			<-release
		case "/hold/late":
			late.Add(1)
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "done")
	})
	ids := []string{f.requestID(0), f.requestID(0), f.requestID(0), f.requestID(0)}
	done := <-f.doAsync(1, "/hold/done", keyed(call.HeaderRequestID, ids[0]), nil)
	must.Eq(t, "done", done.body)
	long := f.doAsync(0, "/hold/long", keyed(call.HeaderRequestID, ids[1]), nil)
	<-started
	s := f.beginStop(t, 0, 4*time.Second)
	// A repeat of a finished request gets its response, and a request that can finish in time runs.
	repeat := <-f.doAsync(1, "/hold/done", keyed(call.HeaderRequestID, ids[0]), nil)
	must.Eq(t, "done", repeat.body, must.Sprint(repeat))
	short := <-f.doAsync(1, "/hold/short", keyed(call.HeaderRequestID, ids[2], call.HeaderTimeout, "1000"), nil)
	must.Eq(t, "done", short.body, must.Sprint(short))
	for range 2 { // a refused id is not used up
		mustBeRefused(t, <-f.doAsync(1, "/hold/late", keyed(call.HeaderRequestID, ids[3]), nil), call.CodeDraining, call.NotRun)
	}
	must.Eq(t, 0, late.Load())
	releaseOnce()
	running := <-long
	must.Eq(t, "done", running.body, must.Sprint(running))
	must.NoError(t, s.wait())
}

// Callers of a stopping node must get refusals with the right outcome, and no request ids, which are lost with it.
func TestStopRefusesCallers(t *testing.T) {
	f := newFleet(t, 2)
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	started := make(chan struct{}, 1)
	f.upstream(1, "hold", func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	f.upstream(0, "stock", func(http.ResponseWriter, *http.Request) { t.Error("a refused request ran") })
	other := f.requestID(1)
	long := f.doAsync(0, "/hold/a", keyed(call.HeaderRequestID, f.requestID(0)), nil)
	<-started
	s := f.beginStop(t, 0, 10*time.Second)
	mustBeRefused(t, <-f.doAsync(0, "/stock/a", keyed(), nil), call.CodeDraining, call.NotRun)
	// An earlier presentation elsewhere may have run.
	mustBeRefused(t, <-f.doAsync(0, "/hold/a", keyed(call.HeaderRequestID, other), nil), call.CodeDraining, call.MayHaveRun)
	mustBeRefused(t, <-f.doAsync(0, "/cowslip/request-ids", keyed(), nil), call.CodeDraining, call.NotRun)
	releaseOnce()
	must.Eq(t, 200, (<-long).status)
	must.NoError(t, s.wait())
}

// A running request may call other services until shortly before the end of the stop.
func TestStopRefusesLateDownstreamCalls(t *testing.T) {
	f := newFleet(t, 2)
	f.upstream(1, "stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	started, early, late := make(chan struct{}), make(chan result, 1), make(chan result, 1)
	stopBegan := make(chan struct{})
	f.upstream(0, "hold", func(_ http.ResponseWriter, r *http.Request) {
		downstream := func() result {
			request, _ := http.NewRequest(http.MethodGet, "http://"+f.nodes[0].settings.LocalAddress+"/stock/a", nil)
			request.Header.Set(call.HeaderCall, r.Header.Get(call.HeaderCall))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return result{err: err}
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			return result{response.StatusCode, string(body), err}
		}
		close(started)
		<-stopBegan
		early <- downstream()
		time.Sleep(1250 * time.Millisecond)
		late <- downstream()
	})
	seen := f.doAsync(1, "/hold/a", keyed(call.HeaderRequestID, f.requestID(1)), nil)
	<-started
	s := f.beginStop(t, 0, 2*time.Second)
	close(stopBegan)
	first := <-early
	must.Eq(t, "done", first.body, must.Sprint(first))
	mustBeRefused(t, <-late, call.CodeDraining, call.NotRun)
	must.Eq(t, 200, (<-seen).status)
	must.NoError(t, s.wait())
}

// Guards against connections without a request that delay a stop, by up to 5 s per listener.
func TestStopWithSilentConnections(t *testing.T) {
	f := newFleet(t, 1)
	for _, address := range []string{f.nodes[0].settings.CallerAddress, f.nodes[0].settings.PeerAddress, f.nodes[0].settings.LocalAddress} {
		connection, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer connection.Close()
	}
	s := f.beginStop(t, 0, 20*time.Second)
	must.NoError(t, s.wait())
	must.Less(t, 3*time.Second, time.Since(s.began))
}

// Guards against a store that does not respond and delays a stop until the process is killed.
func TestStopWithSilentStore(t *testing.T) {
	const shutdownTimeout = 2 * time.Second
	f := newFleet(t, 1)
	shards := f.nodes[0].quota.shards
	f.eventually("node owns shards", func() bool {
		shards.mu.Lock()
		defer shards.mu.Unlock()
		return len(shards.owned) > 1
	})
	f.store.SetDelay(time.Hour)
	s := f.beginStop(t, 0, shutdownTimeout)
	must.NoError(t, s.wait())
	must.Less(t, shutdownTimeout, time.Since(s.began))
}

// syncBuffer is a concurrent buffer for the log of a node.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against an operator's end of draining that makes a stopping node accept calls again, which it then has
// to abort.
func TestStopDrainingNotEndedByOperator(t *testing.T) {
	f := newFleet(t, 1)
	f.beginStop(t, 0, 3*time.Second)
	node := f.nodes[0]
	must.Eq(t, 0, node.SetDraining(false))
	must.True(t, node.local.isDraining())
}
