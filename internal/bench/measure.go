package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Measure launches a deployment, runs a scenario on it and returns its metrics and the result of the
// load. It uses the quota factor of the scenario instead of that of the options.
func Measure(ctx context.Context, deployment Deployment, scenario Scenario, options LaunchOptions) (Metrics, Result, error) {
	options.QuotaFactor = scenario.QuotaFactor
	capacity, _, err := deployment.Capacity()
	if err != nil {
		return Metrics{}, Result{}, err
	}
	launched := deployment
	if scenario.Latency {
		launched = deployment.Scaled(Scale{Slots: 1, Time: 0})
		options.QuotaFactor *= latencyQuotaMultiplier
	}
	running, err := launch(ctx, launched, options, capacity)
	if err != nil {
		return Metrics{}, Result{}, err
	}
	defer running.Stop()
	m := Metrics{
		Deployment: deployment.Name,
		Scenario:   scenario.Name,
		Policy:     options.Policy,
		Seed:       options.Seed,
		Capacity:   capacity,
	}
	plan := running.Plan(options.Seed, scenario.phases(deployment, capacity))
	plan.Retries, plan.BackoffMS = scenario.Retries, scenario.BackoffMS
	if scenario.ExcludeDomain != "" {
		plan.Targets = running.targetsOutside(scenario.ExcludeDomain)
	}
	if scenario.Latency {
		return running.measureLatency(ctx, m, plan)
	}
	result, err := running.runScenario(ctx, scenario, plan)
	if err != nil {
		return m, result, err
	}
	err = running.evaluate(&m, scenario, result)
	return m, result, err
}

// latencyQuotaMultiplier keeps quotas from limiting the latency scenario, whose load does not depend on
// capacity.
const latencyQuotaMultiplier = 10

func (r *RunningDeployment) targetsOutside(domain string) []string {
	var targets []string
	for _, vm := range r.VMs {
		if vm.Domain != domain {
			targets = append(targets, "http://"+vm.address(portCaller))
		}
	}
	return targets
}

// runScenario runs the load and the faults concurrently.
func (r *RunningDeployment) runScenario(ctx context.Context, scenario Scenario, plan Plan) (Result, error) {
	generator, err := NewLoadGenerator(plan)
	if err != nil {
		return Result{}, err
	}
	generator.prepare(ctx)
	faultErr := make(chan error, 1)
	begin := time.Now()
	go func() { faultErr <- r.runFaults(ctx, scenario.Faults, begin) }()
	result := generator.Run(ctx)
	if err := <-faultErr; err != nil {
		return result, fmt.Errorf("bench: faults: %w", err)
	}
	return result, ctx.Err()
}

// evaluate computes the metrics of a finished run.
func (r *RunningDeployment) evaluate(m *Metrics, scenario Scenario, result Result) error {
	index, startS, err := scenario.measured()
	if err != nil {
		return err
	}
	phase := result.Phases[index]
	start := int(startS / WindowLength.Seconds())
	end := start + int(phase.DurationS/WindowLength.Seconds())
	last := int(result.DurationS / WindowLength.Seconds())
	m.Offered = float64(phase.Sent+result.NotSent) / phase.DurationS
	m.Goodput = goodput(result.Windows, start, end)
	if m.Attainable, err = scenario.withFaults(r.Deployment).attainable(m.Offered); err != nil {
		return err
	}
	m.GoodputOfCapacity = m.Goodput / m.Attainable
	m.RecoveryS = recovery(result.Windows, start, end, last)
	m.WorstWorkspaceShare, m.WorstWorkspace = worstWorkspaceShare(r.Deployment, phase, m.Attainable, m.Capacity*scenario.QuotaFactor)
	m.WorstRouteShare = worstRouteShare(r.Deployment, phase)
	m.WrongfulRefusals = wrongfulRefusals(scenario, result, scenario.greedyWorkspace(r.Deployment))
	m.ImportantLost = importantLost(phase)
	return r.evaluateRunRecords(m, result)
}

func (r *RunningDeployment) evaluateRunRecords(m *Metrics, result Result) error {
	records, err := r.readRunRecords()
	if err != nil {
		return err
	}
	m.NotSent = result.NotSent
	m.LateStartP99MS = result.LateStartP99MS
	m.AttemptsPerRequest = records.attemptsPerRequest()
	m.DownstreamRunsPerCall = records.downstreamRunsPerCall(r.Deployment)
	m.Violations = records.violations(result)
	return nil
}

// directSeedOffset makes the nonces of the direct load differ from those of the load through the nodes.
const directSeedOffset = 1 << 32

// measureLatency sends the load directly to the upstreams and through the nodes concurrently. It measures
// the latency that the nodes add and the CPU time that they use.
func (r *RunningDeployment) measureLatency(ctx context.Context, m Metrics, plan Plan) (Metrics, Result, error) {
	before := r.nodeCPUTime()
	plan.Routes = slices.DeleteFunc(plan.Routes, func(route RouteLoad) bool { return !route.Idempotent })
	direct := plan
	direct.Targets = nil
	direct.Seed += directSeedOffset
	direct.Routes = slices.Clone(plan.Routes)
	for i := range direct.Routes {
		direct.Routes[i].Targets = r.upstreamTargets(direct.Routes[i].Path)
	}
	direct.Workspaces = slices.Clone(plan.Workspaces)
	for i := range direct.Workspaces {
		direct.Workspaces[i].Key = ""
	}
	results, err := runConcurrently(ctx, direct, plan)
	if err != nil {
		return m, Result{}, err
	}
	result := results[1]
	cpu := float64((r.nodeCPUTime() - before).Microseconds()) / float64(max(result.Sent, 1))
	m.NodeCPUUSPerCall = &cpu
	m.DirectMS, m.PathMS = &results[0].SendLatencyMS, &result.SendLatencyMS
	p50 := m.PathMS.P50 - m.DirectMS.P50
	p99 := m.PathMS.P99 - m.DirectMS.P99
	m.AddedMSP50, m.AddedMSP99 = &p50, &p99
	m.Offered = float64(result.Sent) / result.DurationS
	m.Goodput = float64(result.OK) / result.DurationS
	return m, result, r.evaluateRunRecords(&m, result)
}

// runConcurrently runs the loads of all plans concurrently, so that the state of the machine affects all
// equally.
func runConcurrently(ctx context.Context, plans ...Plan) ([]Result, error) {
	generators := make([]*LoadGenerator, len(plans))
	for i, plan := range plans {
		generator, err := NewLoadGenerator(plan)
		if err != nil {
			return nil, err
		}
		generators[i] = generator
	}
	results := make([]Result, len(plans))
	var group sync.WaitGroup
	for i, generator := range generators {
		group.Go(func() { results[i] = generator.Run(ctx) })
	}
	group.Wait()
	return results, nil
}

func (r *RunningDeployment) upstreamTargets(path string) []string {
	var targets []string
	for _, route := range r.Deployment.Routes {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		for _, vm := range r.SelectVMs(route.Service, "") {
			targets = append(targets, "http://"+vm.address(portUpstream))
		}
	}
	return targets
}
