package ratelimit

import (
	"sync"
	"time"
)

// SharesConfig holds the tuning values of Shares.
type SharesConfig struct {
	// DemandMemory is the time in which the estimate of demand follows a change by two thirds.
	DemandMemory time.Duration
	// Targets is the number of exchanges that a node starts in a round. A fleet with more nodes is covered in
	// a turn of several rounds, in which each pair meets once.
	Targets int
	// Round is the time between two rounds of exchanges.
	Round time.Duration
	// ReportTurns is the number of turns for which a report of another node counts as fresh.
	ReportTurns int
	// EpochSettle is how long after its start a node's record of an epoch may still change, by gifts that
	// were sent before: longer than the time-out of an exchange.
	EpochSettle time.Duration
	// HolderTokens is the least part of a workspace's burst that a node should have, in tokens. Nodes for which
	// there is not so much borrow from others.
	HolderTokens float64
	// IdleDemand is the demand that the holders of a workspace are assumed to have at least, together and as a
	// part of its rate, so that none of them is left without share.
	IdleDemand float64
	// Lenders bounds the nodes that are asked for one loan.
	Lenders int
	// LoanLifetime is how long borrowed tokens may be used, so that few are outstanding at any time.
	LoanLifetime time.Duration
	// LoanAhead is the time for whose demand a node borrows besides the requests that wait.
	LoanAhead time.Duration
	// Damping is the part of an imbalance that one round of messages evens out. What nodes know of each other
	// is a round old, so they would overshoot at 1.
	Damping float64
	// JoinWait is how long a new node waits for one that knows the shares.
	JoinWait time.Duration
}

// DefaultSharesConfig returns the values used by cowslip-sidecar.
func DefaultSharesConfig() SharesConfig {
	return SharesConfig{
		DemandMemory: 2 * time.Second,        // some requests of a client that sends one in a second
		Targets:      8,                      // covers 17 nodes in a round, at about 0.2 ms of processor time each
		Round:        500 * time.Millisecond, // changes spread over a fleet in about a second
		ReportTurns:  3,                      // one exchange may be lost
		EpochSettle:  800 * time.Millisecond, // twice the time-out of an exchange
		HolderTokens: 4,                      // half of it can be lent, and requests come at random
		IdleDemand:   0.05,                   // a part of the rate that can be spared, and borrowed
		Lenders:      5,                      // the three holders of a domain may have lent all since they reported
		LoanLifetime: time.Second,            // two rounds of exchanges, in which share follows the demand
		LoanAhead:    50 * time.Millisecond,  // a tenth of a round, so that a loan serves several requests
		Damping:      0.6,                    // nine tenths of a change within 1.5 s
		JoinWait:     700 * time.Millisecond, // more than one round of exchanges
	}
}

// Shares divides each workspace's rate and burst over nodes by demand.
//
// Each node holds a share of each workspace, and the shares of all nodes add up to one. Two nodes that
// exchange messages move share from the one with less demand to the other: the giver lowers its own before
// the message leaves, so a lost message loses share and never doubles it. A node that is cut off keeps what
// it holds, and nobody else can use it.
//
// Share is lost with messages and with nodes that are gone for good. It is found by a consistent snapshot of
// all shares (see epoch.go). A node that restarts gets back what others last knew of it.
//
// Shares follow demand within seconds. Until then, and for single requests at nodes with a small share, a
// node that has run out of tokens borrows some of another's (see Lend).
//
// Shares is safe for concurrent use.
type Shares struct {
	config SharesConfig
	self   Member

	mu         sync.Mutex
	joined     bool
	contact    time.Time // first contact with another node
	listed     bool      // the members are known
	inherited  time.Time // when another node told what this one held, zero for a node that joined evenly
	workspaces map[string]*shareBucket
	members    map[string]*shareMember
	// turn is the number of rounds in which the fleet is covered once.
	turn int
	// first is the lowest name of all nodes, which adds up the shares.
	first   string
	epoch   uint64
	epochAt time.Time
}

