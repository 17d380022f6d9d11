package sidecar_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/platform"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// fleet is a set of real nodes on loopback, each with a fake upstream, and an in-memory store.
type fleet struct {
	t     *testing.T
	store *kvstore.Memory
	nodes []*fleetNode
	logs  *logBuffer
	// adjust, if not nil, changes the settings of each node.
	adjust func(*sidecar.Settings)
}

// fleetNode is a node and its upstream.
type fleetNode struct {
	node     *sidecar.Node
	settings *sidecar.Settings
	upstream *fakeUpstream
}

// logBuffer collects the log lines of all nodes.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// find returns the lines that contain all parts.
func (b *logBuffer) find(parts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for _, line := range b.lines {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

// configuration is the operators' document for the tests. It has one service and one workspace, an
// idempotent, a non-idempotent, an open and an open non-idempotent route, and for each of them a route below it with a long timeout.
const configuration = `{"version":"r%d","routes":[
 {"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":2,"service":"s","maxAttempts":2},
 {"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":0,"service":"s","maxAttempts":2},
 {"name":"open","host":"h.example","prefix":"/open/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"s","maxAttempts":2,"authExempt":true},
 {"name":"open-once","host":"h.example","prefix":"/open/once/","kind":"non_idempotent","timeoutS":20,"targetLatencyS":0.5,"priority":1,"service":"s","maxAttempts":2,"authExempt":true},
 {"name":"read-long","host":"h.example","prefix":"/read/long/","kind":"idempotent","timeoutS":20,"targetLatencyS":0.5,"priority":2,"service":"s","maxAttempts":2},
 {"name":"once-long","host":"h.example","prefix":"/once/long/","kind":"non_idempotent","timeoutS":20,"targetLatencyS":0.5,"priority":0,"service":"s","maxAttempts":2},
 {"name":"open-long","host":"h.example","prefix":"/open/long/","kind":"idempotent","timeoutS":20,"targetLatencyS":0.5,"priority":1,"service":"s","maxAttempts":2,"authExempt":true}],
 "services":[{"name":"s","healthPath":"/health","maxConnections":100}],
 "tenants":[{"name":"w","apiKeys":[%s],"priority":1,"ratePerS":%d,"burst":%d}]}`

func startFleet(t *testing.T, count int, handler func(node int) http.HandlerFunc) *fleet {
	t.Helper()
	return startFleetWith(t, count, handler, nil)
}

// startFleetWith is like startFleet and changes the settings of each node.
func startFleetWith(t *testing.T, count int, handler func(node int) http.HandlerFunc, adjust func(*sidecar.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, store: kvstore.NewMemory(time.Now), logs: &logBuffer{}, adjust: adjust}
	f.configure(1, `"key-1"`, 1000)
	for i := range count {
		f.nodes = append(f.nodes, f.startNode(i, handler(i)))
	}
	for _, n := range f.nodes {
		must.NoError(t, n.node.Heartbeat(n.beat(1, false)))
	}
	f.eventually(func() error {
		for _, n := range f.nodes {
			if status, body := f.vars(n); status != http.StatusOK || !containsMembers(body, count) {
				return fmt.Errorf("%s does not know all members: %s", n.settings.Node, body)
			} else if !strings.Contains(body, `"w":{"share":0.`) && !strings.Contains(body, `"w":{"share":1,`) {
				return fmt.Errorf("%s holds no share of the rate: %s", n.settings.Node, body)
			} else if tokens := workspaceTokens(body); tokens < fleetTokens {
				return fmt.Errorf("%s has %v tokens, as the burst is empty after a start of all nodes", n.settings.Node, tokens)
			}
		}
		return nil
	})
	return f
}

// containsMembers reports whether the metrics of a node tell that it knows a number of members, itself included.
func containsMembers(metrics string, count int) bool {
	return strings.Contains(metrics, fmt.Sprintf(`"members": %d`, count))
}

// fleetTokens is how many requests a test may send to a node at once after startFleet.
const fleetTokens = 50

// workspaceTokens returns the tokens of the workspace in the metrics of a node.
func workspaceTokens(metrics string) float64 {
	var vars struct {
		Shares map[string]struct{ Tokens float64 } `json:"quota_shares"`
	}
	if json.Unmarshal([]byte(metrics), &vars) != nil {
		return 0
	}
	return vars.Shares["w"].Tokens
}

// configure writes a configuration with the given keys, as JSON strings, and rate.
func (f *fleet) configure(version int, keys string, rate int) {
	f.t.Helper()
	f.put("op/config", fmt.Sprintf(configuration, version, keys, rate, rate))
}

// put writes a key of the operators to the store.
func (f *fleet) put(key, value string) {
	f.t.Helper()
	entry, err := f.store.Get(f.t.Context(), key)
	if err != nil {
		must.ErrorIs(f.t, err, kvstore.ErrNotFound)
	}
	_, err = f.store.CompareAndSwap(f.t.Context(), key, entry.Revision, []byte(value), kvstore.NoLease)
	must.NoError(f.t, err)
}

// remove deletes a key from the store.
func (f *fleet) remove(key string) {
	f.t.Helper()
	entry, err := f.store.Get(f.t.Context(), key)
	must.NoError(f.t, err)
	must.NoError(f.t, f.store.CompareAndDelete(f.t.Context(), key, entry.Revision))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	must.NoError(t, err)
	return address
}

func (f *fleet) startNode(i int, handler http.HandlerFunc) *fleetNode {
	f.t.Helper()
	up := startUpstream(f.t, fmt.Sprintf("i-%d", i), handler)
	s := &sidecar.Settings{
		Node: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%2), Region: "r", Service: "s", UpstreamAddress: up.address,
		RequestAddress: freeAddress(f.t), PeerAddress: freeAddress(f.t), ControlAddress: freeAddress(f.t),
		HeartbeatAddress: freeAddress(f.t), ReadyAddress: freeAddress(f.t), StoreAddress: "127.0.0.1:1",
		HeartbeatInterval: time.Second, ShutdownTimeout: 6 * time.Second, DrainTime: 2 * time.Second, ConfigApplyTime: 2 * time.Second,
		WithdrawalTime: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100,
		QuotaWindow: 5 * time.Second, QuotaOver: 0.1, QuotaSlack: 20, BalanceByWork: true,
	}
	if f.adjust != nil {
		f.adjust(s)
	}
	must.NoError(f.t, s.Check())
	return &fleetNode{node: f.startProcess(s), settings: s, upstream: up}
}

// startProcess starts a process of a node.
func (f *fleet) startProcess(s *sidecar.Settings) *sidecar.Node {
	f.t.Helper()
	n := sidecar.New(s, sidecar.Dependencies{
		Store: f.store, Configuration: platform.Configuration{Store: f.store}, Headers: platform.Headers{},
		MountHeartbeats:  func(e *echo.Echo, h sidecar.HeartbeatHandler) { platform.MountHeartbeats(e, h) },
		MountReady:       platform.MountReady,
		EvacuationPrefix: platform.EvacuationPrefix,
	}, zerolog.New(f.logs).With().Str("node", s.Node).Logger(), uint64(time.Now().UnixNano()))
	must.NoError(f.t, n.Start())
	f.t.Cleanup(n.Close)
	return n
}

func (n *fleetNode) beat(sequence int64, draining bool) sidecar.Heartbeat {
	return sidecar.Heartbeat{
		Instance: n.upstream.instance, StartTimeMS: 1000, Sequence: sequence, Service: "s", Address: n.upstream.address, Slots: 8, Draining: draining,
	}
}

func (f *fleet) eventually(check func() error) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
}

