package backpressure

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/retry"
)

// Carry derives from the refusals of an upstream itself the ranks of calls that the retry budget can carry.
//
// It answers an upstream that refuses half of all calls while it has free slots, together with the others of its service.
// A request of which eight calls reach it then succeeds only if the refused calls are sent again until they run, and the
// retry budget suffices for a part of the requests. The node beside the upstream knows the ratio of refusals, and the
// calls by rank that came before, so it can tell which part. Nodes where requests enter refuse the others before any
// work is done for them. Refusals within the budget are no overload: retries hide them.
//
// The calls of requests that are refused where they enter are missing here, so the calls by rank are remembered while
// there is a limit, and scaled by the growth at the ranks that are carried. The budget follows the requests of the window
// before; see retry.RepeatLimiter.
//
// Carry has no clock and is safe for concurrent use.
type Carry struct {
	mu sync.Mutex
	// answered and refused are decayed counts of calls, updated is when they were last decayed.
	answered, refused float64
	// streak is the number of calls answered since the last refusal.
	streak  int
	updated time.Time
	// live is the decayed number of calls by rank, each counted once; held follows it while there is no limit.
	live, held [carryBuckets]float64
	// history counts the calls by second, each once, repeats the further arrivals.
	history, repeats [carryHistory]float64
	second, from     int64
	// limit is the lowest rank that is not carried, as of adjusted.
	limit    float64
	adjusted time.Time
}

const (
	// carryStep is the time between two updates of the limit.
	carryStep = 50 * time.Millisecond
	// ratioMemory is the time constant of the ratio of refusals, and fewMemory that while there are fewer calls than
	// fewCalls within it.
	ratioMemory = 250 * time.Millisecond
	fewMemory   = 600 * time.Millisecond
	fewCalls    = 50
	// minCarrySample is the number of calls within the memory below which the ratio says nothing.
	minCarrySample = 15
	// calmStreak is the number of calls answered one after the other that shows that the refusals have ended, while few
	// calls are let in. At a ratio of refusals of one in three, it is reached by chance once in 400 calls.
	calmStreak = 15
	// maxRefusals bounds the ratio for which retries are planned.
	maxRefusals = 0.98
	// liveMemory is the time constant of the calls by rank, heldMemory that of what is remembered. The latter covers a
	// pause between refusals.
	liveMemory = time.Second
	heldMemory = 5 * time.Second
	// maxScale bounds the growth of demand that is derived from the ranks that are carried, of which there must have been
	// minScaleSample calls.
	maxScale       = 2.0
	minScaleSample = 8.0
	// carryBuckets divide the ranks in the histogram.
	carryBuckets     = 144
	carryBucketRanks = call.RankLimit / carryBuckets
	// carryHistory covers two windows of the retry budget of 10 s and the current second.
	carryHistory = 21
	// baseAge is the length of a window in seconds.
	baseAge = 10
	// carryRise is the number of ranks a second by which the limit rises while there are refusals, calmRise when these
	// have ended.
	carryRise = float64(call.RanksPerStep)
	calmRise  = 2 * float64(call.RankLimit)
	// maxCarryRise bounds the time for which the limit rises at once after a pause.
	maxCarryRise = 200 * time.Millisecond
	// carryMargin is the fraction of the budget that is planned. The budgets of the nodes that send the calls are not
	// spent evenly.
	carryMargin = 0.95
	// minCarry is the least limit: some requests must show when the refusals end.
	minCarry = float64(call.RanksPerStep) / 16
)

// NewCarry returns a Carry without a limit.
func NewCarry() *Carry { return &Carry{limit: float64(call.RankLimit)} }

// Record counts a call that the upstream has run, or has refused without running it.
func (c *Carry) Record(sent *call.Context, refused bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if refused {
		c.refused++
		c.streak = 0
	} else {
		c.answered++
		c.streak++
	}
	if c.streak >= calmStreak {
		c.refused = 0
	}
	if !sent.Resent && !sent.Repeated {
		c.history[c.second%carryHistory]++
		c.live[min(sent.Rank(), call.RankLimit-1)/carryBucketRanks]++
	} else {
		c.repeats[c.second%carryHistory]++
	}
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
		c.history[c.second%carryHistory], c.repeats[c.second%carryHistory] = 0, 0
	}
	c.second = max(c.second, second)
	elapsed := now.Sub(c.updated)
	if elapsed < carryStep {
		return
	}
	c.updated = now
	memory := ratioMemory
	if c.answered+c.refused < fewCalls {
		memory = fewMemory
	}
	ratio := math.Exp(-elapsed.Seconds() / memory.Seconds())
	c.answered *= ratio
	c.refused *= ratio
	live, held := math.Exp(-elapsed.Seconds()/liveMemory.Seconds()), math.Exp(-elapsed.Seconds()/heldMemory.Seconds())
	for i := range c.live {
		c.live[i] *= live
		if !c.limited() {
			c.held[i] += (c.live[i] - c.held[i]) * (1 - held)
		}
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

// pace returns the repeats per second that the nodes that send the calls may make, with budget repeats for each of base
// requests per second.
func (c *Carry) pace(budget, base float64) float64 {
	used := 0.0
	for age := range int64(baseAge) {
		used += c.repeats[(c.second-age+carryHistory)%carryHistory]
	}
	return retry.Pace(budget*base*baseAge, used) / baseAge
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
		if base, known := c.base(); known && perCall > budget*retry.PaceFraction {
			next, rise = max(minCarry, c.rankBelow(carryMargin*c.pace(budget, base)/perCall)), carryRise
		}
	}
	c.limit = min(next, c.limit+rise*elapsed.Seconds())
}

// scale returns the growth of demand since the limit holds, from the ranks that are carried. Fewer calls don't show less
// demand: requests that fail halfway make fewer.
func (c *Carry) scale() float64 {
	if !c.limited() {
		return 1
	}
	live, held := 0.0, 0.0
	for i := range int(c.limit) / int(carryBucketRanks) {
		live, held = live+c.live[i], held+c.held[i]
	}
	if held < minScaleSample {
		return 1
	}
	return min(max(live/held, 1), maxScale)
}

// rankBelow returns the rank below which a number of calls per second lie.
func (c *Carry) rankBelow(perSecond float64) float64 {
	left := perSecond * liveMemory.Seconds() / c.scale()
	for i, n := range c.held {
		if left <= n {
			return (float64(i) + left/max(1, n)) * float64(carryBucketRanks)
		}
		left -= n
	}
	return float64(call.RankLimit)
}
