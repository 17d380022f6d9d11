package bench

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against fair shares that waste capacity, exceed a demand, or give a workspace with unmet demand
// less than another.
func TestFairShares(t *testing.T) {
	must.Eq(t, []float64{4, 1, 4}, fairShares([]float64{10, 1, 4}, 9))
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 10).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		shares := fairShares(demands, capacity)
		demand, given, largest := 0.0, 0.0, 0.0
		for i := range demands {
			must.LessEq(t, demands[i]+1e-9, shares[i])
			demand += demands[i]
			given += shares[i]
			largest = max(largest, shares[i])
		}
		must.InDelta(t, min(demand, capacity), given, 1e-6)
		for i := range demands {
			must.True(t, shares[i] >= demands[i]-1e-9 || shares[i] >= largest-1e-6)
		}
	})
}

// Guards against an attainable goodput that exceeds what the slots allow, or that lets a less important
// class take slots from a more important one.
func TestAttainable(t *testing.T) {
	d := Deployment{
		Domains:  []string{"one"},
		Services: []Service{{Name: "s", Slots: 10, MedianMS: 100}, {Name: "idle", Slots: 10, MedianMS: 100}},
		Routes: []RouteSpec{
			{Prefix: "/s/", Service: "s", Importance: "critical", Share: 0.25},
			{Prefix: "/s/x", Service: "s", Importance: "sheddable", Share: 0.25},
			{Prefix: "/idle/", Service: "idle", Importance: "normal", Share: 0.5},
		},
	}
	for rate, want := range map[float64]float64{100: 100, 200: 200, 300: 75 + 100 + 25, 800: 100 + 100} {
		got, err := d.attainable(rate)
		must.NoError(t, err)
		must.InDelta(t, want, got, 1e-6)
	}
}

// Guards against a recovery that is reported before both goodput and p99 are back at the baseline, or
// never.
func TestRecovery(t *testing.T) {
	var windows []Window
	add := func(n int, ok int64, p99 float64) {
		for range n {
			windows = append(windows, Window{OK: ok, P99MS: p99})
		}
	}
	add(40, 100, 50)
	add(40, 20, 900)
	add(4, 20, 60)  // goodput has not recovered
	add(4, 100, 90) // p99 has not recovered
	add(20, 100, 60)
	got := recovery(windows, 40, 80, len(windows))
	must.NotNil(t, got)
	must.Eq(t, 2, *got)
	must.Nil(t, recovery(windows[:88], 40, 80, 88))
	must.InDelta(t, 80, goodput(windows, 40, 80), 1e-9)
}

// Guards against fair shares that exceed the quota or the demand of a workspace, and against refusals
// that count as wrongful although the workspace exceeded its rate.
func TestWorkspaceMetrics(t *testing.T) {
	d := Deployment{Workspaces: []WorkspaceSpec{{"a", 0.5}, {"b", 0.5}}}
	rate := map[string]int64{"rate_exceeded/not_run": 900}
	phase := PhaseResult{
		Phase: Phase{DurationS: 10},
		Workspaces: map[string]*Counts{
			"a": {Sent: 1400, OK: 500, Refused: rate},
			"b": {Sent: 400, OK: 300, Refused: map[string]int64{"rate_exceeded/not_run": 20, "overloaded/not_run": 80}},
		},
	}
	worst, name := worstWorkspaceShare(d, phase, 100, 100)
	must.Eq(t, "b", name)
	must.InDelta(t, 0.75, worst, 1e-9)
	s := Scenario{Phases: []ScenarioPhase{{Kind: MeasuredPhase}}}
	must.InDelta(t, 20.0/400, wrongfulRefusals(s, Result{Phases: []PhaseResult{phase}}, "a"), 1e-9)
	s.Phases[0].Kind = BaselinePhase
	must.InDelta(t, 100.0/400, wrongfulRefusals(s, Result{Phases: []PhaseResult{phase}}, "a"), 1e-9)
}

// Guards against invariant violations in the records of the upstreams that go undetected.
func TestViolations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	text := `{"run":1,"nonce":"1-1-1","request_id":"r1","method":"POST","start_ns":1}
{"run":1,"nonce":"1-1-1","request_id":"r1","method":"POST","start_ns":1,"started":true}
{"run":1,"nonce":"1-1-1","request_id":"r1","method":"POST","start_ns":1,"end_ns":2,"started":true,"outcome":"ok"}
{"run":2,"nonce":"1-1-2","request_id":"r1","method":"POST","start_ns":1,"started":true,"key_seen":true}
{"run":3,"nonce":"1-2-1","method":"GET","start_ns":1}
{"run":4,"nonce":"1-3-1","method":"GET","sta`
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	all := newRunSummary()
	must.NoError(t, all.readFile(path))
	must.Eq(t, Violations{FalseNotRun: 1, RanTwice: 1, KeysSeen: 1}, all.violations(Result{notRunNonces: []string{"1-1-2", "1-2-1"}}))
	must.Eq(t, 1, all.attemptsPerRequest())
	for path, n := range map[string]int{"/holdbay/item": 4, "/shelfwatch/priced/held": 5, "/ratecard/current": 5} {
		all.byPath[path] = n
	}
	must.Eq(t, 1.25, all.downstreamRunsPerCall(mirrorline()))
}

// Guards against scenarios without a measured phase, faults that start or end outside the load or are
// undone out of order, and a slow service that leaves too few slots for critical requests.
func TestScenarios(t *testing.T) {
	must.MapLen(t, 8, Scenarios())
	for name, s := range Scenarios() {
		_, start, err := s.measured()
		must.NoError(t, err)
		total := 0.0
		for _, p := range s.Phases {
			total += p.DurationS
		}
		for _, f := range s.Faults {
			must.True(t, f.StartS >= start && f.StartS+f.DurationS <= total, must.Sprint(name))
		}
	}
	for name, d := range Deployments() {
		d = d.Scaled(DefaultScale())
		capacity, _, err := d.Capacity()
		must.NoError(t, err)
		slowed := Scenarios()["slow-deep-service"].withFaults(d)
		critical := d.Routes[1]
		free := map[string]float64{}
		for _, s := range slowed.Services {
			free[s.Name] = float64(s.Slots * len(slowed.Domains))
		}
		served, err := slowed.serveClass(0.7*capacity, critical.Importance, free)
		must.NoError(t, err)
		must.InDelta(t, 0.7*capacity*critical.Share, served, 1e-6, must.Sprint(name))
		must.Len(t, len(d.Domains)-1, Scenarios()["cut"].withFaults(d).Domains)
	}
	steps := (&RunningDeployment{}).steps([]Fault{{StartS: 1, DurationS: 5}, {StartS: 2, DurationS: 1}})
	var times []time.Duration
	for _, s := range steps {
		times = append(times, s.start/time.Second)
	}
	must.Eq(t, []time.Duration{1, 2, 3, 6}, times)
}

// Checks that a workspace that gets its fair share of a contended route and all of another route does not
// count as underserved because another workspace uses the contended route alone.
func TestWorstRouteShare(t *testing.T) {
	d := Deployment{Workspaces: []WorkspaceSpec{{Name: "a"}, {Name: "b"}}}
	phase := PhaseResult{byRoute: map[string]map[string]*Counts{
		"short": {"a": {Sent: 100, OK: 40}, "b": {Sent: 400, OK: 60}},
		"free":  {"a": {Sent: 50, OK: 50}, "b": {Sent: 0}},
	}}
	must.Eq(t, 0.9, worstRouteShare(d, phase)) // a has 90 of 50 + 50
}
