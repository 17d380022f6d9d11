package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBurst is the largest burst of which a node prefetches nothing. The node also returns tokens
	// that it does not need and reports each spent token immediately. A single cached token would be too
	// large a fraction of such a burst.
	smallBurst = 32
	// maxPrefetchFraction is the fraction of the burst that one node may prefetch.
	maxPrefetchFraction = 1.0 / smallBurst
	// demandDecay is the weight of earlier scans in the moving average of demand.
	demandDecay = 0.6
	// localDomainBonus is the amount by which a shard must be fuller, as a fraction of its burst, to be
	// chosen over one in the local failure domain. A higher bonus leaves remote shards full, which loses
	// their refill.
	localDomainBonus = 0.05
	// prefetchPause is the minimum time between requests that only prefetch. Without it, a node would
	// retry immediately and continuously while an owner is short of tokens.
	prefetchPause = 50 * time.Millisecond
	emptyRetryMin = 5 * time.Millisecond
	emptyRetryMax = 320 * time.Millisecond
	never         = time.Duration(1<<63 - 1)
)

// heldGrant is a grant as tracked by the node that received it.
type heldGrant struct {
	account   *account
	shard     int
	sequence  uint64
	remaining int
	spent     int
	closed    bool
	expires   time.Time
	// firstSpent is when the oldest unreported token was spent.
	firstSpent time.Time
	lastSpent  time.Time
	// ackSpent and ackClosed are the values of spent and closed that the owner has acknowledged.
	ackSpent  int
	ackClosed bool
}

func (h *heldGrant) usable(now time.Time) bool {
	return h.remaining > 0 && !h.closed && now.Before(h.expires)
}

func (h *heldGrant) unreported() bool {
	return h.spent > h.ackSpent || h.closed && !h.ackClosed
}

func (h *heldGrant) report(now time.Time) Report {
	report := Report{Workspace: h.account.name, Sequence: h.sequence, Spent: h.spent, Closed: h.closed}
	if h.spent > 0 {
		report.Age = max(0, now.Sub(h.lastSpent))
	}
	return report
}

// shardView is the last known state of a workspace at a shard.
type shardView struct {
	known   bool
	free    float64
	at      time.Time
	retryAt time.Time
	backoff time.Duration
}

// account is the state of one workspace at a node.
type account struct {
	name    string
	waiters atomic.Int64
	// queued means that the account is in Cache.dirty.
	queued atomic.Bool

	mu     sync.Mutex
	quota  Quota
	parts  []Quota
	views  []shardView
	grants []*heldGrant
	// latest never decreases, so that a clock that steps back cannot revive an expired token.
	latest         time.Time
	lastTake       time.Time
	takenSinceScan int
	demand         float64
	contendedUntil time.Time
	// askedNeed and askedPrefetch count the tokens in outstanding requests.
	askedNeed     int
	askedPrefetch int
	// prefetchAt is the earliest time of the next prefetch.
	prefetchAt time.Time
	removed    bool
}

func (a *account) monotonic(now time.Time) time.Time {
	if now.After(a.latest) {
		a.latest = now
	}
	return a.latest
}

func (a *account) held(now time.Time) int {
	n := 0
	for _, h := range a.grants {
		if h.usable(now) {
			n += h.remaining
		}
	}
	return n
}

// take spends a token of the usable grant that expires first, and reports whether there was one.
func (a *account) take(now time.Time) bool {
	var best *heldGrant
	for _, h := range a.grants {
		if h.usable(now) && (best == nil || h.expires.Before(best.expires)) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	if best.spent == best.ackSpent {
		best.firstSpent = now
	}
	best.remaining--
	best.spent++
	best.lastSpent = now
	return true
}

// scarce reports whether tokens are so scarce that other nodes may be waiting for this node's reports.
func (a *account) scarce(now time.Time) bool {
	return a.quota.Burst <= smallBurst || now.Before(a.contendedUntil)
}

// prefetchTarget returns the number of tokens to hold in advance.
func (a *account) prefetchTarget(horizon time.Duration) int {
	if a.quota.Burst <= smallBurst {
		return 0
	}
	wanted := a.demand*horizon.Seconds() + 0.9
	return int(min(wanted, float64(a.quota.Burst)*maxPrefetchFraction))
}

// updateDemand updates the demand estimate with the takes of the last interval.
func (a *account) updateDemand(interval time.Duration) {
	if interval > 0 {
		a.demand = a.demand*demandDecay + (1-demandDecay)*float64(a.takenSinceScan)/interval.Seconds()
	}
	a.takenSinceScan = 0
}

// prune removes and returns grants that have expired, or that are used up or closed and fully reported.
func (a *account) prune(now time.Time) (removed []*heldGrant) {
	kept := a.grants[:0]
	for _, h := range a.grants {
		finished := (h.remaining == 0 || h.closed) && !h.unreported()
		if finished || !now.Before(h.expires) {
			removed = append(removed, h)
			continue
		}
		kept = append(kept, h)
	}
	clear(a.grants[len(kept):])
	a.grants = kept
	return removed
}

// closeExcess closes whole grants as long as at least keep tokens remain.
func (a *account) closeExcess(now time.Time, keep int) {
	excess := a.held(now) - keep
	for _, h := range a.grants {
		if h.usable(now) && h.remaining <= excess {
			excess -= h.remaining
			h.closed = true
		}
	}
}

// estimateFree estimates the number of free tokens at shard i.
func (a *account) estimateFree(now time.Time, i int) float64 {
	v := &a.views[i]
	full := float64(a.parts[i].Burst)
	if !v.known {
		return full
	}
	return min(full, v.free+a.parts[i].Rate*now.Sub(v.at).Seconds())
}

// recordGrant updates the view of shard i from a grant in response to a request for need tokens.
func (a *account) recordGrant(now time.Time, i int, need int, g Grant) {
	v := &a.views[i]
	v.known, v.free, v.at = true, g.Free, now
	if g.Contended {
		a.contendedUntil = now.Add(contendedDuration)
	}
	if g.Tokens >= need {
		v.backoff, v.retryAt = 0, now
		return
	}
	if g.Tokens > 0 {
		v.backoff = 0
	}
	v.backoff = min(max(emptyRetryMin, 2*v.backoff), emptyRetryMax)
	v.retryAt = now.Add(v.backoff)
}
