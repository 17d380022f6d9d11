// Package retry bounds the extra attempts of a request over its whole call tree.
//
// Each root request adds a fraction of a token to the bucket of its workspace and route and may
// reserve whole tokens from it. The reserved tokens travel with the request as its budget: a hop that
// calls another grants it a part and gets the unspent part back with the response. An extra attempt
// anywhere in the tree spends one token, so the extra attempts of a tree never exceed the tokens that its
// root reserved, and those of all trees never exceed that fraction of the number of root requests.
//
// The package has no clock, random source or goroutine.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Config holds the tuning values that operators cannot set with Rules.
type Config struct {
	// BucketCap is the maximum number of tokens in a bucket. It bounds the burst of retries, per node and
	// bucket, after a long time without retries.
	BucketCap int
	// BucketCount bounds the number of buckets, at about 150 bytes each. The least recently used are
	// evicted together with their tokens.
	BucketCount int
	// BackoffBase is the maximum backoff before the first retry. It doubles with each further retry, up to
	// BackoffLimit.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// RemainingMinimum is the least time that must remain between the backoff and the deadline.
	RemainingMinimum time.Duration
	// RetryAfterSpread is the largest fraction by which a Retry-After is lengthened.
	RetryAfterSpread float64
}

// DefaultConfig returns the configuration used by cowslipd.
func DefaultConfig() Config {
	return Config{
		BucketCap:        10,
		BucketCount:      16384,
		BackoffBase:      10 * time.Millisecond,
		BackoffLimit:     250 * time.Millisecond,
		RemainingMinimum: 5 * time.Millisecond,
		RetryAfterSpread: 0.5,
	}
}

// Rules are set by the operators and may change between requests.
type Rules struct {
	// Ratio is the fraction of a token that a root request adds, from 0 to 1.
	Ratio float64
	// Limit is the maximum number of tokens that one root request reserves.
	Limit int
}

// Failure describes a call that ended without a response, as seen by the hop that made it.
type Failure struct {
	Outcome    call.Outcome
	Code       call.Code
	Idempotent bool
	// Final means that a deeper hop has already made the retry decision.
	Final bool
	// Attempt is the number of attempts made so far, from 1.
	Attempt int
	// Remaining is the time to the deadline.
	Remaining time.Duration
}

// Reason is why a call is retried or not.
type Reason string

// Reasons of decisions.
const (
	Retried        Reason = "retried"
	StopFinal      Reason = "final"
	StopCode       Reason = "code"
	StopMayHaveRun Reason = "may_have_run"
	StopRemaining  Reason = "remaining_time"
	StopBudget     Reason = "budget"
)

// Decision is what to do after a failure. When Retry is false, the refusal returned to the caller must
// be Final; see FinalRefusal.
type Decision struct {
	Retry  bool
	Wait   time.Duration
	Reason Reason
}

// retryableElsewhere holds the codes of failures that may be specific to one upstream. All others are due
// to the request, its caller or its deadline.
var retryableElsewhere = map[call.Code]bool{
	call.CodeOverloaded:         true,
	call.CodeDraining:           true,
	call.CodeUpstreamFailed:     true,
	call.CodePeerFailed:         true,
	call.CodeWrongIncarnation:   true,
	call.CodeStaleConfiguration: true,
}

// Decide decides whether to retry a failed call on another upstream, and spends a token of the budget if
// so. It is safe for concurrent use when random is.
func (c Config) Decide(failure Failure, budget *Budget, random *rand.Rand) Decision {
	if failure.Final {
		return Decision{Reason: StopFinal}
	}
	if !retryableElsewhere[failure.Code] {
		return Decision{Reason: StopCode}
	}
	if failure.Outcome != call.NotRun && !failure.Idempotent {
		return Decision{Reason: StopMayHaveRun}
	}
	wait := c.Backoff(failure.Attempt, random)
	if failure.Remaining < wait+c.RemainingMinimum {
		return Decision{Reason: StopRemaining}
	}
	if !budget.Spend() {
		return Decision{Reason: StopBudget}
	}
	return Decision{Retry: true, Wait: wait, Reason: Retried}
}

// maxDoublings bounds the shift in the exponential backoff.
const maxDoublings = 16

// Backoff returns the wait before the attempt that follows the given one. It is uniform between 0 and the
// doubled base (full jitter), which spreads the retries of simultaneous failures over the interval.
func (c Config) Backoff(attempt int, random *rand.Rand) time.Duration {
	doublings := min(max(attempt-1, 0), maxDoublings)
	longest := min(c.BackoffBase<<doublings, c.BackoffLimit)
	return time.Duration(random.Int64N(int64(longest) + 1))
}

// SpreadRetryAfter lengthens a Retry-After by a random fraction, so that callers refused at the same time
// do not retry at the same time. 0 stays 0.
func (c Config) SpreadRetryAfter(base time.Duration, random *rand.Rand) time.Duration {
	return base + time.Duration(c.RetryAfterSpread*random.Float64()*float64(base))
}

// FinalRefusal returns a copy of the refusal for the calling hop, marked as Final and with the unspent
// tokens of that hop's grant. It closes the budget.
func FinalRefusal(refusal *call.Refusal, budget *Budget) *call.Refusal {
	final := *refusal
	final.Final = true
	final.UnspentBudget = budget.Close()
	return &final
}
