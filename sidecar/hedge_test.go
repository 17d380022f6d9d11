package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against hedging the first requests of a fleet, which all look late while no latency is known. The hedged sends
// ran in addition to the workspace's rate.
func TestFirstRequestsAreNotHedged(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		respond(w, r)
	}))
	const count = 20
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { f.send(f.nodes[0], http.MethodGet, "/read/a", fmt.Sprint("id", i), "key-1", 10*time.Second) })
	}
	group.Wait()
	must.Eq(t, count, f.totalRequests())
}
