package bench

import (
	"math"
	"slices"

	"github.com/cowslipglade/cowslipglade/call"
)

// Metrics are the results of a scenario. Pointer fields that a scenario does not measure are null.
type Metrics struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Capacity is Deployment.Capacity: root requests per second, computed from slots and service times
	// for the traffic mix of the deployment.
	Capacity float64 `json:"capacity"`
	// Offered and Goodput are requests per second in the measured phase.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	// Attainable is the goodput of the offered load if classes are served in order of importance.
	Attainable float64 `json:"attainable"`
	// GoodputOfCapacity is Goodput / Attainable.
	GoodputOfCapacity float64 `json:"goodput_of_capacity"`
	// RecoveryS is the recovery time from the end of the measured phase; null if the run ended first.
	RecoveryS *float64 `json:"recovery_s"`
	// WorstWorkspaceShare is the goodput of a workspace in the measured phase as a fraction of its
	// max-min fair share, for the workspace with the lowest fraction.
	WorstWorkspaceShare float64 `json:"worst_workspace_share"`
	WorstWorkspace      string  `json:"worst_workspace"`
	// WorstRouteShare is the same relative to the sum of the fair shares of the goodput of each route. Routes
	// use different services, so a fair share of the total may not be attainable for a workspace.
	WorstRouteShare float64 `json:"worst_route_share"`
	// WrongfulRefusals is the fraction of requests within the rate that were refused although capacity
	// was available.
	WrongfulRefusals float64 `json:"wrongful_refusals"`
	// ImportantLost is the fraction of critical requests of the measured phase that did not succeed.
	ImportantLost float64 `json:"important_lost"`
	// AttemptsPerRequest is the number of runs at the root service per client attempt that ran at all.
	// It excludes attempts that a node refused before an upstream accepted them.
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// DownstreamRunsPerCall is the number of runs of a downstream path per run that calls it, for the
	// path with the highest value.
	DownstreamRunsPerCall float64  `json:"downstream_runs_per_call"`
	AddedMSP50            *float64 `json:"added_ms_p50"`
	AddedMSP99            *float64 `json:"added_ms_p99"`
	// DirectMS and PathMS are the latencies without and with nodes; the added latencies are the
	// differences of their quantiles.
	DirectMS *Latency `json:"direct_ms,omitempty"`
	PathMS   *Latency `json:"path_ms,omitempty"`
	// NodeCPUUSPerCall is the CPU time of all nodes per call, including the control plane.
	NodeCPUUSPerCall *float64 `json:"node_cpu_us_per_call,omitempty"`

	Violations Violations `json:"violations"`
	// NotSent above 0 means that the load was not open-loop, which makes the run invalid.
	NotSent int64 `json:"not_sent"`
	// LateStartP99MS is the delay of request starts against the plan. Many milliseconds mean that the
	// machine was short of CPU time and that the run says little about the nodes.
	LateStartP99MS float64 `json:"late_start_p99_ms"`
}

// attainable returns the highest goodput at the given offered rate if classes are served in order of
// importance. Within a class, all routes get the same fraction of their demand until a service that they
// use is saturated.
func (d Deployment) attainable(rate float64) (float64, error) {
	freeSlots := map[string]float64{}
	for _, s := range d.Services {
		freeSlots[s.Name] = float64(s.Slots * len(d.Domains))
	}
	total := 0.0
	for class := range call.ImportanceCount {
		served, err := d.serveClass(rate, call.Importance(class).String(), freeSlots)
		if err != nil {
			return 0, err
		}
		total += served
	}
	return total, nil
}

// serveClass allocates free slots to the routes of one class and returns the rate served.
func (d Deployment) serveClass(rate float64, class string, freeSlots map[string]float64) (float64, error) {
	type classRoute struct {
		share  float64
		demand map[string]float64
	}
	var routes []classRoute
	totalShare := 0.0
	for _, r := range d.Routes {
		totalShare += r.Share
		if r.Importance != class || r.Share <= 0 {
			continue
		}
		demand := map[string]float64{}
		if _, err := d.addDemand(r.Prefix, demand, 1, 1); err != nil {
			return 0, err
		}
		routes = append(routes, classRoute{r.Share, demand})
	}
	served, servedFraction := 0.0, 0.0 // servedFraction is the served part of the offered rate of unsaturated routes
	for len(routes) > 0 && servedFraction < 1 {
		slotDemand := map[string]float64{}
		for _, r := range routes {
			for service, slotTime := range r.demand {
				slotDemand[service] += rate * r.share / totalShare * slotTime
			}
		}
		increment, saturated := 1-servedFraction, ""
		for service, slots := range slotDemand {
			if limit := freeSlots[service] / slots; limit < increment {
				increment, saturated = limit, service
			}
		}
		for service, slots := range slotDemand {
			freeSlots[service] -= slots * increment
		}
		for _, r := range routes {
			served += rate * r.share / totalShare * increment
		}
		servedFraction += increment
		routes = slices.DeleteFunc(routes, func(r classRoute) bool { return saturated != "" && r.demand[saturated] > 0 })
	}
	return served, nil
}

