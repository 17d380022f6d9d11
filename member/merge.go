package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// merge applies an update and reports whether it refuted a suspicion.
func (m *Machine) merge(now time.Time, u *Member) bool {
	if u.Name == m.self.Name {
		m.refute(now, u)
		return false
	}
	r := m.table.byName[u.Name]
	if r == nil {
		m.insert(now, u)
		return false
	}
	// A short record of an alive member would set a version without the description that belongs to it.
	if !newer(u, r.Member) || !isFull(u) && u.State == membershipv1.State_STATE_ALIVE {
		return false
	}
	if isFull(u) {
		u = withState(u, u.State)
	} else {
		u = claimOf(r.Member, u)
	}
	// Each node gives a member the full time to refute, so that the claims of a partitioned node cannot
	// remove others at once.
	if u.State == membershipv1.State_STATE_DEAD && r.live() {
		u.State = membershipv1.State_STATE_SUSPECT
		if !newer(u, r.Member) {
			return false
		}
	}
	suspected := r.State == membershipv1.State_STATE_SUSPECT
	m.updateRecord(now, r, u, false)
	return suspected && isAlive(r)
}

// insert adds an unknown member. Short records are ignored because they have no address.
func (m *Machine) insert(now time.Time, u *Member) {
	age := time.Duration(u.GoneMs) * time.Millisecond
	if !isFull(u) || len(m.table.byName) >= maxMembers || (!live(u.State) && age >= m.config.Retention) {
		return
	}
	r := &record{Member: withState(u, u.State), stateSince: now}
	if !r.live() {
		r.stateSince = now.Add(-age)
	}
	m.table.insert(r)
	if r.live() {
		m.enqueue(r)
	}
	m.out.Events = append(m.out.Events, Event{Kind: Changed, Member: r.Member})
}

// updateRecord replaces the record of a member and enqueues it. isolated marks a claim that this node reverts
// at its next contact.
func (m *Machine) updateRecord(now time.Time, r *record, next *Member, isolated bool) {
	m.table.replace(r, next, now)
	r.isolatedClaim = isolated
	m.enqueue(r)
	m.out.Events = append(m.out.Events, Event{Kind: Changed, Member: next})
}

// refute overrides a claim about this node.
func (m *Machine) refute(now time.Time, u *Member) {
	if u.Incarnation < m.self.Incarnation {
		return
	}
	if u.Incarnation > m.self.Incarnation {
		// The clock of an earlier process ran ahead. Its records would take precedence for a day.
		incarnation := u.Incarnation + 1 + m.random.Uint64N(1<<16)
		m.changeSelf(now, func(self *Member) { self.Incarnation = incarnation })
		m.out.Events = append(m.out.Events, Event{Kind: Reincarnated, Incarnation: incarnation})
		return
	}
	if !newer(u, m.self.Member) {
		return
	}
	m.changeSelf(now, func(self *Member) { self.Version = u.Version + 1 })
}

// withState returns a copy with the state for this node's table.
func withState(u *Member, state membershipv1.State) *Member {
	next := proto.CloneOf(u)
	next.State = state
	next.GoneMs = 0
	next.ConfigRevision = 0
	return next
}

// claimOf returns the known record with the state, incarnation and version of the claim.
func claimOf(known, claim *Member) *Member {
	next := withState(known, claim.State)
	next.Incarnation = claim.Incarnation
	next.Version = claim.Version
	return next
}

// removeExpired removes members that died or left longer ago than the retention.
func (m *Machine) removeExpired(now time.Time) {
	for i := len(m.table.departed) - 1; i >= 0; i-- {
		r := m.table.departed[i]
		if now.Sub(r.stateSince) < m.config.Retention {
			continue
		}
		m.table.remove(r)
		if r.queued != nil {
			r.queued.sent = m.retransmitLimit()
		}
	}
}
