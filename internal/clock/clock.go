// Package clock has the clocks of a node and a sleep that ends with its context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time on a clock that goes on while the VM is suspended, unlike the monotonic reading of
// time.Now, and does not step, unlike the time of day. Only differences of its readings have a meaning.
func Boot() time.Time {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(boot.Unix())
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
