package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Query describes the call for which an upstream is chosen.
type Query struct {
	Importance call.Importance
	// Exclude lists upstreams that have already failed this call.
	Exclude []ID
	// NoProbe keeps calls that cannot be retried from probing an ejected upstream. Such a call becomes a
	// probe only when the probe has been due for an EjectionTime and no other call has made it.
	NoProbe bool
}

// Choice is a chosen upstream. The caller must pass it to Done exactly once.
type Choice struct {
	Candidate
	// Probe means that the result of the call decides whether an ejected upstream returns to service.
	Probe bool
}

// Picker chooses upstreams based on the results of earlier calls. It is safe for concurrent use; each
// service has its own lock, held for one pass over its subset.
type Picker struct {
	config   Config
	origin   Origin
	mu       sync.RWMutex // guards the map; each service has its own lock
	services map[string]*service
}

type service struct {
	mu        sync.Mutex
	upstreams []*upstream
}

// NewPicker returns a Picker without services.
func NewPicker(config Config, origin Origin) *Picker {
	return &Picker{config: config, origin: origin, services: make(map[string]*service)}
}

// SetCandidates replaces the candidates of a service and recomputes its subset. Upstreams that remain in
// the subset keep their state; an empty list removes the service.
func (p *Picker) SetCandidates(name string, candidates []Candidate) {
	subset := Subset(p.origin, name, candidates, p.config.SubsetSize)
	if len(candidates) == 0 {
		p.mu.Lock()
		delete(p.services, name)
		p.mu.Unlock()
		return
	}
	s := p.service(name, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	upstreams := make([]*upstream, 0, len(subset))
	for _, candidate := range subset {
		u := s.find(candidate.ID)
		if u == nil {
			u = &upstream{}
		}
		u.Candidate = candidate
		u.tier = tierOf(p.origin, &candidate)
		upstreams = append(upstreams, u)
	}
	s.upstreams = upstreams
	s.enforceEjectionLimit(&p.config)
}

func (p *Picker) service(name string, create bool) *service {
	p.mu.RLock()
	s := p.services[name]
	p.mu.RUnlock()
	if s != nil || !create {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[name]; s == nil {
		s = &service{}
		p.services[name] = s
	}
	return s
}

func (s *service) find(id ID) *upstream {
	for _, u := range s.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Pick chooses an upstream and counts the call as in flight there. random is used only during Pick; it
// must not be shared between goroutines unless its source is safe for concurrent use. The error is
// ErrNoUpstream.
func (p *Picker) Pick(name string, query Query, now time.Time, random *rand.Rand) (Choice, error) {
	s := p.service(name, false)
	if s == nil {
		return Choice{}, ErrNoUpstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u, probe := s.dueProbe(&p.config, query, now), true
	if u == nil {
		u, probe = s.leastLoaded(&p.config, query, now, random), false
	}
	if u == nil {
		u = s.ejectedFallback(&p.config, query, now)
	}
	if u == nil {
		return Choice{}, ErrNoUpstream
	}
	if probe {
		u.state = Probing
		u.probeStartedAt = now
	}
	u.inFlight++
	return Choice{Candidate: u.Candidate, Probe: probe}, nil
}

// Start counts a call as in flight at an upstream that was not chosen by Pick, such as the home node
// of a request id. The caller must call Done when the call ends.
func (p *Picker) Start(name string, id ID) {
	if s := p.service(name, false); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if u := s.find(id); u != nil {
			u.inFlight++
		}
	}
}

// Done ends a call and records its result. Upstreams that are no longer in the subset are ignored.
func (p *Picker) Done(name string, id ID, result Result, now time.Time) {
	s := p.service(name, false)
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
	u.recordSignal(result.Load, now)
	s.updateHealth(&p.config, u, result, now)
}

// updateHealth updates the health of an upstream.
func (s *service) updateHealth(config *Config, u *upstream, result Result, now time.Time) {
	outcome := result.Outcome
	if outcome == TimedOut {
		outcome = Abandoned
		if result.Latency >= config.TimeoutMinimum {
			outcome = Failed
		}
	}
	if outcome == Abandoned {
		return
	}
	shouldEject := u.recordOutcome(config, outcome, now)
	healthy := outcome == Succeeded || outcome == Declined
	switch {
	case u.state == Probing && now.Add(-result.Latency).Before(u.probeStartedAt):
		// The call started before the probe, so it does not show the current state of the upstream.
	case u.state == Probing && healthy:
		u.restore()
	case u.state == Probing:
		u.eject(config, now)
	case u.state == Healthy && shouldEject && s.canEject(config):
		u.eject(config, now)
	}
}

// enforceEjectionLimit returns upstreams to service, those with the earliest probe first, when the removal
// of others left too many ejected. Their failures still count as load.
func (s *service) enforceEjectionLimit(config *Config) {
	for s.countUnhealthy() > 0 && float64(s.countUnhealthy()) > config.MaxEjectedFraction*float64(len(s.upstreams)) {
		var next *upstream
		for _, u := range s.upstreams {
			if u.state != Healthy && (next == nil || u.ejectedUntil.Before(next.ejectedUntil)) {
				next = u
			}
		}
		next.state = Healthy
	}
}

func (s *service) countUnhealthy() int {
	count := 0
	for _, u := range s.upstreams {
		if u.state != Healthy {
			count++
		}
	}
	return count
}

// canEject reports whether one more upstream may be ejected within MaxEjectedFraction.
func (s *service) canEject(config *Config) bool {
	return float64(s.countUnhealthy()+1) <= config.MaxEjectedFraction*float64(len(s.upstreams))
}

// dueProbe returns an ejected upstream that this call should probe, or nil.
func (s *service) dueProbe(config *Config, query Query, now time.Time) *upstream {
	at := now
	if query.NoProbe {
		at = now.Add(-config.EjectionTime)
	}
	for _, u := range s.upstreams {
		if u.state != Healthy && u.probeDue(config, at) && u.usable(config, query, now) {
			return u
		}
	}
	return nil
}

func (u *upstream) usable(config *Config, query Query, now time.Time) bool {
	return !u.isDraining(config, now) && !slices.Contains(query.Exclude, u.ID)
}

// leastLoaded compares two random upstreams of the local domain. While the better one is above
// SpilloverLoad, two of the next tier join the comparison with that tier's penalty.
func (s *service) leastLoaded(config *Config, query Query, now time.Time, random *rand.Rand) *upstream {
	var best *upstream
	var bestLoad float64
	penalty := [tierCount]float64{0, config.DomainPenalty, config.RegionPenalty}
	for t := localDomain; t < tierCount; t++ {
		if best != nil && bestLoad <= config.SpilloverLoad {
			break
		}
		for _, u := range s.sampleTwo(config, query, t, now, random) {
			if u == nil {
				continue
			}
			load := u.load(config, query.Importance, now) + penalty[t]
			if best == nil || config.prefers(load, bestLoad, random) {
				best, bestLoad = u, load
			}
		}
	}
	return best
}

// prefers reports whether an upstream with the given load replaces the best so far. The choice is
// randomized because many nodes act on the same signals: if all of them chose the less loaded upstream,
// they would overload it together until its next signals arrive, and leave the other idle.
func (c *Config) prefers(load, best float64, random *rand.Rand) bool {
	if c.ChoiceExponent == 0 {
		return load < best
	}
	lighter, heavier := math.Pow(load, c.ChoiceExponent), math.Pow(best, c.ChoiceExponent)
	return random.Float64()*(lighter+heavier) < heavier
}

// sampleTwo returns two different usable upstreams of a tier, sampled uniformly in one pass. If there are
// fewer, the rest of the sample is nil.
func (s *service) sampleTwo(config *Config, query Query, t tier, now time.Time, random *rand.Rand) [2]*upstream {
	var sample [2]*upstream
	seen := 0
	for _, u := range s.upstreams {
		if u.tier != t || u.state != Healthy || !u.usable(config, query, now) {
			continue
		}
		if seen < len(sample) {
			sample[seen] = u
		} else if at := random.IntN(seen + 1); at < len(sample) {
			sample[at] = u
		}
		seen++
	}
	if seen > 1 && random.IntN(2) == 0 {
		sample[0], sample[1] = sample[1], sample[0] // ties must not favor the list order
	}
	return sample
}

// ejectedFallback returns the usable upstream whose ejection ends first, or nil. It is for calls that would
// otherwise be refused, which lose nothing by it.
func (s *service) ejectedFallback(config *Config, query Query, now time.Time) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		if u.usable(config, query, now) && (best == nil || u.ejectedUntil.Before(best.ejectedUntil)) {
			best = u
		}
	}
	return best
}

// Status describes one upstream for operators.
type Status struct {
	Candidate
	State    State
	InFlight int
	Load     float64
}

// Status returns the subset of a service, ordered by tier from near to far.
func (p *Picker) Status(name string, now time.Time) []Status {
	s := p.service(name, false)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Status, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		load := u.load(&p.config, call.Critical, now)
		list = append(list, Status{Candidate: u.Candidate, State: u.state, InFlight: u.inFlight, Load: load})
	}
	return list
}
