package ratelimit

import "time"

// ShareEntry is what a message says about one workspace.
type ShareEntry struct {
	Workspace string
	// Demand is in requests per second at the sender.
	Demand float64
	// Share is what the sender holds after Given.
	Share float64
	// Given is the share that passes from the sender to the receiver.
	Given float64
	// Remembered is the receiver's share as the sender last knew it, told to nodes that hold none.
	Remembered float64
	// Recorded is the sender's share in the snapshot of the message's epoch, told to the node that adds up.
	Recorded float64
	// Scale is the factor by which all shares changed when the epoch began; 0 means none.
	Scale float64
	// Tokens is what the sender could lend.
	Tokens float64
}

// ShareMessage is what one node tells another.
type ShareMessage struct {
	// Joined means that the sender holds shares.
	Joined bool
	// Remembers means that the entries say what the receiver held.
	Remembers bool
	// Epoch is the sender's. Settled means that the entries hold its records and that these will not change.
	Epoch   uint64
	Settled bool
	Entries []ShareEntry
}

// Message returns what to tell another node. What it gives away is no longer held afterwards.
func (s *Shares) Message(to string, now time.Time) ShareMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateHolders()
	m := s.members[to]
	message := ShareMessage{
		Joined: s.joined, Remembers: s.remembers(m, now),
		Epoch: s.epoch, Settled: to == s.first && s.settled(now),
	}
	for name, b := range s.workspaces {
		b.settle(&s.config, now)
		b.refill(s.held(b), now)
		entry := ShareEntry{Workspace: name, Demand: b.demand, Tokens: b.tokens, Scale: b.scale}
		if to == s.first {
			entry.Recorded = b.recorded
		}
		if m != nil {
			known, knows := m.entries[name]
			if message.Remembers {
				entry.Remembered = known.Share
			}
			if knows && s.joined && m.joined && now.Sub(m.at) < s.reportLifetime() {
				entry.Given = s.give(b, to, known)
				b.share -= entry.Given
				known.Share += entry.Given // so that the next message does not give it again
				m.entries[name] = known
			}
		}
		entry.Share = b.share
		message.Entries = append(message.Entries, entry)
	}
	return message
}

// remembers tells whether this node can say what a member without share held. One that has inherited its own
// share has not met all others yet: it would report none for those whose share another node remembers.
func (s *Shares) remembers(m *shareMember, now time.Time) bool {
	if !s.joined || m != nil && m.joined {
		return false
	}
	met := s.config.JoinWait + time.Duration(s.turn-1)*s.config.Round
	return m != nil && m.known || now.Sub(s.inherited) >= met
}

// give returns the share that another node should get, so that both hold it in proportion to their weight.
func (s *Shares) give(b *shareBucket, name string, other ShareEntry) float64 {
	own, theirs := s.weight(b, s.self.Name, b.demand), s.weight(b, name, other.Demand)
	switch {
	case theirs <= 0:
		return 0
	case own <= 0:
		return float64(float32(b.share)) // as messages carry it
	}
	target := (b.share + other.Share) * own / (own + theirs)
	// Transfers with all partners of the round are under way at the same time.
	partners := min(len(s.members), 2*s.config.Targets)
	gift := (b.share - target) * min(1, 2/float64(partners+1)) * s.config.Damping
	if gift*float64(len(b.holders)) > minGift {
		return float64(float32(gift))
	}
	return 0
}

// minGift is the least gift as a part of an equal share of the holders.
const minGift = 0.005

// Receive takes in a message of another node. Those of nodes that are no members are ignored, except for
// the share that they give.
func (s *Shares) Receive(from string, message ShareMessage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contact.IsZero() {
		s.contact = now
	}
	inherits := !s.joined && message.Joined && message.Remembers
	if s.joined && message.Epoch > s.epoch {
		s.beginEpoch(message.Epoch, message.Entries, now)
	}
	for _, entry := range message.Entries {
		b := s.workspaces[entry.Workspace]
		if b == nil {
			continue
		}
		if inherits {
			b.share = entry.Remembered
			b.recorded = b.share
			b.tokens = float64(b.quota.Burst) * b.share * inheritedBurst
		}
		b.share += entry.Given
		if message.Epoch < s.epoch {
			b.recorded += entry.Given
		}
	}
	if inherits {
		s.joined, s.inherited, s.epoch, s.epochAt = true, now, message.Epoch, now
	}
	m := s.members[from]
	if m == nil {
		return
	}
	m.at, m.joined, m.epoch, m.settled = now, message.Joined, message.Epoch, message.Settled
	if message.Joined {
		m.known = true
		clear(m.entries) // of workspaces that the node does not know, or no longer
	}
	for _, entry := range message.Entries {
		if m.entries[entry.Workspace].Share == 0 {
			m.entries[entry.Workspace] = entry
		}
	}
}

// Adjust joins a new fleet and corrects sums of shares that are not one. Call it after each round of
// messages. It returns whether this node holds shares.
func (s *Shares) Adjust(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joined {
		s.joinEvenly(now)
		return s.joined
	}
	for name, b := range s.workspaces {
		b.settle(&s.config, now)
		b.totalDemand = b.demand
		for _, m := range s.members {
			b.totalDemand += m.entries[name].Demand
		}
	}
	s.completeEpoch(now)
	return true
}

// joinEvenly takes an equal share when no reachable node holds any, as after a start of the whole fleet.
func (s *Shares) joinEvenly(now time.Time) {
	heard := 0
	for _, m := range s.members {
		if m.joined && now.Sub(m.at) < s.reportLifetime() {
			return // a node that remembers this one's share will tell it
		}
		if !m.at.IsZero() {
			heard++
		}
	}
	waited := !s.contact.IsZero() && now.Sub(s.contact) >= s.config.JoinWait
	if !s.listed || heard < len(s.members) && !waited {
		return
	}
	s.joined = true
	s.updateHolders()
	for workspace, b := range s.workspaces {
		b.share = s.evenShare(b, s.self.Name)
		b.recorded = b.share
		b.tokens = float64(b.quota.Burst) * b.share
		for name, m := range s.members {
			if !m.joined {
				m.entries[workspace] = ShareEntry{Workspace: workspace, Share: s.evenShare(b, name)}
			}
		}
	}
}
