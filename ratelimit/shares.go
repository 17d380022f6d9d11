package ratelimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SharesConfig configures Shares.
type SharesConfig struct {
	// DemandTimeConstant is the time in which the demand estimate covers two thirds of a change.
	DemandTimeConstant time.Duration
	// Fanout is the number of exchanges that a node initiates per round. A larger fleet is covered in a cycle
	// of several rounds, in which each pair of nodes exchanges messages once.
	Fanout int
	// RemoteFanout is the part of Fanout that goes to nodes in other failure domains where a cycle takes several
	// rounds, because bytes between failure domains are expensive.
	RemoteFanout int
	// RoundInterval is the time between two rounds of exchanges.
	RoundInterval time.Duration
	// ReportLifetimeCycles is the number of cycles for which a report of another node is considered fresh.
	ReportLifetimeCycles int
	// SnapshotSettleTime is how long after the start of an epoch transfers sent before it may still change a
	// node's snapshot. It must exceed the timeout of an exchange.
	SnapshotSettleTime time.Duration
	// MinHolderTokens is the smallest portion of a workspace's burst, in tokens, that a node should hold. Nodes
	// that would get less borrow from others.
	MinHolderTokens float64
	// BaselineDemand is a fraction of a workspace's rate that is added to the demand of its holders, divided
	// evenly, so that none of them ends up without share.
	BaselineDemand float64
	// MaxLenders limits the number of nodes that are asked for one loan.
	MaxLenders int
	// LoanLifetime is how long borrowed tokens remain usable, from when they were asked for. It limits the number
	// outstanding at any time.
	LoanLifetime time.Duration
	// LoanLookahead is the period whose expected demand a loan covers in addition to the waiting requests.
	LoanLookahead time.Duration
	// Damping is the fraction of an imbalance that one round of exchanges corrects. Nodes act on information
	// that is one round old, so a value of 1 would overshoot.
	Damping float64
	// JoinTimeout is how long a new node waits for a contact with each of the others before it divides the rates without
	// the missing ones. Before it takes the newest reported share, it waits for the further rounds of a cycle too.
	JoinTimeout time.Duration
	// Process identifies the process in messages and is higher than that of every earlier process of the node. If it
	// is 0, NewShares sets it to the time in nanoseconds.
	Process uint64
}

// DefaultSharesConfig returns the configuration used by cowslip-sidecar.
func DefaultSharesConfig() SharesConfig {
	return SharesConfig{
		DemandTimeConstant:   2 * time.Second,        // spans a few requests of a client that sends one per second
		Fanout:               8,                      // covers 17 nodes per round, at about 0.2 ms of CPU time each
		RemoteFanout:         4,                      // covers 84 nodes in 3 to 5 domains within 5 s
		RoundInterval:        500 * time.Millisecond, // changes propagate through a fleet in about one second
		ReportLifetimeCycles: 3,                      // tolerates the loss of one exchange
		SnapshotSettleTime:   800 * time.Millisecond, // twice the timeout of an exchange
		MinHolderTokens:      4,                      // half can be lent; arrivals are random
		BaselineDemand:       0.05,                   // this part of the rate can be spared, and can be borrowed
		MaxLenders:           8,                      // with 5, half more refusals within the rate on 83 nodes with some missing
		LoanLifetime:         200 * time.Millisecond, // two calls to lenders that do not respond
		LoanLookahead:        50 * time.Millisecond,  // a tenth of a round, so that a loan serves several requests
		Damping:              0.6,                    // corrects nine tenths of a change within 1.5 s
		JoinTimeout:          700 * time.Millisecond, // longer than one round
	}
}

