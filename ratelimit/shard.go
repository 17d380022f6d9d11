package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// contendedDuration is how long a workspace is considered contended after a need could not be met.
const contendedDuration = 2 * time.Second

// ShardConfig configures a shard. GrantLifetime and MaxClockDrift must be the same on all nodes.
type ShardConfig struct {
	// GrantLifetime is how long a node may use a grant, counted from before its request. A new owner
	// waits as long before it grants tokens.
	GrantLifetime time.Duration
	// MaxClockDrift is the largest rate error of any clock relative to true time, as a fraction.
	MaxClockDrift float64
	// MaxPrefetchFraction is the fraction of the free tokens that one request may prefetch.
	MaxPrefetchFraction float64
}

// DefaultShardConfig returns the default configuration of a shard.
func DefaultShardConfig() ShardConfig {
	return ShardConfig{GrantLifetime: 5 * time.Second, MaxClockDrift: 0.01, MaxPrefetchFraction: 0.25}
}

// holdTime returns how long the owner counts a grant as outstanding. The drifts of a slow clock at the
// node and of a fast clock at the owner add up; a third MaxClockDrift covers their product.
func (c ShardConfig) holdTime() time.Duration {
	return time.Duration(float64(c.GrantLifetime) * (1 + 3*c.MaxClockDrift))
}

type phase uint8

const (
	phaseNone phase = iota
	// phaseWaiting lasts until the grants of the previous term have expired, or until Import.
	phaseWaiting
	phaseOpen
)

type nodeState struct {
	lastSequence uint64
	response     Response
	// pending holds grants whose acceptance the node has not confirmed yet.
	pending  []*grant
	grants   map[grantKey]*grant
	lastSeen time.Time
}

// Shard is a quota shard at a node that may own it. It is safe for concurrent use.
type Shard struct {
	mu     sync.Mutex
	id     ShardID
	config ShardConfig
	phase  phase
	term   uint64
	// endsAt and opensAt are times on the owner's clock.
	endsAt  time.Time
	opensAt time.Time
	buckets map[string]*bucket
	nodes   map[nodeKey]*nodeState
	// latest never decreases, so that a clock that steps back cannot extend a term.
	latest  time.Time
	sweptAt time.Time
	// ignoreOutstanding and skipWait disable parts of the mechanism for tests.
	ignoreOutstanding bool
	skipWait          bool
}

// NewShard returns a shard without a term.
func NewShard(id ShardID, config ShardConfig) *Shard {
	return &Shard{id: id, config: config, buckets: map[string]*bucket{}, nodes: map[nodeKey]*nodeState{}}
}

// Begin starts a term under a lease that was requested at asked and known to be held at acquired. The
// term must be one more than that of the previous owner. Levels start at 0, and no tokens are granted
// for one grant lifetime unless Import follows.
func (s *Shard) Begin(asked, acquired time.Time, lease time.Duration, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = term
	s.phase = phaseWaiting
	s.endsAt = s.leaseEnd(asked, lease)
	s.opensAt = acquired.Add(s.config.holdTime())
	if s.skipWait {
		s.opensAt = acquired
	}
	s.nodes = map[nodeKey]*nodeState{}
	for name, b := range s.buckets {
		s.buckets[name] = &bucket{quota: b.quota, refilledAt: s.opensAt, ignoreOutstanding: s.ignoreOutstanding}
	}
}

// Renew extends the term after the platform has renewed the lease in a call that started at asked.
func (s *Shard) Renew(asked time.Time, lease time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := s.leaseEnd(asked, lease); s.phase != phaseNone && end.After(s.endsAt) {
		s.endsAt = end
	}
}

func (s *Shard) leaseEnd(asked time.Time, lease time.Duration) time.Time {
	return asked.Add(time.Duration(float64(lease) * (1 - s.config.MaxClockDrift)))
}

// End ends the term, for example because the lease was lost.
func (s *Shard) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phaseNone
}

// Term returns the current term and its end, and whether there is one at now.
func (s *Shard) Term(now time.Time) (uint64, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.term, s.endsAt, s.phase != phaseNone
}

