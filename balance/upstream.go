package balance

import (
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// State is the health of an upstream as observed by this node.
type State uint8

// Health states.
const (
	Healthy State = iota
	// Ejected upstreams get no calls until their ejection time has passed.
	Ejected
	// Probing upstreams have one request in flight that decides whether they return to service.
	Probing
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probing"}[s]
}

const (
	// defaultLimit is used when neither a signal nor the announcement gives the limit.
	defaultLimit = 100
	// failureCost is the load added when all recent calls to an upstream failed. It is above any load of
	// a working upstream, so that an upstream that MaxEjectedFraction keeps in service is used last.
	failureCost = 4
	// shedCost is the load added when the destination sheds calls of the call's importance.
	shedCost = 2
	// maxDoublings bounds the shift in the exponential growth of ejection and unreachable times.
	maxDoublings = 10
)

// upstream is the state kept for one candidate. It is guarded by the lock of its service.
type upstream struct {
	Candidate
	tier     tier
	inFlight int

	signal         call.Load
	signalAt       time.Time
	signalInFlight int // inFlight when the signal arrived

	state          State
	ejections      int // since the upstream was last restored
	ejectedUntil   time.Time
	probeStartedAt time.Time

	consecutiveFailures int
	lastFailure         time.Time
	windowStart         time.Time
	calls, failed       [2]int // current and previous window
}

func (u *upstream) limit() float64 {
	switch {
	case u.signal.Limit > 0:
		return float64(u.signal.Limit)
	case u.Slots > 0:
		return float64(u.Slots)
	}
	return defaultLimit
}

// signalWeight is 1 for a fresh signal and falls to 0 over its lifetime.
func (u *upstream) signalWeight(config *Config, now time.Time) float64 {
	if u.signalAt.IsZero() {
		return 0
	}
	age := now.Sub(u.signalAt)
	if age >= config.SignalLifetime {
		return 0
	}
	return 1 - float64(max(age, 0))/float64(config.SignalLifetime)
}

// isDraining reports whether the upstream is announced as draining or a recent signal says so. A signal
// expires after SignalLifetime, because a drain can be undone.
func (u *upstream) isDraining(config *Config, now time.Time) bool {
	return u.Draining || u.signal.Draining && now.Sub(u.signalAt) < config.SignalLifetime
}

// usableFraction returns the fraction of its limit that the upstream can use, from ColdCapacity at its
// start to 1 after the warm-up.
func (u *upstream) usableFraction(config *Config, now time.Time) float64 {
	if u.WarmUp <= 0 || u.FirstSeen.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(u.FirstSeen)) / float64(u.WarmUp)
	return min(1, max(config.ColdCapacity, fraction))
}

// load returns the estimated utilization of the limit, 1 being full, plus penalties for queueing,
// shedding and recent failures. Calls from other nodes are known only from the signal.
func (u *upstream) load(config *Config, importance call.Importance, now time.Time) float64 {
	weight := u.signalWeight(config, now)
	others := weight * float64(max(0, u.signal.InFlight-u.signalInFlight))
	load := (float64(u.inFlight) + 1 + others) / (u.limit() * u.usableFraction(config, now))
	if weight > 0 {
		load += weight * float64(u.signal.QueueDelay) / float64(config.QueueDelayUnit)
		if importance > u.signal.Admitted {
			load += shedCost * weight
		}
	}
	return load + failureCost*u.recentFailures(config, now)
}

// recentFailures returns the larger of two fractions: failed calls out of all calls, and consecutive
// failures out of those needed for an ejection. It falls to 0 over a FailureWindow after the last failure.
func (u *upstream) recentFailures(config *Config, now time.Time) float64 {
	if u.lastFailure.IsZero() {
		return 0
	}
	freshness := 1 - float64(now.Sub(u.lastFailure))/float64(config.FailureWindow)
	if freshness <= 0 {
		return 0
	}
	fraction := min(1, float64(u.consecutiveFailures)/float64(config.ConsecutiveFailures))
	if calls := u.calls[0] + u.calls[1]; calls >= config.FailureMinCalls {
		fraction = max(fraction, float64(u.failed[0]+u.failed[1])/float64(calls))
	}
	return fraction * min(1, freshness)
}

func (u *upstream) rotateWindow(config *Config, now time.Time) {
	age := now.Sub(u.windowStart)
	if age < config.FailureWindow {
		return
	}
	u.calls[1], u.failed[1] = u.calls[0], u.failed[0]
	if age >= 2*config.FailureWindow {
		u.calls[1], u.failed[1] = 0, 0
	}
	u.calls[0], u.failed[0] = 0, 0
	u.windowStart = now
}

func (u *upstream) recordSignal(load *call.Load, now time.Time) {
	if load == nil || load.Limit == 0 && !load.Draining {
		return
	}
	u.signal = *load
	u.signalAt = now
	u.signalInFlight = u.inFlight
}

// recordOutcome counts an outcome and reports whether the upstream should be ejected.
func (u *upstream) recordOutcome(config *Config, outcome Outcome, now time.Time) bool {
	u.rotateWindow(config, now)
	u.calls[0]++
	if outcome != Failed && outcome != Unreachable {
		u.consecutiveFailures = 0
		return false
	}
	u.failed[0]++
	u.consecutiveFailures++
	u.lastFailure = now
	if outcome == Unreachable {
		u.consecutiveFailures = max(u.consecutiveFailures, config.ConsecutiveFailures)
	}
	calls, failed := u.calls[0]+u.calls[1], u.failed[0]+u.failed[1]
	tooMany := calls >= config.FailureMinCalls && float64(failed) >= config.FailureRatio*float64(calls)
	return u.consecutiveFailures >= config.ConsecutiveFailures || tooMany
}

func (u *upstream) eject(config *Config, now time.Time) {
	doublings := min(u.ejections, maxDoublings)
	u.state = Ejected
	u.ejections++
	u.ejectedUntil = now.Add(min(config.MaxEjectionTime, config.EjectionTime<<doublings))
}

// restore returns the upstream to service and clears its failure history.
func (u *upstream) restore() {
	u.state = Healthy
	u.ejections = 0
	u.consecutiveFailures = 0
	u.lastFailure = time.Time{}
	u.calls, u.failed = [2]int{}, [2]int{}
}

// probeDue reports whether one request may probe the upstream.
func (u *upstream) probeDue(config *Config, now time.Time) bool {
	switch u.state {
	case Ejected:
		return !now.Before(u.ejectedUntil)
	case Probing:
		return now.Sub(u.probeStartedAt) >= config.ProbeTimeout
	}
	return false
}
