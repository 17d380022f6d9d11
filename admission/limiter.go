package admission

import (
	"math"
	"time"
)

// Sample describes one finished call.
type Sample struct {
	Started time.Time
	// Service is the time from start to end.
	Service time.Duration
	// InFlight is the number of running calls before this one ended.
	InFlight int
	// Overloaded means that the upstream shed the call, so Service is not a valid service time.
	Overloaded bool
}

// Limiter decides how many calls may run at once. Limit is always between 1 and the slots that the
// upstream announced. A Limiter is not safe for concurrent use.
type Limiter interface {
	Limit() int
	// SetSlots changes the upper bound.
	SetSlots(slots int)
	// Observe records a finished call and may change the limit.
	Observe(now time.Time, s Sample)
}

// clampLimit returns limit clamped to the range [1, slots].
func clampLimit(limit float64, slots int) float64 {
	return math.Max(1, math.Min(limit, float64(slots)))
}

// FixedLimiter always allows the announced slots.
type FixedLimiter struct{ slots int }

// NewFixedLimiter returns a limiter with a constant limit.
func NewFixedLimiter(slots int) *FixedLimiter { return &FixedLimiter{slots: slots} }

// Limit returns the announced slots.
func (l *FixedLimiter) Limit() int { return l.slots }

// SetSlots changes the limit.
func (l *FixedLimiter) SetSlots(slots int) { l.slots = slots }

// Observe does nothing.
func (l *FixedLimiter) Observe(time.Time, Sample) {}

// AIMDLimiter adds one slot for each limit's worth of calls that the upstream does not shed. It reduces
// the limit by a tenth when the upstream sheds a call, at most once per latency.
type AIMDLimiter struct {
	slots        int
	limit        float64
	lastDecrease time.Time
}

// aimdBackoff is the factor of a decrease. 0.9 keeps more of the capacity in use than the 0.5 of TCP.
const aimdBackoff = 0.9

// NewAIMDLimiter returns an additive-increase/multiplicative-decrease limiter.
func NewAIMDLimiter(slots int) *AIMDLimiter {
	return &AIMDLimiter{slots: slots, limit: float64(slots)}
}

// Limit returns the current limit.
func (l *AIMDLimiter) Limit() int { return int(l.limit) }

// SetSlots changes the upper bound.
func (l *AIMDLimiter) SetSlots(slots int) {
	l.slots = slots
	l.limit = clampLimit(l.limit, slots)
}

// Observe increases or decreases the limit.
func (l *AIMDLimiter) Observe(now time.Time, s Sample) {
	if !s.Overloaded {
		if s.InFlight*2 >= l.Limit() {
			l.limit = clampLimit(l.limit+1/l.limit, l.slots)
		}
		return
	}
	if s.Started.Before(l.lastDecrease) {
		return
	}
	l.lastDecrease = now
	l.limit = clampLimit(l.limit*aimdBackoff, l.slots)
}

// GradientLimiter adjusts the limit by the ratio of long-term to short-term latency.
type GradientLimiter struct {
	slots                     int
	limit                     float64
	longLatency, shortLatency float64
}

const (
	// gradientTolerance is the ratio of short-term to long-term latency that does not lower the limit.
	gradientTolerance   = 1.5
	gradientLongWeight  = 1.0 / 600
	gradientShortWeight = 1.0 / 20
	gradientSmoothing   = 0.02
)

// NewGradientLimiter returns a limiter driven by the latency gradient.
func NewGradientLimiter(slots int) *GradientLimiter {
	return &GradientLimiter{slots: slots, limit: float64(slots)}
}

// Limit returns the current limit.
func (l *GradientLimiter) Limit() int { return int(l.limit) }

// SetSlots changes the upper bound.
func (l *GradientLimiter) SetSlots(slots int) {
	l.slots = slots
	l.limit = clampLimit(l.limit, slots)
}

// Observe moves the limit towards limit * gradient + sqrt(limit).
func (l *GradientLimiter) Observe(_ time.Time, s Sample) {
	if s.Overloaded {
		return
	}
	latency := s.Service.Seconds()
	if l.longLatency == 0 {
		l.longLatency, l.shortLatency = latency, latency
	}
	l.longLatency += (latency - l.longLatency) * gradientLongWeight
	l.shortLatency += (latency - l.shortLatency) * gradientShortWeight
	if s.InFlight*2 < l.Limit() || l.shortLatency == 0 {
		return
	}
	gradient := math.Max(0.5, math.Min(1, gradientTolerance*l.longLatency/l.shortLatency))
	target := l.limit*gradient + math.Sqrt(l.limit)
	l.limit = clampLimit(l.limit+(target-l.limit)*gradientSmoothing, l.slots)
}
