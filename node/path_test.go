package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const testKey = "cgk_test-key-of-garage"

// fleet is a set of nodes in one process that share a store.
type fleet struct {
	t     testing.TB
	store *kvstore.Memory
	nodes []*Node
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) string {
	address, err := freeport.Address()
	must.NoError(t, err)
	return address
}

// newFleet starts count nodes with the first as the seed, and commits a workspace, a key and routes.
func newFleet(t testing.TB, count int) *fleet { return newLoggedFleet(t, count, zerolog.Nop()) }

func newLoggedFleet(t testing.TB, count int, log zerolog.Logger) *fleet {
	f := &fleet{t: t, store: kvstore.NewMemory(time.Now)}
	for i := range count {
		s := settings.DefaultNode()
		s.Name = fmt.Sprintf("node-%d", i)
		s.FailureDomain = fmt.Sprintf("fd-%d", i%3)
		s.FailureDomains = []string{"fd-0", "fd-1", "fd-2"}
		s.Region = "test"
		s.CallerAddress, s.LocalAddress, s.PeerAddress = freeAddress(t), freeAddress(t), freeAddress(t)
		s.PlatformEndpoints = []string{"http://127.0.0.1:1"}
		s.Secrets = []string{"a-secret-of-the-test"}
		s.OperatorToken = "a-token-of-the-operators"
		s.MaxBodyBytes = 1 << 20
		if i > 0 {
			s.Seeds = []string{f.nodes[0].settings.PeerAddress}
		}
		must.NoError(t, s.Check())
		n := New(&s, f.store, log, uint64(time.Now().UnixNano()))
		must.NoError(t, n.Start())
		f.nodes = append(f.nodes, n)
	}
	t.Cleanup(f.stop)
	f.commit(config.Change{Kind: config.PutWorkspace, Workspace: &config.Workspace{Name: "garage", Rate: 30000, Burst: 30000, Weight: 1}})
	f.commit(config.Change{Kind: config.PutKey, Key: &config.Key{ID: "k1", Workspace: "garage", SHA256: keys.Hash(testKey)}})
	f.commit(config.Change{Kind: config.PutRoute, Route: &config.Route{
		Name: "stock", PathPrefix: "/stock/", Service: "stock", Importance: call.Normal, Idempotent: true, Timeout: 5 * time.Second,
	}})
	f.commit(config.Change{Kind: config.PutRoute, Route: &config.Route{
		Name: "hold", PathPrefix: "/hold/", Service: "hold", Importance: call.Critical, Timeout: 5 * time.Second,
	}})
	f.eventually("tokens on all nodes", func() bool {
		for _, n := range f.nodes {
			if n.takeToken(t.Context(), &call.Request{Context: call.Context{Workspace: "garage"}}) != nil {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var stopped sync.WaitGroup
	for _, n := range f.nodes {
		stopped.Go(func() { _ = n.Stop(ctx) })
	}
	stopped.Wait()
}

// commit applies a change and waits until every node has it.
func (f *fleet) commit(change config.Change) {
	f.t.Helper()
	change.ID = fmt.Sprintf("change-%s-%d", change.Kind, f.nodes[0].Document().Revision)
	change.Actor = "test"
	change.UnixMS = time.Now().UnixMilli()
	revision, err := f.nodes[0].ApplyChange(context.Background(), change)
	must.NoError(f.t, err)
	f.eventually("configuration in force on all nodes", func() bool {
		for _, n := range f.nodes {
			if n.Document().Revision < revision {
				return false
			}
		}
		return true
	})
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not reached: %s", what)
}

// upstream runs handler as the upstream of node i and announces it until the test ends.
func (f *fleet) upstream(i int, service string, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.announce(i, service, server.Listener.Addr().String())
	return server
}

// announce announces an upstream of node i until the test ends, and waits until all nodes know it.
func (f *fleet) announce(i int, service, address string) {
	announcement := upstream.Announcement{Service: service, Address: address, Slots: 10, Connections: 100}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	n := f.nodes[i]
	go func() {
		for ctx.Err() == nil {
			n.Announce(&announcement)
			clock.Sleep(ctx, 500*time.Millisecond)
		}
	}()
	f.eventually(service+" known to all nodes", func() bool {
		for _, n := range f.nodes {
			known := n.picker.Status(service, time.Now())
			if !slices.ContainsFunc(known, func(s balance.Status) bool { return s.Node == f.nodes[i].settings.Name }) {
				return false
			}
		}
		return true
	})
}

// do sends one request to node i.
func (f *fleet) do(i int, method, path string, header http.Header, body io.Reader) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+f.nodes[i].settings.CallerAddress+path, body)
	must.NoError(f.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// requestID gets a request id from node i.
func (f *fleet) requestID(i int) string {
	ids, err := f.nodes[i].IssueRequestIDs(testKey, 1)
	must.NoError(f.t, err)
	return ids[0]
}

func keyed(extra ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + testKey}}
	for i := 0; i+1 < len(extra); i += 2 {
		h.Set(extra[i], extra[i+1])
	}
	return h
}

// A request must reach the upstream of another node without its key and with its complete body, and the caller
// must get the complete response.
func TestPathThroughAnotherNode(t *testing.T) {
	f := newFleet(t, 2)
	f.upstream(1, "stock", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %q workspace=%s", r.Method, r.URL.RequestURI(), body, r.Header.Get(call.HeaderWorkspace))
		if len(r.Header["Authorization"]) > 0 {
			t.Error("the upstream received the key")
		}
	})
	status, body, err := f.do(0, http.MethodPut, "/stock/glass?size=3", keyed(), strings.NewReader("panel"))
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.Eq(t, `PUT /stock/glass?size=3 "panel" workspace=garage`, body)
}

// Invalid requests must get the specific refusal and must not reach an upstream.
func TestRefusals(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "stock", func(http.ResponseWriter, *http.Request) { t.Error("a refused request reached the upstream") })
	for _, c := range []struct {
		name, path string
		header     http.Header
		body       string
		status     int
		code       string
	}{
		{"no key", "/stock/a", nil, "", 401, "missing_key"},
		{"unknown key", "/stock/a", http.Header{"Authorization": {"Bearer nonsense"}}, "", 401, "unknown_key"},
		{"not a bearer key", "/stock/a", http.Header{"Authorization": {"Basic abc"}}, "", 400, "bad_request"},
		{"two keys", "/stock/a", http.Header{"Authorization": {"Bearer a", "Bearer b"}}, "", 400, "bad_request"},
		{"unknown route", "/nothing", keyed(), "", 404, "unknown_route"},
		{"bad timeout", "/stock/a", keyed(call.HeaderTimeout, "soon"), "", 400, "bad_request"},
		{"large body", "/stock/a", keyed(), strings.Repeat("x", 1<<20+1), 413, "body_too_large"},
		{"large header", "/stock/a", keyed("X-Large", strings.Repeat("x", 64<<10)), "", 431, ""},
	} {
		status, body, err := f.do(0, http.MethodPost, c.path, c.header, strings.NewReader(c.body))
		must.NoError(t, err, must.Sprint(c.name))
		must.Eq(t, c.status, status, must.Sprint(c.name, body))
		must.StrContains(t, body, c.code, must.Sprint(c.name))
		if c.code != "" {
			must.StrContains(t, body, `"outcome":"not_run"`, must.Sprint(c.name))
		}
	}
}

