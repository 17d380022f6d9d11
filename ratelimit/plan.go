package ratelimit

import (
	"slices"
	"time"
)

// planRetry is the delay before the next Plan when something could not be sent yet.
const planRetry = 5 * time.Millisecond

// Plan returns the requests to send now, at most one per shard, and when to call it again.
func (c *Cache) Plan(now time.Time) ([]Request, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := now.Add(c.config.ScanInterval)
	for _, a := range c.dueAccounts(now) {
		a.queued.Store(false)
		if wait := c.planAccount(now, a); wait < never {
			c.requeue(a)
			next = earlier(next, now.Add(max(wait, time.Millisecond)))
		}
	}
	var requests []Request
	for _, l := range c.links {
		if l.inFlight || l.blockedUntil.After(now) || (len(l.asks) == 0 && !l.reportDue) {
			continue
		}
		requests = append(requests, c.startRequest(now, l))
	}
	return requests, next
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// dueAccounts returns the accounts to examine: all accounts at each scan, otherwise those that changed.
func (c *Cache) dueAccounts(now time.Time) []*account {
	interval := now.Sub(c.lastScan)
	if interval < c.config.ScanInterval {
		accounts := c.dirty
		c.dirty = nil
		return accounts
	}
	first := c.lastScan.IsZero()
	c.lastScan = now
	c.dirty = nil
	for _, a := range c.accountList {
		a.mu.Lock()
		if !first {
			a.updateDemand(interval)
		}
		a.mu.Unlock()
	}
	return slices.Clone(c.accountList)
}

// planAccount adds the account's asks and due reports to the next requests. It returns the time until
// the account must be examined again, or never if the next scan suffices.
func (c *Cache) planAccount(now time.Time, a *account) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return never
	}
	now = a.monotonic(now)
	for _, h := range a.prune(now) {
		delete(c.links[h.shard].grants, h)
	}
	wait := never
	if !c.stopped {
		wait = c.planAsk(now, a)
		a.closeExcess(now, c.maxHeld(now, a))
	}
	return min(wait, c.planReports(now, a))
}

func (c *Cache) planAsk(now time.Time, a *account) time.Duration {
	held := a.held(now)
	target := a.prefetchTarget(c.config.PrefetchHorizon)
	need := int(a.waiters.Load()) - held - a.askedNeed
	if need > 0 {
		return c.askNeed(now, a, need, target)
	}
	missing := target - held - a.askedPrefetch
	if 2*missing <= target || now.Before(a.prefetchAt) {
		return never
	}
	if i, _ := c.chooseShard(now, a); i >= 0 {
		a.prefetchAt = now.Add(prefetchPause)
		c.addAsk(a, i, 0, missing)
	}
	return never
}

// askNeed divides the need among shards by their estimated free tokens.
func (c *Cache) askNeed(now time.Time, a *account, need, target int) time.Duration {
	for need > 0 {
		i, wait := c.chooseShard(now, a)
		if i < 0 {
			return wait
		}
		n := min(need, max(1, int(a.estimateFree(now, i))))
		c.addAsk(a, i, n, max(0, target-a.askedPrefetch))
		need -= n
	}
	return never
}

func (c *Cache) addAsk(a *account, i, need, prefetch int) {
	a.askedNeed += need
	a.askedPrefetch += prefetch
	c.links[i].asks = append(c.links[i].asks, sentAsk{account: a, need: need, prefetch: prefetch})
}

// chooseShard returns the shard to ask, or -1 and the time until one may be asked. It prefers fuller
// shards, because a full one loses its refill, and shards in the local failure domain.
func (c *Cache) chooseShard(now time.Time, a *account) (int, time.Duration) {
	best, bestScore, wait := -1, 0.0, never
	for i, l := range c.links {
		if a.parts[i].Burst == 0 {
			continue
		}
		asked := slices.ContainsFunc(l.asks, func(s sentAsk) bool { return s.account == a })
		if l.inFlight || asked {
			wait = min(wait, planRetry)
			continue
		}
		free := a.estimateFree(now, i)
		retryAt := a.views[i].retryAt
		if l.blockedUntil.After(now) || (free < 1 && retryAt.After(now)) {
			wait = min(wait, max(l.blockedUntil.Sub(now), retryAt.Sub(now)))
			continue
		}
		score := free/float64(a.parts[i].Burst) + c.tieBreak(a, i)
		if l.local {
			score += localDomainBonus
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best, wait
}

// maxHeld returns the number of tokens that the account may keep.
func (c *Cache) maxHeld(now time.Time, a *account) int {
	waiting := int(a.waiters.Load())
	idle := now.Sub(a.lastTake)
	switch {
	case a.scarce(now) && idle > c.config.ScanInterval:
		return waiting
	case a.scarce(now):
		return waiting + a.prefetchTarget(c.config.PrefetchHorizon)
	case idle > c.config.IdleTimeout:
		return waiting
	}
	return waiting + 2*a.prefetchTarget(c.config.PrefetchHorizon) + 1
}

func (c *Cache) planReports(now time.Time, a *account) time.Duration {
	wait := never
	for _, h := range a.grants {
		if !h.unreported() {
			continue
		}
		delayed := h.spent > h.ackSpent && now.Sub(h.firstSpent) >= c.config.ReportDelay
		if !delayed && !a.scarce(now) && !h.closed {
			continue
		}
		l := c.links[h.shard]
		if l.inFlight || l.blockedUntil.After(now) {
			wait = min(wait, max(planRetry, l.blockedUntil.Sub(now)))
			continue
		}
		l.reportDue = true
	}
	return wait
}

// startRequest returns the next request to a shard and marks it as outstanding. The request carries the
// pending reports of all workspaces.
func (c *Cache) startRequest(now time.Time, l *shardLink) Request {
	l.sequence++
	l.inFlight, l.reportDue, l.requestedAt = true, false, now
	request := Request{
		Node: c.config.Node, Incarnation: c.config.Incarnation,
		Shard: l.id, Sequence: l.sequence, Accepted: l.accepted,
	}
	for _, ask := range l.asks {
		request.Asks = append(request.Asks, Ask{Workspace: ask.account.name, Need: ask.need, Prefetch: ask.prefetch})
	}
	for h := range l.grants {
		h.account.mu.Lock()
		if h.unreported() {
			request.Reports = append(request.Reports, h.report(now))
			l.reports = append(l.reports, sentReport{grant: h, spent: h.spent, closed: h.closed})
		}
		h.account.mu.Unlock()
	}
	slices.SortFunc(request.Reports, compareReports)
	return request
}
