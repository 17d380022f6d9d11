package ratelimit

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CacheConfig holds the identity and timing of a node's cache.
type CacheConfig struct {
	Node        string
	Incarnation uint64
	// Domain is the local failure domain, whose shards are preferred.
	Domain string
	// GrantLifetime is how long a grant may be used, counted from before the request was sent.
	GrantLifetime time.Duration
	// PrefetchHorizon is the period of demand that prefetched tokens cover. A longer period leaves more
	// tokens idle.
	PrefetchHorizon time.Duration
	// ReportDelay is how long the report of a spent token may wait to be sent with another message.
	ReportDelay time.Duration
	// IdleTimeout is how long unused tokens are kept after the last demand.
	IdleTimeout time.Duration
	// ScanInterval is how often all workspaces are examined, at less than a microsecond each.
	ScanInterval time.Duration
	// BackoffMin and BackoffMax bound the delay before a shard is asked again after a failure.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// DefaultCacheConfig returns the default configuration of a node's cache.
func DefaultCacheConfig(node string, incarnation uint64, domain string) CacheConfig {
	return CacheConfig{
		Node: node, Incarnation: incarnation, Domain: domain,
		GrantLifetime:   5 * time.Second,
		PrefetchHorizon: 250 * time.Millisecond,
		ReportDelay:     500 * time.Millisecond,
		IdleTimeout:     time.Second,
		ScanInterval:    250 * time.Millisecond,
		BackoffMin:      50 * time.Millisecond,
		BackoffMax:      2 * time.Second,
	}
}

type sentAsk struct {
	account  *account
	need     int
	prefetch int
}

type sentReport struct {
	grant  *heldGrant
	spent  int
	closed bool
}

// shardLink is the state of a node's requests to one shard.
type shardLink struct {
	id       ShardID
	local    bool
	sequence uint64
	accepted uint64
	inFlight bool
	// requestedAt is when the outstanding request was made. The lifetime of its grants starts then.
	requestedAt  time.Time
	asks         []sentAsk
	reports      []sentReport
	blockedUntil time.Time
	backoff      time.Duration
	grants       map[*heldGrant]struct{}
	reportDue    bool
}

// Cache holds the prepaid tokens of a node. It is safe for concurrent use. TryTake locks only the
// workspace that it takes from.
//
// The caller sends the requests that Plan returns, and passes each response to HandleResponse or the
// failure to HandleFailure. It must call Plan after each of these, when TryTake requests it, and at the
// time that Plan returned.
type Cache struct {
	config   CacheConfig
	accounts sync.Map

	mu          sync.Mutex
	allotment   *Allotment
	links       []*shardLink
	accountList []*account
	dirty       []*account
	lastScan    time.Time
	stopped     bool
}

// NewCache returns a cache without workspaces.
func NewCache(config CacheConfig, allotment *Allotment) *Cache {
	c := &Cache{config: config, allotment: allotment}
	for _, id := range allotment.Shards() {
		c.links = append(c.links, &shardLink{id: id, local: id.Domain == config.Domain, grants: map[*heldGrant]struct{}{}})
	}
	return c
}

// Configure sets the quota of a workspace. The zero Quota removes the workspace and its tokens.
func (c *Cache) Configure(workspace string, quota Quota) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value, known := c.accounts.Load(workspace)
	if quota == (Quota{}) {
		if known {
			c.remove(value.(*account))
		}
		return
	}
	if !known {
		a := &account{name: workspace, views: make([]shardView, len(c.links))}
		c.accountList = append(c.accountList, a)
		c.accounts.Store(workspace, a)
		value = a
	}
	a := value.(*account)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota = quota
	a.parts = c.allotment.Divide(workspace, quota)
}

func (c *Cache) remove(a *account) {
	c.accounts.Delete(a.name)
	c.accountList = slices.DeleteFunc(c.accountList, func(other *account) bool { return other == a })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removed = true
	for _, h := range a.grants {
		delete(c.links[h.shard].grants, h)
	}
	a.grants = nil
}

func (c *Cache) account(workspace string) *account {
	value, known := c.accounts.Load(workspace)
	if !known {
		return nil
	}
	return value.(*account)
}

// TryTake spends one token of the workspace and reports whether the node had one. If plan is true, the
// caller should call Plan soon.
func (c *Cache) TryTake(now time.Time, workspace string) (taken, plan bool) {
	a := c.account(workspace)
	if a == nil {
		return false, false
	}
	a.mu.Lock()
	now = a.monotonic(now)
	a.takenSinceScan++
	a.lastTake = now
	taken = a.take(now)
	low := a.held(now)+a.askedPrefetch < (a.prefetchTarget(c.config.PrefetchHorizon)+1)/2
	plan = !taken || low || a.scarce(now)
	a.mu.Unlock()
	return taken, plan && c.queue(a)
}

// Retake is like TryTake, for a request that is waiting because TryTake found no token. It does not
// count as new demand.
func (c *Cache) Retake(now time.Time, workspace string) bool {
	a := c.account(workspace)
	if a == nil {
		return false
	}
	a.mu.Lock()
	now = a.monotonic(now)
	a.lastTake = now
	taken := a.take(now)
	a.mu.Unlock()
	c.queue(a)
	return taken
}

