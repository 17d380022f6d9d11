package ratelimit

import "time"

// Take reports whether a request of the workspace is admitted. For a refused request it also returns the time
// until the next token. Unknown workspaces are not limited.
func (s *Shares) Take(workspace string, now time.Time) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil {
		return true, 0
	}
	b.arrivals++
	b.refused++
	return s.admit(b, now)
}

// Retake is like Take, for a request that Take has refused and that is waiting for a loan. It does not count
// as new demand.
func (s *Shares) Retake(workspace string, now time.Time) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil {
		return true, 0
	}
	return s.admit(b, now)
}

// TakeRepeat reports whether an admitted request may be sent to an upstream once more although an earlier send may have
// run. It takes a token, because operators count each send that runs against the rate. It takes no borrowed one, as a
// loan is for requests that have not been sent yet.
func (s *Shares) TakeRepeat(workspace string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil || b.quota.Rate <= 0 {
		return true
	}
	b.refill(now)
	if b.tokens < 1 {
		b.repeatsRefused++
		return false
	}
	b.tokens--
	b.repeats++
	return true
}

// admit takes a token for a request that is already counted as refused, and moves it to the admitted count.
func (s *Shares) admit(b *shareBucket, now time.Time) (bool, time.Duration) {
	b.refill(now)
	if b.quota.Rate <= 0 || b.spend(now) {
		b.admitted++
		b.refused--
		return true, 0
	}
	rate := b.quota.Rate * b.share
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// spend takes one token, from the borrowed tokens first.
func (b *shareBucket) spend(now time.Time) bool {
	borrowed := b.borrowed.total(now)
	if borrowed+b.tokens < 1 {
		return false
	}
	b.borrowed.spend(min(1, borrowed), now)
	b.tokens -= max(0, 1-borrowed)
	return true
}

// keepExpired moves borrowed tokens that were not used in time to this node's own, within the capacity of its bucket: the
// lender has given them and keeps no room for them any more. Parts of tokens that do not add up to one in time would
// otherwise be lost, with a rate of 30/s at 12 nodes a tenth of it.
func (b *shareBucket) keepExpired(now time.Time) {
	expired := b.borrowed.expire(now)
	b.expired += expired
	b.tokens += expired
}

// refill adds the tokens for the time since the last refill. The capacity is the share of the burst less the lent tokens
// that have not expired.
func (b *shareBucket) refill(now time.Time) {
	b.keepExpired(now)
	b.tokens = min(b.tokens, max(0, float64(b.quota.Burst)*b.share-b.lent.total(b.refilledAt)))
	// Callers read the clock before they acquire the lock, so times may be out of order.
	for b.refilledAt.Before(now) {
		until := b.lent.nextExpiry(b.refilledAt, now)
		capacity := max(0, float64(b.quota.Burst)*b.share-b.lent.total(b.refilledAt))
		b.tokens = min(capacity, b.tokens+b.quota.Rate*b.share*until.Sub(b.refilledAt).Seconds())
		b.refilledAt = until
	}
	b.tokens = max(0, min(b.tokens, float64(b.quota.Burst)*b.share-b.lent.total(b.refilledAt)))
}

// updateDemand updates the demand estimate from the arrivals since the last update.
func (b *shareBucket) updateDemand(config *SharesConfig, now time.Time) {
	elapsed := now.Sub(b.demandAt).Seconds()
	if elapsed < minDemandInterval.Seconds() {
		return
	}
	rate := b.arrivals / elapsed
	b.demand += (rate - b.demand) * elapsed / (elapsed + config.DemandTimeConstant.Seconds())
	b.arrivals = 0
	b.demandAt = now
}

// minDemandInterval is the shortest interval over which the arrival rate is computed.
const minDemandInterval = 100 * time.Millisecond
