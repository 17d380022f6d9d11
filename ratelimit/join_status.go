package ratelimit

import (
	"slices"
	"time"
)

// JoinWait names what a node that holds no share yet waits for. Until it has joined, it refuses all requests that are
// limited by a rate.
type JoinWait string

// What a node waits for.
const (
	WaitNone JoinWait = ""
	// WaitRegistry: the entries of the other nodes, read after the own one was written.
	WaitRegistry JoinWait = "registry"
	// WaitConfiguration: the rates.
	WaitConfiguration JoinWait = "configuration"
	// WaitReport: the share of the previous process, from a node that holds share.
	WaitReport JoinWait = "report"
	// WaitNewerReport: as above, a share is reported, but nodes without a contact may know a newer one.
	WaitNewerReport JoinWait = "newer_report"
	// WaitContacts: first contacts, for a short time or, if rosters differ, for a cycle of exchanges.
	WaitContacts JoinWait = "contacts"
	// WaitMajority: contacts with more than half of the roster.
	WaitMajority JoinWait = "majority"
	// WaitSmallerRoster: a node with a smaller roster divides the rates.
	WaitSmallerRoster JoinWait = "smaller_roster"
	// WaitDifferingRosters: contacts with all of the roster, as others have a different one and a missing node may have
	// divided the rates among few.
	WaitDifferingRosters JoinWait = "differing_rosters"
	// WaitDivider: a node with a lower name divides the rates.
	WaitDivider JoinWait = "divider"
)

// joinWaitEnds says what ends each wait.
var joinWaitEnds = map[JoinWait]string{
	WaitRegistry:         "a read of the registry that covers the entry of this node: the store must answer",
	WaitConfiguration:    "the first configuration, from the store or another node",
	WaitReport:           "an exchange with one of the nodes, or three cycles of exchanges",
	WaitNewerReport:      "an exchange with each of the nodes, or one cycle of exchanges",
	WaitContacts:         "an exchange with each of the nodes, or the join timeout (a cycle of exchanges if rosters differ)",
	WaitMajority:         "exchanges with more than half of the roster, or the end of the nodes' registrations",
	WaitSmallerRoster:    "one of the nodes divides the rates, its registration ends, or a cycle without a contact with it",
	WaitDifferingRosters: "an exchange with each of the nodes, or the end of their registrations",
	WaitDivider:          "one of the nodes divides the rates, or the join timeout",
}

// maxStatusNodes bounds the nodes named in a JoinStatus.
const maxStatusNodes = 8

// JoinStatus is the progress of a node towards its share, for operators.
type JoinStatus struct {
	Joined bool `json:"joined"`
	// Wait is what the node waits for, Ends what ends that. Both are empty after it has joined.
	Wait JoinWait `json:"waiting_for,omitempty"`
	Ends string   `json:"ends_with,omitempty"`
	// Nodes are some of the nodes concerned, and NodeCount is the number of all.
	Nodes     []string `json:"nodes,omitempty"`
	NodeCount int      `json:"node_count,omitempty"`
	// Seconds is how long it has been waiting for this.
	Seconds float64 `json:"seconds,omitempty"`
	// Roster is the number of nodes known when the registry was first read behind the own entry, Contacted the number of
	// other nodes that it has exchanged messages with, Members that of all others known.
	Roster    int `json:"roster"`
	Contacted int `json:"contacted"`
	Members   int `json:"members"`
}

// JoinStatus returns the state as of the last call of Reconcile.
func (s *Shares) JoinStatus(now time.Time) JoinStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &s.joining
	status := JoinStatus{Joined: s.joined, Roster: int(j.roster.Size), Members: len(s.members)}
	for _, m := range s.members {
		if !m.lastContact.IsZero() {
			status.Contacted++
		}
	}
	if s.joined {
		return status
	}
	status.Wait, status.NodeCount = j.wait, len(j.waitNodes)
	status.Nodes = slices.Clone(j.waitNodes[:min(maxStatusNodes, len(j.waitNodes))])
	if j.wait == WaitNone {
		status.Wait = WaitRegistry // before the first call of Reconcile
	}
	status.Ends = joinWaitEnds[status.Wait]
	if !j.waitSince.IsZero() {
		status.Seconds = now.Sub(j.waitSince).Seconds()
	}
	return status
}

// recordWait records what the node waits for after a round of exchanges.
func (s *Shares) recordWait(now time.Time, wait JoinWait, nodes []string) {
	j := &s.joining
	if j.reported != nil && j.workspacesKnown {
		wait, nodes = WaitNewerReport, s.unheard(now)
	}
	if wait != j.wait || j.waitSince.IsZero() {
		j.wait, j.waitSince = wait, now
	}
	slices.Sort(nodes)
	j.waitNodes = nodes
}
