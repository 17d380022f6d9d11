package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A process that has just started holds no share and has no tokens: those of the previous process of its node may be spent,
// and its share transferred. It joins in one of two ways.
//
// It inherits the share of the previous process. Each message names its process and sequence, and other nodes report the
// share with the name of the message that told it to them. The newest of these is the share that the previous process had
// when it ended, or had before transfers that were lost. So the process joins once it has had a contact with each other
// node, or after a time-out.
//
// If no node holds share, as after a start of the entire fleet, the nodes divide it. Nodes that start at the same time do not
// know the same others, and some may be partitioned. Each keeps the members that it knew when it first knew all that may
// not know it (see SetMembers), its roster. As each node writes its registration before it reads those of the others, of
// two different rosters the smaller one is part of the larger one. A node divides the rates evenly over its roster, and
// only after a contact with each node of it, none of which has a smaller roster or holds share: of nodes with different
// rosters only those with the smallest may divide, and those with the same roster take the same parts.
//
// Nodes of the roster may be dead. After a time-out, it is enough to have had a contact with more than half of the roster
// if all of these have the same one. Then the nodes that are missing have their even parts, unless one of them has a
// smaller roster or is an earlier process that has got more. A minority divides nothing before a missing node is back or
// its registration has lapsed.
//
// If rosters differ, a missing node may have started first, known few others and divided the rates among these. That cannot
// be if the registry has kept entries while all processes were gone: a node whose registration replaces that of its previous
// process was listed without a gap, so every roster has it. If such nodes are in contact and are more than half of the
// roster, no missing node can have divided without a contact with one of them. The smallest roster in contact is then
// divided after a cycle of exchanges.

// Roster identifies a set of nodes.
type Roster struct {
	Size   uint32
	Digest uint64
}

func (r Roster) known() bool { return r.Size > 0 }

func (r Roster) before(other Roster) bool {
	return r.Size < other.Size || r.Size == other.Size && r.Digest < other.Digest
}

// joining is the state of a node that does not hold shares yet.
type joining struct {
	// startedAt is the first time that this process has seen, and completeAt the first one with all members known.
	startedAt, completeAt time.Time
	// membersKnown means that all nodes that may join by themselves are known, or know this one.
	membersKnown bool
	roster       Roster
	rosterNodes  []Member
	// registrationSurvived means that the registry has listed this node since before this process started.
	registrationSurvived bool
	// workspacesKnown means that workspaces have been set. A node that joined before would take an even share of them.
	workspacesKnown bool
	// reported is the share of the previous process by workspace; nil before a node has told it. by is the message that
	// told that node.
	reported map[string]float64
	by       messageID
	// assigned means that another node has divided the rates.
	assigned bool
	epoch    uint64
	// wait is what the node waits for, and waitNodes the nodes concerned, since waitSince.
	wait      JoinWait
	waitNodes []string
	waitSince time.Time
}

// complete keeps the roster.
func (j *joining) complete(self Member, others []Member) {
	j.membersKnown = true
	j.rosterNodes = append([]Member{self}, others...)
	for _, member := range j.rosterNodes {
		j.roster.Size++
		j.roster.Digest ^= xxhash.Sum64String(member.Name)
	}
}

func (j *joining) begin(now time.Time) {
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
}

// provisionalFraction is the fraction of the share reported to a new process that it uses while a newer report is possible.
// The previous process has kept as much for longer than it takes to report to all nodes.
const provisionalFraction = 0.25

// recordReported keeps the receiver's shares of a message if they are newer than those of earlier messages.
func (s *Shares) recordReported(message *ShareMessage, now time.Time) {
	j := &s.joining
	by := messageID{message.ReportedProcess, message.ReportedSequence}
	shares := make(map[string]float64, len(message.Entries))
	assigned := false
	for _, entry := range message.Entries {
		shares[entry.Workspace] = entry.ReceiverShare
		assigned = assigned || message.Assigned && entry.ReceiverShare > 0
	}
	if j.reported == nil || j.by.before(by) || assigned && by == j.by {
		j.reported, j.by, j.assigned = shares, by, assigned
		for workspace, b := range s.workspaces {
			b.refill(now)
			if b.share == 0 {
				b.refilledAt = j.startedAt.Add(s.config.LoanLifetime)
			}
			b.share = provisionalFraction * shares[workspace]
			if message.Assigned {
				b.share = 0
			}
		}
	}
}

// contactTimeout is the time in which a new node should exchange messages with every other node.
func (s *Shares) contactTimeout() time.Duration {
	return s.config.JoinTimeout + time.Duration(s.cycleRounds-1)*s.config.RoundInterval
}

// unreportedCycles is the number of contact timeouts after which a node joins without share if others hold shares and none
// reports that of this node, as when all that know it are unreachable.
const unreportedCycles = 3

func (s *Shares) knowsJoined() bool {
	for _, m := range s.members {
		if m.joined {
			return true
		}
	}
	return false
}

