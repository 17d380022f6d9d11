package ratelimit

import "time"

// ShardStatus is the state of a shard for metrics and operators.
type ShardStatus struct {
	Shard ShardID
	Term  uint64
	// Ends is the end of the term on the owner's clock, or zero without a term.
	Ends time.Time
	// Waiting means that the term has started but the shard does not grant tokens yet.
	Waiting     bool
	Workspaces  int
	Free        float64
	Outstanding int
}

// Status returns the state at now, summed over workspaces.
func (s *Shard) Status(now time.Time) ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.advance(now)
	status := ShardStatus{Shard: s.id, Term: s.term, Waiting: s.phase == phaseWaiting, Workspaces: len(s.buckets)}
	if s.phase == phaseNone {
		return status
	}
	status.Ends = s.endsAt
	for _, b := range s.buckets {
		b.advance(now)
		status.Free += b.free
		status.Outstanding += b.outstanding
	}
	return status
}

// CacheStatus is the state of a node's cache for metrics.
type CacheStatus struct {
	Held    int
	Waiting int
	// Unreachable counts shards in backoff because they failed or had no current term.
	Unreachable int
}

// Status returns the state at now, summed over workspaces.
func (c *Cache) Status(now time.Time) CacheStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var status CacheStatus
	for _, a := range c.accountList {
		a.mu.Lock()
		status.Held += a.held(now)
		a.mu.Unlock()
		status.Waiting += int(a.waiters.Load())
	}
	for _, l := range c.links {
		if l.blockedUntil.After(now) {
			status.Unreachable++
		}
	}
	return status
}
