package admission

import "time"

// DelayLimiter keeps the queue inside the upstream short. Calls beyond the true capacity of the upstream
// queue inside it, without regard to importance and fairness. The limiter compares the mean latency of
// a window with the base latency, measured without such a queue. When the ratio exceeds a threshold, or
// periodically while the limit is saturated, it runs a trial with a lower limit. If the latency falls
// with the limit, calls were queued and the lower limit stays. Otherwise calls take that long, so the
// previous limit is restored and the latency becomes the new base.
type DelayLimiter struct {
	slots int
	limit float64
	// baseLatency is the mean latency without a queue in the upstream, in seconds; 0 until known.
	baseLatency float64

	windowStart  time.Time
	latencySum   float64
	sampleCount  int
	peakInFlight int

	inTrial     bool
	prevLimit   float64 // limit before the trial
	prevLatency float64 // mean latency before the trial
	nextTrial   time.Time
}

const (
	// delayWindow and delaySamples are the minimum duration and sample count of a window. The mean of 300
	// exponential service times has a standard error of 6%, about half of the effect a trial must show.
	delayWindow  = 100 * time.Millisecond
	delaySamples = 300
	// delayTrialRatio is the ratio of latency to base latency above which a trial starts. 1.25 started
	// needless trials that cost 10% of the goodput of an upstream with 15 slots.
	delayTrialRatio = 1.4
	// delayGrowthRatio is the ratio of latency to base latency below which the limit grows.
	delayGrowthRatio = 1.2
	// delayBackoff and delayGrowth are the factors by which the limit changes per window.
	delayBackoff = 0.75
	delayGrowth  = 1.05
	// delayTrialInterval is the time between periodic trials. A trial costs a quarter of the capacity
	// for one window.
	delayTrialInterval = 15 * time.Second
)

// NewDelayLimiter returns a DelayLimiter that starts at the announced slots.
func NewDelayLimiter(slots int) *DelayLimiter {
	return &DelayLimiter{slots: slots, limit: float64(slots)}
}

// Limit returns the current limit.
func (l *DelayLimiter) Limit() int { return int(l.limit) }

// SetSlots changes the upper bound. A limit at the old bound moves to the new one.
func (l *DelayLimiter) SetSlots(slots int) {
	if l.limit >= float64(l.slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
	l.limit = clampLimit(l.limit, slots)
}

// Observe adds the sample to the current window and evaluates the window once it is complete. Calls
// that started before the window ran under a different limit and are ignored.
func (l *DelayLimiter) Observe(now time.Time, s Sample) {
	if s.Overloaded || s.Started.Before(l.windowStart) {
		return
	}
	if l.windowStart.IsZero() {
		l.windowStart = s.Started
	}
	l.latencySum += s.Service.Seconds()
	l.sampleCount++
	l.peakInFlight = max(l.peakInFlight, s.InFlight)
	if l.sampleCount < delaySamples || now.Sub(l.windowStart) < delayWindow {
		return
	}
	l.evaluate(now, l.latencySum/float64(l.sampleCount))
	l.windowStart = now
	l.latencySum, l.sampleCount, l.peakInFlight = 0, 0, 0
}

func (l *DelayLimiter) evaluate(now time.Time, mean float64) {
	saturated := l.peakInFlight >= l.Limit()
	switch {
	case l.inTrial:
		l.finishTrial(now, mean)
	case !saturated:
		l.updateBase(mean)
	case l.baseLatency == 0 || mean > l.baseLatency*delayTrialRatio || now.After(l.nextTrial):
		l.startTrial(mean)
	case mean < l.baseLatency*delayGrowthRatio:
		l.limit = clampLimit(l.limit*delayGrowth+1, l.slots)
	}
}

// updateBase updates the base latency from a window in which the limit was not saturated.
func (l *DelayLimiter) updateBase(mean float64) {
	if l.baseLatency == 0 {
		l.baseLatency = mean
	}
	l.baseLatency += (mean - l.baseLatency) / 4
}

func (l *DelayLimiter) startTrial(mean float64) {
	l.inTrial = true
	l.prevLimit = l.limit
	l.prevLatency = mean
	l.limit = clampLimit(l.limit*delayBackoff, l.slots)
}

// finishTrial compares the latency with the midpoint between no change and the drop that the lower
// limit causes if calls are queued in the upstream.
func (l *DelayLimiter) finishTrial(now time.Time, mean float64) {
	l.inTrial = false
	l.nextTrial = now.Add(delayTrialInterval)
	expected := l.prevLatency * l.limit / l.prevLimit
	if mean < (expected+l.prevLatency)/2 {
		l.baseLatency = mean
		l.startTrial(mean)
		return
	}
	l.baseLatency = (mean + l.prevLatency) / 2
	l.limit = clampLimit(l.prevLimit, l.slots)
}
