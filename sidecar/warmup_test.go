package sidecar_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/sidecar"
)

const (
	coldTime  = 3 * time.Second
	coldBound = 27 // 13 x 1.5 + 8
)

// coldUpstream is an upstream that is cold after each start. It counts all requests, those of the health path too.
type coldUpstream struct {
	t       *testing.T
	address string
	server  *http.Server

	mu        sync.Mutex
	instance  string
	starts    int
	coldUntil time.Time
	cold      []time.Time // arrivals while cold
	warm      []time.Time
}

func (u *coldUpstream) start() {
	listener, err := net.Listen("tcp4", u.address)
	must.NoError(u.t, err)
	u.mu.Lock()
	u.starts++
	u.coldUntil = time.Now().Add(coldTime)
	u.mu.Unlock()
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
}

// ServeHTTP implements http.Handler.
func (u *coldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	u.mu.Lock()
	left := max(0, u.coldUntil.Sub(now))
	if left > 0 {
		u.cold = append(u.cold, now)
	} else {
		u.warm = append(u.warm, now)
	}
	u.mu.Unlock()
	w.Header().Set("Instance-Id", u.instance)
	if r.URL.Path == "/health" {
		w.Header().Set("Warmup-Ms", fmt.Sprint(left.Milliseconds()))
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	respond(w, r)
}

// beat returns a heartbeat as of now.
func (u *coldUpstream) beat() sidecar.Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	return sidecar.Heartbeat{
		Instance: u.instance, StartTimeMS: int64(u.starts), Sequence: time.Now().UnixMilli(), Service: "s", Address: u.address, Slots: 8,
		WarmUp: max(0, time.Until(u.coldUntil)),
	}
}

// checkBound checks the number of requests in each second of the upstream's own counting.
func (u *coldUpstream) checkBound() {
	u.t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	first, most := 0, 0
	for i, at := range u.cold {
		for at.Sub(u.cold[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	u.t.Log("starts ", u.starts, ", requests while cold ", len(u.cold), ", most in a second ", most, ", while warm ", len(u.warm))
	must.LessEq(u.t, coldBound, most)
}

// Guards against a cold upstream that gets more than its bound under load: after its first start, after a restart that no
// heartbeat has told of yet, and after a restart of its node; and against a rate that does not return after the warm-up.
func TestColdUpstream(t *testing.T) {
	f := startFleetWith(t, 2, sameHandler(respond), func(s *sidecar.Settings) { s.ColdOver, s.ColdSlack = 1.5, 8 })
	up := &coldUpstream{t: t, instance: "cold", address: freeAddress(t)}
	f.adjust = func(s *sidecar.Settings) { s.ColdOver, s.ColdSlack, s.UpstreamAddress = 1.5, 8, up.address }
	f.put("op/config", strings.Replace(fmt.Sprintf(configuration, 2, `"key-1"`, 1000, 1000),
		`"maxConnections":100`, `"maxConnections":100,"warmupS":3,"warmupPerS":13`, 1))
	up.start()
	n := f.startNode(2, respond) // its settings name the cold upstream
	for _, other := range f.nodes {
		must.NoError(t, other.node.Heartbeat(other.beat(2, true))) // drains, so that the cold upstream gets all load
	}
	var down, stopped atomic.Bool
	var tasks sync.WaitGroup
	repeat := func(interval time.Duration, do func()) {
		tasks.Go(func() {
			for ; !stopped.Load(); time.Sleep(interval) {
				do()
			}
		})
	}
	var process atomic.Pointer[sidecar.Node]
	process.Store(n.node)
	repeat(1500*time.Millisecond, func() {
		if !down.Load() {
			_ = process.Load().Heartbeat(up.beat())
		}
	})
	for i := range 24 { // far more than the bound, by way of all nodes
		entry := append([]*fleetNode{n}, f.nodes...)[i%3]
		repeat(20*time.Millisecond, func() { f.send(entry, http.MethodGet, "/open/1", "load", "", 500*time.Millisecond) })
	}
	rateReturns := func() {
		t.Helper()
		f.eventually(func() error {
			up.mu.Lock()
			defer up.mu.Unlock()
			if last := len(up.warm) - coldBound - 1; last < 0 || time.Since(up.warm[last]) > time.Second {
				return errors.New("the full rate has not returned")
			}
			return nil
		})
	}
	rateReturns()
	for range 2 { // a restart of the upstream; its next heartbeat comes up to 1.5 s later
		down.Store(true)
		must.NoError(t, up.server.Close())
		time.Sleep(100 * time.Millisecond)
		up.start()
		down.Store(false)
		time.Sleep(1200 * time.Millisecond)
	}
	n.node.Close() // while the upstream is cold
	process.Store(f.startProcess(n.settings))
	rateReturns()
	stopped.Store(true)
	tasks.Wait()
	up.checkBound()
	must.Positive(t, len(f.logs.find("treated as cold", "health_connection_closed")))
	must.NoError(t, up.server.Close())
}
