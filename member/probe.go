package member

import (
	"slices"
	"time"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// startProbeRound probes one random member and some members with unverified claims from syncs.
func (m *Machine) startProbeRound(now time.Time) {
	for _, target := range sample(m.random, m.table.live, 1, nil) {
		m.startProbe(now, target, nil)
	}
	for verified := 0; verified < maxVerificationsPerRound && len(m.verifications) > 0; {
		v := m.verifications[0]
		m.verifications = m.verifications[1:]
		r := m.table.byName[v.name]
		if r == nil || !isAlive(r) || !newer(v.claim, r.Member) {
			continue
		}
		m.startProbe(now, r, v.claim)
		verified++
	}
}

// startProbe probes the member and sends it the claim about it, if there is one.
func (m *Machine) startProbe(now time.Time, target *record, claim *Member) {
	p := &probe{
		target:      target,
		incarnation: target.Incarnation,
		indirectAt:  now.Add(m.config.ProbeTimeout),
		deadline:    now.Add(m.config.ProbeInterval),
	}
	packet := m.registerProbe(p)
	if claim != nil {
		packet.Updates = append(packet.Updates, claim)
	}
	m.send(now, target, packet)
}

// registerProbe assigns a sequence number to the probe and returns its packet.
func (m *Machine) registerProbe(p *probe) *Packet {
	m.sequence++
	m.probes[m.sequence] = p
	m.probeOrder = append(m.probeOrder, m.sequence)
	return &Packet{Kind: membershipv1.Kind_KIND_PROBE, Sequence: m.sequence, Target: p.target.Name}
}

// tickProbes sends indirect probes for members that did not acknowledge, and suspects them at the deadline.
func (m *Machine) tickProbes(now time.Time) {
	pending := m.probeOrder[:0]
	for _, sequence := range m.probeOrder {
		p := m.probes[sequence]
		if p == nil {
			continue
		}
		if !now.Before(p.deadline) {
			delete(m.probes, sequence)
			if p.requester == "" {
				m.suspect(now, p)
			}
			continue
		}
		if !p.indirectSent && p.requester == "" && !now.Before(p.indirectAt) {
			p.indirectSent = true
			m.sendIndirectProbes(now, sequence, p.target)
		}
		pending = append(pending, sequence)
	}
	m.probeOrder = pending
}

func (m *Machine) sendIndirectProbes(now time.Time, sequence uint64, target *record) {
	usable := func(r *record) bool { return isAlive(r) && r != target }
	for _, helper := range sample(m.random, m.table.live, m.config.IndirectProbes, usable) {
		m.send(now, helper, &Packet{Kind: membershipv1.Kind_KIND_PING_REQ, Sequence: sequence, Target: target.Name})
	}
}

// suspect marks the target of a failed probe and notifies it, so that it can refute at once.
func (m *Machine) suspect(now time.Time, p *probe) {
	r := m.table.byName[p.target.Name]
	if r == nil || !isAlive(r) || r.Incarnation != p.incarnation {
		return
	}
	m.claimState(now, r, membershipv1.State_STATE_SUSPECT)
	m.send(now, r, &Packet{Kind: membershipv1.Kind_KIND_PUSH})
}

// expireSuspects declares suspects dead that did not refute in time. Halfway through, each node probes the
// suspect itself, because the node that raised the suspicion may be unable to reach it.
func (m *Machine) expireSuspects(now time.Time) {
	if m.table.suspects == 0 {
		return
	}
	var expired []*record
	for _, r := range m.table.live {
		if r.State != membershipv1.State_STATE_SUSPECT {
			continue
		}
		age := now.Sub(r.stateSince)
		if age >= m.config.Suspicion {
			expired = append(expired, r)
		} else if age >= m.config.Suspicion/2 && !r.verified {
			r.verified = true
			m.startProbe(now, r, nil)
		}
	}
	for _, r := range expired {
		m.claimState(now, r, membershipv1.State_STATE_DEAD)
	}
}

// claimState changes the state of a member at its current version.
func (m *Machine) claimState(now time.Time, r *record, state membershipv1.State) {
	m.updateRecord(now, r, withState(r.Member, state), now.Sub(m.lastContact) >= isolationTimeout)
}

// isolationTimeout is the time without contact after which a node considers itself isolated. A node
// of a cluster receives several packets per second.
const isolationTimeout = 1500 * time.Millisecond

// HandleMessage handles a packet from the address. The caller has verified its signature. Malformed packets
// have no effect.
func (m *Machine) HandleMessage(now time.Time, from string, packet *Packet) Output {
	m.beginInput(now)
	if packet == nil || !validName(packet.Sender) || packet.Sender == m.self.Name || packet.SenderIncarnation == 0 {
		return m.endInput()
	}
	m.endIsolation(now)
	accused, refuted := false, false
	for _, u := range packet.Updates {
		if valid(u) {
			accused = accused || u.Name == m.self.Name && u.State != membershipv1.State_STATE_ALIVE
			refuted = m.merge(now, u) || refuted
		}
	}
	if refuted {
		m.push(now) // the refutation must overtake the suspicion
	}
	sender := m.table.byName[packet.Sender]
	if accused && sender != nil {
		m.send(now, sender, &Packet{Kind: membershipv1.Kind_KIND_PUSH, Updates: []*Member{m.self.Member}})
	}
	if sender == nil || sender.Incarnation < packet.SenderIncarnation {
		m.syncUnknown(now, from)
	}
	if sender != nil && sender.Incarnation > packet.SenderIncarnation {
		return m.endInput() // sent by a replaced process
	}
	m.handleKind(now, from, sender, packet)
	if packet.Piggyback != nil && sender != nil {
		m.out.Events = append(m.out.Events,
			Event{Kind: PiggybackReceived, Member: sender.Member, Piggyback: packet.Piggyback})
	}
	if n := len(packet.Withdrawn); n > 0 {
		m.out.Events = append(m.out.Events, Event{Kind: WithdrawalsReceived, Withdrawn: packet.Withdrawn})
	}
	return m.endInput()
}

func (m *Machine) handleKind(now time.Time, from string, sender *record, packet *Packet) {
	switch packet.Kind {
	case membershipv1.Kind_KIND_PROBE:
		if packet.Target != m.self.Name {
			return // meant for an earlier process at this address
		}
		to := sender
		if to == nil {
			to = &record{Member: &Member{PeerAddress: from, State: membershipv1.State_STATE_ALIVE}}
		}
		m.send(now, to, &Packet{Kind: membershipv1.Kind_KIND_ACK, Sequence: packet.Sequence, Target: m.self.Name})
	case membershipv1.Kind_KIND_PING_REQ:
		target := m.table.byName[packet.Target]
		if target == nil || sender == nil || len(m.probes) > maxMembers {
			return
		}
		p := &probe{target: target, deadline: now.Add(m.config.ProbeInterval), requester: sender.Name, requestSequence: packet.Sequence}
		m.send(now, target, m.registerProbe(p))
	case membershipv1.Kind_KIND_ACK:
		m.handleAck(now, packet)
	}
}

func (m *Machine) handleAck(now time.Time, packet *Packet) {
	p := m.probes[packet.Sequence]
	if p == nil || p.target.Name != packet.Target {
		return
	}
	delete(m.probes, packet.Sequence)
	if requester := m.table.byName[p.requester]; requester != nil {
		m.send(now, requester, &Packet{Kind: membershipv1.Kind_KIND_ACK, Sequence: p.requestSequence, Target: packet.Target})
	}
}

// endIsolation records contact and reverts the claims that this node made while isolated, because it was the
// partitioned one. Dead members are detected again by probes.
func (m *Machine) endIsolation(now time.Time) {
	isolated := now.Sub(m.lastContact) >= isolationTimeout
	m.lastContact = now
	if !isolated {
		return
	}
	m.resetSyncBackoff(now)
	var isolatedClaims []*record
	for _, list := range [][]*record{m.table.live, m.table.departed} {
		for _, r := range list {
			if r.isolatedClaim {
				isolatedClaims = append(isolatedClaims, r)
			} else if r.State == membershipv1.State_STATE_SUSPECT {
				r.restartState(now)
			}
		}
	}
	for _, r := range isolatedClaims {
		m.updateRecord(now, r, withState(r.Member, membershipv1.State_STATE_ALIVE), false)
		r.queued.sent = m.retransmitLimit()
	}
	m.queue = slices.DeleteFunc(m.queue, func(u *update) bool { return u.dequeue(u.sent >= m.retransmitLimit()) })
}