// A truncated response of any size must never look complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	f := newFleet(t, 2)
	f.upstream(1, "hold", func(w http.ResponseWriter, r *http.Request) {
		size := 100
		if strings.HasSuffix(r.URL.Path, "large") {
			size = 10 * call.BufferLimit
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	status, body, err := f.do(0, http.MethodGet, "/hold/small", keyed(call.HeaderRequestID, f.requestID(0)), nil)
	must.NoError(t, err)
	must.Eq(t, 502, status)
	must.StrContains(t, body, "may_have_run")
	_, _, err = f.do(0, http.MethodGet, "/hold/large", keyed(call.HeaderRequestID, f.requestID(0)), nil)
	must.Error(t, err)
}

// A truncated request body must not reach an upstream as a complete one.
func TestIncompleteRequestBody(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "stock", func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request reached the upstream") })
	connection, err := net.Dial("tcp", f.nodes[0].settings.CallerAddress)
	must.NoError(t, err)
	defer connection.Close()
	fmt.Fprintf(connection, "POST /stock/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", testKey)
	must.NoError(t, connection.(*net.TCPConn).CloseWrite())
	response, err := io.ReadAll(connection)
	must.NoError(t, err)
	must.StrContains(t, string(response), "incomplete_body")
}

// An upstream can make downstream calls only for its running calls: their workspace and deadline come from the
// running call, the token of a finished call is refused, and headers that a caller forged are ignored.
func TestDownstreamCall(t *testing.T) {
	f := newFleet(t, 2)
	var token string
	f.upstream(1, "stock", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "stock for %s", r.Header.Get(call.HeaderWorkspace))
	})
	downstream := func(token string) (int, string) {
		request, _ := http.NewRequest(http.MethodGet, "http://"+f.nodes[0].settings.LocalAddress+"/stock/a", nil)
		request.Header.Set(call.HeaderCall, token)
		request.Header.Set(call.HeaderWorkspace, "forged")
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(data)
	}
	f.upstream(0, "hold", func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get(call.HeaderCall)
		_, body := downstream(token)
		_, _ = io.WriteString(w, body)
	})
	status, body, err := f.do(1, http.MethodPost, "/hold/a", keyed(
		call.HeaderRequestID, f.requestID(1), call.HeaderWorkspace, "forged", call.HeaderCall, "forged"), nil)
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.Eq(t, "stock for garage", body)
	status, body = downstream(token)
	must.Eq(t, 403, status, must.Sprint(body))
}

// The audit trail must list each committed change once and in order across the blocks of the log.
func TestAuditTrail(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 120 {
		_, err := f.nodes[0].ApplyChange(context.Background(), config.Change{
			ID: fmt.Sprint("audit-", i), Actor: "test", UnixMS: 1, Kind: config.PutWorkspace,
			Workspace: &config.Workspace{Name: fmt.Sprint("w", i), Rate: 1, Burst: 1, Weight: 1},
		})
		must.NoError(t, err)
	}
	changes, err := f.nodes[0].Changes(context.Background(), 2, 1000)
	must.NoError(t, err)
	must.Len(t, 122, changes)
	for i, change := range changes {
		must.Eq(t, int64(i+3), change.Revision)
	}
	changes, err = f.nodes[0].Changes(context.Background(), 95, 10)
	must.NoError(t, err)
	must.Len(t, 10, changes)
}
