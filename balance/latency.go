package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/workload"
)

// LatencyConfig configures a LatencyPicker.
type LatencyConfig struct {
	// SubsetSize is the number of upstreams used per service.
	SubsetSize int
	// DomainPenalty and RegionPenalty are added to the expected latency of upstreams in another failure
	// domain and in another region.
	DomainPenalty time.Duration
	RegionPenalty time.Duration
	// DomainPenaltyFraction is multiplied by the expected latency and added for upstreams in another failure domain.
	// It exceeds the noise, so that calls leave their domain only for an upstream that is expected to be clearly
	// faster.
	DomainPenaltyFraction float64
	// KiBPenalty is added for each KiB that would cross a failure domain boundary: the time that the links between
	// them take for it.
	KiBPenalty time.Duration
	// SampleWeight is the weight of one call in the moving averages.
	SampleWeight float64
	// AverageDecayTime is how fast a latency average without new samples approaches that of the fastest
	// upstream, so that a formerly slow upstream is tried again. See decay.
	AverageDecayTime time.Duration
	// KneeLoad is the fraction of the limit above which calls are expected to queue.
	KneeLoad float64
	// FailureDecayTime is how fast the failure ratio falls without new calls. See decay.
	FailureDecayTime time.Duration
	// ShedPenalty is added while the destination sheds calls of the call's importance.
	ShedPenalty time.Duration
	// SignalLifetime is how long a load signal is used.
	SignalLifetime time.Duration
	// UnreachableTime is how long an upstream gets no calls after a failed connection. It doubles with
	// each further failure, up to MaxUnreachableTime.
	UnreachableTime    time.Duration
	MaxUnreachableTime time.Duration
	// DomainSuspicionTime is how long SuspicionPenalty is added to all upstreams of another failure domain
	// after one of them was unreachable, except those that have been reached since. Otherwise a partitioned
	// domain would be detected one upstream at a time.
	DomainSuspicionTime time.Duration
	SuspicionPenalty    time.Duration
	// StoppingPenalty keeps calls away from a node that is shutting down while another upstream is available.
	StoppingPenalty time.Duration
	// SignalDecayTime is how fast the load of an upstream whose signal is older than SignalLifetime is expected to
	// approach the mean load of the others. See decay.
	SignalDecayTime time.Duration
	// DriftFraction is the standard deviation of the present load around the last signal, as a fraction of the mean
	// change between two signals.
	DriftFraction float64
}

// DefaultLatencyConfig returns the configuration used by cowslip-sidecar.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{
		SubsetSize:            20,                     // bounds the state per service, as in DefaultConfig
		DomainPenalty:         4 * time.Millisecond,   // two round trips between domains of 1 ms each way
		RegionPenalty:         50 * time.Millisecond,  // two round trips between regions of 12 ms each way
		DomainPenaltyFraction: 0.3,                    // an upstream at its knee is expected to be slower by more
		KiBPenalty:            16 * time.Microsecond,  // two links of 1 Gbit/s
		SampleWeight:          0.1,                    // about the last ten calls
		AverageDecayTime:      4 * time.Second,        // a disturbance of a few seconds has ended by then
		KneeLoad:              0.8,                    // queueing is negligible below it with ten slots or more
		FailureDecayTime:      2 * time.Second,        // the length of the shortest relevant disturbance
		ShedPenalty:           300 * time.Millisecond, // above any latency difference between upstreams
		SignalLifetime:        500 * time.Millisecond, // as in DefaultConfig
		UnreachableTime:       500 * time.Millisecond, // about the restart time of a process
		MaxUnreachableTime:    2 * time.Second,        // costs one failed call in 2 s per service and node
		DomainSuspicionTime:   time.Second,            // two rounds of the failure detector
		SuspicionPenalty:      150 * time.Millisecond, // the cost of a failed connection
		StoppingPenalty:       time.Second,            // above any cost difference between working upstreams
		SignalDecayTime:       2 * time.Second,        // with 0.5 s, nodes return to an overloaded upstream together
		DriftFraction:         0.5,                    // a call is sent halfway between two signals on average
	}
}

// LatencyQuery describes the call for which an upstream is chosen.
type LatencyQuery struct {
	Route string
	// Class is what can be seen of the call. The zero value means the route only.
	Class      workload.Class
	Importance call.Importance
	// Rank is the rank at which a destination sheds the call.
	Rank call.Rank
	// TimeLeft is the time until the call's deadline. It is what a failed call costs its caller.
	TimeLeft time.Duration
	// Bytes is the size of the request body, 0 when unknown.
	Bytes int64
	// Exclude lists upstreams that have already been tried for this call.
	Exclude []ID
	// explore disregards DomainPenaltyFraction.
	explore bool
}