// shareMember is what is known of another node.
type shareMember struct {
	Member
	at      time.Time
	joined  bool
	known   bool // has reported its share since this node's start
	epoch   uint64
	settled bool
	entries map[string]ShareEntry
}

type shareBucket struct {
	share   float64
	holders map[string]bool // nil after a change
	// totalDemand is that of all nodes.
	totalDemand float64
	// recorded is the share in the snapshot of the current epoch, and scale the factor that began it.
	recorded, scale float64
	// corrected is the sum of what this node has taken for share that was lost.
	corrected float64
	quota     Quota
	tokens    float64
	at        time.Time
	// borrowed are tokens of other nodes, which may be used until borrowedUntil.
	borrowed      float64
	borrowedUntil time.Time
	// admitted and refused count requests since the start.
	admitted, refused int64
	// arrived counts requests since the last update of demand.
	arrived  float64
	demand   float64
	demandAt time.Time
}

// NewShares returns Shares of a node that knows no others and holds nothing yet.
func NewShares(self Member, config SharesConfig) *Shares {
	return &Shares{config: config, self: self, first: self.Name, turn: 1, workspaces: map[string]*shareBucket{}, members: map[string]*shareMember{}}
}

// SetMembers replaces the set of other nodes that may hold shares. Until its first call the node holds none.
func (s *Shares) SetMembers(list []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	members := make(map[string]*shareMember, len(list))
	changed := len(list) != len(s.members)
	s.first = s.self.Name
	for _, member := range list {
		s.first = min(s.first, member.Name)
		m := s.members[member.Name]
		if m == nil {
			m = &shareMember{Member: member, entries: map[string]ShareEntry{}}
			changed = true
		}
		members[member.Name] = m
	}
	s.members = members
	if changed {
		for _, b := range s.workspaces {
			b.holders = nil
		}
	}
	// One of two nodes calls the other.
	s.turn = max(1, (len(list)/2+s.config.Targets-1)/s.config.Targets)
}

// Turn is the time in which a node should exchange messages with each other one.
func (s *Shares) Turn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.turn) * s.config.Round
}

// reportLifetime is how long a report of another node counts as fresh.
func (s *Shares) reportLifetime() time.Duration {
	return time.Duration(s.config.ReportTurns*s.turn) * s.config.Round
}

// SetWorkspaces replaces the set of workspaces with their quotas. A new one is divided evenly.
func (s *Shares) SetWorkspaces(quotas map[string]Quota, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workspaces {
		if _, ok := quotas[name]; !ok {
			delete(s.workspaces, name)
		}
	}
	for name, quota := range quotas {
		b := s.workspaces[name]
		if b == nil {
			b = &shareBucket{at: now, demandAt: now}
			s.workspaces[name] = b
			b.quota = quota
			b.holders = s.holders(name, float64(quota.Burst))
			if s.joined {
				b.share = s.evenShare(b, s.self.Name)
				b.recorded = b.share
				b.tokens = float64(quota.Burst) * b.share
			}
		}
		if b.quota.Burst != quota.Burst {
			b.holders = nil
		}
		b.quota = quota
	}
}

// ShareStatus is the state of one workspace for operators.
type ShareStatus struct {
	Share    float64 `json:"share"`
	Demand   float64 `json:"demand"`
	Tokens   float64 `json:"tokens"`
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
	// Holder tells whether the node keeps share without demand. Others may have none and borrow.
	Holder bool `json:"holder"`
	// Corrected is the share that this node has taken for all that were lost.
	Corrected float64 `json:"corrected"`
}

// Status returns the state of all workspaces.
func (s *Shares) Status() map[string]ShareStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := make(map[string]ShareStatus, len(s.workspaces))
	for name, b := range s.workspaces {
		status[name] = ShareStatus{Share: b.share, Demand: b.demand, Tokens: b.tokens, Admitted: b.admitted, Refused: b.refused, Holder: b.holders[s.self.Name], Corrected: b.corrected}
	}
	return status
}
