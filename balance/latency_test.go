package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// latencyFixture is a picker in failure domain d0 of a service with one upstream in each of three domains.
type latencyFixture struct {
	picker *LatencyPicker
	random *rand.Rand
	now    time.Time
}

// timeLeft is the time until the deadline of the calls.
const timeLeft = 1500 * time.Millisecond

func newLatencyFixture() *latencyFixture {
	f := &latencyFixture{
		picker: NewLatencyPicker(DefaultLatencyConfig(), Origin{Node: "n", FailureDomain: "d0", Region: "r"}),
		random: rand.New(rand.NewPCG(1, 1)),
		now:    time.Unix(1000, 0),
	}
	var candidates []Candidate
	for i := range 3 {
		candidates = append(candidates, Candidate{
			ID: ID{Node: fmt.Sprintf("n%d", i), Incarnation: 1}, FailureDomain: fmt.Sprintf("d%d", i), Region: "r", Slots: 50,
		})
	}
	f.picker.SetCandidates("s", candidates)
	return f
}

// run makes calls one after the other and returns the number of calls by upstream.
func (f *latencyFixture) run(t *testing.T, calls int, bytes int64, outcome func(node string) LatencyResult) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range calls {
		choice, err := f.picker.Pick("s", LatencyQuery{Route: "a", Bytes: bytes, TimeLeft: timeLeft}, f.now, f.random)
		must.NoError(t, err)
		got[choice.Node]++
		result := outcome(choice.Node)
		f.now = f.now.Add(10 * time.Millisecond)
		f.picker.Done("s", choice.ID, "a", result, f.now)
	}
	return got
}

func latencies(ms ...int) func(string) LatencyResult {
	return func(node string) LatencyResult {
		return LatencyResult{Latency: time.Duration(ms[node[1]-'0']) * time.Millisecond}
	}
}

// The fastest upstream gets most calls, and slow ones are still tried occasionally.
func TestLatencyPickerPrefersFast(t *testing.T) {
	f := newLatencyFixture()
	got := f.run(t, 1000, 0, latencies(200, 50, 120))
	must.Greater(t, 900, got["n1"])
	must.Greater(t, 0, got["n0"])
}

// The local domain is preferred when the latency difference is small, and for large bodies as long as the links need more
// time for them than a faster upstream saves.
func TestLatencyPickerPrefersLocalDomain(t *testing.T) {
	f := newLatencyFixture()
	must.Greater(t, 900, f.run(t, 1000, 0, latencies(20, 19, 19))["n0"])
	for _, link := range []struct {
		kibPenalty time.Duration
		local      bool
	}{{4 * time.Millisecond, true}, {16 * time.Microsecond, false}} {
		f = newLatencyFixture()
		f.picker.config.KiBPenalty = link.kibPenalty
		local := f.run(t, 1000, 60<<10, latencies(200, 50, 50))["n0"]
		if link.local {
			must.Greater(t, 900, local, must.Sprint(link.kibPenalty))
		} else {
			must.Less(t, 100, local, must.Sprint(link.kibPenalty))
		}
	}
}

// An upstream that fails a part of its calls is avoided the more, the more time its callers would lose.
func TestLatencyPickerWeighsFailuresByTimeLeft(t *testing.T) {
	config := DefaultLatencyConfig()
	now := time.Unix(1000, 0)
	u := &latencyUpstream{failures: 0.1, failuresAt: now}
	cost := func(left time.Duration) float64 { return u.cost(&config, LatencyQuery{TimeLeft: left}, 0, 0, now) }
	must.InDelta(t, 0.5, cost(5*time.Second), 1e-9)
	must.InDelta(t, 0.07, cost(700*time.Millisecond), 1e-9)
}

// Slow calls stay in their domain too: noise in proportion to their latency must not spread them over all domains.
func TestLatencyPickerKeepsSlowCallsLocal(t *testing.T) {
	f := newLatencyFixture()
	must.Greater(t, 900, f.run(t, 1000, 0, latencies(1300, 1300, 1200))["n0"])
}

