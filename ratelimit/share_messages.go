package ratelimit

import "time"

// ShareEntry is the part of a message that concerns one workspace.
type ShareEntry struct {
	Workspace string
	// Demand is the demand at the sender in requests per second.
	Demand float64
	// Share is the sender's share after the transfer.
	Share float64
	// Transfer is the share that moves from the sender to the receiver.
	Transfer float64
	// ReceiverShare is the receiver's share as last known to the sender. It is set for receivers without shares.
	ReceiverShare float64
	// SnapshotShare is the sender's share in the snapshot of the message's epoch. It is set for the coordinator.
	SnapshotShare float64
	// Scale is the factor that all nodes applied to their shares at the start of the epoch; 0 means none.
	Scale float64
	// Tokens is the number of tokens at the sender.
	Tokens float64
}

// ShareMessage is the message that one node sends to another in an exchange.
type ShareMessage struct {
	// Joined means that the sender holds shares.
	Joined bool
	// HasReceiverShares means that ReceiverShare is set in the entries.
	HasReceiverShares bool
	// Complete means that the sender knows all nodes that may divide the rates without knowing it. It does so itself if
	// no complete node with a lower name is there.
	Complete bool
	// Assigned means that ReceiverShare is what the sender has assigned, as the receiver has never reported a share.
	Assigned bool
	// Epoch is the sender's epoch. SnapshotFinal means that the entries contain the sender's snapshot of this
	// epoch and that it can no longer change.
	Epoch         uint64
	SnapshotFinal bool
	// Workspaces is a digest of the names of all workspaces that the sender knows. Entries leaves out those in
	// which the sender has neither share nor demand, which in a large fleet are most of them.
	Workspaces uint64
	Entries    []ShareEntry
	// Process and Sequence identify the message among those of its sender. A sequence of 0 means that they are unknown.
	Process, Sequence uint64
	// Roster is set while the sender has not joined and is complete.
	Roster Roster
	// RegistrationSurvived means that the registry has listed the sender since before its process started.
	RegistrationSurvived bool
	// ReportedProcess and ReportedSequence identify the message of the receiver that has told the sender what
	// ReceiverShare is.
	ReportedProcess, ReportedSequence uint64
	// SnapshotPartial means that the snapshot does not tell all share that the sender held when the epoch began.
	SnapshotPartial bool
}

// messageID identifies a message among those of its sender.
type messageID struct{ process, sequence uint64 }

func (id messageID) before(other messageID) bool {
	return id.process < other.process || id.process == other.process && id.sequence < other.sequence
}

// minReportedDemand is the demand in requests per second below which a node reports none. It is what remains of
// a single request after a few time constants.
const minReportedDemand = 0.02

// empty reports whether a receiver that assumes zeros knows the same as from the entry.
func (e *ShareEntry) empty() bool {
	return e.Demand < minReportedDemand && e.Share == 0 && e.Transfer == 0 && e.ReceiverShare == 0 && e.SnapshotShare == 0 &&
		e.Scale == 0 && e.Tokens == 0
}

// PrepareMessage returns the message to send to another node. Share that the message transfers is deducted from
// this node's at once.
func (s *Shares) PrepareMessage(to string, now time.Time) ShareMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateHolders()
	s.sequence++
	m := s.members[to]
	message := ShareMessage{
		Joined: s.joined, HasReceiverShares: s.knowsShareOf(m, now), Complete: s.joining.membersKnown, Assigned: m == nil || !m.hasReported,
		Epoch: s.epoch, SnapshotFinal: to == s.coordinator && s.snapshotFinal(now), SnapshotPartial: s.snapshotPartial,
		Workspaces: s.workspacesDigest, Process: s.config.Process, Sequence: s.sequence,
	}
	if m != nil {
		message.ReportedProcess, message.ReportedSequence = m.reported.process, m.reported.sequence
	}
	if !s.joined {
		message.Roster, message.RegistrationSurvived = s.joining.roster, s.joining.registrationSurvived
	}
	transferred := false
	for name, b := range s.workspaces {
		b.updateDemand(&s.config, now)
		b.refill(now)
		entry := ShareEntry{Workspace: name, Demand: b.demand, Tokens: b.tokens, Scale: b.scale}
		if to == s.coordinator {
			entry.SnapshotShare = b.snapshotShare
		}
		if m != nil {
			known, isKnown := s.entryOf(m, name)
			if message.HasReceiverShares {
				entry.ReceiverShare = known.Share
			}
			if isKnown && s.joined && m.joined && !m.unanswered && now.Sub(m.lastContact) < s.reportLifetime() {
				entry.Transfer = min(s.transferAmount(b, to, known), s.transferable(b, now))
				b.share -= entry.Transfer
				if entry.Transfer != 0 {
					transferred = true
					known.Share += entry.Transfer // so that the next message does not transfer it again
					m.entries[name] = known
				}
			}
		}
		if s.joined {
			entry.Share = b.share
			b.recordReport(now, s.contactTimeout())
		} else {
			entry.Tokens = 0 // it lends none
		}
		if !entry.empty() {
			message.Entries = append(message.Entries, entry)
		}
	}
	if transferred {
		m.unanswered = true // an unreachable node loses share once
	}
	return message
}

// entryOf returns the last reported entry of a member, and false if the member may not know the workspace.
func (s *Shares) entryOf(m *memberState, workspace string) (ShareEntry, bool) {
	entry, ok := m.entries[workspace]
	return entry, ok || m.workspaces == s.workspacesDigest
}

