package backpressure

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// The services below a route are learned from its responses, and the strictest of them limits it. Other routes are
// not limited.
func TestStrictest(t *testing.T) {
	l := New()
	l.RecordBelow("r", []call.ServiceLimit{{Service: "a", ShedFrom: 500}, {Service: "b", ShedFrom: 300, Age: time.Second}}, start)
	must.Eq(t, call.ServiceLimit{Service: "b", ShedFrom: 300, Age: time.Second}, l.Strictest("r", "own", start))
	must.Eq(t, call.RankLimit, l.Strictest("other", "own", start).ShedFrom)
	must.Eq(t, 300, l.Strictest("other", "b", start).ShedFrom)
	must.Eq(t, 500, l.Strictest("r", "own", at(600*time.Millisecond)).ShedFrom, must.Sprint("the older report has expired"))
	must.Eq(t, call.RankLimit, l.Strictest("r", "own", at(lifetime)).ShedFrom)
	must.SliceEmpty(t, l.All(at(lifetime)))
	must.False(t, l.active.Load())
}

// A service is limited to the mean of what its upstreams report.
func TestLimitIsMeanOfUpstreams(t *testing.T) {
	l := New()
	l.RecordDestination("s", "n1", 100, start)
	must.Eq(t, 100, l.Strictest("r", "s", start).ShedFrom)
	l.RecordDestination("s", "n2", 0, start)
	must.Eq(t, (100+call.RankLimit)/2, l.Strictest("r", "s", start).ShedFrom)
	l.RecordDestination("s", "n2", 300, start)
	must.Eq(t, 200, l.Strictest("r", "s", start).ShedFrom)
}

// A service that no upstream limits any more is forgotten although its upstreams go on reporting.
func TestRecoveredServiceIsForgotten(t *testing.T) {
	l := New()
	l.RecordDestination("s", "n1", 100, start)
	for i := range 20 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		l.RecordDestination("s", "n1", 0, now)
		must.Eq(t, call.RankLimit, l.Strictest("r", "s", now).ShedFrom)
	}
	must.SliceEmpty(t, l.All(at(2*time.Second)))
}

// Two nodes that relay a limit to each other do not keep it alive.
func TestRelayedLimitExpires(t *testing.T) {
	a, b := New(), New()
	a.RecordDestination("s", "n1", 100, start)
	for i := range 30 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		b.Relay(a.All(now), now)
		a.Relay(b.All(now), now)
		if now.Sub(start) < lifetime {
			must.Eq(t, 100, b.Strictest("r", "s", now).ShedFrom)
		} else {
			must.SliceEmpty(t, b.All(now))
		}
	}
}

// A malformed age does not keep a limit alive.
func TestMalformedAge(t *testing.T) {
	l := New()
	for _, age := range []time.Duration{-1, math.MinInt64, math.MaxInt64, lifetime} {
		l.Relay([]call.ServiceLimit{{Service: "s", ShedFrom: 1, Age: age}}, start)
	}
	must.SliceEmpty(t, l.All(start))
	must.Eq(t, call.RankLimit, l.Strictest("r", "s", start).ShedFrom)
}
