package sidecar

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/workload"
)

// departing returns a node and the heartbeat that its upstream sent before it departed.
func departing() (*Node, Heartbeat) {
	n := testNode("a", 2)
	return n, Heartbeat{Instance: "i-1", StartTimeMS: 1000, Sequence: 5, Service: "s", Address: n.settings().UpstreamAddress, Slots: 8}
}

// probed makes a node know an upstream by its health response, which does not tell its start.
func probed(n *Node, instance string) {
	n.local.current.Store(&localUpstream{
		Heartbeat:     Heartbeat{Instance: instance, Service: "s", Address: n.settings().UpstreamAddress, Slots: 8},
		lastHeartbeat: time.Now(), gate: newGate(8, nil), meter: workload.NewMeter(),
	})
}

// Guards against calls to an upstream whose acknowledged departure a late heartbeat has undone at a restarted node.
func TestLateHeartbeatAfterDeparture(t *testing.T) {
	for name, depart := range map[string]func(n *Node, beat Heartbeat){
		"known":              func(n *Node, beat Heartbeat) { must.NoError(t, n.Heartbeat(beat)); n.Departed("i-1", 1000) },
		"probed":             func(n *Node, _ Heartbeat) { probed(n, "i-1"); n.Departed("i-1", 1000) },
		"unknown":            func(n *Node, _ Heartbeat) { n.Departed("i-1", 1000) },
		"without start time": func(n *Node, _ Heartbeat) { n.Departed("i-1", 0) },
		"of a later start":   func(n *Node, _ Heartbeat) { probed(n, "i-1"); n.Departed("i-1", 2000) },
		"drained before the restart": func(n *Node, beat Heartbeat) {
			earlier := testNode("a", 1)
			beat.Sequence, beat.Draining = 9, true
			must.NoError(t, earlier.Heartbeat(beat))
			value, err := json.Marshal(earlier.registry.registration())
			must.NoError(t, err)
			n.registry.applyEntry(kvstore.Entry{Key: registryPrefix + "a", Value: value, Revision: 1})
		},
		"departed before the restart, known to a peer": func(n *Node, beat Heartbeat) {
			earlier, peer := testNode("a", 1), testNode("b", 1)
			must.NoError(t, earlier.Heartbeat(beat))
			earlier.Departed("i-1", 1000)
			exchange(t, earlier, peer)
			n.registry.publish()
			exchange(t, n, peer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, beat := departing()
			depart(n, beat)
			_ = n.Heartbeat(beat) // whether it is acknowledged does not matter
			u, reason := n.local.available(time.Now())
			must.Nil(t, u)
			must.Eq(t, "upstream is leaving", reason)
			must.False(t, n.registry.registration().Serving)

			beat.StartTimeMS, beat.Sequence = time.Now().UnixMilli()+1, 1
			must.NoError(t, n.Heartbeat(beat), must.Sprint("the upstream has started again under its ID"))
			u, _ = n.local.available(time.Now())
			must.NotNil(t, u)
			must.True(t, n.registry.registration().Serving)
		})
	}
}

// Guards against a late heartbeat of a departed upstream that replaces the one that follows it at its address.
func TestLateHeartbeatKeepsSuccessor(t *testing.T) {
	n, late := departing()
	n.Departed(late.Instance, late.StartTimeMS)
	probed(n, "i-2")
	must.ErrorIs(t, n.Heartbeat(late), errStaleHeartbeat)
	u, _ := n.local.available(time.Now())
	must.Eq(t, "i-2", u.Instance)
}

// Guards against a second queue for an upstream that a probe has found, whose slots would then be used twice.
func TestHeartbeatKeepsGateOfProbedUpstream(t *testing.T) {
	n, beat := departing()
	probed(n, beat.Instance)
	gate := n.local.current.Load().gate
	must.NoError(t, n.Heartbeat(beat))
	must.Eq(t, gate, n.local.current.Load().gate)
	must.Eq(t, 1000, n.local.current.Load().StartTimeMS)
}

func TestDeparturesAreBounded(t *testing.T) {
	var d departures
	for i := range int64(3 * maxDepartures) {
		d.add(departure{"i", i})
	}
	must.Len(t, maxDepartures, d)
	must.True(t, d.covers("i", 3*maxDepartures-1))
}

// exchange lets a start an exchange with b.
func exchange(t *testing.T, a, b *Node) {
	t.Helper()
	startedAt := clock.Boot()
	request, _ := a.gossip.stateFor(b.settings().Node)
	response, err := b.gossip.Exchange(t.Context(), request)
	must.NoError(t, err)
	a.gossip.merge(response, startedAt)
}
