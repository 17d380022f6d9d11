package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/throttle"
)

// A service is overloaded while a substantial fraction of its calls is refused, but not after isolated
// refusals.
func TestOverloadObserve(t *testing.T) {
	o := newOverload()
	now := time.Unix(100, 0)
	for i := range 100 {
		now = now.Add(5 * time.Millisecond)
		o.observe("a", i%50 == 0, now)
	}
	must.False(t, o.any(now))
	for i := range 100 {
		now = now.Add(5 * time.Millisecond)
		o.observe("a", i%5 == 0, now)
	}
	must.Eq(t, []string{"a"}, o.local(now))
	now = now.Add(20 * time.Second)
	must.False(t, o.any(now), must.Sprint("overload ends when calls stop"))
}

// Reports from other nodes remain valid for several gossip rounds.
func TestOverloadReport(t *testing.T) {
	o := newOverload()
	now := time.Unix(100, 0)
	o.recordReport([]string{"b"}, now)
	must.True(t, o.any(now.Add(time.Second)))
	must.SliceEmpty(t, o.local(now), must.Sprint("reports of other nodes must not be forwarded"))
	must.False(t, o.any(now.Add(overloadReportTTL)))
}

// Guards against starting all requests and finishing almost none while downstream calls are refused: most
// requests of the route must be refused on entry, those of lower importance first. Failures for other
// reasons must not throttle requests.
func TestThrottleRequests(t *testing.T) {
	for _, test := range []struct {
		name        string
		overloaded  bool
		importance  call.Importance
		least, most int // throttled out of 1000 when one request in ten succeeds
	}{
		{name: "sheddable", overloaded: true, importance: call.Sheddable, least: 600, most: 1000},
		{name: "critical", overloaded: true, importance: call.Critical, least: 200, most: 800},
		{name: "other failures", overloaded: false, importance: call.Sheddable, least: 0, most: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := &Node{overload: newOverload(), throttle: throttle.New(throttle.DefaultConfig())}
			throttled := 0
			for i := range 1000 {
				if test.overloaded {
					n.overload.recordReport([]string{"deep"}, time.Now())
				}
				e := &entryRequest{req: &call.Request{Context: call.Context{Workspace: "w", Route: "r", Importance: test.importance}}}
				if n.refuseThrottled(e) != nil {
					throttled++
					continue
				}
				status := 500
				if i%10 == 0 {
					status = 200
				}
				n.recordThrottleFeedback(e, &call.Response{Status: status}, nil)
			}
			must.Between(t, test.least, throttled, test.most)
		})
	}
}
