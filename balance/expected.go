package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/workload"
)

// This file estimates when an upstream would complete a call, from the work that the call is expected to cost, the speed of
// the upstream, and the work left there. The node beside the upstream reports the latter with each response and exchange,
// as it alone knows all calls there.

// PickCounts counts choices of upstreams of one service.
type PickCounts struct {
	// Local is the number of choices in the own failure domain, Remote that of the others.
	Local  uint64 `json:"local"`
	Remote uint64 `json:"remote"`
	// Spilled is the part of Remote where the own failure domain had an upstream in use whose expected completion was
	// later.
	Spilled uint64 `json:"spilled"`
}

func (q *LatencyQuery) class() workload.Class {
	if q.Class == (workload.Class{}) {
		return workload.Class{Route: q.Route}
	}
	return q.Class
}

// reports reports whether the node beside the upstream has told its work and pace.
func (u *latencyUpstream) reports() bool { return u.signal.Pace > 0 }

// expectation is what is known about a call before an upstream is chosen for it.
type expectation struct {
	config *LatencyConfig
	query  *LatencyQuery
	now    time.Time
	work   workload.Work
	// baseline is the expected duration on the fastest upstream, in seconds.
	baseline float64
	// load is the mean load of the upstreams with a recent signal, as a fraction of their limits.
	load float64
	// ways is the time that calls to each tier spend outside the upstream and its queue.
	ways *[tierCount]float64
}

// expect returns what is known about a call.
func (s *latencyService) expect(config *LatencyConfig, query *LatencyQuery, now time.Time) expectation {
	e := expectation{config: config, query: query, now: now, work: s.work.Work(query.class()), ways: &s.ways}
	if !e.work.Known() {
		return e
	}
	load, limit := 0.0, 0.0
	for _, u := range s.upstreams {
		if !u.reports() {
			continue
		}
		if d := e.work.Mean(&u.speed).Seconds(); e.baseline == 0 || d < e.baseline {
			e.baseline = d
		}
		if now.Sub(u.signalAt) < config.SignalLifetime {
			load += float64(u.present())
			limit += float64(u.signal.Limit)
		}
	}
	if limit > 0 {
		e.load = load / limit
	}
	return e
}

// covers reports whether the expected completion can be estimated for an upstream: it can for those that report, and for
// new ones of a service whose others report.
func (e *expectation) covers(u *latencyUpstream) bool {
	return e.work.Known() && e.baseline > 0 && (u.reports() || u.signalAt.IsZero())
}

// present returns the number of calls at an upstream: those that it has reported and what this node has sent since.
func (u *latencyUpstream) present() int {
	return max(u.inFlight, u.signal.InFlight+u.signal.Waiting+u.inFlight-u.signalInFlight)
}

// completion returns the expected time in seconds until an upstream has completed the call. deviation is by how many
// standard deviations the present load is assumed to exceed what is expected.
func (e *expectation) completion(u *latencyUpstream, deviation float64) float64 {
	duration := e.work.Mean(&u.speed).Seconds()
	item, pace := duration, 1.0
	if u.WarmUp > 0 && e.now.Sub(u.FirstSeen) < u.WarmUp {
		duration *= coldFactor
	}
	limit := float64(u.Slots)
	if u.signal.Limit > 0 {
		limit = float64(u.signal.Limit)
	}
	// An upstream without a signal counts as loaded as the others, not as idle: otherwise all nodes would return to
	// an overloaded one as soon as their signals are too old.
	present := e.load * limit
	if u.reports() {
		age := e.now.Sub(u.signalAt)
		present += (float64(u.present()) - present) * decay(age-e.config.SignalLifetime, e.config.SignalDecayTime)
		if reported := u.signal.InFlight + u.signal.Waiting; reported > 0 && u.signal.WorkLeft > 0 {
			item = u.signal.WorkLeft.Seconds() / float64(reported)
		}
		// The older the signal, the less it tells about the present pace.
		freshness := 1 - float64(max(age, 0))/float64(e.config.SignalLifetime)
		pace += (u.signal.Pace - 1) * max(freshness, 0)
	}
	present = max(present+limit*u.drift*e.config.DriftFraction*deviation, float64(u.inFlight))
	completion := duration / pace
	if limit <= 0 {
		return completion
	}
	// Other nodes send calls that this one does not know of, so calls may have to wait before all slots are known to
	// be in use.
	if load := (present + 1) / limit; load > e.config.KneeLoad {
		completion *= 1 + min(1, (load-e.config.KneeLoad)/(1-e.config.KneeLoad))
	}
	if ahead := present + 1 - limit; ahead > 0 {
		completion += ahead * item / (limit * pace)
	}
	return completion
}

// cost returns the expected completion in seconds with all penalties. Nodes know the load of an upstream only as it was. The
// more it changes between two signals, the more the nodes' assumptions about it differ, so that they do not all make
// the same choice. Below the knee this changes nothing.
func (e *expectation) cost(u *latencyUpstream, kib float64, random *rand.Rand) float64 {
	cost := e.completion(u, random.NormFloat64()) + e.ways[u.tier] + u.penalties(e.config, e.query, e.baseline, kib, e.now)
	if e.isDistant(u) && !e.query.explore {
		cost += distantPenaltyFraction * e.baseline
	}
	return cost
}

const (
	// distantFraction is the part of a call's duration above which the way to another failure domain makes it distant, and
	// distantPenaltyFraction what is added for it. The expected completion there is older than the reports by the
	// way, so it must be better by more. Without this, with 5.4 ms between failure domains, a third more bytes crossed
	// them, and calls of 100 ms were late more often than by the average latency.
	distantFraction        = 0.05
	distantPenaltyFraction = 0.7
)

