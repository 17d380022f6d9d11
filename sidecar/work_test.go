package sidecar

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
	"github.com/cowslipglade/cowslipglade/workload"
)

// The load of an upstream must pass through an exchange, and one of an old node, or of another writer, must not
// change what is known.
func TestUpstreamLoadInExchange(t *testing.T) {
	n := testNode("a", 1)
	u := &localUpstream{gate: newGate(8, nil), meter: workload.NewMeter()}
	now := time.Now()
	for range 20 {
		c := u.meter.Wait(workload.Class{Route: "r", Method: "GET"})
		u.meter.Start(c, now)
		u.meter.End(c, true, now.Add(50*time.Millisecond))
	}
	u.meter.Wait(workload.Class{Route: "r"})
	n.local.current.Store(u)
	state, _ := n.gossip.stateFor("b")
	load, usual := decodeUpstreamLoad(state)
	must.Eq(t, 8, load.Limit)
	must.Eq(t, 1, load.Waiting)
	must.Eq(t, 1, load.Pace)
	must.InDelta(t, 0.05, load.WorkLeft.Seconds(), 0.01)
	must.Len(t, 1, usual)
	must.InDelta(t, 0.05, usual[0].Usual.Seconds(), 0.001)

	load, usual = decodeUpstreamLoad(&gossipv1.State{ShedFrom: 7})
	must.Eq(t, call.Load{ShedFrom: 7}, load)
	must.SliceEmpty(t, usual)
	bad := &gossipv1.State{Load: &gossipv1.UpstreamLoad{Pace: float32(math.NaN()), WorkLeftUs: math.MinInt64}}
	for range 100 * maxUsualTimes {
		bad.UsualTimes = append(bad.UsualTimes, &gossipv1.UsualTime{Route: "r", UsualUs: -1}, &gossipv1.UsualTime{UsualUs: 1})
	}
	load, usual = decodeUpstreamLoad(bad)
	must.Eq(t, 0, load.Pace)
	must.Eq(t, 0, load.WorkLeft)
	must.SliceEmpty(t, usual)
}

// Guards against hedges before anything is known of a route, and within what its calls usually take.
func TestHedgeDelayNeedsKnowledge(t *testing.T) {
	n := testNode("a", 1)
	id := balance.ID{Node: "b", Incarnation: 1}
	n.picker.SetCandidates("s", []balance.Candidate{{ID: id, Slots: 8}})
	d := &dispatcher{node: n, entry: &entryRequest{req: &call.Request{
		Context: call.Context{Service: "s", Route: "r", Deadline: time.Now().Add(10 * time.Second)}, Method: "GET",
	}}, tried: []balance.ID{id}}
	must.Between(t, 4500*time.Millisecond, d.hedgeDelay(), 5*time.Second, must.Sprint("nothing is known"))
	for i := range 1000 {
		ran := 100 * time.Millisecond
		if i%20 == 0 {
			ran *= 7
		}
		n.picker.Done("s", id, "r", balance.LatencyResult{Latency: ran, Class: workClass(d.entry.req), Load: &call.Load{
			Limit: 8, Pace: 1, Ran: ran, Usual: 100 * time.Millisecond,
		}}, time.Now())
	}
	must.Between(t, 600*time.Millisecond, d.hedgeDelay(), 900*time.Millisecond, must.Sprint("beyond the calls that cost 7 times the usual"))
}

// A call that never reaches the upstream must leave nothing behind in the meter, so that the work left returns to 0.
func TestRefusedCallLeavesMeter(t *testing.T) {
	n := testNode("a", 1)
	u := &localUpstream{
		Heartbeat: Heartbeat{Service: "s", Slots: 1}, lastHeartbeat: time.Now(), gate: newGate(1, nil), meter: workload.NewMeter(),
	}
	n.local.current.Store(u)
	release, err := u.gate.Acquire(t.Context(), &admission.Item{Route: "r"})
	must.NoError(t, err)
	defer release(0)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	req := &call.Request{Context: call.Context{Service: "s", Route: "r", Deadline: time.Now().Add(time.Second)}}
	_, err = n.runLocal(ctx, req, slotEvents{func() {
		must.Eq(t, 1, u.meter.Report(time.Now()).Waiting)
	}, func() error { return nil }})
	must.Error(t, err)
	must.Eq(t, 0, u.meter.Report(time.Now()).Waiting)
}
