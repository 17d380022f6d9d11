package sidecar

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipglade/cowslipglade/call"
)

// shedOrder returns the position of a request within its importance class: first by the importance of its route,
// which decides among requests of workspaces of one class, then by a hash. It is the same for all calls made for the
// request.
func shedOrder(route call.Importance, requestID string) uint16 {
	return uint16(call.Rank(route)*call.RanksPerStep) + uint16(xxhash.Sum64String(requestID)>>56)
}

// rankUpstreamCall ranks a call on an open route like the running request that made it. A call whose request is
// unknown may belong to one of any importance.
func (n *Node) rankUpstreamCall(e *entryRequest) {
	e.req.Importance, e.req.Inner = call.Normal, true
	run, ok := n.running.Parent(e.fields.ID)
	if !ok {
		n.metrics.upstreamCalls.Add("request_unknown", 1)
		return
	}
	n.metrics.upstreamCalls.Add("request_known", 1)
	e.parent, e.req.Importance, e.req.ShedOrder = run.Route, run.Importance, run.ShedOrder
	e.req.Repeated, e.answered = run.Repeated, run.Answered
	n.limits.RecordCall(run.Route, e.req.Service)
}

// refuseOverloaded refuses a request that a service to which it leads would shed.
func (n *Node) refuseOverloaded(e *entryRequest) *call.Refusal {
	limit := n.limits.Strictest(e.req.Route, e.req.Service, time.Now())
	rank := e.req.Rank().Advanced(e.req.Inner)
	if rank < limit.ShedFrom {
		return nil
	}
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "service %s serves ranks below %d as of %v ago, the request has rank %d",
		limit.Service, limit.ShedFrom, limit.Age.Round(time.Millisecond), rank)
	return refusal
}

// serviceSheds reports whether the upstreams of a request's service together shed its rank, so that another one is
// no better.
func (n *Node) serviceSheds(req *call.Request) bool {
	return req.Rank().Advanced(req.Inner) >= n.limits.Strictest(req.Route, req.Service, time.Now()).ShedFrom
}

// recordLimits records what a response or refusal tells about overloaded services. load is nil if it did not come
// from the destination.
func (n *Node) recordLimits(e *entryRequest, destination string, load *call.Load, limits []call.ServiceLimit, now time.Time) {
	if load != nil {
		n.limits.RecordDestination(e.req.Service, destination, load.ShedFrom, now)
	}
	n.limits.RecordBelow(e.req.Route, limits, now)
	if e.parent != "" {
		n.limits.RecordBelow(e.parent, limits, now)
	}
}

// logUpstreamLimit logs the limit of the upstream on this VM while it sheds calls.
func (n *Node) logUpstreamLimit() {
	u := n.local.current.Load()
	if u == nil {
		return
	}
	load := u.gate.Load()
	if load.ShedFrom > 0 {
		n.log.event("upstream_limit").Uint16("shed_from", uint16(load.ShedFrom)).Int("in_flight", load.InFlight).Int("limit", load.Limit).
			Dur("queue_delay_ms", load.QueueDelay).Msg("upstream sheds calls by rank")
	}
}
