package sidecar

import (
	"maps"
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/ratelimit"
)

// lapsedEntryGrace is how long a node is kept after its entry has lapsed without the node departing.
// Leases may lapse while the store is unavailable, and entries are restored within about two seconds.
const lapsedEntryGrace = 3 * time.Second

// member is the known state of another node.
type member struct {
	Registration
	// earlier is the departure that an earlier process of the node published. The current process may not know it.
	earlier departure
	// listed means that the store holds the node's entry.
	listed bool
	// unlistedSince is when the node's entry ended, or when the node was first seen without one.
	unlistedSince time.Time
	servingSince  time.Time
	// coldUntil is when the upstream becomes warm, as far as the node has told.
	coldUntil time.Time
}

// update applies a registration received from the store (listed) or from the node itself.
func (r *registry) update(reg Registration, listed bool) {
	if reg.Node == "" || reg.Node == r.node.settings().Node {
		return
	}
	now := time.Now()
	r.mu.Lock()
	m := r.members[reg.Node]
	if m == nil {
		m = &member{unlistedSince: now, earlier: r.formerMembers[reg.Node].departure}
		r.members[reg.Node] = m
		r.dirty = true
	}
	if listed {
		m.listed = true
	} else {
		r.listed = true
	}
	if m.Node == "" || reg.newerThan(&m.Registration) {
		if reg.Serving && (!m.Serving || m.Instance != reg.Instance) {
			m.servingSince = now
		}
		m.keepDeparture(&reg)
		m.Registration = reg
		m.coldUntil = now.Add(time.Duration(reg.WarmUpMS) * time.Millisecond)
		r.dirty = true
	}
	r.mu.Unlock()
	r.applyMembership()
}

// keepDeparture keeps the departure that the node published before next, until next shows that the node knows it.
func (m *member) keepDeparture(next *Registration) {
	if d, departed := m.departure(); departed && next.Incarnation != m.Incarnation {
		m.earlier = d
	}
	if _, departed := next.departure(); departed || next.Instance != "" && next.Instance != m.earlier.instance {
		m.earlier = departure{}
	}
}

// lastDeparture returns the last departure that the node has acknowledged, or a zero value.
func (m *member) lastDeparture() departure {
	if d, departed := m.departure(); departed {
		return d
	}
	return m.earlier
}

// formerMember is what is kept of a node that is no longer a member.
type formerMember struct {
	departure departure
	removedAt time.Time
}

// remove removes a member. The departure that it has acknowledged is kept, as the node may start again. The caller must
// hold the lock.
func (r *registry) remove(m *member, now time.Time) {
	if d := m.lastDeparture(); d.instance != "" {
		r.formerMembers[m.Node] = formerMember{d, now}
	}
	delete(r.members, m.Node)
}

// earlierDeparture returns the departure that a node may have acknowledged before it restarted, or a zero value.
func (r *registry) earlierDeparture(node string) departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.earlier
	}
	return departure{}
}

// markUnlisted records that the store no longer holds the entry of a node. A node that announced its
// shutdown is removed immediately.
func (r *registry) markUnlisted(name string) {
	r.mu.Lock()
	m := r.members[name]
	ended, stopping := false, false
	if m != nil {
		ended, stopping = m.listed, m.Stopping
		if ended {
			m.unlistedSince = time.Now()
		}
		m.listed = false
		if stopping {
			r.remove(m, time.Now())
		}
		r.dirty = true
	}
	r.mu.Unlock()
	if ended {
		r.node.log.event("member_unlisted").Str("peer", name).Bool("stopping", stopping).Msg("entry of a node has ended")
	}
	r.applyMembership()
}

// expire removes nodes that have no entry and were not contacted recently. It removes none while the store
// is unavailable.
func (r *registry) expire(storeUnavailable bool) {
	now := time.Now()
	removed := map[string]time.Duration{} // by node, the time without an entry
	r.mu.Lock()
	for name, m := range r.members {
		if m.listed || storeUnavailable || now.Sub(m.unlistedSince) < lapsedEntryGrace {
			continue
		}
		if r.node.gossip.contactedWithin(name, lapsedEntryGrace) {
			continue
		}
		r.remove(m, now)
		removed[name] = now.Sub(m.unlistedSince)
		r.dirty = true
	}
	maps.DeleteFunc(r.formerMembers, func(_ string, former formerMember) bool { return now.Sub(former.removedAt) >= departureLifetime })
	r.mu.Unlock()
	for name, unlisted := range removed {
		r.node.log.event("member_removed").Str("peer", name).Dur("unlisted_for_ms", unlisted).Msg("node has no entry and no contact; removed")
	}
	r.applyMembership()
}

