package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/platform"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// panickingHeaders panics in the code that serves requests with certain IDs.
type panickingHeaders struct{ platform.Headers }

// PutUpstream runs at the node beside the upstream, while the call holds a slot.
func (h panickingHeaders) PutUpstream(header http.Header, fields sidecar.UpstreamFields) {
	if strings.HasPrefix(fields.RequestID, "panic-sent-") {
		panic("as wanted")
	}
	h.Headers.PutUpstream(header, fields)
}

// startPanicking restarts the process of a node so that certain requests panic.
func (f *fleet) startPanicking(n *fleetNode) {
	f.t.Helper()
	n.node.Close()
	n.node = sidecar.New(n.settings, sidecar.Dependencies{
		Store: f.store, Configuration: platform.Configuration{Store: f.store}, Headers: panickingHeaders{},
		MountHeartbeats: func(e *echo.Echo, h sidecar.HeartbeatHandler) { platform.MountHeartbeats(e, h) },
		MountReady:      platform.MountReady,
	}, zerolog.New(f.logs).With().Str("node", n.settings.Node).Logger(), uint64(time.Now().UnixNano()))
	must.NoError(f.t, n.node.Start())
	f.t.Cleanup(n.node.Close)
	must.NoError(f.t, n.node.Heartbeat(n.beat(1, false)))
	f.eventually(func() error {
		if r := f.send(n, http.MethodGet, "/open/a", "ready", "", time.Second); r.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return nil
	})
}

// Guards against a panic in the code of one request that ends the process, and with it all other requests, or that keeps a
// slot of the upstream.
func TestPanicEndsOneRequest(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "other" {
			close(arrived)
			<-answer
		}
		respond(w, r)
	}))
	n := f.nodes[0]
	f.startPanicking(n)
	var other result
	var waiting sync.WaitGroup
	waiting.Go(func() { other = f.send(n, http.MethodGet, "/open/a", "other", "", 10*time.Second) })
	<-arrived
	for i := range 3 * 8 { // three times the slots
		for _, path := range []string{"/open/a", "/open/once/a"} {
			r := f.send(n, http.MethodPost, path, fmt.Sprint("panic-sent-", i, path[5:]), "", time.Second)
			must.NoError(t, r.err)
			must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body))
			must.StrContains(t, r.body, "internal (may_have_run)")
		}
	}
	close(answer)
	waiting.Wait()
	must.NoError(t, other.err)
	must.Eq(t, http.StatusOK, other.status)
	for i := range 2 * 8 {
		must.Eq(t, http.StatusOK, f.send(n, http.MethodGet, "/open/a", fmt.Sprint("after-", i), "", time.Second).status)
	}
	_, vars := f.vars(n)
	must.StrContains(t, vars, `"panics_total": {"attempt": `)
	must.StrContains(t, vars, `"in_flight":0`)
	must.SliceNotEmpty(t, f.logs.find(`"event":"panic"`, `"part":"attempt"`, "as wanted", "PutUpstream"))
	stopped := time.Now()
	must.NoError(t, n.node.Stop())
	must.Less(t, n.settings.ShutdownTimeout-time.Second, time.Since(stopped), must.Sprint("a request still counts as in progress"))
}

// Guards against a forwarded call that stays in progress after its code has panicked.
func TestPanicOfForwardedCall(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	entry, destination := f.nodes[0], f.nodes[1]
	f.startPanicking(destination)
	must.NoError(t, entry.node.Heartbeat(entry.beat(2, true)))
	f.eventually(func() error {
		if r := f.send(entry, http.MethodGet, "/open/a", "ready-2", "", time.Second); r.status != http.StatusOK || !strings.Contains(r.body, "i-1") {
			return fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return nil
	})
	for i := range 3 * 8 {
		r := f.send(entry, http.MethodPost, "/open/once/a", fmt.Sprint("panic-sent-", i), "", time.Second)
		must.NoError(t, r.err)
		must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body))
	}
	must.Eq(t, http.StatusOK, f.send(destination, http.MethodGet, "/open/a", "after", "", time.Second).status)
	stopped := time.Now()
	must.NoError(t, destination.node.Stop())
	must.Less(t, destination.settings.ShutdownTimeout-time.Second, time.Since(stopped), must.Sprint("a call still counts as in progress"))
}