// An upstream that fails gets few calls until it recovers.
func TestLatencyPickerAvoidsFailures(t *testing.T) {
	f := newLatencyFixture()
	failing := func(node string) LatencyResult {
		if node == "n0" {
			return LatencyResult{Outcome: Failed, Latency: time.Millisecond}
		}
		return LatencyResult{Latency: 50 * time.Millisecond}
	}
	must.Less(t, 100, f.run(t, 1000, 0, failing)["n0"])
	f.now = f.now.Add(10 * time.Second)
	must.Greater(t, 500, f.run(t, 1000, 0, latencies(20, 50, 50))["n0"])
}

// One failed connection takes an upstream out of use for a time and makes the other upstreams of its domain
// suspected.
func TestLatencyPickerUnreachable(t *testing.T) {
	f := newLatencyFixture()
	f.picker.SetCandidates("t", []Candidate{
		{ID: ID{Node: "near"}, FailureDomain: "d0", Region: "r", Slots: 50},
		{ID: ID{Node: "far"}, FailureDomain: "d1", Region: "r", Slots: 50},
	})
	for _, id := range []string{"near", "far"} {
		f.picker.Done("t", ID{Node: id}, "b", LatencyResult{Latency: map[string]time.Duration{"near": 100 * time.Millisecond, "far": 20 * time.Millisecond}[id]}, f.now)
	}
	pick := func() string {
		choice, err := f.picker.Pick("t", LatencyQuery{Route: "b", TimeLeft: timeLeft}, f.now, f.random)
		must.NoError(t, err)
		f.picker.Done("t", choice.ID, "b", LatencyResult{Outcome: Abandoned}, f.now)
		return choice.Node
	}
	must.Eq(t, "far", pick())
	f.now = f.now.Add(10 * time.Millisecond)
	f.picker.Done("s", ID{Node: "n1", Incarnation: 1}, "a", LatencyResult{Outcome: Unreachable}, f.now)
	must.Eq(t, "near", pick(), must.Sprint("another upstream of domain d1 was unreachable"))
	got := f.run(t, 20, 0, latencies(50, 1, 50))
	must.Eq(t, 0, got["n1"])
	f.now = f.now.Add(3 * time.Second)
	must.Eq(t, "far", pick())
}

// When every upstream is unreachable, one is still tried. A draining upstream is never chosen.
func TestLatencyPickerAllUnreachable(t *testing.T) {
	f := newLatencyFixture()
	for i := range 3 {
		f.picker.Done("s", ID{Node: fmt.Sprintf("n%d", i), Incarnation: 1}, "a", LatencyResult{Outcome: Unreachable}, f.now)
	}
	_, err := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
	must.NoError(t, err)
	for i := range 3 {
		f.picker.Done("s", ID{Node: fmt.Sprintf("n%d", i), Incarnation: 1}, "a", LatencyResult{Outcome: Declined, Load: &call.Load{Draining: true}}, f.now)
	}
	_, err = f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
	must.ErrorIs(t, err, ErrNoUpstream)
}

// Guards against more calls to a cold upstream than it sustains, against a cold one that is preferred to a warm one, and
// against calls to unreachable upstreams while a cold one only has to be waited for.
func TestLatencyPickerColdUpstreams(t *testing.T) {
	f := newLatencyFixture()
	var candidates []Candidate
	for i, until := range []time.Duration{3 * time.Second, 3 * time.Second, 0} {
		id := ID{Node: fmt.Sprintf("n%d", i), Incarnation: 1}
		candidates = append(candidates, Candidate{ID: id, FailureDomain: "d0", Region: "r", Slots: 50, ColdRate: 13, ColdUntil: f.now.Add(until)})
	}
	f.picker.SetCandidates("s", candidates)
	got := f.run(t, 100, 0, latencies(20, 20, 20))
	must.Greater(t, 90, got["n2"], must.Sprint(got))
	f.picker.SetReachable("n2", false, f.now)
	picked := 0
	for range 100 { // in one second
		f.now = f.now.Add(10 * time.Millisecond)
		choice, err := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
		if err == nil {
			must.NotEq(t, "n2", choice.Node)
			f.picker.Done("s", choice.ID, "a", LatencyResult{Latency: time.Millisecond}, f.now)
			picked++
		}
	}
	must.Between(t, 26, picked, 2*(13+coldBurst))
	f.now = f.now.Add(3 * time.Second)
	f.run(t, 200, 0, latencies(20, 20, 20)) // warm again
}
