package balance

import "time"

// A cold upstream sustains a known rate from all nodes together. Its node paces the calls, so what is sent beyond the
// rate only waits there and is refused. A picker does not know what the others send: it keeps its own calls within the
// rate, and counts the time between two starts as latency, which leaves the cold upstream to the calls that no warm one
// would serve sooner.

// coldBurst is the number of calls that a node sends to a cold upstream at once after a pause.
const coldBurst = 4

func (u *latencyUpstream) isCold(now time.Time) bool {
	return u.ColdRate > 0 && now.Before(u.ColdUntil)
}

// mayTakeCold reports whether this node may send a call to the upstream now, as far as its coldness matters.
func (u *latencyUpstream) mayTakeCold(now time.Time) bool {
	if !u.isCold(now) {
		return true
	}
	elapsed := now.Sub(u.coldTokensAt).Seconds()
	u.coldTokens = min(coldBurst, u.coldTokens+max(0, elapsed)*u.ColdRate)
	u.coldTokensAt = now
	return u.coldTokens >= 1
}

// takeColdToken records that a call is sent to the upstream.
func (u *latencyUpstream) takeColdToken(now time.Time) {
	if u.isCold(now) {
		u.coldTokens--
	}
}
