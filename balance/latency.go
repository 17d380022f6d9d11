package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// LatencyConfig holds the tuning values of a LatencyPicker.
type LatencyConfig struct {
	// SubsetSize is the number of upstreams used per service.
	SubsetSize int
	// DomainPenalty and RegionPenalty are added to the expected latency of upstreams in another failure
	// domain and in another region.
	DomainPenalty time.Duration
	RegionPenalty time.Duration
	// BytePenalty is added for each KiB that would cross a failure domain.
	BytePenalty time.Duration
	// SampleWeight is the weight of one call in the moving average of latency.
	SampleWeight float64
	// Forget is the time in which an average without new samples falls to half, so that an upstream that
	// was slow is tried again.
	Forget time.Duration
	// KneeLoad is the share of the limit from which calls are expected to wait for each other.
	KneeLoad float64
	// FailurePenalty is the expected cost of a call at an upstream that fails all calls.
	FailurePenalty time.Duration
	// FailureMemory is the time in which the share of failures falls to half without new calls.
	FailureMemory time.Duration
	// ShedPenalty is added while the destination refuses calls of the importance.
	ShedPenalty time.Duration
	// SignalLifetime is how long a load signal is believed.
	SignalLifetime time.Duration
	// UnreachableTime is how long an upstream gets no calls after a failed connection. It doubles with
	// each further one up to UnreachableLimit.
	UnreachableTime  time.Duration
	UnreachableLimit time.Duration
	// DomainSuspicion is how long the upstreams of a whole failure domain count as slower by
	// SuspicionPenalty after one of them was unreachable, unless they answer meanwhile. A domain that is cut
	// off would otherwise be found out upstream by upstream.
	DomainSuspicion  time.Duration
	SuspicionPenalty time.Duration
	// StoppingPenalty keeps calls away from a node that is about to end while another upstream takes them.
	StoppingPenalty time.Duration
}

// DefaultLatencyConfig returns the values used by cowslip-sidecar.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{
		SubsetSize:       20,                      // bounds the state per service, as in DefaultConfig
		DomainPenalty:    4 * time.Millisecond,    // two round trips between domains of 1 ms each way
		RegionPenalty:    50 * time.Millisecond,   // two round trips between regions of 12 ms each way
		BytePenalty:      4 * time.Millisecond,    // makes an upload of 60 KiB cross only when its own domain is 0.25 s slower
		SampleWeight:     0.1,                     // about the last ten calls
		Forget:           4 * time.Second,         // a disturbance of a few seconds is over when it is forgotten
		KneeLoad:         0.8,                     // queueing is negligible below it at ten slots or more
		FailurePenalty:   1500 * time.Millisecond, // the usual target latency, which a failed call misses
		FailureMemory:    2 * time.Second,         // as long as the shortest disturbance that matters
		ShedPenalty:      300 * time.Millisecond,  // above any difference in speed between upstreams
		SignalLifetime:   500 * time.Millisecond,  // as in DefaultConfig
		UnreachableTime:  500 * time.Millisecond,  // a process restarts in about that time
		UnreachableLimit: 2 * time.Second,         // one lost call in 2 s per service and node is affordable
		DomainSuspicion:  time.Second,             // two rounds of the failure detector
		SuspicionPenalty: 150 * time.Millisecond,  // what a failed connection costs
		StoppingPenalty:  time.Second,             // above any difference between upstreams that work
	}
}

// LatencyQuery is what a choice depends on besides the state of the upstreams.
type LatencyQuery struct {
	Route      string
	Importance call.Importance
	// Bytes is the size of the request body, 0 when unknown.
	Bytes int64
	// Exclude lists upstreams that have already had this call.
	Exclude []ID
}

// LatencyResult is the end of a call.
type LatencyResult struct {
	Outcome Outcome
	Latency time.Duration
	// Bytes is the size of the answer.
	Bytes int64
	Load  *call.Load
}