// Configure sets the shard's part of a workspace's quota. The zero Quota removes the workspace. A new
// workspace starts at level 0.
func (s *Shard) Configure(now time.Time, workspace string, part Quota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.advance(now)
	b, known := s.buckets[workspace]
	if !known {
		if part == (Quota{}) {
			return
		}
		b = s.newBucket(workspace, now)
	}
	b.advance(now)
	b.configure(part)
}

// newBucket adds a bucket, which is not refilled before the term opens. The bucket of a removed
// workspace stays until its grants have expired, so they are counted if the workspace is added again.
func (s *Shard) newBucket(workspace string, now time.Time) *bucket {
	b := &bucket{refilledAt: now, ignoreOutstanding: s.ignoreOutstanding}
	if s.phase != phaseOpen && s.opensAt.After(now) {
		b.refilledAt = s.opensAt
	}
	s.buckets[workspace] = b
	return b
}

// Grant handles a request. A duplicate of the last request gets the same response again; an older
// request is rejected with StatusStale. The reports of both are applied.
func (s *Shard) Grant(now time.Time, request Request) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.advance(now)
	switch {
	case s.phase == phaseNone || request.Shard != s.id:
		return Response{Status: StatusNotOwner, Sequence: request.Sequence}
	case s.phase == phaseWaiting:
		return Response{Status: StatusWaiting, Sequence: request.Sequence, RetryAfter: s.opensAt.Sub(now)}
	}
	s.sweep(now)
	node := s.node(nodeKey{request.Node, request.Incarnation})
	node.lastSeen = now
	for _, report := range request.Reports {
		s.report(now, node, report)
	}
	switch {
	case request.Sequence < node.lastSequence:
		return Response{Status: StatusStale, Sequence: request.Sequence}
	case request.Sequence == node.lastSequence:
		return node.response
	}
	node.reclaim(now, request)
	node.lastSequence = request.Sequence
	node.response = Response{Sequence: request.Sequence}
	for _, ask := range request.Asks {
		node.response.Grants = append(node.response.Grants, s.grant(now, node, request.Sequence, ask))
	}
	return node.response
}

// advance moves the shard's clock and phase to now and returns the shard's time. Because every grant
// checks the term here, an owner that was paused past the end of its lease grants nothing.
func (s *Shard) advance(now time.Time) time.Time {
	if now.After(s.latest) {
		s.latest = now
	}
	if s.phase != phaseNone && !s.latest.Before(s.endsAt) {
		s.phase = phaseNone
	}
	if s.phase == phaseWaiting && !s.latest.Before(s.opensAt) {
		s.phase = phaseOpen
	}
	return s.latest
}

func (s *Shard) node(key nodeKey) *nodeState {
	node, known := s.nodes[key]
	if !known {
		node = &nodeState{grants: map[grantKey]*grant{}}
		s.nodes[key] = node
	}
	return node
}

func (s *Shard) report(now time.Time, node *nodeState, report Report) {
	g, known := node.grants[grantKey{report.Workspace, report.Sequence}]
	if !known {
		return
	}
	g.bucket.advance(now)
	if g.done {
		return
	}
	if n := min(report.Spent, g.tokens) - g.spent; n > 0 {
		// A fast clock at the node or a slow one here must not make the tokens appear spent too early.
		age := time.Duration(float64(max(0, report.Age)) * (1 - 3*s.config.MaxClockDrift))
		g.bucket.spend(g, n, now.Add(-age))
	}
	if report.Closed && !g.done {
		g.bucket.returnUnspent(g)
	}
}

// reclaim returns the tokens of grants whose responses the node has abandoned.
func (node *nodeState) reclaim(now time.Time, request Request) {
	for _, g := range node.pending {
		if g.key.sequence <= request.Accepted || g.done {
			continue
		}
		g.bucket.advance(now)
		if !g.done {
			g.bucket.returnUnspent(g)
		}
	}
	node.pending = nil
}

