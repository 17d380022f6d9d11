// Package balance chooses the upstream that runs a call.
//
// A node keeps a bounded subset of the upstreams of each service, chosen by rendezvous hashing so that
// a change of one upstream affects few subsets. Within the subset it compares two random upstreams and
// prefers the less loaded one. The load of an upstream is what its node last reported plus what this
// node has sent since, relative to the upstream's limit. Only the local failure domain is used while it
// is lightly loaded; above that, load decides and distance is a small penalty, because a domain may
// have a single upstream of a service.
//
// Failing upstreams are ejected for a time and return to service after one successful probe request. At
// most half of a subset is ejected at any time, so that false positives cannot leave a service without
// upstreams.
//
// The package has no clock, random source or goroutine.
package balance

import (
	"errors"
	"time"
)

// ErrNoUpstream is returned when a service has no eligible upstream for the call.
var ErrNoUpstream = errors.New("balance: no upstream available")

// ID identifies one run of an upstream. A restarted upstream has a new incarnation.
type ID struct {
	Node        string
	Incarnation uint64
}

// Candidate is an upstream as announced by membership.
type Candidate struct {
	ID
	// Address is where the upstream's node accepts calls; the package only passes it on.
	Address       string
	FailureDomain string
	Region        string
	// Slots is the announced concurrency, used until the first load signal arrives.
	Slots    int
	Draining bool
	// Stopping means that the upstream's node is shutting down. Only LatencyPicker uses it.
	Stopping bool
	// WarmUp is how long the upstream is slow after its start; 0 means that it needs no warm-up.
	WarmUp time.Duration
	// FirstSeen is when the upstream was first announced; zero means long ago.
	FirstSeen time.Time
	// ColdUntil is when the upstream becomes able to take more than ColdRate requests per second from all nodes together;
	// zero means that it is able now. Only LatencyPicker uses it.
	ColdUntil time.Time
	ColdRate  float64
}

// Origin is the node that makes the choice.
type Origin struct {
	Node          string
	FailureDomain string
	Region        string
}

// Config configures a Picker.
type Config struct {
	// SubsetSize is the number of upstreams used per service. Each costs about 340 bytes, and 10 ns
	// per choice.
	SubsetSize int
	// SpilloverLoad is the load, as a fraction of the limit, up to which only the local failure domain is
	// used. Above it, other domains are compared on load.
	SpilloverLoad float64
	// DomainPenalty and RegionPenalty are added to the load of upstreams in another failure domain
	// and in another region, as a fraction of the limit.
	DomainPenalty float64
	RegionPenalty float64
	// QueueDelayUnit is the queue delay that adds a load of 1, as much as a fully used limit.
	QueueDelayUnit time.Duration
	// SignalLifetime is how long a load signal is used. Its weight falls linearly to 0.
	SignalLifetime time.Duration
	// ChoiceExponent is how strongly the less loaded of two upstreams is preferred: the probabilities are
	// proportional to the inverse loads raised to this power. 0 always chooses the less loaded one.
	ChoiceExponent float64
	// ColdCapacity is the usable fraction of its limit that is assumed for an upstream that has just started.
	ColdCapacity float64
	// ConsecutiveFailures is the number of failures in a row that ejects an upstream. A failed
	// connection ejects at once.
	ConsecutiveFailures int
	// FailureRatio is the fraction of failed calls over the last one to two FailureWindows that ejects an
	// upstream, given at least FailureMinCalls calls.
	FailureRatio    float64
	FailureMinCalls int
	FailureWindow   time.Duration
	// TimeoutMinimum is the shortest timeout that counts as a failure of the upstream. Shorter ones
	// reflect the caller's deadline, which must not eject upstreams for other callers.
	TimeoutMinimum time.Duration
	// EjectionTime is the delay before the first probe. It doubles with each failed probe, up to
	// MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// ProbeTimeout is how long a probe may stay without a result before another call may probe.
	ProbeTimeout time.Duration
	// MaxEjectedFraction is the largest fraction of a subset that is ejected at any time.
	MaxEjectedFraction float64
}

// DefaultConfig returns the configuration used by cowslipd.
func DefaultConfig() Config {
	return Config{
		SubsetSize:          20,
		SpilloverLoad:       0.5,
		DomainPenalty:       0.05,
		RegionPenalty:       0.3,
		QueueDelayUnit:      50 * time.Millisecond,
		SignalLifetime:      500 * time.Millisecond,
		ChoiceExponent:      8,
		ColdCapacity:        0.1,
		ConsecutiveFailures: 5,
		FailureRatio:        0.5,
		FailureMinCalls:     20,
		FailureWindow:       5 * time.Second,
		TimeoutMinimum:      500 * time.Millisecond,
		EjectionTime:        2 * time.Second,
		MaxEjectionTime:     30 * time.Second,
		ProbeTimeout:        2 * time.Second,
		MaxEjectedFraction:  0.5,
	}
}