// isDistant reports whether the way to an upstream is a considerable part of the call's duration.
func (e *expectation) isDistant(u *latencyUpstream) bool {
	return u.tier != localDomain && e.ways[u.tier]-e.ways[localDomain] > distantFraction*e.baseline
}

// learn updates the estimates with the result of a call.
func (s *latencyService) learn(u *latencyUpstream, route string, result *LatencyResult, now time.Time) {
	load := result.Load
	if result.Outcome != Succeeded || load == nil || load.Pace <= 0 {
		return
	}
	if result.Class == (workload.Class{}) {
		result.Class.Route = route
	}
	if load.Usual > 0 {
		s.work.ObserveShape(result.Class, load.Ran, &u.speed, now)
		s.work.ObserveUsual(result.Class, load.Usual, &u.speed, now)
	} else {
		s.work.Observe(result.Class, load.Ran, &u.speed, now)
	}
	if load.Ran <= 0 {
		return // the call had not ended when the load was reported
	}
	way := max(0, result.Latency-load.Waited-load.Ran).Seconds()
	s.ways[u.tier] += (way - s.ways[u.tier]) * wayWeight
}

// wayWeight is the weight of one call in the average of the time that calls spend outside upstreams.
const wayWeight = 1.0 / 32

// assumeSpeed gives a new upstream the mean speed of the others.
func (s *latencyService) assumeSpeed(u *latencyUpstream) {
	u.speed.Assume(s.speeds())
}

func (s *latencyService) speeds() []*workload.Speed {
	speeds := make([]*workload.Speed, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		speeds = append(speeds, &u.speed)
	}
	return speeds
}

// Report records the load of a node's upstream, and how long calls usually run there, from an exchange. at is a time at or
// before which the node has prepared the report. Later signals remain.
func (p *LatencyPicker) Report(name, node string, load call.Load, usual []workload.UsualTime, at time.Time) {
	s := p.service(name)
	if s == nil || load.Pace <= 0 || load.Limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.Node != node {
			continue
		}
		for _, t := range usual {
			s.work.ObserveUsual(workload.Class{Route: t.Route}, t.Usual, &u.speed, at)
		}
		if at.After(u.signalAt) {
			u.recordDrift(&load)
			u.signal, u.signalAt, u.signalInFlight = load, at, u.inFlight
		}
	}
}

// driftWeight is the weight of one signal in the average change between two signals.
const driftWeight = 0.2

// recordDrift records how much the load has changed since the last signal.
func (u *latencyUpstream) recordDrift(load *call.Load) {
	if u.signal.Limit <= 0 || load.Limit <= 0 {
		return
	}
	change := float64(load.InFlight+load.Waiting-u.signal.InFlight-u.signal.Waiting) / float64(u.signal.Limit)
	u.drift += (math.Abs(change) - u.drift) * driftWeight
}

// countPick counts a choice.
func (s *latencyService) countPick(best *latencyUpstream, query LatencyQuery, now time.Time) {
	if best.tier == localDomain {
		s.picks.Local++
		return
	}
	s.picks.Remote++
	for _, u := range s.upstreams {
		if u.tier == localDomain && !u.Draining && !now.Before(u.unreachableUntil) && !slices.Contains(query.Exclude, u.ID) {
			s.picks.Spilled++
			return
		}
	}
}

// HedgeDelay returns how long a call to an upstream takes with the probability q at most, as far as it is known. The
// work left there counts as at the last signal. It reports false if too few calls are known.
func (p *LatencyPicker) HedgeDelay(name string, id ID, query LatencyQuery, q float64, now time.Time) (time.Duration, bool) {
	s := p.service(name)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.find(id)
	if u == nil {
		return 0, false
	}
	e := s.expect(&p.config, &query, now)
	if !e.covers(u) {
		return 0, false
	}
	high, ok := e.work.Quantile(&u.speed, q)
	if !ok {
		return 0, false
	}
	// What the expected completion exceeds the mean by is due to the present state of the upstream.
	mean := e.work.Mean(&u.speed)
	excess := max(0, time.Duration(e.completion(u, 0)*float64(time.Second))-mean)
	return high + excess + time.Duration(s.ways[u.tier]*float64(time.Second)), true
}

// WorkStatus describes the estimates for one service for operators.
type WorkStatus struct {
	// Classes are the estimates of the work, for an upstream of mean speed.
	Classes []workload.Status `json:"classes"`
	// Speeds are the speeds of the upstreams relative to their mean, and Paces the last reported paces, by node.
	Speeds map[string]float64 `json:"speeds"`
	Paces  map[string]float64 `json:"paces"`
	Picks  PickCounts         `json:"picks"`
}

// WorkStatus returns the estimates of all services with upstreams that report their work.
func (p *LatencyPicker) WorkStatus() map[string]WorkStatus {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := map[string]WorkStatus{}
	for name, s := range p.services {
		s.mu.Lock()
		var mean workload.Speed
		mean.Assume(s.speeds())
		status := WorkStatus{Classes: s.work.Status(&mean), Speeds: map[string]float64{}, Paces: map[string]float64{}, Picks: s.picks}
		for _, u := range s.upstreams {
			if u.reports() {
				status.Speeds[u.Node], status.Paces[u.Node] = u.speed.Ratio(&mean), u.signal.Pace
			}
		}
		s.mu.Unlock()
		all[name] = status
	}
	return all
}

// PickCounts returns the counts of choices by service.
func (p *LatencyPicker) PickCounts() map[string]PickCounts {
	p.mu.RLock()
	defer p.mu.RUnlock()
	counts := make(map[string]PickCounts, len(p.services))
	for name, s := range p.services {
		s.mu.Lock()
		counts[name] = s.picks
		s.mu.Unlock()
	}
	return counts
}
