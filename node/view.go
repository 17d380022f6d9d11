package node

import (
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// discoveryPeriod is how long after its start a node treats discovered upstreams as not new.
const discoveryPeriod = 5 * time.Second

// candidate identifies a node to which calls for its upstream can be sent.
type candidate struct {
	name        string
	address     string
	incarnation uint64
}

func candidateOf(m *member.Member) candidate {
	return candidate{m.GetName(), m.GetPeerAddress(), m.GetIncarnation()}
}

// available reports whether calls may be sent to a member. A suspect may still respond.
func available(m *member.Member) bool {
	return m.GetState() == membershipv1.State_STATE_ALIVE || m.GetState() == membershipv1.State_STATE_SUSPECT
}

// view holds what requests need from the member list: candidates for the picker and the owners of quota
// shards. It is rebuilt in batches, because a join changes thousands of members at once.
type view struct {
	node       *Node
	membership *membership
	started    time.Time

	mu        sync.Mutex
	dirty     bool            // a member has changed since the last publish
	services  map[string]bool // with candidates in the picker
	owners    map[ratelimit.ShardID]shardOwnership
	firstSeen map[upstreamKey]time.Time
	// available lists all serving upstreams of each service, not only the subset that the picker uses.
	available map[string][]candidate
}

type shardOwnership struct {
	candidate
	term uint64
}

type upstreamKey struct {
	balance.ID
	service string
}

func newView(n *Node, m *membership) *view {
	return &view{
		node:       n,
		membership: m,
		started:    n.now(),
		services:   map[string]bool{},
		owners:     map[ratelimit.ShardID]shardOwnership{},
		firstSeen:  map[upstreamKey]time.Time{},
	}
}

// markDirty makes the next publish rebuild the view.
func (v *view) markDirty() {
	v.mu.Lock()
	v.dirty = true
	v.mu.Unlock()
}

// publish rebuilds the view if anything changed.
func (v *view) publish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.dirty {
		return
	}
	v.dirty = false
	byService := map[string][]balance.Candidate{}
	owners := map[ratelimit.ShardID]shardOwnership{}
	firstSeen := make(map[upstreamKey]time.Time, len(v.firstSeen))
	v.available = map[string][]candidate{}
	for _, m := range v.membership.records() {
		collectShards(owners, m)
		if !available(m) || m.GetDraining() {
			continue
		}
		for _, u := range m.GetUpstreams() {
			if u.GetDraining() {
				continue
			}
			c := v.candidate(m, u, firstSeen)
			byService[u.GetService()] = append(byService[u.GetService()], c)
			v.available[u.GetService()] = append(v.available[u.GetService()], candidateOf(m))
		}
	}
	v.owners, v.firstSeen = owners, firstSeen
	v.setCandidates(byService)
}

func (v *view) setCandidates(byService map[string][]balance.Candidate) {
	for service := range v.services {
		if len(byService[service]) == 0 {
			v.node.picker.SetCandidates(service, nil)
			delete(v.services, service)
		}
	}
	for service, candidates := range byService {
		v.node.picker.SetCandidates(service, candidates)
		v.services[service] = true
	}
}

func (v *view) candidate(m *member.Member, u *membershipv1.Upstream, firstSeen map[upstreamKey]time.Time) balance.Candidate {
	id := balance.ID{Node: m.GetName(), Incarnation: m.GetIncarnation()}
	key := upstreamKey{ID: id, service: u.GetService()}
	seen, ok := v.firstSeen[key]
	if !ok && v.node.now().Sub(v.started) > discoveryPeriod {
		seen = v.node.now()
	}
	firstSeen[key] = seen
	return balance.Candidate{
		ID:            id,
		Address:       m.GetPeerAddress(),
		FailureDomain: m.GetFailureDomain(),
		Region:        m.GetRegion(),
		Slots:         int(u.GetSlots()),
		WarmUp:        time.Duration(u.GetWarmUpMs()) * time.Millisecond,
		FirstSeen:     seen,
	}
}

func collectShards(owners map[ratelimit.ShardID]shardOwnership, m *member.Member) {
	for _, s := range m.GetShards() {
		id := ratelimit.ShardID{Domain: m.GetFailureDomain(), Number: int(s.GetNumber())}
		if s.GetTerm() > owners[id].term {
			owners[id] = shardOwnership{candidateOf(m), s.GetTerm()}
		}
	}
}

// shardOwner returns the member with the highest term of a quota shard.
func (v *view) shardOwner(id ratelimit.ShardID) (candidate, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	owner, ok := v.owners[id]
	return owner.candidate, ok
}

// candidates returns all available upstreams of a service, for the baseline policy and for updates that
// each of them must get.
func (v *view) candidates(service string) []candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.available[service]
}

// records returns the records of all members, including this node.
func (m *membership) records() []*member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(m.machine.Members(), m.machine.Self())
}
