package sidecar_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/sidecar"
)

const evacuateTime = 5 * time.Second

func startEvacuationFleet(t *testing.T) *fleet {
	return startFleetWith(t, 4, sameHandler(respond), func(s *sidecar.Settings) {
		s.EvacuateTime, s.HeartbeatInterval = evacuateTime, 10*time.Second // the tests send few heartbeats
	})
}

// sendAll sends a request to each node and returns the results.
func (f *fleet) sendAll(id string) []result {
	results := make([]result, 0, len(f.nodes))
	for _, n := range f.nodes {
		results = append(results, f.send(n, http.MethodGet, "/open/1", id, "", 2*time.Second))
	}
	return results
}

// received returns the requests that the upstreams of a failure domain have received.
func (f *fleet) received(domain string) (count int) {
	for _, n := range f.nodes {
		if n.settings.FailureDomain == domain {
			count += len(n.upstream.requests())
		}
	}
	return count
}

// mustAvoid sends requests for a while and checks that all are answered and none by an upstream of the failure domain.
func (f *fleet) mustAvoid(domain string, duration time.Duration) {
	f.t.Helper()
	before := f.received(domain)
	for begin := time.Now(); time.Since(begin) < duration; {
		for i, r := range f.sendAll("avoid") {
			must.Eq(f.t, http.StatusOK, r.status, must.Sprint("node ", i, ": ", r.body))
		}
	}
	must.Eq(f.t, before, f.received(domain))
}

// Guards against requests that reach an evacuated failure domain, that fail because of the evacuation, or that never
// return to the domain; and against refusals that promise nothing when all domains are evacuated.
func TestEvacuation(t *testing.T) {
	f := startEvacuationFleet(t)
	f.put("op/evacuate/d0", "{}")
	written := time.Now()
	last := written
	for time.Since(written) < evacuateTime {
		before := f.received("d0")
		for i, r := range f.sendAll("during") {
			must.Eq(t, http.StatusOK, r.status, must.Sprint("node ", i, ": ", r.body))
		}
		if f.received("d0") > before {
			last = time.Now()
		}
	}
	t.Log("last request at the evacuated domain after ", last.Sub(written))
	f.mustAvoid("d0", time.Second)
	f.put("op/evacuate/d1", "{}")
	f.eventually(func() error {
		before := f.totalRequests()
		for _, r := range f.sendAll("none left") {
			if r.status != http.StatusServiceUnavailable || f.totalRequests() != before {
				return fmt.Errorf("status %d, %d requests arrived", r.status, f.totalRequests()-before)
			}
		}
		return nil
	})
	f.remove("op/evacuate/d1")
	f.remove("op/evacuate/d0")
	f.eventually(func() error {
		before := f.received("d0")
		f.sendAll("after")
		if f.received("d0") == before {
			return fmt.Errorf("no request at the failure domain after the evacuation")
		}
		return nil
	})
}

// Guards against an evacuation that ends because the store is away, because a node restarts meanwhile, or because the store
// comes back from an older copy, whose other keys then count.
func TestEvacuationWithoutStore(t *testing.T) {
	f := startEvacuationFleet(t)
	backup := f.store.Backup()
	f.put("op/evacuate/d0", "{}")
	f.eventually(func() error {
		for _, n := range f.nodes {
			if _, body := f.vars(n); len(f.logs.find("evacuated failure domains changed", `"node":"`+n.settings.Node+`"`)) == 0 {
				return fmt.Errorf("%s does not know of the evacuation: %s", n.settings.Node, body)
			}
		}
		return nil
	})
	f.store.SetDown(true)
	n := f.nodes[2] // its own failure domain is evacuated
	n.node.Close()
	n.node = f.startProcess(n.settings)
	must.NoError(t, n.node.Heartbeat(n.beat(2, false)))
	before := f.received("d0")
	f.eventually(func() error {
		if r := f.send(n, http.MethodGet, "/open/1", "restarted", "", 2*time.Second); r.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return nil
	})
	must.Eq(t, before, f.received("d0"))
	f.mustAvoid("d0", 2*time.Second)
	f.store.SetDown(false)
	f.mustAvoid("d0", time.Second)
	f.store.Restore(backup) // does not hold the evacuation
	f.eventually(func() error {
		f.sendAll("restored")
		if f.received("d0") == before {
			return fmt.Errorf("no request at the failure domain that the restored store does not evacuate")
		}
		return nil
	})
}
