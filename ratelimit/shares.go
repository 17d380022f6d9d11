package ratelimit

import (
	"sync"
	"time"
)

// SharesConfig holds the tuning values of Shares.
type SharesConfig struct {
	// DemandMemory is the time in which the estimate of demand follows a change by two thirds.
	DemandMemory time.Duration
	// ReportLifetime is how long a report of another node counts as fresh.
	ReportLifetime time.Duration
	// IdleDemand is the demand that each node is assumed to have at least, as a share of the workspace's
	// rate over all nodes, so that the first requests at a node need no adjustment.
	IdleDemand float64
	// MinimumBurst is the least burst of a node in requests. Bursts of all nodes together may exceed the
	// workspace's burst by it, which the operators' tolerance must cover.
	MinimumBurst float64
}

// DefaultSharesConfig returns the values used by cowslip-sidecar.
func DefaultSharesConfig() SharesConfig {
	return SharesConfig{
		DemandMemory:   time.Second,             // a fifth of the usual window of a quota
		ReportLifetime: 1500 * time.Millisecond, // three exchanges
		IdleDemand:     0.05,                    // costs busy nodes a twentieth of the rate
		MinimumBurst:   2,                       // below it, two requests that arrive together are refused
	}
}

// Shares divides each workspace's rate and burst over nodes in proportion to the demand that enters at
// them. Every node computes its own share from the demand that the others report, so the shares of nodes
// with the same reports add up to one.
//
// A node raises its share only while the reports of all known nodes are fresh. A node that is cut off
// keeps the share that the others last left to it, and they leave it to it as long as they count it as a
// member, so the shares of both sides of a cut add up to one as well. A node that has just started takes
// an equal share. Shares is safe for concurrent use.
type Shares struct {
	config SharesConfig

	mu         sync.Mutex
	workspaces map[string]*shareBucket
	members    map[string]*memberDemand
}

// memberDemand is what another node last reported.
type memberDemand struct {
	at        time.Time
	perSecond map[string]float64
}

type shareBucket struct {
	// share is the part of rate and burst that this node may use.
	share  float64
	tokens float64
	at     time.Time
	// arrived counts requests since the last update of demand.
	arrived  float64
	demand   float64
	demandAt time.Time
}

// NewShares returns Shares of a node that knows no others.
func NewShares(config SharesConfig) *Shares {
	return &Shares{config: config, workspaces: map[string]*shareBucket{}, members: map[string]*memberDemand{}}
}

// SetMembers replaces the set of other nodes that may admit requests. New ones count as not heard of.
func (s *Shares) SetMembers(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make(map[string]*memberDemand, len(names))
	for _, name := range names {
		if m := s.members[name]; m != nil {
			members[name] = m
		} else {
			members[name] = &memberDemand{}
		}
	}
	s.members = members
}

// Report takes in the demand of another node. Reports of nodes that are no members are ignored.
func (s *Shares) Report(node string, perSecond map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[node]; m != nil {
		m.at, m.perSecond = now, perSecond
	}
}

// Demand returns the demand at this node by workspace, for reports.
func (s *Shares) Demand(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := make(map[string]float64, len(s.workspaces))
	for name, b := range s.workspaces {
		b.settle(s.config.DemandMemory, now)
		if b.demand > 0 {
			demand[name] = b.demand
		}
	}
	return demand
}

// Adjust computes the shares anew. Call it after each round of reports.
func (s *Shares) Adjust(quota func(workspace string) (Quota, bool), now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.workspaces {
		q, ok := quota(name)
		if !ok {
			delete(s.workspaces, name)
			continue
		}
		b.settle(s.config.DemandMemory, now)
		s.adjust(name, b, q, now)
	}
}

func (s *Shares) adjust(name string, b *shareBucket, q Quota, now time.Time) {
	floor := s.config.IdleDemand * q.Rate / float64(len(s.members)+1)
	own := b.demand + floor
	total := own
	fresh := true
	for _, m := range s.members {
		total += m.perSecond[name] + floor
		fresh = fresh && !m.at.IsZero() && now.Sub(m.at) < s.config.ReportLifetime
	}
	if total <= 0 {
		return
	}
	if share := own / total; fresh || share < b.share {
		b.share = share
	}
}

// Take admits one request of a workspace. When it is refused, the wait until the next token is returned.
func (s *Shares) Take(workspace string, q Quota, now time.Time) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil {
		b = &shareBucket{share: 1 / float64(len(s.members)+1), at: now, demandAt: now}
		b.tokens = max(float64(q.Burst)*b.share, s.config.MinimumBurst)
		s.workspaces[workspace] = b
	}
	b.arrived++
	if q.Rate <= 0 {
		return true, 0
	}
	rate := q.Rate * b.share
	capacity := max(float64(q.Burst)*b.share, s.config.MinimumBurst)
	b.tokens = min(capacity, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

// settle brings the estimate of demand up to date.
func (b *shareBucket) settle(memory time.Duration, now time.Time) {
	elapsed := now.Sub(b.demandAt).Seconds()
	if elapsed < minSettle.Seconds() {
		return
	}
	weight := elapsed / (elapsed + memory.Seconds())
	b.demand += (b.arrived/elapsed - b.demand) * weight
	b.arrived = 0
	b.demandAt = now
}

// minSettle is the shortest span over which arrivals are counted.
const minSettle = 100 * time.Millisecond
