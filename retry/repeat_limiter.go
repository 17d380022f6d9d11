package retry

import (
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// RepeatLimiter bounds the repeated sends to each service by a fraction of the requests for it within a
// sliding window. Each node limits only its own sends, so the bound also holds for the sum over all nodes.
// Scarce repeats go to the most important calls first. It is safe for concurrent use.
type RepeatLimiter struct {
	mu       sync.Mutex
	limits   RepeatLimits
	services map[string]*repeatCounts
}

// RepeatLimits are the operators' limits for one node.
type RepeatLimits struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the allowed number of repeated sends for each request.
	Ratio float64
	// Slack is the number of repeated sends per window that is always allowed.
	Slack float64
	// MayHaveRunFraction is the fraction of Ratio and Slack available to requests that may have run. When
	// repeated, such a request makes its own calls again, which count as repeats at every service below. The fraction
	// must be small enough for a chain of calls that fail at every depth.
	MayHaveRunFraction float64
}

// Repeat describes a repeated send.
type Repeat struct {
	// MayHaveRun means that an earlier send may have run.
	MayHaveRun bool
	// Rank is the rank of the call. Scarce repeats go to the lowest ranks.
	Rank call.Rank
	// Answered is the number of calls of the request that were answered. Of calls of equal rank, those of requests of
	// which more is done precede.
	Answered int
}

// Verdict is the decision about a repeated send.
type Verdict uint8

// Verdicts.
const (
	Granted Verdict = iota
	// DeniedByRank means that calls of lower ranks need the repeats that are left.
	DeniedByRank
	// DeniedByBudget means that none is left in the window.
	DeniedByBudget
)

var verdictNames = [...]string{"granted", "denied_rank", "denied_budget"}

// String returns the name used in metrics and log lines.
func (v Verdict) String() string { return verdictNames[v] }

const (
	// windowSlots is the number of slots of a window. Repeats in the slot that is expiring count in full.
	windowSlots = 10
	// maxServices bounds the memory for counts, and maxDemands that for the demand by rank. Services without the latter
	// have only the bound of the window.
	maxServices = 1024
	maxDemands  = 64
)

type repeatCounts struct {
	// window is that of the slots.
	window   time.Duration
	slot     int64
	requests [windowSlots]float64
	// repeats counts the granted repeats and the sends of requests that are repeats already.
	repeats [windowSlots + 1]float64
	// afterMayHaveRun counts the granted repeats of requests that may have run.
	afterMayHaveRun [windowSlots + 1]float64
	// demand holds all wanted repeats, except those of requests that may have run and are denied by their own bound.
	// mayHaveRun holds those of requests that may have run.
	demand, mayHaveRun *demand
}

// NewRepeatLimiter returns a limiter without any requests counted.
func NewRepeatLimiter(limits RepeatLimits) *RepeatLimiter {
	return &RepeatLimiter{limits: limits, services: map[string]*repeatCounts{}}
}

