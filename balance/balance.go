// Package balance chooses the upstream that runs a call.
//
// A node keeps a bounded subset of the upstreams of each service, chosen by rendezvous hashing so that
// a change of one upstream changes few subsets. Among them it takes the less loaded of two random
// ones. The load of an upstream is what its node last reported plus what this node has sent since,
// relative to the upstream's limit. The own failure domain is used alone while it is lightly loaded;
// above that, load decides and distance is only a small penalty, because a domain may have a single
// upstream of a service.
//
// Upstreams that fail are ejected for a time and return after one successful probe request. At most
// half of a subset is ejected at any time, so that false alarms cannot empty a service.
//
// The package owns no clock, random source or goroutine.
package balance

import (
	"errors"
	"time"
)

// ErrNoUpstream is returned when a service has no upstream that may be given the call.
var ErrNoUpstream = errors.New("balance: no upstream available")

// ID names one run of one upstream. A restarted upstream has another incarnation.
type ID struct {
	Node        string
	Incarnation uint64
}

// Candidate is an upstream as membership describes it.
type Candidate struct {
	ID
	// Address is where the node beside the upstream takes calls; the package only passes it on.
	Address       string
	FailureDomain string
	Region        string
	// Slots is the announced concurrency, used until the first load signal arrives.
	Slots    int
	Draining bool
	// Stopping means that the node beside it is about to end. Only LatencyPicker looks at it.
	Stopping bool
	// WarmUp is how long the upstream is slow after its start; 0 means that it starts warm.
	WarmUp time.Duration
	// FirstSeen is when the upstream was first heard of; zero means long ago.
	FirstSeen time.Time
}

// Origin is the node that chooses.
type Origin struct {
	Node          string
	FailureDomain string
	Region        string
}

// Config holds the tuning values of a Picker.
type Config struct {
	// SubsetSize is the number of upstreams used per service. Each costs about 340 bytes and 10 ns
	// of each choice.
	SubsetSize int
	// SpillLoad is the share of its limit up to which the own failure domain is used alone. Beyond
	// it, other domains are compared on load.
	SpillLoad float64
	// DomainPenalty and RegionPenalty are added to the load of upstreams in another failure domain
	// and in another region, as a share of the limit.
	DomainPenalty float64
	RegionPenalty float64
	// QueueDelayUnit is the queue delay that counts as much as a limit that is wholly used.
	QueueDelayUnit time.Duration
	// SignalLifetime is how long a load signal is believed. Its weight falls linearly to 0.
	SignalLifetime time.Duration
	// ChoiceExponent is how strongly the less loaded of two upstreams is preferred: their chances are as
	// the inverse loads to this power. 0 always takes the less loaded one.
	ChoiceExponent float64
	// ColdShare is the share of its limit that an upstream counts as having when it has just started.
	ColdShare float64
	// ConsecutiveFailures ejects an upstream. A failed connection ejects at once.
	ConsecutiveFailures int
	// FailureShare of the calls of the last one to two FailureWindows ejects an upstream, when there
	// were at least FailureMinimum calls.
	FailureShare   float64
	FailureMinimum int
	FailureWindow  time.Duration
	// TimeoutMinimum is the shortest wait after which a timeout counts as a failure of the upstream.
	// Shorter ones say more about the caller's deadline, which must not eject upstreams for others.
	TimeoutMinimum time.Duration
	// EjectionTime is the time before the first probe. It doubles with each failed probe up to
	// EjectionLimit.
	EjectionTime  time.Duration
	EjectionLimit time.Duration
	// ProbeTimeout is when an unanswered probe request is given up.
	ProbeTimeout time.Duration
	// EjectedShare is the largest share of a subset that is ejected at any time.
	EjectedShare float64
}

// DefaultConfig returns the values used by cowslipd.
func DefaultConfig() Config {
	return Config{
		SubsetSize:          20,
		SpillLoad:           0.5,
		DomainPenalty:       0.05,
		RegionPenalty:       0.3,
		QueueDelayUnit:      50 * time.Millisecond,
		SignalLifetime:      500 * time.Millisecond,
		ChoiceExponent:      8,
		ColdShare:           0.1,
		ConsecutiveFailures: 5,
		FailureShare:        0.5,
		FailureMinimum:      20,
		FailureWindow:       5 * time.Second,
		TimeoutMinimum:      500 * time.Millisecond,
		EjectionTime:        2 * time.Second,
		EjectionLimit:       30 * time.Second,
		ProbeTimeout:        2 * time.Second,
		EjectedShare:        0.5,
	}
}