// fairShares divides capacity among demands by max-min fairness with equal weights: no share can grow
// without reducing one that is not larger.
func fairShares(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return 0
	})
	shares := make([]float64, len(demands))
	for n, i := range order {
		equal := capacity / float64(len(order)-n)
		shares[i] = min(demands[i], equal)
		capacity -= shares[i]
	}
	return shares
}

// worstWorkspaceShare returns the lowest goodput of a workspace as a fraction of its fair share, and the
// name of that workspace. The demand of a workspace, in requests per second, counts up to its quota.
func worstWorkspaceShare(d Deployment, phase PhaseResult, attainable, quotaCapacity float64) (float64, string) {
	demands := make([]float64, len(d.Workspaces))
	for i, w := range d.Workspaces {
		demands[i] = min(float64(phase.Workspaces[w.Name].Sent)/phase.DurationS, w.Share*quotaCapacity)
	}
	worst, name := math.Inf(1), ""
	for i, fair := range fairShares(demands, attainable) {
		if fair <= 0 {
			continue
		}
		w := d.Workspaces[i].Name
		if share := float64(phase.Workspaces[w].OK) / phase.DurationS / fair; share < worst {
			worst, name = share, w
		}
	}
	return worst, name
}

// worstRouteShare returns the lowest goodput of a workspace as a fraction of the sum of its max-min fair
// shares of the goodput of each route.
func worstRouteShare(d Deployment, phase PhaseResult) float64 {
	fair := make([]float64, len(d.Workspaces))
	succeeded := make([]float64, len(d.Workspaces))
	for _, counts := range phase.byRoute {
		demands := make([]float64, len(d.Workspaces))
		total := 0.0
		for i, w := range d.Workspaces {
			demands[i] = float64(counts[w.Name].Sent)
			succeeded[i] += float64(counts[w.Name].OK)
			total += float64(counts[w.Name].OK)
		}
		for i, share := range fairShares(demands, total) {
			fair[i] += share
		}
	}
	worst := math.Inf(1)
	for i := range fair {
		if fair[i] > 0 {
			worst = min(worst, succeeded[i]/fair[i])
		}
	}
	return worst
}

// wrongfulRefusals returns the fraction of requests that were refused although capacity was available, for
// the workspaces that keep within their rate. It is the greater of two fractions: all refusals in
// baseline phases, and rate_exceeded refusals in the other phases.
func wrongfulRefusals(s Scenario, result Result, greedy string) float64 {
	baseline, rate := &ratio{}, &ratio{}
	for i, phase := range result.Phases {
		for name, counts := range phase.Workspaces {
			switch {
			case name == greedy:
			case s.Phases[i].Kind == BaselinePhase:
				baseline.add(counts.RefusedTotal(), counts.Sent)
			default:
				rate.add(counts.refusedFor(call.CodeRateExceeded), counts.Sent)
			}
		}
	}
	return max(baseline.value(), rate.value())
}

type ratio struct {
	count, total int64
}

func (r *ratio) add(count, total int64) {
	r.count += count
	r.total += total
}

func (r *ratio) value() float64 {
	return float64(r.count) / float64(max(r.total, 1))
}

// importantLost returns the fraction of critical requests that did not succeed.
func importantLost(phase PhaseResult) float64 {
	critical := phase.Importances[call.Critical.String()]
	if critical == nil || critical.Sent == 0 {
		return 0
	}
	return 1 - float64(critical.OK)/float64(critical.Sent)
}

// A deployment has recovered when, over recoveryWindows windows, the mean goodput and the p99 of each
// window are close to the baseline. A quarter second holds only a few hundred requests, so goodput is
// averaged over a second.
const (
	recoveryWindows         = 4
	recoveryMinGoodputRatio = 0.9
	recoveryMaxP99Ratio     = 1.5
	recoveryWarmUpWindows   = 8 // windows at the start that are excluded from the baseline
)

// recovery returns the seconds from window end until goodput and p99 are back at the baseline of the
// windows before start, or nil if they are not before window last.
func recovery(windows []Window, start, end, last int) *float64 {
	first := min(recoveryWarmUpWindows, start/2)
	baseline := windows[first:min(start, len(windows))]
	if len(baseline) == 0 {
		return nil
	}
	goodput, p99 := 0.0, 0.0
	for _, w := range baseline {
		goodput += float64(w.OK) / float64(len(baseline))
		p99 = max(p99, w.P99MS)
	}
	for i := end; i+recoveryWindows <= min(last, len(windows)); i++ {
		ok, worst := 0.0, 0.0
		for _, w := range windows[i : i+recoveryWindows] {
			ok += float64(w.OK) / recoveryWindows
			worst = max(worst, w.P99MS)
		}
		if ok >= recoveryMinGoodputRatio*goodput && worst <= recoveryMaxP99Ratio*p99 {
			seconds := float64(i-end) * WindowLength.Seconds()
			return &seconds
		}
	}
	return nil
}

// goodput returns the complete responses per second in the windows from start to end.
func goodput(windows []Window, start, end int) float64 {
	ok := int64(0)
	for _, w := range windows[min(start, len(windows)):min(end, len(windows))] {
		ok += w.OK
	}
	return float64(ok) / (float64(end-start) * WindowLength.Seconds())
}
