// Package backpressure limits requests where they enter to what the services that they lead to can serve.
//
// It answers an overload that lies several calls below the entry. A request of one route makes calls of other
// services, and each of these may make more. When the last service refuses one call in twenty, a request with
// ten of them fails two times in five, and all work above the refused call is wasted. So each destination
// derives from its queue delay a limit, the lowest call rank that it sheds (see admission.LevelConfig).
// Responses and exchanges between nodes carry the limits of overloaded services to the nodes where requests
// enter. These know which services a route leads to, because every response of a route carries the limits
// of the services below it, and refuse a request by the strictest of their limits.
//
// Limits are relayed with their age and expire, so a node that hears of none admits everything and leaves the
// refusal to the destination.
//
// The package has no clock and no goroutine. Limits is safe for concurrent use.
package backpressure

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

const (
	// lifetime is how long a report of a destination counts: several windows of its control and the time in
	// which exchanges relay it through a large fleet.
	lifetime = 1500 * time.Millisecond
	// maxRoutes and maxServicesPerRoute bound the memory for dependencies.
	maxRoutes           = 1024
	maxServicesPerRoute = 32
	// maxServices and maxDestinations bound the memory for reports.
	maxServices     = 1024
	maxDestinations = 1024
)

// Limits is what one node knows about the limits of services.
type Limits struct {
	// active is false while no service has a limit, which spares the lock.
	active atomic.Bool

	mu       sync.Mutex
	services map[string]*service
	// below holds the services to which requests of a route lead, apart from the route's own.
	below map[string][]string
}

// service holds what is known about a service. It is forgotten once none of its upstreams has a limit.
type service struct {
	// shed holds the ranks that upstreams shed, carry those that the retry budget cannot carry through their refusals.
	shed, carry reports
}

// reports holds the reports of one kind about a service.
type reports struct {
	// destinations holds the last reports of the upstreams' nodes.
	destinations map[string]report
	// relayed is the newest limit of the service that another node has derived.
	relayed report
	// limitedAt is when an upstream last reported a limit.
	limitedAt time.Time
}

// report tells from which rank calls are refused.
type report struct {
	from call.Rank
	at   time.Time
}

func (r report) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < lifetime }

// New returns a Limits that knows no limit.
func New() *Limits {
	return &Limits{services: map[string]*service{}, below: map[string][]string{}}
}

// RecordDestination records the limit that an upstream's node has reported; 0 means none.
func (l *Limits) RecordDestination(name, node string, shedFrom call.Rank, now time.Time) {
	l.record(name, node, shedFrom, now, func(s *service) *reports { return &s.shed })
}

// RecordCarry records the lowest rank that the retry budget cannot carry, as an upstream's node has reported it; 0 means
// that it carries all.
func (l *Limits) RecordCarry(name, node string, carryFrom call.Rank, now time.Time) {
	l.record(name, node, carryFrom, now, func(s *service) *reports { return &s.carry })
}

func (l *Limits) record(name, node string, from call.Rank, now time.Time, kind func(*service) *reports) {
	if from == 0 {
		if !l.active.Load() {
			return
		}
		from = call.RankLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		if from == call.RankLimit || len(l.services) >= maxServices {
			return
		}
		s = l.add(name)
	}
	r := kind(s)
	if from < call.RankLimit && now.After(r.limitedAt) {
		r.limitedAt = now
	}
	if _, known := r.destinations[node]; known || len(r.destinations) < maxDestinations {
		r.destinations[node] = report{from, now}
	}
}

func (l *Limits) add(name string) *service {
	s := &service{shed: reports{destinations: map[string]report{}}, carry: reports{destinations: map[string]report{}}}
	l.services[name] = s
	l.active.Store(true)
	return s
}

// relay records a limit that another node has derived.
func (r *reports) relay(next report) {
	if next.at.After(r.relayed.at) {
		r.relayed = next
	}
	if next.from < call.RankLimit && next.at.After(r.limitedAt) {
		r.limitedAt = next.at
	}
}

// limited reports whether an upstream has reported a limit lately.
func (r *reports) limited(now time.Time) bool { return now.Sub(r.limitedAt) < lifetime }

// RecordCall records that requests of a route lead to a service.
func (l *Limits) RecordCall(route, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBelow(route, service)
}

func (l *Limits) addBelow(route, service string) {
	services, known := l.below[route]
	if slices.Contains(services, service) || len(services) >= maxServicesPerRoute || !known && len(l.below) >= maxRoutes {
		return
	}
	l.below[route] = append(services, service)
}

// RecordBelow records the limits that came with a response or refusal of a route: requests of the route lead to
// the services.
func (l *Limits) RecordBelow(route string, limits []call.ServiceLimit, now time.Time) {
	if len(limits) == 0 {
		return
	}
	l.Relay(limits, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		l.addBelow(route, limit.Service)
	}
}