// AddWaiter records that a request is waiting for a token. The caller must call RemoveWaiter later.
func (c *Cache) AddWaiter(workspace string) {
	if a := c.account(workspace); a != nil {
		a.waiters.Add(1)
		c.queue(a)
	}
}

// RemoveWaiter records that a request is no longer waiting.
func (c *Cache) RemoveWaiter(workspace string) {
	if a := c.account(workspace); a != nil {
		a.waiters.Add(-1)
		c.queue(a)
	}
}

// queue schedules the account for the next Plan. It returns false if it was already scheduled.
func (c *Cache) queue(a *account) bool {
	if a.queued.Load() || !a.queued.CompareAndSwap(false, true) {
		return false
	}
	c.mu.Lock()
	c.dirty = append(c.dirty, a)
	c.mu.Unlock()
	return true
}

// Stop closes all grants before a planned stop. Plan then returns the requests that return the unspent
// tokens.
func (c *Cache) Stop(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, a := range c.accountList {
		a.mu.Lock()
		a.closeExcess(a.monotonic(now), 0)
		a.mu.Unlock()
	}
	c.lastScan = time.Time{}
}

// HandleResponse applies the response to the outstanding request to a shard and returns the workspaces
// that received tokens. A response to any other request is ignored.
func (c *Cache) HandleResponse(now time.Time, shard ShardID, response Response) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, l := c.link(shard)
	if l == nil || !l.inFlight || response.Sequence != l.sequence {
		return nil
	}
	if response.Status != StatusOK {
		c.failRequest(now, l, response.RetryAfter)
		return nil
	}
	l.inFlight, l.backoff, l.accepted = false, 0, l.sequence
	for _, r := range l.reports {
		r.grant.account.mu.Lock()
		r.grant.ackSpent = max(r.grant.ackSpent, r.spent)
		r.grant.ackClosed = r.grant.ackClosed || r.closed
		r.grant.account.mu.Unlock()
	}
	var replenished []string
	for _, ask := range l.asks {
		if c.acceptGrant(now, i, l, ask, response) {
			replenished = append(replenished, ask.account.name)
		}
	}
	l.asks, l.reports = nil, nil
	return replenished
}

func (c *Cache) acceptGrant(now time.Time, i int, l *shardLink, ask sentAsk, response Response) bool {
	a := ask.account
	n := slices.IndexFunc(response.Grants, func(g Grant) bool { return g.Workspace == a.name })
	a.mu.Lock()
	now = a.monotonic(now)
	a.askedNeed -= ask.need
	a.askedPrefetch -= ask.prefetch
	usable := false
	if n >= 0 {
		g := response.Grants[n]
		a.recordGrant(now, i, ask.need, g)
		h := &heldGrant{
			account: a, shard: i, sequence: l.sequence, remaining: g.Tokens,
			expires: l.requestedAt.Add(c.config.GrantLifetime),
		}
		if h.usable(now) && !a.removed {
			h.closed = c.stopped
			a.grants = append(a.grants, h)
			l.grants[h] = struct{}{}
			usable = true
		}
	}
	a.mu.Unlock()
	c.requeue(a)
	return usable
}

// HandleFailure abandons the outstanding request to a shard. A later response to it is ignored.
func (c *Cache) HandleFailure(now time.Time, shard ShardID, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, l := c.link(shard)
	if l == nil || !l.inFlight || sequence != l.sequence {
		return
	}
	c.failRequest(now, l, 0)
}

func (c *Cache) failRequest(now time.Time, l *shardLink, retryAfter time.Duration) {
	l.inFlight = false
	l.backoff = min(max(c.config.BackoffMin, 2*l.backoff), c.config.BackoffMax)
	l.blockedUntil = now.Add(max(l.backoff, min(retryAfter, c.config.BackoffMax)))
	for _, ask := range l.asks {
		ask.account.mu.Lock()
		ask.account.askedNeed -= ask.need
		ask.account.askedPrefetch -= ask.prefetch
		ask.account.mu.Unlock()
		c.requeue(ask.account)
	}
	l.asks, l.reports = nil, nil
}

func (c *Cache) link(shard ShardID) (int, *shardLink) {
	for i, l := range c.links {
		if l.id == shard {
			return i, l
		}
	}
	return 0, nil
}

// requeue is like queue, for callers that hold c.mu.
func (c *Cache) requeue(a *account) {
	if a.queued.CompareAndSwap(false, true) {
		c.dirty = append(c.dirty, a)
	}
}

// tieBreak returns a small score by which the nodes of a failure domain prefer different shards.
func (c *Cache) tieBreak(a *account, i int) float64 {
	hash := xxhash.Sum64String(c.config.Node + "\x00" + a.name)
	n := uint64(len(c.links))
	return float64((hash+uint64(i)*7)%n) / float64(n) * localDomainBonus / 4
}