// inherit takes the reported share of the previous process if no newer report is expected.
func (s *Shares) inherit(now time.Time) {
	j := &s.joining
	if s.joined || !j.workspacesKnown {
		return
	}
	if j.reported == nil {
		if !s.knowsJoined() || now.Sub(j.startedAt) < unreportedCycles*s.contactTimeout() {
			return
		}
		j.reported = map[string]float64{} // others hold the share, or restore it
	}
	if len(s.unheard(now)) > 0 {
		return
	}
	s.joined, s.inheritedAt, s.epoch, s.epochStart, s.snapshotPartial = true, now, j.epoch, now, true
	// The loans of the previous process have expired LoanLifetime after the start. The tokens since then are unspent, but
	// for those of the provisional share.
	unspentSince := j.startedAt.Add(s.config.LoanLifetime)
	for workspace, b := range s.workspaces {
		b.refill(now)
		added := j.reported[workspace] - b.share
		b.share += added
		b.snapshotShare = b.share
		if j.assigned {
			b.tokens, b.refilledAt = 0, now // assigned at an unknown time
			continue
		}
		b.tokens += max(0, b.quota.Rate*added*now.Sub(unspentSince).Seconds())
		b.refill(now)
	}
}

// unheard returns the nodes whose report of this node's share may still be newer than the one it has.
func (s *Shares) unheard(now time.Time) (names []string) {
	if s.joining.assigned || now.Sub(s.joining.startedAt) >= s.contactTimeout() {
		return nil
	}
	for name, m := range s.members {
		if m.lastContact.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// divisionWait returns what this node waits for before it divides the rates because no node holds any share, and the nodes
// concerned. It divides them once it waits for nothing.
func (s *Shares) divisionWait(now time.Time) (JoinWait, []string) {
	j := &s.joining
	if !j.membersKnown {
		return WaitRegistry, nil
	}
	if !j.workspacesKnown {
		return WaitConfiguration, nil
	}
	if j.completeAt.IsZero() {
		j.completeAt = now
	}
	elapsed := now.Sub(j.completeAt)
	overdue, cycleOver := elapsed >= s.config.JoinTimeout, elapsed >= s.contactTimeout()
	missing, contacted, surviving := s.rosterContacts()
	var joined, smaller, lower []string
	same := true
	for name, m := range s.members {
		switch {
		case m.joined:
			joined = append(joined, name)
		case m.roster.known() && !m.lastContact.IsZero() && m.roster != j.roster:
			lost := surviving && cycleOver && now.Sub(m.lastContact) >= s.contactTimeout()
			if m.roster.before(j.roster) && !lost {
				smaller = append(smaller, name)
			}
			same = false
		case m.complete && name < s.self.Name:
			lower = append(lower, name)
		}
	}
	switch {
	case len(joined) > 0:
		return WaitReport, joined
	case len(smaller) > 0:
		return WaitSmallerRoster, smaller
	case len(missing) > 0 && !overdue:
		return WaitContacts, missing
	case len(missing) > 0 && contacted <= len(missing):
		return WaitMajority, missing
	case len(missing) > 0 && !same && !surviving:
		return WaitDifferingRosters, missing
	case len(missing) > 0 && !same && !cycleOver:
		return WaitContacts, missing // one of them may have a smaller roster
	case !overdue && len(lower) > 0:
		return WaitDivider, lower // assigns their parts to the others
	}
	return WaitNone, nil
}

// rosterContacts returns the nodes of the roster that this node has had no contact with and whose registration has not
// lapsed, and the number of those that it has had a contact with, itself included. surviving means that the registrations
// of more than half of the roster have outlasted the previous processes, by what these nodes tell.
func (s *Shares) rosterContacts() (missing []string, contacted int, surviving bool) {
	contacted, survivors := 1, 0
	if s.joining.registrationSurvived {
		survivors = 1
	}
	for _, member := range s.joining.rosterNodes[1:] {
		switch m := s.members[member.Name]; {
		case m == nil: // its registration has lapsed
		case m.lastContact.IsZero():
			missing = append(missing, member.Name)
		default:
			contacted++
			if m.registrationSurvived {
				survivors++
			}
		}
	}
	return missing, contacted, 2*survivors > len(s.joining.rosterNodes)
}

// divide assigns an even share to each holder of the roster, and takes that of this node. The others get theirs in
// exchanges.
func (s *Shares) divide(now time.Time) {
	s.joined, s.snapshotPartial = true, true
	s.updateHolders()
	for workspace, b := range s.workspaces {
		holders := s.holdersAmong(s.joining.rosterNodes, workspace, float64(b.quota.Burst))
		even := 1 / float64(len(holders))
		b.share, b.tokens, b.refilledAt = 0, 0, now // the previous processes of all nodes may have used the burst just before
		if holders[s.self.Name] {
			b.share = even
		}
		b.snapshotShare = b.share
		for name, m := range s.members {
			if holders[name] {
				m.entries[workspace] = ShareEntry{Workspace: workspace, Share: even}
			}
		}
	}
}