// LatencyPicker chooses the upstream with the least expected latency for a call, where upstreams of one
// service differ in speed. What it expects is the moving average of the route's calls there, raised by
// the load that the destination last reported, by the share of failed calls and by the distance.
//
// It is safe for concurrent use; each service has its own lock, held for one pass over its subset.
type LatencyPicker struct {
	config LatencyConfig
	origin Origin

	mu       sync.RWMutex
	services map[string]*latencyService

	// suspected is when an upstream of a failure domain was last unreachable.
	suspectedMu sync.Mutex
	suspected   map[string]time.Time
}

type latencyService struct {
	mu        sync.Mutex
	upstreams []*latencyUpstream
	// sizes is the moving average of answer sizes by route, in bytes.
	sizes map[string]float64
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
}

type latencyAverage struct {
	seconds float64
	at      time.Time
}

// NewLatencyPicker returns a picker without services.
func NewLatencyPicker(config LatencyConfig, origin Origin) *LatencyPicker {
	return &LatencyPicker{config: config, origin: origin, services: map[string]*latencyService{}, suspected: map[string]time.Time{}}
}

// SetCandidates replaces the candidates of a service. What is known about those that stay is kept; an
// empty list removes the service.
func (p *LatencyPicker) SetCandidates(name string, candidates []Candidate) {
	p.mu.Lock()
	s := p.services[name]
	switch {
	case len(candidates) == 0:
		delete(p.services, name)
	case s == nil:
		s = &latencyService{sizes: map[string]float64{}}
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

// Pick chooses an upstream and counts the call as in flight there; Done must follow. Unreachable ones
// are chosen only when nothing else is left. The error is ErrNoUpstream.
func (p *LatencyPicker) Pick(name string, query LatencyQuery, now time.Time, random *rand.Rand) (Candidate, error) {
	s := p.service(name)
	if s == nil {
		return Candidate{}, ErrNoUpstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kib := (float64(query.Bytes) + s.sizes[query.Route]) / 1024
	best := s.best(p, query, kib, now, random, false)
	if best == nil {
		best = s.best(p, query, kib, now, random, true)
	}
	if best == nil {
		return Candidate{}, ErrNoUpstream
	}
	best.inFlight++
	return best.Candidate, nil
}

func (s *latencyService) best(p *LatencyPicker, query LatencyQuery, kib float64, now time.Time, random *rand.Rand, unreachable bool) *latencyUpstream {
	var best *latencyUpstream
	var bestCost float64
	config := &p.config
	reference := s.fastest(query.Route)
	for _, u := range s.upstreams {
		if u.drains(config, now) || slices.Contains(query.Exclude, u.ID) || now.Before(u.unreachableUntil) != unreachable {
			continue
		}
		// A few percent of noise keeps nodes with the same knowledge from acting in step.
		cost := u.cost(config, query, reference, kib, now) * (1 + costNoise*random.Float64())
		if u.Stopping {
			cost += config.StoppingPenalty.Seconds()
		}
		if u.tier != ownDomain && p.suspects(u, now) {
			cost += config.SuspicionPenalty.Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// suspects tells whether the failure domain of an upstream is suspected of being cut off.
func (p *LatencyPicker) suspects(u *latencyUpstream, now time.Time) bool {
	p.suspectedMu.Lock()
	defer p.suspectedMu.Unlock()
	at, ok := p.suspected[u.FailureDomain]
	return ok && now.Sub(at) < p.config.DomainSuspicion && u.reachedAt.Before(at)
}

func (p *LatencyPicker) suspect(domain string, now time.Time) {
	p.suspectedMu.Lock()
	defer p.suspectedMu.Unlock()
	p.suspected[domain] = now
}

const (
	// costNoise is the largest random addition to a cost, as a share of it.
	costNoise = 0.1
	// coldFactor is how much slower an upstream counts while it warms up.
	coldFactor = 2
)

// fastest returns the least average of a route in seconds, or 0.
func (s *latencyService) fastest(route string) float64 {
	least := 0.0
	for _, u := range s.upstreams {
		if a := u.routes[route]; a != nil && (least == 0 || a.seconds < least) {
			least = a.seconds
		}
	}
	return least
}

func (u *latencyUpstream) drains(config *LatencyConfig, now time.Time) bool {
	return u.Draining || u.signal.Draining && now.Sub(u.signalAt) < config.SignalLifetime
}

// cost is the expected latency of a call in seconds.
func (u *latencyUpstream) cost(config *LatencyConfig, query LatencyQuery, reference, kib float64, now time.Time) float64 {
	expected := reference
	if a := u.routes[query.Route]; a != nil {
		// Without samples the average approaches that of the fastest upstream.
		expected = reference + (a.seconds-reference)*halved(now.Sub(a.at), config.Forget)
	}
	if u.WarmUp > 0 && now.Sub(u.FirstSeen) < u.WarmUp {
		expected *= coldFactor
	}
	cost := expected * u.crowding(config, now)
	if now.Sub(u.signalAt) < config.SignalLifetime {
		cost += u.signal.QueueDelay.Seconds()
		if query.Importance > u.signal.Admitted {
			cost += config.ShedPenalty.Seconds()
		}
	}
	cost += u.failures * halved(now.Sub(u.failuresAt), config.FailureMemory) * config.FailurePenalty.Seconds()
	switch u.tier {
	case ownDomain:
	case ownRegion:
		cost += config.DomainPenalty.Seconds() + kib*config.BytePenalty.Seconds()
	default:
		cost += config.RegionPenalty.Seconds() + kib*config.BytePenalty.Seconds()
	}
	return cost
}

// crowding is the factor by which a loaded upstream is expected to be slower.
func (u *latencyUpstream) crowding(config *LatencyConfig, now time.Time) float64 {
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

// halved returns 0.5 to the power of age/half, approximated without a call of math.Exp2.
func halved(age, half time.Duration) float64 {
	x := float64(max(age, 0)) / float64(half)
	return 1 / (1 + x + x*x/2)
}

// Done ends a call and learns from its result. Upstreams that have left the subset are ignored.
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
	if result.Load != nil && (result.Load.Limit > 0 || result.Load.Draining) {
		u.signal, u.signalAt, u.signalInFlight = *result.Load, now, u.inFlight
	}
	switch result.Outcome {
	case Answered:
		u.reached(now)
		u.fail(&p.config, 0, now)
		u.learn(&p.config, route, result.Latency, now)
		s.sizes[route] += (float64(result.Bytes) - s.sizes[route]) * p.config.SampleWeight
	case Declined:
		u.reached(now)
	case Failed:
		u.fail(&p.config, 1, now)
	case TimedOut:
		u.fail(&p.config, 1, now)
		u.learn(&p.config, route, result.Latency, now)
	case Unreachable:
		u.unreachable++
		wait := p.config.UnreachableTime << min(u.unreachable-1, maxDoublings)
		u.unreachableUntil = now.Add(min(wait, p.config.UnreachableLimit))
		p.suspect(u.FailureDomain, now)
	}
}

// SetReachable takes in what a failure detector says about a node.
func (p *LatencyPicker) SetReachable(node string, reachable bool, now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		s.mu.Lock()
		for _, u := range s.upstreams {
			switch {
			case u.Node != node:
			case reachable:
				u.reached(now)
			default:
				u.unreachableUntil = now.Add(p.config.UnreachableLimit)
				p.suspect(u.FailureDomain, now)
			}
		}
		s.mu.Unlock()
	}
}

func (u *latencyUpstream) reached(now time.Time) {
	u.unreachable, u.unreachableUntil, u.reachedAt = 0, time.Time{}, now
}

func (u *latencyUpstream) fail(config *LatencyConfig, sample float64, now time.Time) {
	u.failures *= halved(now.Sub(u.failuresAt), config.FailureMemory)
	u.failures += (sample - u.failures) * config.SampleWeight
	u.failuresAt = now
}

func (u *latencyUpstream) learn(config *LatencyConfig, route string, latency time.Duration, now time.Time) {
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

// maxLatencyRoutes bounds the averages kept for one upstream, at about 100 bytes each.
const maxLatencyRoutes = 256

// Expected returns the average latency of a route over the upstreams of a service, 0 when unknown.
func (p *LatencyPicker) Expected(name, route string) time.Duration {
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