// vars returns the metrics of a node.
func (f *fleet) vars(n *fleetNode) (int, string) {
	response, err := http.Get("http://" + n.settings.ControlAddress + "/debug/vars")
	must.NoError(f.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	return response.StatusCode, string(data)
}

// result is the result of a request as seen by the client.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends a client's request to a node.
func (f *fleet) send(n *fleetNode, method, path, id, key string, timeout time.Duration) result {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+n.settings.RequestAddress+path, strings.NewReader(""))
	must.NoError(f.t, err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{id, response.StatusCode, response.Header, string(data), err}
}

// fakeUpstream is a plain HTTP server that records the requests it receives.
type fakeUpstream struct {
	instance string
	address  string

	mu           sync.Mutex
	received     []*http.Request
	disconnected int // requests whose connection was closed before they ended
}

func startUpstream(t *testing.T, instance string, handler http.HandlerFunc) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	up := &fakeUpstream{instance: instance, address: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", instance)
		if r.URL.Path == "/health" {
			return
		}
		up.mu.Lock()
		up.received = append(up.received, r)
		up.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		handler(w, r)
		if r.Context().Err() != nil {
			up.mu.Lock()
			up.disconnected++
			up.mu.Unlock()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return up
}

// requests returns the requests that the upstream has started to run.
func (up *fakeUpstream) requests() []*http.Request {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.received
}

func (f *fleet) totalRequests() int {
	total := 0
	for _, n := range f.nodes {
		total += len(n.upstream.requests())
	}
	return total
}

// respond sends a signed response that names its upstream.
func respond(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Response-Signature", "signed")
	_ = json.NewEncoder(w).Encode(map[string]string{"from": w.Header().Get("Instance-Id")})
}

func sameHandler(handler http.HandlerFunc) func(int) http.HandlerFunc {
	return func(int) http.HandlerFunc { return handler }
}