// knowsShareOf reports whether this node knows what share a member without shares held before. A node that has
// only just recovered its own share has not exchanged messages with all others yet; it would report a share of
// zero for members whose share another node knows.
func (s *Shares) knowsShareOf(m *memberState, now time.Time) bool {
	if !s.joined || m != nil && m.joined {
		return false
	}
	return m != nil && m.hasReported || now.Sub(s.inheritedAt) >= s.contactTimeout()
}

// transferAmount returns the share to move to another node so that both hold share in proportion to their
// weights.
func (s *Shares) transferAmount(b *shareBucket, name string, other ShareEntry) float64 {
	ownWeight, otherWeight := s.weight(b, s.self.Name, b.demand), s.weight(b, name, other.Demand)
	switch {
	case otherWeight <= 0:
		return 0
	case ownWeight <= 0:
		return float64(float32(b.share)) // as messages carry it
	}
	target := (b.share + other.Share) * ownWeight / (ownWeight + otherWeight)
	// Transfers with all partners of the round are in flight at the same time.
	partners := min(len(s.members), 2*s.config.Fanout)
	amount := (b.share - target) * min(1, 2/float64(partners+1)) * s.config.Damping
	if amount*float64(len(b.holders)) > minTransfer {
		return float64(float32(amount))
	}
	return 0
}

// minTransfer is the smallest transfer, as a fraction of a holder's even share.
const minTransfer = 0.005

// transferable returns the share that may be transferred. The rest covers the lent tokens that have not expired, and is what
// a process that follows this one may use at once (see join.go).
func (s *Shares) transferable(b *shareBucket, now time.Time) float64 {
	kept := max(b.lent.total(now)/float64(max(1, b.quota.Burst)), provisionalFraction*b.highestReport(now, s.contactTimeout()))
	if kept <= 0 {
		return b.share
	}
	return float64(float32(max(0, b.share-kept)))
}

// recordReport records that another node learns the share.
func (b *shareBucket) recordReport(now time.Time, window time.Duration) {
	if now.Sub(b.reportedSince) >= window {
		b.earlierReport, b.highestReported, b.reportedSince = b.highestReport(now, window), 0, now
	}
	b.highestReported = max(b.highestReported, b.share)
}

// highestReport returns the highest share reported within the window, or up to twice as long ago.
func (b *shareBucket) highestReport(now time.Time, window time.Duration) float64 {
	switch age := now.Sub(b.reportedSince); {
	case age < window:
		return max(b.earlierReport, b.highestReported)
	case age < 2*window:
		return b.highestReported
	}
	return 0
}

// Receive applies a message from another node. Of a message from a node that is not a member, only the epoch and
// the shares that it carries are applied. A message that an earlier process of the node has sent is ignored: its later
// process may have recovered the share that it transfers.
func (s *Shares) Receive(from string, message ShareMessage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining.begin(now)
	m := s.members[from]
	id := messageID{message.Process, message.Sequence}
	known := message.Sequence > 0
	if m != nil && known && id.process < m.newest.process {
		return
	}
	if s.joined && message.Epoch > s.epoch {
		s.beginEpoch(message.Epoch, message.Entries, now)
	}
	for _, entry := range message.Entries {
		b := s.workspaces[entry.Workspace]
		if b == nil {
			continue
		}
		b.refill(now) // before the share changes: others have had the tokens until now
		if !s.joined {
			continue // what others report of this node includes the transfer
		}
		b.share += entry.Transfer
		if message.Epoch < s.epoch {
			b.snapshotShare += entry.Transfer
		}
	}
	if !s.joined && message.Joined {
		s.joining.epoch = max(s.joining.epoch, message.Epoch)
		if message.HasReceiverShares {
			s.recordReported(&message, now)
		}
	}
	if m == nil {
		s.inherit(now)
		return
	}
	m.lastContact, m.unanswered, m.loanFailed = now, false, false
	if known && id.before(m.newest) {
		return // overtaken by a newer one
	}
	if known {
		m.newest = id
	}
	m.roster, m.registrationSurvived = message.Roster, message.RegistrationSurvived
	m.joined, m.complete, m.epoch, m.snapshotFinal, m.snapshotPartial = message.Joined, message.Complete, message.Epoch, message.SnapshotFinal, message.SnapshotPartial
	m.workspaces = message.Workspaces
	if message.Joined {
		m.hasReported, m.reported = true, id
		clear(m.entries) // drops workspaces that the node does not know (any more)
		clear(m.loanedAt)
	}
	for _, entry := range message.Entries {
		if m.entries[entry.Workspace].Share == 0 {
			m.entries[entry.Workspace] = entry
		}
	}
	s.inherit(now)
}

// Reconcile joins a new fleet and corrects shares that do not add up to one. It must be called after each round
// of exchanges. It reports whether this node holds shares.
func (s *Shares) Reconcile(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joined {
		s.inherit(now)
		if wait, nodes := s.divisionWait(now); wait == WaitNone && !s.joined {
			s.divide(now)
		} else {
			s.recordWait(now, wait, nodes)
		}
		return s.joined
	}
	for name, b := range s.workspaces {
		b.updateDemand(&s.config, now)
		b.totalDemand = b.demand
		for _, m := range s.members {
			b.totalDemand += m.entries[name].Demand
		}
	}
	s.completeEpoch(now)
	return true
}

// Joined reports whether this node holds shares.
func (s *Shares) Joined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}