// Relay records limits that another node has derived.
func (l *Limits) Relay(limits []call.ServiceLimit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		if limit.Age < 0 || limit.Age >= lifetime {
			continue // expired, or malformed and would never expire
		}
		at := now.Add(-limit.Age)
		carried := limit.CarryFrom == 0 || limit.CarryFrom >= call.RankLimit
		s := l.services[limit.Service]
		if s == nil {
			if limit.ShedFrom >= call.RankLimit && carried || len(l.services) >= maxServices {
				continue
			}
			s = l.add(limit.Service)
		}
		s.shed.relay(report{max(1, limit.ShedFrom), at})
		if limit.CarryFrom > 0 {
			s.carry.relay(report{limit.CarryFrom, at})
		}
	}
}

// fresh returns the reports of upstreams that have not expired, and the time of the newest.
func (r *reports) fresh(now time.Time) (direct []report, newest time.Time) {
	for node, d := range r.destinations {
		if !d.fresh(now) {
			delete(r.destinations, node)
			continue
		}
		direct = append(direct, d)
		if d.at.After(newest) {
			newest = d.at
		}
	}
	return direct, newest
}

func mean(reports []report) call.Rank {
	sum := 0
	for _, r := range reports {
		sum += int(r.from)
	}
	return call.Rank(sum / len(reports))
}

// limit derives the limit of a service from the fresh reports: their mean. The choice of upstreams moves calls away
// from those that shed more than others, which raises their limits again. The time is that of the newest report.
func (s *service) limit(now time.Time) (report, bool) {
	fresh, newest := s.shed.fresh(now)
	if s.shed.relayed.fresh(now) {
		fresh = append(fresh, s.shed.relayed)
		if s.shed.relayed.at.After(newest) {
			newest = s.shed.relayed.at
		}
	}
	if len(fresh) == 0 {
		return report{}, false
	}
	return report{mean(fresh), newest}, true
}

// minCarryReports is the least number of upstreams whose reports make a limit: what one refuses, others may run.
const minCarryReports = 2

// carryLimit derives the rank from which the retry budget cannot carry calls. It is the mean of the fresh reports if most
// of the upstreams have a limit. While fewer have, the choice of upstreams avoids these.
func (s *service) carryLimit(now time.Time) (report, bool) {
	direct, newest := s.carry.fresh(now)
	relayed := s.carry.relayed.fresh(now)
	if relayed && (len(direct) < minCarryReports || s.carry.relayed.at.After(newest)) {
		return s.carry.relayed, true
	}
	if len(direct) < minCarryReports {
		return report{}, false
	}
	limited := 0
	for _, r := range direct {
		if r.from < call.RankLimit {
			limited++
		}
	}
	if 2*limited <= len(direct) {
		return report{call.RankLimit, newest}, true
	}
	return report{mean(direct), newest}, true
}

// CarryFrom returns the lowest rank of calls of a service that the retry budget cannot carry, as far as this node knows. It
// is RankLimit if it carries all.
func (l *Limits) CarryFrom(name string, now time.Time) call.Rank {
	if !l.active.Load() {
		return call.RankLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		return call.RankLimit
	}
	if r, ok := s.carryLimit(now); ok {
		return r.from
	}
	return call.RankLimit
}

// Strictest returns the lowest limit among a route's own service and those it leads to, and the service that has
// it. ShedFrom is RankLimit if none has one. What the retry budget cannot carry counts only at the services that the
// route leads to: a request that its own service refuses has cost no work.
func (l *Limits) Strictest(route, own string, now time.Time) call.ServiceLimit {
	strictest := call.ServiceLimit{Service: own, ShedFrom: call.RankLimit}
	for _, limit := range l.Below(route, own, now) {
		if limit.Service != own && limit.CarryFrom > 0 {
			limit.ShedFrom = min(limit.ShedFrom, limit.CarryFrom)
		}
		if limit.ShedFrom < strictest.ShedFrom {
			strictest = limit
		}
	}
	return strictest
}

// Below returns the limits of a route's own service and of those it leads to, as far as they have one.
func (l *Limits) Below(route, own string, now time.Time) []call.ServiceLimit {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.appendLimit(nil, own, now)
	for _, name := range l.below[route] {
		if name != own {
			limits = l.appendLimit(limits, name, now)
		}
	}
	return limits
}

// All returns all known limits, for an exchange with another node.
func (l *Limits) All(now time.Time) []call.ServiceLimit {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []call.ServiceLimit
	for name := range l.services {
		limits = l.appendLimit(limits, name, now)
	}
	return limits
}

// appendLimit appends the limit of a service. A service that no upstream
// limits any more is forgotten.
func (l *Limits) appendLimit(limits []call.ServiceLimit, name string, now time.Time) []call.ServiceLimit {
	s := l.services[name]
	if s == nil {
		return limits
	}
	if !s.shed.limited(now) && !s.carry.limited(now) {
		delete(l.services, name)
		l.active.Store(len(l.services) > 0)
		return limits
	}
	limit := call.ServiceLimit{Service: name, ShedFrom: call.RankLimit}
	shed, shedKnown := s.limit(now)
	if shedKnown {
		limit.ShedFrom, limit.Age = shed.from, now.Sub(shed.at)
	}
	carry, carryKnown := s.carryLimit(now)
	if carryKnown {
		limit.CarryFrom, limit.Age = carry.from, max(limit.Age, now.Sub(carry.at))
	}
	if !shedKnown && !carryKnown {
		return limits
	}
	return append(limits, limit)
}
