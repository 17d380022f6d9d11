package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/workload"
)

// reporting returns results of upstreams whose nodes report their work. The times in ms are the usual ones by upstream.
func reporting(inFlight, waiting []int, pace []float64, ms ...int) func(string) LatencyResult {
	return func(node string) LatencyResult {
		i := node[1] - '0'
		ran := time.Duration(ms[i]) * time.Millisecond
		return LatencyResult{Latency: ran, Load: &call.Load{
			InFlight: inFlight[i], Limit: 50, Admitted: call.Sheddable, Waiting: waiting[i], Pace: pace[i],
			WorkLeft: time.Duration(inFlight[i]+waiting[i]) * ran, Ran: ran, Usual: ran,
		}}
	}
}

var (
	nothing = []int{0, 0, 0}
	usual   = []float64{1, 1, 1}
)

// Calls must leave their failure domain when its upstream has no room or has turned slow, and return afterwards.
func TestExpectedLeavesDomain(t *testing.T) {
	f := newLatencyFixture()
	must.Greater(t, 190, f.run(t, 200, 0, reporting(nothing, nothing, usual, 100, 95, 95))["n0"])
	must.Less(t, 60, f.run(t, 200, 0, reporting([]int{50, 5, 5}, []int{60, 0, 0}, usual, 100, 95, 95))["n0"], must.Sprint("no room"))
	f.run(t, 400, 0, reporting(nothing, nothing, usual, 100, 95, 95))
	must.Greater(t, 180, f.run(t, 200, 0, reporting(nothing, nothing, usual, 100, 95, 95))["n0"])
	must.Less(t, 60, f.run(t, 200, 0, reporting(nothing, nothing, []float64{0.3, 1, 1}, 100, 95, 95))["n0"], must.Sprint("slow"))
	must.Positive(t, f.picker.PickCounts()["s"].Spilled)
}

// A report in an exchange must count like one in a response, an older one must not replace a later one, and one of an old
// node, without pace, must change nothing.
func TestReport(t *testing.T) {
	f := newLatencyFixture()
	f.run(t, 100, 0, reporting(nothing, nothing, usual, 100, 95, 95))
	full := call.Load{InFlight: 50, Limit: 50, Waiting: 200, Pace: 1, WorkLeft: 25 * time.Second, Admitted: call.Sheddable}
	for _, c := range []struct {
		load call.Load
		age  time.Duration
		want bool
	}{{full, 10 * time.Second, false}, {call.Load{InFlight: 50, Limit: 50, Waiting: 200}, 0, false}, {full, 0, true}} {
		f.now = f.now.Add(time.Millisecond)
		f.picker.Report("s", "n0", c.load, nil, f.now.Add(-c.age))
		must.Eq(t, c.want, f.picker.services["s"].upstreams[0].signal.Waiting == 200)
	}
	choice, err := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
	must.NoError(t, err)
	must.NotEq(t, "n0", choice.Node)
}

// While nodes of both versions run, upstreams of nodes that do not report must be compared by their latency: a faster one of
// either version gets the calls.
func TestMixedVersions(t *testing.T) {
	for want, ms := range map[string][]int{"n0": {50, 200, 200}, "n1": {200, 50, 200}} {
		f := newLatencyFixture()
		got := f.run(t, 500, 0, func(node string) LatencyResult {
			result := reporting(nothing, nothing, usual, ms...)(node)
			if node == "n0" {
				result.Load = &call.Load{Limit: 50, Admitted: call.Sheddable}
			}
			return result
		})
		must.Greater(t, 400, got[want], must.Sprint(want))
	}
}

// Usual times in exchanges must tell the speed of upstreams that this node has not called.
func TestReportTellsSpeed(t *testing.T) {
	f := newLatencyFixture()
	for range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		for node, ms := range map[string]time.Duration{"n0": 100, "n1": 30, "n2": 100} {
			f.picker.Report("s", node, call.Load{Limit: 50, Pace: 1, Admitted: call.Sheddable},
				[]workload.UsualTime{{Route: "a", Usual: ms * time.Millisecond}}, f.now)
		}
	}
	choice, err := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
	must.NoError(t, err)
	must.Eq(t, "n1", choice.Node)
}

// The state of an upstream whose node has restarted must not count: it starts with the mean speed and without load.
func TestExpectedAfterRestart(t *testing.T) {
	f := newLatencyFixture()
	f.run(t, 200, 0, reporting([]int{50, 5, 5}, []int{60, 0, 0}, usual, 300, 100, 100))
	s := f.picker.services["s"]
	candidates := []Candidate{s.upstreams[0].Candidate, s.upstreams[1].Candidate, s.upstreams[2].Candidate}
	candidates[0].Incarnation++
	f.picker.SetCandidates("s", candidates)
	u := s.upstreams[0]
	must.False(t, u.reports())
	must.False(t, u.speed.Known())
	got := map[string]int{}
	for range 100 {
		choice, err := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
		must.NoError(t, err)
		got[choice.Node]++
		f.picker.Done("s", choice.ID, "a", LatencyResult{Outcome: Abandoned}, f.now)
	}
	must.Positive(t, got["n0"])
}

// A hedge must not be sent where nothing is known, nor within the variance of the calls, and later where more work is left.
func TestHedgeDelay(t *testing.T) {
	f := newLatencyFixture()
	query := LatencyQuery{Route: "a", TimeLeft: timeLeft}
	delay := func() (time.Duration, bool) {
		return f.picker.HedgeDelay("s", ID{Node: "n0", Incarnation: 1}, query, 0.99, f.now)
	}
	_, ok := delay()
	must.False(t, ok)
	calls := 0
	varied := func(node string) LatencyResult {
		result := reporting(nothing, nothing, usual, 100, 100, 100)(node)
		if calls++; calls%20 == 0 {
			result.Load.Ran *= 7
		}
		return result
	}
	f.run(t, 100, 0, varied)
	_, ok = delay()
	must.False(t, ok, must.Sprint("too few calls"))
	f.run(t, 1000, 0, varied)
	idle, ok := delay()
	must.True(t, ok)
	must.Between(t, 600*time.Millisecond, idle, 900*time.Millisecond)
	f.picker.Report("s", "n0", call.Load{InFlight: 50, Limit: 50, Waiting: 100, Pace: 1, WorkLeft: 15 * time.Second}, nil, f.now.Add(time.Nanosecond))
	busy, _ := delay()
	must.Greater(t, idle+150*time.Millisecond, busy)
}

func BenchmarkLatencyPick(b *testing.B) {
	for _, name := range []string{"today", "expected"} {
		b.Run(name, func(b *testing.B) {
			f := newLatencyFixture()
			candidates := fleet("d0", "d0", "d0", "d0", "d0", "d0", "d0", "d1", "d1", "d1", "d1", "d1", "d1", "d1", "d2", "d2", "d2", "d2", "d2", "d2")
			f.picker.SetCandidates("s", candidates)
			load := &call.Load{InFlight: 3, Limit: 10}
			if name == "expected" {
				load.Pace, load.Ran, load.Usual, load.WorkLeft = 1, 100*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond
			}
			result := LatencyResult{Latency: 100 * time.Millisecond, Load: load}
			for range 100 {
				for _, c := range candidates {
					f.picker.Done("s", c.ID, "a", result, f.now)
				}
			}
			for b.Loop() {
				choice, _ := f.picker.Pick("s", LatencyQuery{Route: "a", TimeLeft: timeLeft}, f.now, f.random)
				f.picker.Done("s", choice.ID, "a", result, f.now)
			}
		})
	}
}
