package sidecar

import (
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/peer"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
	"github.com/cowslipglade/cowslipglade/workload"
)

// This file connects the estimates of package workload: what calls are told apart by, the load reports of this node's
// upstream, and the delay of hedged attempts.

const (
	// hedgeQuantile is the fraction of calls that end before a hedged attempt is sent.
	hedgeQuantile = 0.99
	// maxUsualTimes bounds the routes whose usual durations are part of an exchange, at about 30 bytes each.
	maxUsualTimes = 8
	// logPaceBelow is the pace below which the pace of the upstream is logged.
	logPaceBelow = 0.8
	// logSpilledFraction is the fraction of choices that left the failure domain above which they are logged.
	logSpilledFraction = 0.1
)

// workClass returns the class of a request.
func workClass(req *call.Request) workload.Class {
	return workload.Class{Route: req.Route, Method: req.Method, Caller: req.CallerService, Size: workload.SizeClass(req.ContentLength)}
}

// meteredCall is a call in the meter of the upstream on this VM.
type meteredCall struct {
	meter       *workload.Meter
	call        *workload.Call
	waitedSince time.Time
	// waited and ran are how long the call waited and ran, usual is how long calls of its class do.
	waited, ran, usual time.Duration
	started, ended     bool
}

// newMeteredCall returns a call that waits from start on. It is not metered if the upstream has no meter.
func newMeteredCall(u *localUpstream, req *call.Request, start time.Time) *meteredCall {
	c := &meteredCall{meter: u.meter, waitedSince: start}
	if u.meter != nil {
		c.call = u.meter.Wait(workClass(req))
	}
	return c
}

func (c *meteredCall) drop() {
	if !c.started && c.meter != nil {
		c.meter.Drop(c.call)
	}
}

func (c *meteredCall) start(now time.Time) {
	c.started = true
	if c.meter == nil {
		return
	}
	c.waited = now.Sub(c.waitedSince)
	c.meter.Start(c.call, now)
	c.usual = c.meter.Usual(c.call)
}

// end records the end of the call. Only the first call counts.
func (c *meteredCall) end(completed bool, now time.Time) {
	if c.ended || c.meter == nil {
		return
	}
	c.ended = true
	c.ran, c.usual = c.meter.End(c.call, completed, now)
}

// newMeter returns the meter of a new upstream, or nil where settings do not ask for a choice by expected work.
func (n *Node) newMeter() *workload.Meter {
	if !n.settings().BalanceByWork {
		return nil
	}
	return workload.NewMeter()
}

// load returns the load signal of the upstream. Without a meter it has no pace, and other nodes choose this upstream by
// the average latency of its calls.
func (u *localUpstream) load(now time.Time) call.Load {
	load := u.gate.Load()
	if u.meter == nil {
		return load
	}
	report := u.meter.Report(now)
	load.Waiting, load.WorkLeft, load.Pace = report.Waiting, report.Left, report.Pace
	return load
}

// encodeUpstreamLoad adds the load of this node's upstream to the state of an exchange.
func encodeUpstreamLoad(state *gossipv1.State, load call.Load, u *localUpstream) {
	state.ShedFrom = uint32(load.ShedFrom)
	if u.meter == nil {
		return
	}
	state.Load = &gossipv1.UpstreamLoad{
		InFlight: uint32(load.InFlight), Limit: uint32(load.Limit), QueueDelayUs: load.QueueDelay.Microseconds(),
		Admitted: uint32(load.Admitted), Draining: load.Draining, Waiting: uint32(load.Waiting),
		WorkLeftUs: load.WorkLeft.Microseconds(), Pace: float32(load.Pace),
	}
	for _, t := range u.meter.Routes(maxUsualTimes) {
		state.UsualTimes = append(state.UsualTimes, &gossipv1.UsualTime{Route: t.Route, UsualUs: t.Usual.Microseconds()})
	}
}

