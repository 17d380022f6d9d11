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

type service struct {
	// destinations holds the last reports of the upstreams' nodes.
	destinations map[string]report
	// relayed is the newest limit of the service that another node has derived.
	relayed report
	// limitedAt is when an upstream last shed calls. The service is forgotten once that is long ago.
	limitedAt time.Time
}

type report struct {
	shedFrom call.Rank
	at       time.Time
}

func (r report) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < lifetime }

// New returns a Limits that knows no limit.
func New() *Limits {
	return &Limits{services: map[string]*service{}, below: map[string][]string{}}
}

// RecordDestination records the limit that an upstream's node has reported; 0 means none.
func (l *Limits) RecordDestination(name, node string, shedFrom call.Rank, now time.Time) {
	if shedFrom == 0 {
		if !l.active.Load() {
			return
		}
		shedFrom = call.RankLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		if shedFrom == call.RankLimit || len(l.services) >= maxServices {
			return
		}
		s = l.add(name)
	}
	if shedFrom < call.RankLimit {
		s.limitedAt = now
	}
	if _, known := s.destinations[node]; known || len(s.destinations) < maxDestinations {
		s.destinations[node] = report{shedFrom, now}
	}
}

func (l *Limits) add(name string) *service {
	s := &service{destinations: map[string]report{}}
	l.services[name] = s
	l.active.Store(true)
	return s
}

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
		next := report{max(1, limit.ShedFrom), now.Add(-limit.Age)}
		s := l.services[limit.Service]
		if s == nil {
			if next.shedFrom >= call.RankLimit || len(l.services) >= maxServices {
				continue
			}
			s = l.add(limit.Service)
		}
		if next.at.After(s.relayed.at) {
			s.relayed = next
		}
		if next.shedFrom < call.RankLimit && next.at.After(s.limitedAt) {
			s.limitedAt = next.at
		}
	}
}

// limit derives the limit of a service from the fresh reports: their mean. The choice of upstreams moves calls away
// from those that shed more than others, which raises their limits again. The time is that of the newest report.
func (s *service) limit(now time.Time) (report, bool) {
	var fresh []report
	if s.relayed.fresh(now) {
		fresh = append(fresh, s.relayed)
	}
	for node, r := range s.destinations {
		if !r.fresh(now) {
			delete(s.destinations, node)
			continue
		}
		fresh = append(fresh, r)
	}
	if len(fresh) == 0 {
		return report{}, false
	}
	sum, newest := 0, fresh[0].at
	for _, r := range fresh {
		sum += int(r.shedFrom)
		if r.at.After(newest) {
			newest = r.at
		}
	}
	return report{call.Rank(sum / len(fresh)), newest}, true
}

// Strictest returns the lowest limit among a route's own service and those it leads to, and the service that has
// it. ShedFrom is RankLimit if none has one.
func (l *Limits) Strictest(route, own string, now time.Time) call.ServiceLimit {
	strictest := call.ServiceLimit{Service: own, ShedFrom: call.RankLimit}
	for _, limit := range l.Below(route, own, now) {
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
	r, ok := s.limit(now)
	if !ok || now.Sub(s.limitedAt) >= lifetime {
		delete(l.services, name)
		l.active.Store(len(l.services) > 0)
		return limits
	}
	return append(limits, call.ServiceLimit{Service: name, ShedFrom: r.shedFrom, Age: now.Sub(r.at)})
}