// Shares divides each workspace's rate and burst among nodes in proportion to their demand.
//
// Each node holds a share of each workspace, and the shares of all nodes add up to one. When two nodes
// exchange messages, share moves from the one with less demand to the other. The sender lowers its own share
// before it sends the message, so a lost message loses share and never duplicates it. A partitioned node
// keeps its share, which no other node can use meanwhile.
//
// Share is lost with messages and with nodes that depart permanently. A consistent snapshot of all shares
// (see epoch.go) detects and restores it. A restarted node recovers the share that others last recorded for it, and
// tokens only for the time since its start (see join.go).
//
// In any window, all nodes together admit at most rate x window + burst requests: the tokens of all nodes, with those
// that are lent, never exceed the burst.
//
// Shares follow demand within seconds. Until then, and for occasional requests at nodes with a small share, a
// node that has run out of tokens borrows from others (see Lend).
//
// Shares is safe for concurrent use.
type Shares struct {
	config SharesConfig
	self   Member

	mu          sync.Mutex
	joined      bool
	joining     joining
	inheritedAt time.Time // when another node reported this node's share; zero after joining with an even share
	// sequence numbers the messages of this process.
	sequence   uint64
	workspaces map[string]*shareBucket
	// workspacesDigest identifies the set of names in workspaces.
	workspacesDigest uint64
	members          map[string]*memberState
	// cycleRounds is the number of rounds that cover the fleet once.
	cycleRounds int
	// coordinator is the node with the lowest name. It adds up the shares.
	coordinator string
	epoch       uint64
	epochStart  time.Time
	// snapshotPartial means that the shares in the snapshot of this epoch may not be those at its start.
	snapshotPartial bool
}

// memberState is the last reported state of another node.
type memberState struct {
	Member
	lastContact time.Time
	joined      bool
	complete    bool
	roster      Roster
	// registrationSurvived means that the registry has listed the node since before its process started.
	registrationSurvived bool

	hasReported bool // has reported its share since this node's start
	// newest identifies the newest message, and reported the newest one with shares.
	newest, reported messageID
	// unanswered means that share has been transferred since the last contact.
	unanswered      bool
	loanFailed      bool // a loan has failed since the last contact
	epoch           uint64
	snapshotFinal   bool
	snapshotPartial bool
	// workspaces is the digest of the workspaces that the node knows; those without an entry are zero there.
	workspaces uint64
	entries    map[string]ShareEntry
	// loanedAt is when the node last responded to a request for a loan since the last contact, by workspace.
	loanedAt map[string]time.Time
}

type shareBucket struct {
	share   float64
	holders map[string]bool // nil after a change
	// totalDemand is the demand of all nodes.
	totalDemand float64
	// snapshotShare is the share in the snapshot of the current epoch, and scale the factor applied at its start.
	snapshotShare, scale float64
	// corrected is the total lost share that this node has restored by adding it to its own.
	corrected  float64
	quota      Quota
	tokens     float64
	refilledAt time.Time
	// borrowed are the tokens of other nodes. lent are those that other nodes may still use; the bucket does not
	// refill beyond its capacity less these.
	borrowed, lent loanedTokens
	// highestReported is the highest share in messages since reportedSince, earlierReport that of a window before.
	highestReported, earlierReport float64
	reportedSince                  time.Time
	// admitted and refused count requests since the process started.
	admitted, refused int64
	// repeats counts sends beyond the first of a request that took a token, repeatsRefused those without a token.
	repeats, repeatsRefused int64
	// lentTotal, borrowedTotal and expired count tokens given to other nodes, received from them, and not used in time.
	lentTotal, borrowedTotal, expired float64
	// arrivals counts requests since the last update of the demand estimate.
	arrivals float64
	demand   float64
	demandAt time.Time
}

// NewShares returns the Shares of a node that knows no other nodes and holds no share yet.
func NewShares(self Member, config SharesConfig) *Shares {
	if config.Process == 0 {
		config.Process = uint64(time.Now().UnixNano())
	}
	return &Shares{
		config: config, self: self, coordinator: self.Name, cycleRounds: 1,
		workspaces: map[string]*shareBucket{}, members: map[string]*memberState{},
	}
}

// SetMembers replaces the set of other nodes that may hold shares. complete means that every node is in the set that
// may have taken a share without knowing this one. Before that, the node holds only what others report to it: if each of
// several new nodes knew only itself, each would take the whole.
func (s *Shares) SetMembers(others []Member, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete && !s.joining.membersKnown {
		s.joining.complete(s.self, others)
	}
	members := make(map[string]*memberState, len(others))
	changed := len(others) != len(s.members)
	s.coordinator = s.self.Name
	remote := 0
	for _, member := range others {
		s.coordinator = min(s.coordinator, member.Name)
		if member.FailureDomain != s.self.FailureDomain {
			remote++
		}
		m := s.members[member.Name]
		if m == nil {
			m = &memberState{Member: member, entries: map[string]ShareEntry{}, loanedAt: map[string]time.Time{}}
			changed = true
		}
		members[member.Name] = m
	}
	for name, m := range s.members {
		if members[name] == nil && m.joined {
			// Others may hold share that the departed node transferred after its snapshot.
			s.snapshotPartial = true
		}
	}
	s.members = members
	if changed {
		for _, b := range s.workspaces {
			b.holders = nil
		}
	}
	s.cycleRounds = s.config.rounds(len(others)-remote, remote)
}