// LatencyResult is the feedback of one call.
type LatencyResult struct {
	Outcome Outcome
	Latency time.Duration
	// Bytes is the size of the response body.
	Bytes int64
	Load  *call.Load
	// Class is that of the query.
	Class workload.Class
}

// LatencyPicker chooses the upstream with the lowest expected latency for a call, for services whose
// upstreams differ in speed. The expected latency follows from the work that the call is expected to cost, and from
// the speed of the upstream and the work left there as its node last reported them (see expected.go). For nodes that
// do not report these it is the moving average of the route's calls to the upstream, raised by the load that the
// destination last reported. The failure ratio and the distance are added.
//
// It is safe for concurrent use; each service has its own lock, held for one pass over its subset.
type LatencyPicker struct {
	config LatencyConfig
	origin Origin

	mu       sync.RWMutex
	services map[string]*latencyService

	suspectedMu sync.Mutex
	// suspectedAt is when an upstream of each failure domain was last unreachable.
	suspectedAt map[string]time.Time
}

type latencyService struct {
	mu        sync.Mutex
	upstreams []*latencyUpstream
	// sizes is the moving average of response sizes by route, in bytes.
	sizes map[string]float64
	work  *workload.Model
	// ways is the moving average of the time in seconds that calls to each tier spend outside the upstream and its queue.
	ways  [tierCount]float64
	picks PickCounts
}

type latencyUpstream struct {
	Candidate
	tier     tier
	inFlight int

	routes map[string]*latencyAverage

	failures   float64
	failuresAt time.Time

	unreachable      int
	unreachableUntil time.Time
	reachedAt        time.Time

	signal         call.Load
	signalAt       time.Time
	signalInFlight int

	speed workload.Speed
	// drift is the moving average of the change of the load between two signals, as a fraction of the limit.
	drift float64
	// coldTokens are the calls that this node may send to the cold upstream now, as of coldTokensAt.
	coldTokens   float64
	coldTokensAt time.Time
}

type latencyAverage struct {
	seconds float64
	at      time.Time
}

// NewLatencyPicker returns a picker without services.
func NewLatencyPicker(config LatencyConfig, origin Origin) *LatencyPicker {
	return &LatencyPicker{
		config: config, origin: origin,
		services: map[string]*latencyService{}, suspectedAt: map[string]time.Time{},
	}
}