// decodeUpstreamLoad returns the load in the state of an exchange. Its pace is 0 if the sender does not report it.
func decodeUpstreamLoad(state *gossipv1.State) (call.Load, []workload.UsualTime) {
	m := state.Load
	load := call.Load{
		InFlight: int(m.GetInFlight()), Limit: int(m.GetLimit()), QueueDelay: peer.DecodeAge(m.GetQueueDelayUs()),
		Admitted: call.Importance(min(m.GetAdmitted(), uint32(call.Sheddable))), Draining: m.GetDraining(),
		ShedFrom: call.Rank(min(state.ShedFrom, uint32(call.RankLimit))),
		Waiting:  int(m.GetWaiting()), WorkLeft: peer.DecodeWork(m.GetWorkLeftUs()), Pace: peer.DecodePace(m.GetPace()),
	}
	var usual []workload.UsualTime
	for _, t := range state.UsualTimes[:min(len(state.UsualTimes), maxUsualTimes)] {
		if t.Route != "" && len(t.Route) <= maxNameBytes && t.UsualUs > 0 {
			usual = append(usual, workload.UsualTime{Route: t.Route, Usual: peer.DecodeWork(t.UsualUs)})
		}
	}
	return load, usual
}

// hedgeDelay returns the time after which a hedged attempt is sent: when nearly all calls of the kind would have ended on
// the chosen upstream. Where nothing is known, a slow call cannot be told from a usual one, and half of the time left
// is waited.
func (d *dispatcher) hedgeDelay() time.Duration {
	expected := d.node.expectedWork(d.entry)
	if expected == 0 {
		return patience(time.Until(d.entry.req.Deadline), 0)
	}
	least := max(hedgeFactor*expected, minHedgeDelay)
	if len(d.tried) == 0 {
		return least
	}
	chosen := d.tried[len(d.tried)-1]
	delay, ok := d.node.picker.HedgeDelay(d.entry.req.Service, chosen, d.query(), hedgeQuantile, time.Now())
	if !ok {
		return least
	}
	return max(delay, least)
}

// query describes the request for the choice of an upstream.
func (d *dispatcher) query() balance.LatencyQuery {
	req := d.entry.req
	return balance.LatencyQuery{
		Route: req.Route, Class: workClass(req), Importance: req.Importance, Rank: req.Rank().Advanced(req.Inner),
		TimeLeft: time.Until(req.Deadline), Bytes: max(0, req.ContentLength), Exclude: d.tried,
	}
}

// logWork logs a slow upstream on this VM, and services whose calls leave this failure domain for upstreams that are
// expected to be faster. since holds the counts of the last call, which it updates.
func (n *Node) logWork(since map[string]balance.PickCounts, now time.Time) {
	if u := n.local.current.Load(); u != nil && u.meter != nil {
		if load := u.load(now); load.Pace < logPaceBelow {
			n.log.event("upstream_pace").Float64("pace", load.Pace).Dur("work_left_ms", load.WorkLeft).Int("in_flight", load.InFlight).
				Int("waiting", load.Waiting).Int("limit", load.Limit).Msg("calls run for longer than expected")
		}
	}
	for service, picks := range n.picker.PickCounts() {
		last := since[service]
		since[service] = picks
		spilled, all := picks.Spilled-last.Spilled, picks.Local+picks.Remote-last.Local-last.Remote
		if float64(spilled) > logSpilledFraction*float64(all) {
			n.log.event("spillover").Str("service", service).Uint64("picks", all).Uint64("spilled", spilled).
				Msg("calls leave the failure domain for upstreams that are expected to be faster")
		}
	}
}

// upstreamWork describes the work of the upstream on this VM for operators.
func (n *Node) upstreamWork() any {
	u := n.local.current.Load()
	if u == nil || u.meter == nil {
		return nil
	}
	load := u.load(time.Now())
	return map[string]any{
		"pace": load.Pace, "work_left_seconds": load.WorkLeft.Seconds(), "in_flight": load.InFlight, "waiting": load.Waiting,
		"limit": load.Limit, "classes": u.meter.Status(),
	}
}
