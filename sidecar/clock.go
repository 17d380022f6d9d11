package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// leaseNow is the clock of leases and of the age of the configuration. It goes on while the VM is
// suspended. Only differences of its readings have a meaning.
func leaseNow() time.Time {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(boot.Unix())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jittered returns a random duration within a quarter of d, so that nodes do not act in step.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// random is shared, since the runtime's source has no state of its own.
var random = rand.New(runtimeSource{})

type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

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
