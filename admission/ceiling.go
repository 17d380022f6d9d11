package admission

import "time"

// CeilingLimiter caps another Limiter by the calls that the upstream itself sheds. A call shed while n
// calls are in flight shows that the upstream has fewer than n slots. The ceiling drops below n at once,
// because each further try may lose an important call, and is then raised in steps. A step that causes
// a refusal doubles the time to the next one.
type CeilingLimiter struct {
	inner            Limiter
	slots            int
	ceiling          int
	lastDecrease     time.Time
	lastChange       time.Time
	increaseInterval time.Duration
}

const (
	// ceilingMinInterval and ceilingMaxInterval bound the time between two increases. At 16 s, an upstream
	// with 15 slots and 50 ms calls that stays short of slots loses one call in 5,000 to increases.
	ceilingMinInterval = 500 * time.Millisecond
	ceilingMaxInterval = 16 * time.Second
	// The ceiling never drops below the announced slots divided by ceilingFloorDivisor, because an
	// upstream may also refuse for reasons unrelated to the limit.
	ceilingFloorDivisor = 4
)

// NewDefaultLimiter returns a limiter for an upstream that may have fewer slots than it announces: a
// DelayLimiter capped by a CeilingLimiter.
func NewDefaultLimiter(slots int) Limiter {
	return NewCeilingLimiter(NewDelayLimiter(slots), slots)
}

// NewCeilingLimiter returns a CeilingLimiter around inner whose ceiling starts at the announced slots.
func NewCeilingLimiter(inner Limiter, slots int) *CeilingLimiter {
	return &CeilingLimiter{inner: inner, slots: slots, ceiling: slots, increaseInterval: ceilingMinInterval}
}

// Limit returns the lower of the ceiling and the limit of the inner Limiter.
func (l *CeilingLimiter) Limit() int { return min(l.ceiling, l.inner.Limit()) }

// SetSlots changes the upper bound. A changed announcement discards the ceiling learned from refusals.
func (l *CeilingLimiter) SetSlots(slots int) {
	if slots != l.slots {
		l.ceiling = slots
		l.increaseInterval = ceilingMinInterval
	}
	l.slots = slots
	l.inner.SetSlots(slots)
}

// Observe passes the sample to the inner Limiter and adjusts the ceiling.
func (l *CeilingLimiter) Observe(now time.Time, s Sample) {
	l.inner.Observe(now, s)
	switch {
	case s.Overloaded && !s.Started.Before(l.lastDecrease):
		l.decrease(now, s.InFlight)
	case !s.Overloaded && l.ceiling < l.slots && now.Sub(l.lastChange) >= l.increaseInterval && s.InFlight >= l.ceiling:
		l.increase(now)
	}
}

func (l *CeilingLimiter) decrease(now time.Time, inFlight int) {
	floor := max(1, l.slots/ceilingFloorDivisor)
	l.ceiling = max(floor, min(l.ceiling, inFlight)-1)
	l.lastDecrease = now
	l.lastChange = now
	l.increaseInterval = min(2*l.increaseInterval, ceilingMaxInterval)
}

// increase raises the ceiling by 2% of the slots, at least by one. The time between increases halves
// while they cause no refusal.
func (l *CeilingLimiter) increase(now time.Time) {
	l.ceiling = min(l.slots, l.ceiling+max(1, l.slots/50))
	if now.Sub(l.lastDecrease) > l.increaseInterval+ceilingMinInterval {
		l.increaseInterval = max(l.increaseInterval/2, ceilingMinInterval)
	}
	l.lastChange = now
}
