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
	b.refill(s.usableShare(b), now)
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
	share := s.usableShare(b)
	b.refill(share, now)
	if b.quota.Rate <= 0 || b.spend(now) {
		b.admitted++
		b.refused--
		return true, 0
	}
	rate := b.quota.Rate * share
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// usableShare returns the share that this node may currently use.
func (s *Shares) usableShare(b *shareBucket) float64 {
	switch {
	case s.joined:
		return b.share
	case !s.membersKnown:
		return 0
	}
	return s.evenShare(b, s.self.Name) * unjoinedFraction
}

// spend takes one token, from the borrowed tokens first.
func (b *shareBucket) spend(now time.Time) bool {
	b.expireBorrowed(now)
	if b.borrowed+b.tokens < 1 {
		return false
	}
	ownTokens := max(0, 1-b.borrowed)
	b.borrowed = max(0, b.borrowed-1)
	b.tokens -= ownTokens
	return true
}

// expireBorrowed drops borrowed tokens that were not used in time.
func (b *shareBucket) expireBorrowed(now time.Time) {
	if now.After(b.borrowedUntil) {
		b.expired += b.borrowed
		b.borrowed = 0
	}
}

// refill adds the tokens for the time since the last refill.
func (b *shareBucket) refill(share float64, now time.Time) {
	// Callers read the clock before they acquire the lock, so times may be out of order.
	elapsed := max(0, now.Sub(b.refilledAt))
	b.refilledAt = b.refilledAt.Add(elapsed)
	b.tokens = min(float64(b.quota.Burst)*share, b.tokens+b.quota.Rate*share*elapsed.Seconds())
}

// inheritedBurstFraction is the fraction of its burst that a restarted node starts with. The previous process
// may have used all of it just before.
const inheritedBurstFraction = 0.5

// unjoinedFraction is the fraction of an even share that a holder may use before it knows its share.
const unjoinedFraction = 0.5

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
