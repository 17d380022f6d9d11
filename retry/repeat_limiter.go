package retry

import (
	"sync"
	"time"
)

// RepeatLimiter bounds the repeated sends to each service by a fraction of the requests for it within a
// sliding window. Each node limits only its own sends, so the bound also holds for the sum over all nodes.
// It is safe for concurrent use.
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
	// repeated, such a request makes its own calls again. These count as repeats at every service below,
	// but nodes cannot distinguish them from other calls. The fraction must therefore be small enough for
	// a chain of calls that fail at every depth.
	MayHaveRunFraction float64
}

// windowSlots is the number of slots of a window. Repeats in the slot that is expiring count in full.
const windowSlots = 10

type repeatCounts struct {
	slot     int64
	requests [windowSlots]float64
	repeats  [windowSlots + 1]float64
	// afterMayHaveRun counts the repeats of requests that may have run.
	afterMayHaveRun [windowSlots + 1]float64
}

// NewRepeatLimiter returns a limiter without any requests counted.
func NewRepeatLimiter(limits RepeatLimits) *RepeatLimiter {
	return &RepeatLimiter{limits: limits, services: map[string]*repeatCounts{}}
}

// SetLimits replaces the limits. It keeps the counts.
func (l *RepeatLimiter) SetLimits(limits RepeatLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// RecordRequest counts a request for a service. Its repeats are counted by AllowRepeat only.
func (l *RepeatLimiter) RecordRequest(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(service, now)
	c.requests[c.slot%windowSlots]++
}

// AllowRepeat reports whether a request may be sent once more, and counts the repeat if so. mayHaveRun
// means that an earlier send may have run.
func (l *RepeatLimiter) AllowRepeat(service string, mayHaveRun bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(service, now)
	allowed := l.limits.Ratio*sum(c.requests[:]) + l.limits.Slack
	if sum(c.repeats[:])+1 > allowed || mayHaveRun && sum(c.afterMayHaveRun[:])+1 > allowed*l.limits.MayHaveRunFraction {
		return false
	}
	slot := c.slot % (windowSlots + 1)
	c.repeats[slot]++
	if mayHaveRun {
		c.afterMayHaveRun[slot]++
	}
	return true
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of a service after clearing the slots that have left the window.
func (l *RepeatLimiter) counts(service string, now time.Time) *repeatCounts {
	slot := now.UnixNano() / max(1, int64(l.limits.Window)/windowSlots)
	c := l.services[service]
	if c == nil {
		c = &repeatCounts{slot: slot}
		l.services[service] = c
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
