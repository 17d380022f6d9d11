package bench

import (
	"fmt"
	"slices"
)

// Scenario describes load and faults for a deployment. Times are in seconds from the start of the load.
type Scenario struct {
	Name string
	// Phases are the phases of the load; exactly one is a MeasuredPhase.
	Phases []ScenarioPhase
	Faults []Fault
	// Retries and BackoffMS are the retry settings of the clients, as in Plan.
	Retries   int
	BackoffMS int64
	// QuotaFactor is the rate of each workspace as a multiple of its share of capacity.
	QuotaFactor float64
	// ExcludeDomain is a failure domain whose nodes are not used as entry nodes, because its callers are
	// affected like the domain itself.
	ExcludeDomain string
	// Latency makes the scenario measure the latency that the nodes add: upstreams respond immediately,
	// only idempotent routes without downstream calls are used, and the load runs concurrently through
	// the nodes and directly to the upstreams.
	Latency bool
}

// ScenarioPhase is a phase of constant load.
type ScenarioPhase struct {
	Name      string
	DurationS float64
	// Load is relative to the capacity of the deployment; RatePerS replaces it when set.
	Load     float64
	RatePerS float64
	// Greedy multiplies the traffic of the third-largest workspace; 0 means 1.
	Greedy float64
	Kind   PhaseKind
}

// PhaseKind determines how a phase is evaluated.
type PhaseKind uint8

// Kinds of phases. A baseline phase is the reference for recovery, and all its refusals count as wrongful.
// An after phase follows the measured phase, so that recovery can be observed.
const (
	BaselinePhase PhaseKind = iota
	MeasuredPhase
	AfterPhase
)

// Action is what a fault does.
type Action string

// Actions. Except for PlatformDown, they apply to the VMs that Service and Domain of the fault select. They
// are undone after DurationS.
const (
	// SlowService multiplies the service time by Factor.
	SlowService Action = "slow-service"
	// StopVM kills node and upstream; undoing restarts them, with a cold upstream.
	StopVM Action = "stop-vm"
	// FreezeVM suspends the processes without closing their connections.
	FreezeVM Action = "freeze-vm"
	// CrashUpstream kills only the upstream; undoing restarts it cold.
	CrashUpstream Action = "crash-upstream"
	// PlatformDown makes the platform close the connection of every call.
	PlatformDown Action = "platform-down"
)

// Fault is an action that starts at StartS and lasts for DurationS.
type Fault struct {
	StartS    float64
	DurationS float64
	Action    Action
	// Service is a service name, or "deepest" for the last service of the deployment's call chains. An
	// empty Service or Domain selects all.
	Service string
	Domain  string
	Factor  float64
}

// deepestService selects the last service of the call chains, which is listed last in each deployment.
const deepestService = "deepest"

// greedyWorkspaceIndex is the index of the workspace that exceeds its rate in the greedy phases.
const greedyWorkspaceIndex = 2

