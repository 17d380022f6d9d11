package sidecar

import (
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/throttle"
)

const (
	// overloadMemory is the time in which counts of calls fall to half. It is below the window of the
	// throttle, so that the end of an overload is known when the throttle looks for it.
	overloadMemory = 500 * time.Millisecond
	// overloadMinimum is the number of recent calls below which nothing is concluded.
	overloadMinimum = 10
	// overloadShed is the share of calls refused for lack of room that makes a service overloaded. Single
	// refusals are the usual noise of a queue.
	overloadShed = 0.05
	// overloadHeard is how long the report of another node holds: three rounds of exchanges.
	overloadHeard = 3 * gossipEvery
)

// overload knows which services lack room, from this node's calls and from other nodes.
//
// A client's request fails when a call deep below it is refused, and only the node that made the call sees
// the refusal. With its report, the nodes where requests enter can tell such a failure from others, and
// throttle requests of the route before any work is spent on them.
type overload struct {
	mu       sync.Mutex
	services map[string]*shedCounts
	heard    map[string]time.Time
}

type shedCounts struct {
	calls, shed float64
	at          time.Time
}

func newOverload() *overload {
	return &overload{services: map[string]*shedCounts{}, heard: map[string]time.Time{}}
}

// observe counts a call by whether it was refused for lack of room.
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

// decay forgets older calls. It is linear between two calls, which follow each other closely under load.
func (c *shedCounts) decay(now time.Time) {
	keep := 1 / (1 + float64(max(0, now.Sub(c.at)))/float64(overloadMemory))
	c.calls *= keep
	c.shed *= keep
	c.at = now
}

func (c *shedCounts) overloaded(now time.Time) bool {
	c.decay(now)
	return c.calls >= overloadMinimum && c.shed >= overloadShed*c.calls
}

// own returns the services that this node finds overloaded.
func (o *overload) own(now time.Time) []string {
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

// hear takes in the services that another node finds overloaded.
func (o *overload) hear(services []string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range services {
		o.heard[service] = now
	}
}

// any tells whether some service lacks room.
func (o *overload) any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.heard {
		if now.Sub(at) < overloadHeard {
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

// lacksRoom tells whether a refusal means that the service lacks room.
func lacksRoom(refusal *call.Refusal) bool {
	switch refusal.Code {
	case call.CodeOverloaded, call.CodeUpstreamRefused:
		return true
	case call.CodeDeadline:
		return refusal.Outcome == call.NotRun
	}
	return false
}

// throttled refuses a client's request while most requests of its route fail for lack of room below.
func (n *Node) throttled(e *entry) *call.Refusal {
	if e.req.Workspace == "" {
		return nil
	}
	if n.throttle.Allow(throttle.Key{Service: e.req.Route}, e.req.Importance, time.Now(), random.Shared.Float64()) {
		return nil
	}
	e.throttled = true
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "most %s requests of route %s fail for lack of room", e.req.Importance, e.req.Route)
	refusal.RetryAfter = throttleRetry + time.Duration(random.Shared.Float64()*float64(throttleRetry))
	return refusal
}

// throttleRetry is the least wait suggested to a throttled client: the window of the throttle.
const throttleRetry = time.Second

// observeRequest tells the throttle how a client's request ended.
func (n *Node) observeRequest(e *entry, answer *call.Response, refusal *call.Refusal) {
	if e.req == nil || e.req.Workspace == "" || e.throttled {
		return
	}
	now := time.Now()
	feedback := throttle.Neutral
	switch {
	case refusal == nil && !serverError(answer):
		feedback = throttle.Accepted
	case refusal == nil && n.overload.any(now):
		feedback = throttle.Overloaded
	case refusal != nil && (lacksRoom(refusal) || refusal.Code == call.CodeDeadline && n.overload.any(now)):
		feedback = throttle.Overloaded
	}
	n.throttle.Observe(throttle.Key{Service: e.req.Route}, e.req.Importance, feedback, nil, now)
}