func (s *Shard) grant(now time.Time, node *nodeState, sequence uint64, ask Ask) Grant {
	b, known := s.buckets[ask.Workspace]
	if !known {
		return Grant{Workspace: ask.Workspace}
	}
	b.advance(now)
	// Compensates for rounding errors: 0.1 tokens added ten times are slightly less than one.
	const rounding = 1e-9
	need := max(0, ask.Need)
	tokens := min(need, int(b.free+rounding))
	if tokens < need {
		b.contendedUntil = now.Add(contendedDuration)
	}
	tokens += min(max(0, ask.Prefetch), int((b.free-float64(tokens))*s.config.MaxPrefetchFraction))
	key := grantKey{ask.Workspace, sequence}
	if _, duplicate := node.grants[key]; duplicate {
		tokens = 0
	}
	if tokens > 0 {
		g := &grant{key: key, node: node, bucket: b, tokens: tokens, expires: now.Add(s.config.holdTime())}
		s.addGrant(g)
		node.pending = append(node.pending, g)
		b.free = max(0, b.free-float64(tokens))
	}
	return Grant{Workspace: ask.Workspace, Tokens: tokens, Free: b.free, Contended: b.contendedUntil.After(now)}
}

func (s *Shard) addGrant(g *grant) {
	g.node.grants[g.key] = g
	g.bucket.grants = append(g.bucket.grants, g)
	g.bucket.outstanding += g.tokens - g.spent
}

// sweep removes inactive nodes without grants, and removed workspaces without outstanding tokens. If an
// old request of a removed node arrives again, it is granted tokens that nobody uses, which is safe.
func (s *Shard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < s.config.GrantLifetime {
		return
	}
	s.sweptAt = now
	for _, b := range s.buckets {
		b.advance(now)
	}
	maps.DeleteFunc(s.nodes, func(_ nodeKey, node *nodeState) bool {
		return len(node.grants) == 0 && now.Sub(node.lastSeen) > 2*s.config.GrantLifetime
	})
	maps.DeleteFunc(s.buckets, func(_ string, b *bucket) bool {
		return b.quota == (Quota{}) && b.outstanding == 0
	})
}

// Export ends an open term and returns its state for the next owner. It returns false if no term is
// open. No tokens are granted afterwards.
func (s *Shard) Export(now time.Time) (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.advance(now)
	if s.phase != phaseOpen {
		return State{}, false
	}
	state := State{Shard: s.id, Term: s.term}
	for name, b := range s.buckets {
		b.advance(now)
		state.Workspaces = append(state.Workspaces, WorkspaceState{Workspace: name, Free: b.free})
	}
	slices.SortFunc(state.Workspaces, func(x, y WorkspaceState) int { return cmp.Compare(x.Workspace, y.Workspace) })
	for i := range state.Workspaces {
		s.exportGrants(now, &state.Workspaces[i])
	}
	s.phase = phaseNone
	return state, true
}

func (s *Shard) exportGrants(now time.Time, w *WorkspaceState) {
	for key, node := range s.nodes {
		for _, g := range node.grants {
			if g.key.workspace == w.Workspace {
				w.Outstanding = append(w.Outstanding, OutstandingGrant{
					Node: key.node, Incarnation: key.incarnation, Sequence: g.key.sequence,
					Tokens: g.tokens, Spent: g.spent, Remaining: g.expires.Sub(now),
				})
			}
		}
	}
	slices.SortFunc(w.Outstanding, func(x, y OutstandingGrant) int {
		return cmp.Or(cmp.Compare(x.Remaining, y.Remaining), cmp.Compare(x.Node, y.Node),
			cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Sequence, y.Sequence))
	})
}

// Import applies the state of the immediately preceding term and opens the current term at once. It
// returns false and changes nothing if the state is of another term or the term is already open, so a
// duplicate or late state is never applied.
func (s *Shard) Import(now time.Time, state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.advance(now)
	if s.phase != phaseWaiting || state.Shard != s.id || state.Term+1 != s.term {
		return false
	}
	for _, w := range state.Workspaces {
		b, known := s.buckets[w.Workspace]
		if !known {
			b = s.newBucket(w.Workspace, now)
		}
		for _, o := range w.Outstanding {
			node := s.node(nodeKey{o.Node, o.Incarnation})
			node.lastSeen = now
			// The transit time of the message extends the time for which the grant is outstanding.
			s.addGrant(&grant{
				key: grantKey{w.Workspace, o.Sequence}, node: node, bucket: b,
				tokens: o.Tokens, spent: o.Spent, expires: now.Add(min(o.Remaining, s.config.holdTime())),
			})
		}
		b.free = max(0, min(w.Free, float64(b.quota.Burst)-float64(b.outstanding)))
	}
	for _, b := range s.buckets {
		b.refilledAt = now
	}
	s.phase = phaseOpen
	return true
}
