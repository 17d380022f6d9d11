// Package clock provides a clock that includes suspended time and a sleep that a context can cancel.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the reading of CLOCK_BOOTTIME. It advances while the VM is suspended, unlike the monotonic reading
// of time.Now, and does not step, unlike the wall clock. Only differences between readings are meaningful.
func Boot() time.Time {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(boot.Unix())
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
