package sidecar_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/sidecar"
)

// Guards against requests to an upstream whose acknowledged departure its node has forgotten in a planned restart, and that
// a late heartbeat has brought back.
func TestLateHeartbeatAfterPlannedRestart(t *testing.T) {
	for name, leave := range map[string]func(n *fleetNode) error{
		"departed": func(n *fleetNode) error { n.node.Departed(n.upstream.instance, 1000); return nil },
		"draining": func(n *fleetNode) error { return n.node.Heartbeat(n.beat(3, true)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleetWith(t, 3, sameHandler(respond), func(s *sidecar.Settings) { s.ShutdownTimeout = time.Second })
			leaver, late := f.nodes[0], f.nodes[0].beat(2, false)
			must.NoError(t, leave(leaver))
			must.NoError(t, leaver.stopAndClose())
			f.eventually(func() error {
				if status, body := f.vars(f.nodes[1]); status != http.StatusOK || !containsMembers(body, 2) {
					return errors.New("the stopped node is still a member")
				}
				return nil
			})
			before := len(leaver.upstream.requests())
			leaver.node = f.startProcess(leaver.settings)
			f.eventually(func() error {
				if status, body := f.vars(f.nodes[1]); status != http.StatusOK || !containsMembers(body, 3) {
					return errors.New("the node is not a member again")
				}
				return nil
			})
			_ = leaver.node.Heartbeat(late) // whether it is acknowledged does not matter
			for i := range 60 {
				got := f.send(f.nodes[1+i%2], http.MethodPost, "/open/once/a", fmt.Sprint("id-", i), "", 2*time.Second)
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
			}
			must.Eq(t, before, len(leaver.upstream.requests()))
		})
	}
}