// SetRegistrationSurvived records that the registration of this process has replaced that of a previous one, which had not
// lapsed. Every node that has read the registry meanwhile knows this one.
func (s *Shares) SetRegistrationSurvived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining.registrationSurvived = true
}

// rounds returns the number of rounds in which a node exchanges messages with all others. In each pair of nodes
// only one initiates the exchange.
func (c *SharesConfig) rounds(local, remote int) int {
	if c.coversInOneRound(local + remote) {
		return 1
	}
	return max(1, ceilDiv(local/2, c.Fanout-c.RemoteFanout), ceilDiv(remote/2, c.RemoteFanout))
}

func (c *SharesConfig) coversInOneRound(others int) bool { return others/2 <= c.Fanout }

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// Partners returns how many nodes of its own failure domain, and how many others, a node should contact per round
// in a fleet with the given number of others.
func (c *SharesConfig) Partners(others int) (local, remote int) {
	if c.coversInOneRound(others) {
		return c.Fanout, c.Fanout
	}
	return c.Fanout - c.RemoteFanout, c.RemoteFanout
}

// CycleDuration returns the time in which a node should exchange messages with every other node.
func (s *Shares) CycleDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.cycleRounds) * s.config.RoundInterval
}

// TransferLifetime returns the age up to which a message may be passed to Receive. The share that an older one transfers
// may have been restored.
func (s *Shares) TransferLifetime() time.Duration { return s.config.SnapshotSettleTime }

// reportLifetime returns how long a report of another node is considered fresh.
func (s *Shares) reportLifetime() time.Duration {
	return time.Duration(s.config.ReportLifetimeCycles*s.cycleRounds) * s.config.RoundInterval
}

// SetWorkspaces replaces the set of workspaces and their quotas. The quota of a new workspace is divided
// evenly.
func (s *Shares) SetWorkspaces(quotas map[string]Quota, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workspacesDigest = 0
	s.joining.begin(now)
	s.joining.workspacesKnown = true
	for name := range s.workspaces {
		if _, ok := quotas[name]; !ok {
			delete(s.workspaces, name)
		}
	}
	for name, quota := range quotas {
		s.workspacesDigest ^= xxhash.Sum64String(name)
		b := s.workspaces[name]
		if b == nil {
			b = &shareBucket{refilledAt: now, demandAt: now}
			s.workspaces[name] = b
			b.quota = quota
			b.holders = s.holders(name, float64(quota.Burst))
			if s.joined {
				b.share = s.evenShare(b, s.self.Name)
				b.snapshotShare = b.share
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
	// Repeats counts sends beyond the first of a request that took a token, RepeatsRefused those that had none left.
	Repeats        int64 `json:"repeats"`
	RepeatsRefused int64 `json:"repeats_refused"`
	// Lent, Borrowed and Expired count tokens given to other nodes, received from them, and not used in time.
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	Expired  float64 `json:"expired"`
	// Holder means that the node keeps a share without demand. Other nodes may have none and borrow.
	Holder bool `json:"holder"`
	// Corrected is the total lost share that this node has restored by adding it to its own.
	Corrected float64 `json:"corrected"`
}

// Status returns the state of each workspace.
func (s *Shares) Status(now time.Time) map[string]ShareStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := make(map[string]ShareStatus, len(s.workspaces))
	for name, b := range s.workspaces {
		b.refill(now)
		status[name] = ShareStatus{
			Share: b.share, Demand: b.demand, Tokens: b.tokens, Admitted: b.admitted, Refused: b.refused,
			Repeats: b.repeats, RepeatsRefused: b.repeatsRefused, Lent: b.lentTotal, Borrowed: b.borrowedTotal, Expired: b.expired,
			Holder: b.holders[s.self.Name], Corrected: b.corrected,
		}
	}
	return status
}