// SetLimits replaces the limits. It keeps the counts, but for the requests if the window changes.
func (l *RepeatLimiter) SetLimits(limits RepeatLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// RecordRequest counts a request for a service. Its repeats are counted by AllowRepeat only. A request that is made by
// the repeated run of another counts as a repeat itself.
func (l *RepeatLimiter) RecordRequest(service string, repeated bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(service, now)
	if c == nil {
		return
	}
	if repeated {
		c.repeats[c.slot%(windowSlots+1)]++
	} else {
		c.requests[c.slot%windowSlots]++
	}
	if c.demand != nil {
		for _, d := range []*demand{c.demand, c.mayHaveRun} {
			d.decay(now)
			d.sends++
		}
	}
}

// RetractRequest takes back a request that has not arrived at any upstream: operators count arrivals.
func (l *RepeatLimiter) RetractRequest(service string, repeated bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(service, now)
	if c == nil {
		return
	}
	count := &c.requests[c.slot%windowSlots]
	if repeated {
		count = &c.repeats[c.slot%(windowSlots+1)]
	}
	*count = max(0, *count-1) // what remains of requests of earlier slots leaves the window with these
}

// AllowRepeat decides whether a request may be sent once more, and counts the repeat if so.
func (l *RepeatLimiter) AllowRepeat(service string, repeat Repeat, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(service, now)
	if c == nil {
		return DeniedByBudget
	}
	l.updateDemand(c, now)
	allowed := l.limits.Ratio*sum(c.requests[:]) + l.limits.Slack
	if repeat.MayHaveRun {
		verdict := l.decide(c.mayHaveRun, repeat, allowed*l.limits.MayHaveRunFraction, sum(c.afterMayHaveRun[:]))
		if verdict != Granted {
			return verdict // is no demand for the rest of the budget
		}
	}
	if verdict := l.decide(c.demand, repeat, allowed, sum(c.repeats[:])); verdict != Granted {
		return verdict
	}
	slot := c.slot % (windowSlots + 1)
	c.repeats[slot]++
	if repeat.MayHaveRun {
		c.afterMayHaveRun[slot]++
	}
	return Granted
}

// decide decides by the demand, of which d is nil when unknown, and the repeats allowed and used in the window.
func (l *RepeatLimiter) decide(d *demand, repeat Repeat, allowed, used float64) Verdict {
	verdict := DeniedByRank
	switch {
	case used+1 > allowed:
		verdict = DeniedByBudget
	case d == nil || used+1 <= free(allowed) || d.allows(repeat, d.room(repeat, allowed, used, l.limits.Window)):
		verdict = Granted
	}
	if d != nil {
		d.record(repeat.Rank, verdict == Granted)
	}
	return verdict
}

// updateDemand ages the demand of a service. It is counted from the first wanted repeat.
func (l *RepeatLimiter) updateDemand(c *repeatCounts, now time.Time) {
	if c.demand != nil {
		c.demand.decay(now)
		c.mayHaveRun.decay(now)
		return
	}
	demands := 0
	for _, other := range l.services {
		if other.demand != nil {
			demands++
		}
	}
	if demands < maxDemands {
		c.demand = &demand{updated: now, memory: minDemandMemory, sends: c.requests[c.slot%windowSlots]}
		c.mayHaveRun = &demand{updated: now, memory: minDemandMemory, sends: c.requests[c.slot%windowSlots]}
	}
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of a service after clearing the slots that have left the window, or nil if there are too many
// services.
func (l *RepeatLimiter) counts(service string, now time.Time) *repeatCounts {
	slot := now.UnixNano() / max(1, int64(l.limits.Window)/windowSlots)
	c := l.services[service]
	if c == nil {
		if len(l.services) >= maxServices {
			l.evict(slot)
		}
		if len(l.services) >= maxServices {
			return nil
		}
		c = &repeatCounts{window: l.limits.Window, slot: slot}
		l.services[service] = c
	}
	if c.window != l.limits.Window {
		c.setWindow(l.limits.Window, slot)
	}
	for skipped := 0; c.slot < slot && skipped <= windowSlots; skipped++ {
		c.slot++
		c.requests[c.slot%windowSlots] = 0
		c.repeats[c.slot%(windowSlots+1)] = 0
		c.afterMayHaveRun[c.slot%(windowSlots+1)] = 0
	}
	c.slot = max(c.slot, slot)
	return c
}

// setWindow begins slots of another length, which are numbered otherwise. When the earlier requests and repeats were counted is
// not known to them, so the repeats stay for a window and the requests allow no more.
func (c *repeatCounts) setWindow(window time.Duration, slot int64) {
	repeats, afterMayHaveRun := sum(c.repeats[:]), sum(c.afterMayHaveRun[:])
	clear(c.requests[:])
	clear(c.repeats[:])
	clear(c.afterMayHaveRun[:])
	c.window, c.slot = window, slot
	c.repeats[slot%(windowSlots+1)], c.afterMayHaveRun[slot%(windowSlots+1)] = repeats, afterMayHaveRun
}

// evict removes the services whose counts have left the window.
func (l *RepeatLimiter) evict(slot int64) {
	for name, c := range l.services {
		if slot-c.slot > windowSlots {
			delete(l.services, name)
		}
	}
}