// Scenarios returns the scenarios by name.
func Scenarios() map[string]Scenario {
	list := []Scenario{
		{
			Name: "overload",
			Phases: []ScenarioPhase{
				{Name: "before", DurationS: 10, Load: 0.7},
				{Name: "overload", DurationS: 60, Load: 2, Kind: MeasuredPhase},
				{Name: "after", DurationS: 15, Load: 0.7, Kind: AfterPhase},
			},
		},
		{
			Name: "surge",
			Phases: []ScenarioPhase{
				{Name: "before", DurationS: 10, Load: 0.5},
				{Name: "surge", DurationS: 10, Load: 3, Kind: MeasuredPhase},
				{Name: "after", DurationS: 15, Load: 0.5, Kind: AfterPhase},
			},
		},
		{
			// At a factor of 4 the deepest service still has capacity for all critical requests, but not
			// for the others.
			Name:   "slow-deep-service",
			Phases: phasesAroundFault(20, 0.7),
			Faults: []Fault{{StartS: 10, DurationS: 20, Action: SlowService, Service: deepestService, Factor: 4}},
		},
		{
			Name:        "greedy-workspace",
			QuotaFactor: 1,
			Phases: []ScenarioPhase{
				{Name: "before", DurationS: 10, Load: 0.8},
				// 12.5 times its traffic at load 0.8 is 10 times its rate.
				{Name: "greedy", DurationS: 30, Load: 0.8, Greedy: 12.5, Kind: MeasuredPhase},
				{Name: "after", DurationS: 15, Load: 0.8, Kind: AfterPhase},
			},
		},
		{
			Name:      "retry-storm",
			Retries:   5,
			BackoffMS: 50,
			Phases: []ScenarioPhase{
				{Name: "before", DurationS: 10, Load: 0.7},
				{Name: "storm", DurationS: 20, Load: 1.4, Kind: MeasuredPhase},
				{Name: "after", DurationS: 20, Load: 0.7, Kind: AfterPhase},
			},
		},
		{
			Name:          "cold-start",
			ExcludeDomain: "domain-1",
			Phases:        phasesAroundFault(15, 0.6),
			Faults:        []Fault{{StartS: 10, DurationS: 5, Action: StopVM, Domain: "domain-1"}},
		},
		{
			// To the other domains, a domain whose processes are suspended looks like one behind a
			// network partition. What a partitioned domain itself serves is not covered.
			Name:          "cut",
			ExcludeDomain: "domain-1",
			Phases:        phasesAroundFault(20, 0.5),
			Faults:        []Fault{{StartS: 10, DurationS: 20, Action: FreezeVM, Domain: "domain-1"}},
		},
		{
			Name:    "latency",
			Latency: true,
			Phases:  []ScenarioPhase{{Name: "steady", DurationS: 15, RatePerS: 500, Kind: MeasuredPhase}},
		},
	}
	byName := map[string]Scenario{}
	for _, s := range list {
		if s.QuotaFactor == 0 {
			s.QuotaFactor = DefaultQuotaFactor
		}
		byName[s.Name] = s
	}
	return byName
}

// phasesAroundFault returns phases of constant load; the middle one starts after 10 s and lasts as long as
// the fault.
func phasesAroundFault(faultS, load float64) []ScenarioPhase {
	return []ScenarioPhase{
		{Name: "before", DurationS: 10, Load: load},
		{Name: "fault", DurationS: faultS, Load: load, Kind: MeasuredPhase},
		{Name: "after", DurationS: 15, Load: load, Kind: AfterPhase},
	}
}

// phases returns the load phases for a deployment with the given capacity.
func (s Scenario) phases(d Deployment, capacity float64) []Phase {
	phases := make([]Phase, len(s.Phases))
	for i, p := range s.Phases {
		phases[i] = Phase{Name: p.Name, DurationS: p.DurationS, Rate: p.Load * capacity}
		if p.RatePerS > 0 {
			phases[i].Rate = p.RatePerS
		}
		if p.Greedy > 0 {
			phases[i].Factors = map[string]float64{d.Workspaces[greedyWorkspaceIndex].Name: p.Greedy}
		}
	}
	return phases
}

// withFaults returns the deployment as it is during the faults, to compute the attainable goodput. Of the
// faults that stop VMs, it supports only those of an entire failure domain.
func (s Scenario) withFaults(d Deployment) Deployment {
	d = d.Scaled(Scale{Slots: 1, Time: 1})
	for _, f := range s.Faults {
		switch f.Action {
		case SlowService:
			for i := range d.Services {
				if d.Services[i].Name == f.service(d) {
					d.Services[i].MedianMS *= f.Factor
				}
			}
		case StopVM, FreezeVM:
			d.Domains = slices.DeleteFunc(slices.Clone(d.Domains), func(name string) bool { return name == f.Domain })
		}
	}
	return d
}

// service returns the service that the fault selects, or an empty string for all.
func (f Fault) service(d Deployment) string {
	if f.Service == deepestService {
		return d.Services[len(d.Services)-1].Name
	}
	return f.Service
}

// measured returns the index of the measured phase and its start in seconds.
func (s Scenario) measured() (index int, startS float64, err error) {
	index = slices.IndexFunc(s.Phases, func(p ScenarioPhase) bool { return p.Kind == MeasuredPhase })
	if index < 0 {
		return 0, 0, fmt.Errorf("bench: scenario %s has no measured phase", s.Name)
	}
	for _, p := range s.Phases[:index] {
		startS += p.DurationS
	}
	return index, startS, nil
}

// greedyWorkspace returns the workspace that exceeds its rate, or an empty string if there is none.
func (s Scenario) greedyWorkspace(d Deployment) string {
	for _, p := range s.Phases {
		if p.Greedy > 0 {
			return d.Workspaces[greedyWorkspaceIndex].Name
		}
	}
	return ""
}
