package sidecar_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/balance"
)

// Work and speeds that the nodes beside the upstreams measure must reach the entry node with the responses, and a node that
// has restarted must learn them again. Guards against fields that are lost on the way.
func TestWorkEstimatesReachEntryNode(t *testing.T) {
	f := startFleet(t, 2, func(node int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(10+30*node) * time.Millisecond)
			respond(w, r)
		}
	})
	learned := func(entry *fleetNode, round string) error {
		for i := range 20 {
			must.Eq(t, http.StatusOK, f.send(entry, http.MethodGet, "/read/a", fmt.Sprint(round, i), "key-1", 2*time.Second).status)
		}
		_, vars := f.vars(entry)
		var metrics struct {
			Work map[string]balance.WorkStatus `json:"work_estimates"`
		}
		must.NoError(t, json.Unmarshal([]byte(vars), &metrics))
		status := metrics.Work["s"]
		if len(status.Classes) == 0 || len(status.Speeds) == 0 || status.Picks.Local+status.Picks.Remote == 0 {
			return fmt.Errorf("estimates: %+v", status)
		}
		return nil
	}
	round := 0
	check := func() error { round++; return learned(f.nodes[0], fmt.Sprint("r", round, "-")) }
	f.eventually(check)
	f.nodes[0].node.Close()
	f.nodes[0] = f.startNode(0, respond)
	must.NoError(t, f.nodes[0].node.Heartbeat(f.nodes[0].beat(1, false)))
	f.eventually(func() error {
		if got := f.send(f.nodes[0], http.MethodGet, "/read/a", fmt.Sprint("wait", round), "key-1", 2*time.Second); got.status != http.StatusOK {
			round++
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	f.eventually(check)
}
