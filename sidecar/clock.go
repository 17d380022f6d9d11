package sidecar

import (
	"time"

	"github.com/cowslipglade/cowslipglade/internal/random"
)

// jittered returns a random duration within a quarter of d, so that nodes do not act in step.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*random.Shared.Float64()))
}

// storeBackoff spaces the calls of one task while the store is away, since refused calls have a price as
// well. It must notice the store's return well within two seconds.
type storeBackoff struct{ failures int }

const (
	storeBackoffFirst = 250 * time.Millisecond
	storeBackoffLimit = time.Second
)

// failed returns the wait before the next try.
func (b *storeBackoff) failed() time.Duration {
	wait := min(storeBackoffLimit, storeBackoffFirst<<min(b.failures, 8))
	b.failures++
	return jittered(wait)
}

func (b *storeBackoff) succeeded() { b.failures = 0 }