// removalDue returns the time until the first member without an entry and without a contact is to be removed, and false if
// there is none.
func (r *registry) removalDue(now time.Time) (due time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		if m.listed || r.node.gossip.contactedWithin(name, lapsedEntryGrace) {
			continue
		}
		if left := max(0, lapsedEntryGrace-now.Sub(m.unlistedSince)); !ok || left < due {
			due, ok = left, true
		}
	}
	return due, ok
}

// unlisted returns for how many seconds the members that the store does not list have had no entry.
func (r *registry) unlisted(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := map[string]float64{}
	for name, m := range r.members {
		if !m.listed {
			seconds[name] = now.Sub(m.unlistedSince).Seconds()
		}
	}
	return seconds
}

// applyMembership passes membership changes to the picker and the quota shares.
func (r *registry) applyMembership() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty {
		return
	}
	r.dirty = false
	byService := map[string][]balance.Candidate{}
	members := make([]ratelimit.Member, 0, len(r.members))
	for name, m := range r.members {
		members = append(members, ratelimit.Member{Name: name, FailureDomain: m.FailureDomain})
		if m.Serving && !r.node.evacuation.includes(m.FailureDomain) {
			byService[m.Service] = append(byService[m.Service], r.candidate(&m.Registration, m.servingSince, m.coldUntil))
		}
	}
	if r.self.Serving && !r.node.evacuation.includes(r.self.FailureDomain) {
		byService[r.self.Service] = append(byService[r.self.Service], r.candidate(&r.self, time.Time{}, time.Now().Add(time.Duration(r.self.WarmUpMS)*time.Millisecond)))
	}
	for service := range r.services {
		if len(byService[service]) == 0 {
			r.node.picker.SetCandidates(service, nil)
			delete(r.services, service)
		}
	}
	for service, candidates := range byService {
		r.node.picker.SetCandidates(service, candidates)
		r.services[service] = true
	}
	if r.listed {
		r.node.shares.SetMembers(members, r.complete)
	}
}

func newCandidate(r *Registration, since time.Time) balance.Candidate {
	return balance.Candidate{
		ID:            balance.ID{Node: r.Node, Incarnation: r.Incarnation},
		Address:       r.PeerAddress,
		FailureDomain: r.FailureDomain,
		Region:        r.Region,
		Slots:         r.Slots,
		WarmUp:        time.Duration(r.WarmUpMS) * time.Millisecond,
		FirstSeen:     since,
		Stopping:      r.Stopping,
	}
}

// candidate returns what the picker is told of an upstream.
func (r *registry) candidate(reg *Registration, since, coldUntil time.Time) balance.Candidate {
	candidate := newCandidate(reg, since)
	if rate := r.node.configuration.document().Services[reg.Service].WarmUpRate; rate > 0 {
		candidate.WarmUp, candidate.ColdUntil, candidate.ColdRate = 0, coldUntil, rate
	}
	return candidate
}

// minColdChange is the difference in the end of a warm-up below which the picker is not told.
const minColdChange = 250 * time.Millisecond

// setCold records when the upstream of another node becomes warm.
func (r *registry) setCold(node string, until time.Time) {
	now := time.Now()
	r.mu.Lock()
	m := r.members[node]
	if m != nil && (until.After(now) || m.coldUntil.After(now)) && until.Sub(m.coldUntil).Abs() >= minColdChange {
		m.coldUntil, r.dirty = until, true
	}
	r.mu.Unlock()
	r.applyMembership()
}

// refresh passes the members to the picker again, after a change of what the picker is told of them.
func (r *registry) refresh() {
	r.mu.Lock()
	r.dirty = true
	r.mu.Unlock()
	r.applyMembership()
}
