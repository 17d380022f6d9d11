package sidecar

import (
	"encoding/json"
	"strings"
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
		"departed before a planned restart, known to a peer": func(n *Node, beat Heartbeat) {
			peer := testNode("b", 1)
			stopped := departedNode(t, beat, peer)
			stopped.stopping.Store(true)
			stopped.registry.publish()
			exchange(t, stopped, peer)
			peer.registry.markUnlisted("a")
			must.MapEmpty(t, peer.registry.members)
			n.registry.publish()
			exchange(t, n, peer)
		},
		"departed before a lapse of its entry, known to a peer": func(n *Node, beat Heartbeat) {
			peer := testNode("b", 1)
			departedNode(t, beat, peer)
			peer.registry.markUnlisted("a")
			peer.registry.members["a"].unlistedSince = time.Now().Add(-time.Minute)
			peer.gossip.peers["a"].lastContact = time.Time{}
			peer.registry.expire(false)
			must.MapEmpty(t, peer.registry.members)
			n.registry.publish()
			exchange(t, n, peer)
		},
		"departed before a planned restart, in the store": func(n *Node, beat Heartbeat) {
			stopped := testNode("a", 1)
			stopped.store = n.store
			must.NoError(t, stopped.Heartbeat(beat))
			stopped.Departed("i-1", 1000)
			must.NoError(t, stopped.registry.deregister(t.Context()))
			must.NoError(t, n.registry.departures.sync(t.Context(), n))
		},
		"drained before a planned restart, in the store": func(n *Node, beat Heartbeat) {
			stopped := testNode("a", 1)
			stopped.store = n.store
			beat.Sequence, beat.Draining = 9, true
			must.NoError(t, stopped.Heartbeat(beat))
			must.NoError(t, stopped.registry.deregister(t.Context()))
			must.NoError(t, n.registry.departures.sync(t.Context(), n))
		},
		"departed before two planned restarts, in the store": func(n *Node, _ Heartbeat) {
			for incarnation := range uint64(2) {
				stopped := testNode("a", incarnation)
				stopped.store = n.store
				if incarnation == 0 {
					stopped.Departed("i-1", 1000)
				} else {
					must.NoError(t, stopped.registry.departures.sync(t.Context(), stopped))
					stopped.Departed("i-2", 2000)
				}
				must.NoError(t, stopped.registry.deregister(t.Context()))
			}
			must.NoError(t, n.registry.departures.sync(t.Context(), n))
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, beat := departing()
			n.store = kvstore.NewMemory(time.Now)
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

// departedNode returns a node whose upstream has departed after the heartbeat, as a peer knows.
func departedNode(t *testing.T, beat Heartbeat, peer *Node) *Node {
	t.Helper()
	n := testNode(peer.settings().Node, 1)
	settings := *n.settings()
	settings.Node = "a"
	n.currentSettings.Store(&settings)
	must.NoError(t, n.Heartbeat(beat))
	n.Departed(beat.Instance, beat.StartTimeMS)
	exchange(t, n, peer)
	return n
}

// Guards against using departures that another writer has written, and against a node that stops to write its own over them.
func TestOddDepartures(t *testing.T) {
	long := "[" + strings.Repeat(`{"instance":"i"},`, maxDepartures) + `{"instance":"i"}]`
	for _, value := range []string{"", "x", "{}", "null x", `[{"instance":""}]`, `[{"instance":"a b"}]`, `[{"instance":"i-1","start_time_ms":-1}]`,
		`[{"instance":"i-1","start_time_ms":"1"}]`, `[{"instance":7}]`, long} {
		n, beat := departing()
		store := kvstore.NewMemory(time.Now)
		n.store = store
		_, err := store.CompareAndSwap(t.Context(), departuresPrefix+"a", 0, []byte(value), kvstore.NoLease)
		must.NoError(t, err)
		must.NoError(t, n.registry.departures.sync(t.Context(), n), must.Sprint(value))
		must.NoError(t, n.Heartbeat(beat), must.Sprint(value))
		u, reason := n.local.available(time.Now())
		must.NotNil(t, u, must.Sprint(value, ": ", reason))
		n.Departed("i-1", 1000)
		must.NoError(t, n.registry.departures.sync(t.Context(), n), must.Sprint(value))
		entry, err := store.Get(t.Context(), departuresPrefix+"a")
		must.NoError(t, err)
		must.Eq(t, `[{"instance":"i-1","start_time_ms":1000}]`, string(entry.Value))
	}
}

// Guards against departures that are lost when their entry ends, or is restored to an older state, and against writing
// them again and again.
func TestDeparturesAreWrittenOnce(t *testing.T) {
	clock := time.Now()
	store := kvstore.NewMemory(func() time.Time { return clock })
	n, _ := departing()
	n.store = store
	written := func() int64 {
		must.NoError(t, n.registry.departures.sync(t.Context(), n))
		entry, err := store.Get(t.Context(), departuresPrefix+"a")
		must.NoError(t, err)
		return entry.Revision
	}
	n.Departed("i-1", 1000)
	first := written()
	must.Eq(t, first, written())
	clock = clock.Add(departureLifetime)
	_, err := store.Get(t.Context(), departuresPrefix+"a")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
	n.Departed("i-2", 2000)
	second := written()
	must.Greater(t, first, second)
	must.Eq(t, second, written())
	must.NoError(t, store.CompareAndDelete(t.Context(), departuresPrefix+"a", second))
	n.registry.departures = departuresEntry{} // as runPublish does after a restore
	must.Greater(t, second, written())
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
