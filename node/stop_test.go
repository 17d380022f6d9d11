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
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpanswer"
)

// stopping is a planned stop of one node of a fleet.
type stopping struct {
	t     *testing.T
	node  *Node
	began time.Time
	done  chan error
}

// beginStop stops node i with the shutdown timeout and returns once the node drains.
func (f *fleet) beginStop(t *testing.T, i int, timeout time.Duration) *stopping {
	s := &stopping{t: t, node: f.nodes[i], began: time.Now(), done: make(chan error, 1)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		s.done <- s.node.Stop(ctx)
	}()
	t.Cleanup(func() { f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return n == s.node }) })
	f.eventually("node drains", s.node.local.isDraining)
	return s
}

// end waits for the end of the stop and returns its error.
func (s *stopping) end() error {
	select {
	case err := <-s.done:
		return err
	case <-time.After(20 * time.Second):
		s.t.Fatal("the stop does not end")
		return nil
	}
}

// answer is what a caller saw of a request.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string { return fmt.Sprintf("%d %s %v", a.status, a.body, a.err) }

// later sends a request in the background.
func (f *fleet) later(i int, path string, header http.Header, body io.Reader) <-chan answer {
	seen := make(chan answer, 1)
	go func() {
		status, text, err := f.do(i, http.MethodPost, path, header, body)
		seen <- answer{status, text, err}
	}()
	return seen
}

func mustRefuse(t *testing.T, a answer, code call.Code, outcome call.Outcome) {
	t.Helper()
	must.NoError(t, a.err)
	var refusal httpanswer.RefusalBody
	must.NoError(t, json.Unmarshal([]byte(a.body), &refusal), must.Sprint(a))
	must.Eq(t, code, refusal.Code, must.Sprint(a))
	must.Eq(t, outcome.String(), refusal.Outcome, must.Sprint(a))
}

// blocking returns an upstream that announces each of its calls and answers them when the test ends or the
// call is canceled.
func blocking(t *testing.T) (http.HandlerFunc, chan struct{}) {
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

// Requests that outlast the shutdown timeout used to get a closed connection without an answer.
func TestStopAnswersRunningRequests(t *testing.T) {
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
			handler, started := blocking(t)
			f.upstream(c.at, "hold", handler)
			seen := f.later(c.entry, "/hold/a", keyed(call.HeaderRequestID, f.requestID(c.home)), nil)
			<-started
			s := f.beginStop(t, c.stopped, 1500*time.Millisecond)
			mustRefuse(t, <-seen, call.CodeDraining, call.MayHaveRun)
			must.Less(t, 1500*time.Millisecond, time.Since(s.began))
			must.ErrorContains(t, s.end(), "1 requests were ended")
			must.Eq(t, 1, strings.Count(log.String(), `"requests":1,"message":"requests ended at the shutdown timeout"`), must.Sprint(log.String()))
		})
	}
}

// A request whose body still arrives when the shutdown timeout runs out has not run.
func TestStopAnswersUploads(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "stock", func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request reached the upstream") })
	body, writer := io.Pipe()
	defer writer.Close()
	seen := f.later(0, "/stock/a", keyed(), body)
	_, err := writer.Write([]byte("half"))
	must.NoError(t, err)
	f.eventually("request is taken", func() bool { return f.nodes[0].work.count() == 1 })
	s := f.beginStop(t, 0, time.Second)
	mustRefuse(t, <-seen, call.CodeDraining, call.NotRun)
	must.Error(t, s.end())
}

// Connections on which nothing came used to prolong a stop by up to 5 s for each listener.
func TestStopWithSilentConnections(t *testing.T) {
	f := newFleet(t, 1)
	for _, address := range []string{f.nodes[0].settings.CallerAddress, f.nodes[0].settings.PeerAddress, f.nodes[0].settings.LocalAddress} {
		connection, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer connection.Close()
	}
	s := f.beginStop(t, 0, 20*time.Second)
	must.NoError(t, s.end())
	must.Less(t, 3*time.Second, time.Since(s.began))
}

// syncBuffer is a buffer for the log of a node.
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
