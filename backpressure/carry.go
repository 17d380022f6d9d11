package backpressure

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Carry derives from the refusals of an upstream itself the ranks of calls that the retry budget can carry.
//
// It answers an upstream that refuses half of all calls while it has free slots, together with the others of its service.
// A request of which eight calls reach it then succeeds only if the refused calls are sent again until they run, and the
// retry budget suffices for a part of the requests. The node beside the upstream knows the ratio of refusals, and the
// calls by rank that came before, so it can tell which part. Nodes where requests enter refuse the others before any
// work is done for them. Refusals within the budget are no overload: retries hide them.
//
// The requests that enter nodes refuse are missing here, so the calls by rank are remembered while there is a limit. The
// budget follows the requests of the window before; see retry.RepeatLimiter.
//
// Carry has no clock and is safe for concurrent use.
type Carry struct {
	mu sync.Mutex
	// answered and refused are decayed counts of calls, updated is when they were last decayed.
	answered, refused float64
	updated           time.Time
	// live is the decayed number of answered calls by rank; held is its largest value lately.
	live, held [carryBuckets]float64
	// history counts the answered calls by second, and those refused while there was no limit.
	history      [carryHistory]float64
	second, from int64
	// limit is the lowest rank that is not carried, as of adjusted.
	limit    float64
	adjusted time.Time
}

const (
	// carryStep is the time between two updates of the limit.
	carryStep = 50 * time.Millisecond
	// ratioMemory is the time constant of the ratio of refusals.
	ratioMemory = 400 * time.Millisecond
	// minCarrySample is the number of calls within the memory below which the ratio says nothing.
	minCarrySample = 30
	// maxRefusals bounds the ratio for which retries are planned.
	maxRefusals = 0.98
	// liveMemory is the time constant of the calls by rank, heldMemory that of what is remembered without a limit. The
	// latter covers a pause between refusals.
	liveMemory = 2 * time.Second
	heldMemory = 5 * time.Second
	// carryBuckets divide the ranks in the histogram.
	carryBuckets     = 144
	carryBucketRanks = call.RankLimit / carryBuckets
	// carryHistory covers two windows of the retry budget of 10 s and the current second.
	carryHistory = 21
	baseAge      = 10
	// carryRise is the number of ranks a second by which the limit rises while there are refusals, calmRise when these
	// have ended.
	carryRise = float64(call.RanksPerStep)
	calmRise  = float64(call.RankLimit)
	// maxCarryRise bounds the time for which the limit rises at once after a pause.
	maxCarryRise = 200 * time.Millisecond
	// minCarry is the least limit: some requests must show when the refusals end.
	minCarry = float64(call.RanksPerStep) / 16
)

// NewCarry returns a Carry without a limit.
func NewCarry() *Carry { return &Carry{limit: float64(call.RankLimit)} }

// Record counts a call that the upstream has run, or has refused without running it.
func (c *Carry) Record(rank call.Rank, refused bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if refused {
		c.refused++
		if c.limited() {
			return
		}
	} else {
		c.answered++
	}
	c.history[c.second%carryHistory]++
	bucket := min(rank, call.RankLimit-1) / carryBucketRanks
	c.live[bucket]++
	c.held[bucket] = max(c.held[bucket], c.live[bucket])
}

func (c *Carry) limited() bool { return c.limit < float64(call.RankLimit) }

// advance ages the counts.
func (c *Carry) advance(now time.Time) {
	second := now.Unix()
	if c.updated.IsZero() {
		c.updated, c.second, c.from = now, second, second
	}
	if second-c.second >= carryHistory {
		c.from = second
	}
	for skipped := 0; c.second < second && skipped < carryHistory; skipped++ {
		c.second++
		c.history[c.second%carryHistory] = 0
	}
	c.second = max(c.second, second)
	elapsed := now.Sub(c.updated)
	if elapsed < carryStep {
		return
	}
	c.updated = now
	ratio := math.Exp(-elapsed.Seconds() / ratioMemory.Seconds())
	c.answered *= ratio
	c.refused *= ratio
	live, held := math.Exp(-elapsed.Seconds()/liveMemory.Seconds()), math.Exp(-elapsed.Seconds()/heldMemory.Seconds())
	if c.limited() {
		held = 1
	}
	for i := range c.live {
		c.live[i] *= live
		c.held[i] = max(c.held[i]*held, c.live[i])
	}
}

// base returns the calls per second on which the retry budget is based, and false before there are any.
func (c *Carry) base() (float64, bool) {
	total, seconds := 0.0, 0
	for age := int64(carryHistory - 1); age > 0; age-- {
		if c.second-age < c.from || age <= baseAge && seconds >= baseAge/2 {
			continue
		}
		total += c.history[(c.second-age+carryHistory)%carryHistory]
		seconds++
	}
	return total / float64(max(1, seconds)), seconds > 0
}

// Limit returns the lowest rank whose calls cannot be carried with budget repeats for each request, or 0 if all can.
func (c *Carry) Limit(budget float64, now time.Time) call.Rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if elapsed := now.Sub(c.adjusted); elapsed >= carryStep {
		c.adjusted = now
		c.adjust(budget, min(elapsed, maxCarryRise))
	}
	if !c.limited() {
		return 0
	}
	return call.Rank(c.limit)
}

func (c *Carry) adjust(budget float64, elapsed time.Duration) {
	next, rise := float64(call.RankLimit), calmRise
	if calls := c.answered + c.refused; calls >= minCarrySample {
		ratio := min(maxRefusals, c.refused/calls)
		perCall := ratio / (1 - ratio) // geometric: each repeat is refused as often as the first send
		if base, known := c.base(); known && perCall > budget {
			next, rise = max(minCarry, c.rankBelow(budget*base/perCall)), carryRise
		}
	}
	c.limit = min(next, c.limit+rise*elapsed.Seconds())
}

// rankBelow returns the rank below which a number of calls per second lie.
func (c *Carry) rankBelow(perSecond float64) float64 {
	left := perSecond * liveMemory.Seconds()
	for i, n := range c.held {
		if left <= n {
			return (float64(i) + left/max(1, n)) * float64(carryBucketRanks)
		}
		left -= n
	}
	return float64(call.RankLimit)
}
