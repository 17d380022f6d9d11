package ratelimit

import "time"

// maxSpans limits the spans of dropped refill that a bucket remembers. Discarding one only loses tokens.
const maxSpans = 16

// nodeKey identifies one incarnation of a node.
type nodeKey struct {
	node        string
	incarnation uint64
}

// grantKey identifies a grant to one incarnation of a node.
type grantKey struct {
	workspace string
	sequence  uint64
}

type grant struct {
	key     grantKey
	node    *nodeState
	bucket  *bucket
	tokens  int
	spent   int
	expires time.Time
	done    bool
}

// span is a period in which refill was dropped because the bucket appeared to be full.
type span struct {
	from, to time.Time
}

// bucket is the token bucket of one workspace at a shard. Its level is free + outstanding.
type bucket struct {
	quota Quota
	free  float64
	// outstanding counts granted tokens that have not been reported as spent or returned.
	outstanding int
	// refilledAt is the time up to which refill is accounted for, whether added or dropped.
	refilledAt time.Time
	dropped    []span
	// grants is ordered by expiry, because all grants have the same lifetime.
	grants         []*grant
	contendedUntil time.Time
	// ignoreOutstanding excludes granted tokens from the level. Tests use it to show that the bound
	// depends on counting them.
	ignoreOutstanding bool
}

func (b *bucket) headroom() float64 {
	outstanding := b.outstanding
	if b.ignoreOutstanding {
		outstanding = 0
	}
	return max(0, float64(b.quota.Burst)-b.free-float64(outstanding))
}

// advance applies grant expiry and refill up to now, in chronological order.
func (b *bucket) advance(now time.Time) {
	for len(b.grants) > 0 {
		g := b.grants[0]
		if !g.done && g.expires.After(now) {
			break
		}
		if !g.done {
			b.refill(g.expires)
			b.finish(g)
		}
		b.grants[0] = nil
		b.grants = b.grants[1:]
	}
	b.refill(now)
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if b.quota.Rate <= 0 {
		return
	}
	gain := b.quota.Rate * elapsed.Seconds()
	headroom := b.headroom()
	b.free += min(gain, headroom)
	if gain > headroom {
		lostTime := time.Duration((gain - headroom) / b.quota.Rate * float64(time.Second))
		b.recordDropped(span{from: now.Add(-min(lostTime, elapsed)), to: now})
	}
}

func (b *bucket) recordDropped(s span) {
	last := len(b.dropped) - 1
	if last >= 0 && !b.dropped[last].to.Before(s.from) {
		b.dropped[last].to = s.to
		return
	}
	b.dropped = append(b.dropped, s)
	if len(b.dropped) > maxSpans {
		b.dropped = append(b.dropped[:0], b.dropped[1:]...)
	}
}

// restoreRefill adds up to limit tokens of the refill that was dropped after since.
func (b *bucket) restoreRefill(since time.Time, limit float64) {
	kept := b.dropped[:0:0]
	for _, s := range b.dropped {
		from := s.from
		if from.Before(since) {
			from = since
		}
		usable := s.to.Sub(from).Seconds() * b.quota.Rate
		amount := min(limit, usable, b.headroom())
		if amount <= 0 {
			kept = append(kept, s)
			continue
		}
		b.free += amount
		limit -= amount
		usedTime := time.Duration(amount / b.quota.Rate * float64(time.Second))
		kept = append(kept, unusedSpans(s, from, usedTime)...)
	}
	b.dropped = kept[max(0, len(kept)-maxSpans):]
}

// unusedSpans returns the parts of s that remain after a period of length used, starting at from, is removed.
func unusedSpans(s span, from time.Time, used time.Duration) []span {
	var unused []span
	if s.from.Before(from) {
		unused = append(unused, span{from: s.from, to: from})
	}
	// The extra millisecond covers rounding, so that no refill is restored twice.
	next := from.Add(used + time.Millisecond)
	if next.Before(s.to) {
		unused = append(unused, span{from: next, to: s.to})
	}
	return unused
}

// spend records that n more tokens of g were spent, the last of them at the given time or earlier.
func (b *bucket) spend(g *grant, n int, at time.Time) {
	g.spent += n
	b.outstanding -= n
	b.restoreRefill(at, float64(n))
	if g.spent == g.tokens {
		b.finish(g)
	}
}

// returnUnspent ends g and adds its unspent tokens to the free ones.
func (b *bucket) returnUnspent(g *grant) {
	n := g.tokens - g.spent
	b.finish(g)
	b.free += min(float64(n), b.headroom())
}

// finish ends g and counts its remaining tokens as spent.
func (b *bucket) finish(g *grant) {
	g.done = true
	b.outstanding -= g.tokens - g.spent
	delete(g.node.grants, g.key)
}

// configure changes the quota. Tokens in excess of a smaller burst are discarded.
func (b *bucket) configure(quota Quota) {
	if b.quota == quota {
		return
	}
	b.quota = quota
	b.dropped = nil
	b.free = min(b.free, max(0, float64(quota.Burst)-float64(b.outstanding)))
}
