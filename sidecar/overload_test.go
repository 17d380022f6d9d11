package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/throttle"
)

// A service is overloaded while a good part of its calls is refused, and not for single refusals.
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
	must.Eq(t, []string{"a"}, o.own(now))
	now = now.Add(20 * time.Second)
	must.False(t, o.any(now), must.Sprint("it is over when calls stop"))
}

// What another node reports holds for some rounds of exchanges.
func TestOverloadHeard(t *testing.T) {
	o := newOverload()
	now := time.Unix(100, 0)
	o.hear([]string{"b"}, now)
	must.True(t, o.any(now.Add(time.Second)))
	must.SliceEmpty(t, o.own(now), must.Sprint("reports are not passed on as own ones"))
	must.False(t, o.any(now.Add(overloadHeard)))
}

// While calls below a route are refused, most of its requests are refused at the entry, those of lesser
// importance first; failures for other reasons throttle nothing. Before, all requests were begun and
// nearly none was finished.
func TestThrottleRequests(t *testing.T) {
	for _, test := range []struct {
		name        string
		overloaded  bool
		importance  call.Importance
		least, most int // throttled of 1000 when one request in ten succeeds
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
					n.overload.hear([]string{"deep"}, time.Now())
				}
				e := &entry{req: &call.Request{Context: call.Context{Workspace: "w", Route: "r", Importance: test.importance}}}
				if n.throttled(e) != nil {
					throttled++
					continue
				}
				status := 500
				if i%10 == 0 {
					status = 200
				}
				n.observeRequest(e, &call.Response{Status: status}, nil)
			}
			must.Between(t, test.least, throttled, test.most)
		})
	}
}