// SetCandidates replaces the candidates of a service. Upstreams that remain in the subset keep their
// state; an empty list removes the service.
func (p *LatencyPicker) SetCandidates(name string, candidates []Candidate) {
	p.mu.Lock()
	s := p.services[name]
	switch {
	case len(candidates) == 0:
		delete(p.services, name)
	case s == nil:
		s = &latencyService{sizes: map[string]float64{}, work: workload.NewModel()}
		p.services[name] = s
	}
	p.mu.Unlock()
	if s == nil || len(candidates) == 0 {
		return
	}
	subset := Subset(p.origin, name, candidates, p.config.SubsetSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	upstreams := make([]*latencyUpstream, 0, len(subset))
	for _, candidate := range subset {
		u := s.find(candidate.ID)
		if u == nil {
			u = &latencyUpstream{routes: map[string]*latencyAverage{}}
			s.assumeSpeed(u)
		}
		u.Candidate = candidate
		u.tier = tierOf(p.origin, &candidate)
		upstreams = append(upstreams, u)
	}
	s.upstreams = upstreams
}

func (s *latencyService) find(id ID) *latencyUpstream {
	for _, u := range s.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

func (p *LatencyPicker) service(name string) *latencyService {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

// Pick chooses an upstream and counts the call as in flight there; the caller must call Done when the
// call ends. Unreachable upstreams are chosen only when no other is left, and none of those left is cold and only has to
// be waited for. The error is ErrNoUpstream.
func (p *LatencyPicker) Pick(name string, query LatencyQuery, now time.Time, random *rand.Rand) (Candidate, error) {
	s := p.service(name)
	if s == nil {
		return Candidate{}, ErrNoUpstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kib := (float64(query.Bytes) + s.sizes[query.Route]) / 1024
	if random.Float64() < explorationFraction {
		query.explore = true
	}
	best, exhausted := s.best(p, query, kib, now, random, false)
	if best == nil && !exhausted {
		best, _ = s.best(p, query, kib, now, random, true)
	}
	if best == nil {
		return Candidate{}, ErrNoUpstream
	}
	best.takeColdToken(now)
	best.inFlight++
	s.countPick(best, query, now)
	return best.Candidate, nil
}

func (s *latencyService) best(p *LatencyPicker, query LatencyQuery, kib float64, now time.Time, random *rand.Rand, unreachable bool) (best *latencyUpstream, exhausted bool) {
	var bestCost float64
	config := &p.config
	baseline := s.lowestAverage(query.Route)
	expected := s.expect(config, &query, now)
	for _, u := range s.upstreams {
		if u.isDraining(config, now) || slices.Contains(query.Exclude, u.ID) || now.Before(u.unreachableUntil) != unreachable {
			continue
		}
		if !u.mayTakeCold(now) {
			exhausted = true
			continue
		}
		// The noise keeps nodes with the same information from making the same choice at the same time.
		var cost float64
		if expected.covers(u) {
			cost = expected.cost(u, kib, random)
		} else {
			cost = u.cost(config, query, baseline, kib, now)
		}
		cost *= 1 + maxCostNoise*random.Float64()
		if u.Stopping {
			cost += config.StoppingPenalty.Seconds()
		}
		if u.tier != localDomain && p.isSuspected(u, now) {
			cost += config.SuspicionPenalty.Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best, exhausted
}

// isSuspected reports whether an upstream is suspected of being in a partitioned failure domain.
func (p *LatencyPicker) isSuspected(u *latencyUpstream, now time.Time) bool {
	p.suspectedMu.Lock()
	defer p.suspectedMu.Unlock()
	at, ok := p.suspectedAt[u.FailureDomain]
	return ok && now.Sub(at) < p.config.DomainSuspicionTime && u.reachedAt.Before(at)
}

func (p *LatencyPicker) suspectDomain(domain string, now time.Time) {
	p.suspectedMu.Lock()
	defer p.suspectedMu.Unlock()
	p.suspectedAt[domain] = now
}

const (
	// maxCostNoise is the largest random addition to a cost, as a fraction of it.
	maxCostNoise = 0.1
	// explorationFraction is the fraction of calls that may leave the failure domain for an upstream that is not
	// expected to be faster. It finds out which ones are.
	explorationFraction = 0.05
	// coldFactor multiplies the expected latency of an upstream that is warming up.
	coldFactor = 2
)

// lowestAverage returns the lowest average latency of a route in seconds, or 0 when there is none.
func (s *latencyService) lowestAverage(route string) float64 {
	least := 0.0
	for _, u := range s.upstreams {
		if a := u.routes[route]; a != nil && (least == 0 || a.seconds < least) {
			least = a.seconds
		}
	}
	return least
}

func (u *latencyUpstream) isDraining(config *LatencyConfig, now time.Time) bool {
	return u.Draining || u.signal.Draining && now.Sub(u.signalAt) < config.SignalLifetime
}

// cost returns the expected latency of a call in seconds, including all penalties.
func (u *latencyUpstream) cost(config *LatencyConfig, query LatencyQuery, baseline, kib float64, now time.Time) float64 {
	expected := baseline
	if a := u.routes[query.Route]; a != nil {
		// Without new samples the average approaches that of the fastest upstream.
		expected = baseline + (a.seconds-baseline)*decay(now.Sub(a.at), config.AverageDecayTime)
	}
	if u.WarmUp > 0 && now.Sub(u.FirstSeen) < u.WarmUp {
		expected *= coldFactor
	}
	cost := expected * u.loadFactor(config, now)
	if u.isCold(now) {
		// The calls of this node start one after the other there; those of others are in the load signal.
		cost += float64(u.inFlight+1) / u.ColdRate
	}
	if now.Sub(u.signalAt) < config.SignalLifetime {
		cost += u.signal.QueueDelay.Seconds()
	}
	return cost + u.penalties(config, &query, baseline, kib, now)
}

// penalties returns what is added to the expected latency for shedding, failures and the distance.
func (u *latencyUpstream) penalties(config *LatencyConfig, query *LatencyQuery, baseline, kib float64, now time.Time) float64 {
	cost := 0.0
	if now.Sub(u.signalAt) < config.SignalLifetime &&
		(query.Importance > u.signal.Admitted || u.signal.ShedFrom > 0 && query.Rank >= u.signal.ShedFrom) {
		cost += config.ShedPenalty.Seconds()
	}
	cost += u.failures * decay(now.Sub(u.failuresAt), config.FailureDecayTime) * query.TimeLeft.Seconds()
	remoteFraction := config.DomainPenaltyFraction
	if query.explore {
		remoteFraction = 0
	}
	switch u.tier {
	case localDomain:
	case localRegion:
		cost += config.DomainPenalty.Seconds() + remoteFraction*baseline + kib*config.KiBPenalty.Seconds()
	default:
		cost += config.RegionPenalty.Seconds() + remoteFraction*baseline + kib*config.KiBPenalty.Seconds()
	}
	return cost
}

// loadFactor returns the factor by which load is expected to slow the upstream down.
func (u *latencyUpstream) loadFactor(config *LatencyConfig, now time.Time) float64 {
	limit := float64(u.Slots)
	inFlight := float64(u.inFlight)
	if now.Sub(u.signalAt) < config.SignalLifetime && u.signal.Limit > 0 {
		limit = float64(u.signal.Limit)
		inFlight = max(inFlight, float64(u.signal.InFlight+u.inFlight-u.signalInFlight))
	}
	if limit <= 0 {
		return 1
	}
	load := (inFlight + 1) / limit
	if load <= config.KneeLoad {
		return 1
	}
	return 1 + (load-config.KneeLoad)/(1-config.KneeLoad)
}

// decay returns a factor that falls from 1 at age 0 to 0.4 at decayTime. It approximates
// exp(-age/decayTime) without calling math.Exp.
func decay(age, decayTime time.Duration) float64 {
	x := float64(max(age, 0)) / float64(decayTime)
	return 1 / (1 + x + x*x/2)
}

// Done ends a call and records its result. Upstreams that are no longer in the subset are ignored.
func (p *LatencyPicker) Done(name string, id ID, route string, result LatencyResult, now time.Time) {
	s := p.service(name)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.find(id)
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	s.learn(u, route, &result, now)
	if result.Load != nil && (result.Load.Limit > 0 || result.Load.Draining) {
		u.recordDrift(result.Load)
		u.signal, u.signalAt, u.signalInFlight = *result.Load, now, u.inFlight
	}
	switch result.Outcome {
	case Succeeded:
		u.markReachable(now)
		u.recordFailure(&p.config, 0, now)
		u.recordLatency(&p.config, route, result.Latency, now)
		s.sizes[route] += (float64(result.Bytes) - s.sizes[route]) * p.config.SampleWeight
	case Declined:
		u.markReachable(now)
	case Failed:
		u.recordFailure(&p.config, 1, now)
	case TimedOut:
		u.recordFailure(&p.config, 1, now)
		u.recordLatency(&p.config, route, result.Latency, now)
	case Unreachable:
		u.unreachable++
		wait := p.config.UnreachableTime << min(u.unreachable-1, maxDoublings)
		u.unreachableUntil = now.Add(min(wait, p.config.MaxUnreachableTime))
		p.suspectDomain(u.FailureDomain, now)
	}
}

// SetReachable applies the verdict of a failure detector about a node.
func (p *LatencyPicker) SetReachable(node string, reachable bool, now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		s.mu.Lock()
		for _, u := range s.upstreams {
			switch {
			case u.Node != node:
			case reachable:
				u.markReachable(now)
			default:
				u.unreachableUntil = now.Add(p.config.MaxUnreachableTime)
				p.suspectDomain(u.FailureDomain, now)
			}
		}
		s.mu.Unlock()
	}
}

func (u *latencyUpstream) markReachable(now time.Time) {
	u.unreachable, u.unreachableUntil, u.reachedAt = 0, time.Time{}, now
}

func (u *latencyUpstream) recordFailure(config *LatencyConfig, sample float64, now time.Time) {
	u.failures *= decay(now.Sub(u.failuresAt), config.FailureDecayTime)
	u.failures += (sample - u.failures) * config.SampleWeight
	u.failuresAt = now
}

func (u *latencyUpstream) recordLatency(config *LatencyConfig, route string, latency time.Duration, now time.Time) {
	a := u.routes[route]
	if a == nil {
		if len(u.routes) >= maxLatencyRoutes {
			clear(u.routes)
		}
		u.routes[route] = &latencyAverage{seconds: latency.Seconds(), at: now}
		return
	}
	a.seconds += (latency.Seconds() - a.seconds) * config.SampleWeight
	a.at = now
}

// maxLatencyRoutes bounds the number of averages kept per upstream, at about 100 bytes each.
const maxLatencyRoutes = 256

// ExpectedLatency returns the average latency of a route over the upstreams of a service, or 0 when unknown.
func (p *LatencyPicker) ExpectedLatency(name, route string) time.Duration {
	s := p.service(name)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total, count := 0.0, 0
	for _, u := range s.upstreams {
		if a := u.routes[route]; a != nil {
			total += a.seconds
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(total / float64(count) * float64(time.Second))
}
