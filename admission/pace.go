package admission

import (
	"math"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Pace spaces the starts of calls while an upstream cannot take as many as its slots allow, as after its start. Queue
// calls it with the lock of its Gate held.
type Pace interface {
	// Interval returns the time between two starts, or 0 while starts are not paced.
	Interval(now time.Time) time.Duration
	// MayStart reports whether a call may start now, and Start records that one does.
	MayStart(now time.Time) bool
	Start(now time.Time)
}

// Control of the ranks that a paced queue serves. The capacity of a paced upstream is known, so the limit follows from the
// calls that arrive and need not be found step by step. A warm-up takes a few seconds, less than the search of
// LevelConfig takes to follow a fall of the capacity to a third.
const (
	// paceWindow is the time over which arriving calls are counted: several calls at the slowest useful pace.
	paceWindow = 250 * time.Millisecond
	// demandTime is how fast the estimate of arriving calls follows them, shedDemandTime how fast it forgets calls of
	// ranks that are shed, which entry nodes then keep away.
	demandTime     = 500 * time.Millisecond
	shedDemandTime = 5 * time.Second
	// paceQueue is the number of queued calls above which the limit leaves a part of the pace to drain the queue:
	// paceDrain of it.
	paceQueue = 4
	paceDrain = 0.25
	// gainStep is the change of the limit per window while the queue is empty or long. The calls that entry nodes keep
	// away are only estimated, and each of these nodes applies the mean limit of several upstreams.
	gainStep         = 0.1
	minGain, maxGain = 0.5, 2
)

// paceLevel derives the limit by rank of a paced queue.
type paceLevel struct {
	// interval is the time between two starts, 0 while starts are not paced.
	interval time.Duration
	// beganAt is when the pace began. For a window after it no rank is shed: most signs of a restart turn out to be none.
	beganAt time.Time
	// arrived counts the calls by rank since windowStart, rates estimates their number per second.
	arrived     [levelBuckets]int
	rates       [levelBuckets]float64
	windowStart time.Time
	known       bool
	// gain corrects the number of calls that are admitted for a start.
	gain float64
}

func (p *paceLevel) arrive(item *Item) { p.arrived[item.levelBucket()]++ }

// due reports whether the window has ended.
func (p *paceLevel) due(now time.Time) bool { return now.Sub(p.windowStart) >= paceWindow }

// adjust ends a window and returns the rank from which calls are shed: that below which as many calls arrive as can
// start. shedFrom is the rank at present.
func (p *paceLevel) adjust(now time.Time, queued int, shedFrom, floor call.Rank) call.Rank {
	p.estimate(now, shedFrom)
	if p.interval <= 0 {
		return call.RankLimit
	}
	capacity := 1 / p.interval.Seconds()
	switch {
	case queued > paceQueue:
		p.gain = max(minGain, p.gain-gainStep)
		capacity *= 1 - paceDrain
	case queued == 0:
		p.gain = min(maxGain, p.gain+gainStep)
	}
	capacity *= p.gain
	for i, rate := range p.rates {
		if capacity < rate {
			return max(floor, call.Rank((float64(i)+capacity/rate)*float64(levelBucketRanks)))
		}
		capacity -= rate
	}
	return call.RankLimit
}

// estimate updates the rates with the calls of the window that ends.
func (p *paceLevel) estimate(now time.Time, shedFrom call.Rank) {
	elapsed := now.Sub(p.windowStart).Seconds()
	if !p.known || elapsed > shedDemandTime.Seconds() {
		elapsed = max(paceWindow.Seconds(), min(elapsed, shedDemandTime.Seconds()))
	}
	weight, shedWeight := 1-math.Exp(-elapsed/demandTime.Seconds()), 1-math.Exp(-elapsed/shedDemandTime.Seconds())
	for i, count := range p.arrived {
		rate, w := float64(count)/elapsed, weight
		if shed := call.Rank(i+1)*levelBucketRanks > shedFrom; shed && rate < p.rates[i] {
			w = shedWeight
		}
		if !p.known {
			w = 1
		}
		p.rates[i] += (rate - p.rates[i]) * w
	}
	p.known, p.windowStart = true, now
	clear(p.arrived[:])
}

// observePace follows the begin and the end of the pace and adjusts the limit by rank meanwhile. It reports whether
// starts are paced.
func (q *Queue) observePace(now time.Time) bool {
	if q.cfg.Pace == nil {
		return false
	}
	interval := q.cfg.Pace.Interval(now)
	began, ended := interval > 0 && q.pace.interval == 0, interval == 0 && q.pace.interval > 0
	q.pace.interval = interval
	if began {
		q.pace.gain, q.pace.beganAt = 1, now
	}
	switch {
	case ended:
		// The full rate is back at once: the limit was that of the pace, not of the upstream.
		q.level = level{cfg: q.cfg.Level, shedFrom: call.RankLimit, windowStart: now, loadAt: now, lastCall: q.level.lastCall}
	case q.pace.due(now):
		shedFrom := q.pace.adjust(now, q.queued, q.level.shedFrom, q.cfg.Level.Floor)
		if interval > 0 && q.cfg.Level.Window > 0 && now.Sub(q.pace.beganAt) >= paceWindow {
			q.level.shedFrom = shedFrom
		}
	}
	return interval > 0
}

// mayStart reports whether the pace allows a start now.
func (q *Queue) mayStart(now time.Time) bool { return q.cfg.Pace == nil || q.cfg.Pace.MayStart(now) }

// pacedLimit returns the number of calls in flight that the pace sustains, or limit while starts are not paced. Callers
// that balance by calls in flight then send no more than that.
func (q *Queue) pacedLimit(limit int) int {
	if q.pace.interval <= 0 {
		return limit
	}
	sustained := int(math.Ceil(q.meanService / q.pace.interval.Seconds()))
	return max(1, min(limit, sustained))
}
