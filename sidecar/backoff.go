package sidecar

import (
	"time"

	"github.com/cowslipglade/cowslipglade/internal/random"
)

// jittered returns a random duration within 25 percent of d, so that nodes do not act in lockstep.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*random.Shared.Float64()))
}

// storeBackoff is the retry backoff of one task while the store is unavailable, since refused calls also
// have a cost. It must detect the recovery of the store well within two seconds.
type storeBackoff struct{ failures int }

const (
	storeBackoffFirst = 250 * time.Millisecond
	storeBackoffLimit = time.Second
)

// failed returns the delay before the next attempt.
func (b *storeBackoff) failed() time.Duration {
	wait := min(storeBackoffLimit, storeBackoffFirst<<min(b.failures, 8))
	b.failures++
	return jittered(wait)
}

func (b *storeBackoff) succeeded() { b.failures = 0 }
