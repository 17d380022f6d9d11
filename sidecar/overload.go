package sidecar

import (
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/throttle"
)

const (
	// overloadHalfLife is the time in which call counts decay to half. It is shorter than the throttle
	// window, so that the end of an overload is known when the throttle checks for it.
	overloadHalfLife = 500 * time.Millisecond
	// overloadMinCalls is the number of recent calls below which a service is never considered overloaded.
	overloadMinCalls = 10
	// overloadShedFraction is the fraction of calls refused due to overload from which a service is
	// considered overloaded. Isolated refusals are normal queue noise.
	overloadShedFraction = 0.05
	// overloadReportTTL is how long a report from another node remains valid: three gossip rounds.
	overloadReportTTL = 3 * gossipInterval
)

// overload tracks which services are overloaded, based on this node's calls and on reports from other nodes.
//
// A client's request fails when a call further down the chain is refused, and only the node that made that
// call sees the refusal. Its report lets the nodes where requests enter distinguish such failures from
// others and throttle requests of the route before any work is spent on them.
type overload struct {
	mu       sync.Mutex
	services map[string]*shedCounts
	reported map[string]time.Time
}

type shedCounts struct {
	calls, shed float64
	at          time.Time
}

func newOverload() *overload {
	return &overload{services: map[string]*shedCounts{}, reported: map[string]time.Time{}}
}

// observe records a call and whether it was refused due to overload.
func (o *overload) observe(service string, shed bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.services[service]
	if c == nil {
		c = &shedCounts{at: now}
		o.services[service] = c
	}
	c.decay(now)
	c.calls++
	if shed {
		c.shed++
	}
}

// decay reduces the weight of older calls. It uses a linear approximation, because calls follow each other
// closely under load.
func (c *shedCounts) decay(now time.Time) {
	keep := 1 / (1 + float64(max(0, now.Sub(c.at)))/float64(overloadHalfLife))
	c.calls *= keep
	c.shed *= keep
	c.at = now
}

func (c *shedCounts) overloaded(now time.Time) bool {
	c.decay(now)
	return c.calls >= overloadMinCalls && c.shed >= overloadShedFraction*c.calls
}

// local returns the services that this node considers overloaded.
func (o *overload) local(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for service, c := range o.services {
		if c.overloaded(now) {
			list = append(list, service)
		}
	}
	return list
}

// recordReport records the services that another node considers overloaded.
func (o *overload) recordReport(services []string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range services {
		o.reported[service] = now
	}
}

// any reports whether any service is overloaded.
func (o *overload) any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.reported {
		if now.Sub(at) < overloadReportTTL {
			return true
		}
	}
	for _, c := range o.services {
		if c.overloaded(now) {
			return true
		}
	}
	return false
}

// isOverloadRefusal reports whether a refusal indicates that the service is overloaded.
func isOverloadRefusal(refusal *call.Refusal) bool {
	switch refusal.Code {
	case call.CodeOverloaded, call.CodeUpstreamRefused:
		return true
	case call.CodeDeadline:
		return refusal.Outcome == call.NotRun
	}
	return false
}

// refuseThrottled refuses a client's request while most requests of its route fail due to downstream
// overload.
func (n *Node) refuseThrottled(e *entryRequest) *call.Refusal {
	if e.req.Workspace == "" {
		return nil
	}
	if n.throttle.Allow(throttle.Key{Service: e.req.Route}, e.req.Importance, time.Now(), random.Shared.Float64()) {
		return nil
	}
	e.throttled = true
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "most %s requests of route %s fail for lack of room", e.req.Importance, e.req.Route)
	refusal.RetryAfter = throttleRetryAfter + time.Duration(random.Shared.Float64()*float64(throttleRetryAfter))
	return refusal
}

// throttleRetryAfter is the minimum retry delay suggested to a throttled client: the throttle window.
const throttleRetryAfter = time.Second

// recordThrottleFeedback reports the result of a client's request to the throttle.
func (n *Node) recordThrottleFeedback(e *entryRequest, response *call.Response, refusal *call.Refusal) {
	if e.req == nil || e.req.Workspace == "" || e.throttled {
		return
	}
	now := time.Now()
	feedback := throttle.Neutral
	switch {
	case refusal == nil && !serverError(response):
		feedback = throttle.Accepted
	case refusal == nil && n.overload.any(now):
		feedback = throttle.Overloaded
	case refusal != nil && (isOverloadRefusal(refusal) || refusal.Code == call.CodeDeadline && n.overload.any(now)):
		feedback = throttle.Overloaded
	}
	n.throttle.Observe(throttle.Key{Service: e.req.Route}, e.req.Importance, feedback, nil, now)
}
