package kvstore

import (
	"context"
	"sync"
	"time"
)

// callLimiter limits the average rate of calls, with a burst of one second's worth of calls. It is safe
// for concurrent use; a nil limiter does not limit.
type callLimiter struct {
	interval time.Duration
	burst    time.Duration

	mutex sync.Mutex
	// next is the time of the next call if all calls are evenly spaced.
	next time.Time
}

func newCallLimiter(perSecond float64) *callLimiter {
	if perSecond <= 0 {
		return nil
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	return &callLimiter{interval: interval, burst: max(time.Second-interval, 0)}
}

// wait blocks until a call may be made or ctx ends. A canceled wait still consumes its reservation.
func (l *callLimiter) wait(ctx context.Context) error {
	if l == nil {
		return ctx.Err()
	}
	delay := l.reserve(time.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve reserves the next call and returns the delay until it may be made.
func (l *callLimiter) reserve(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if earliest := now.Add(-l.burst); l.next.Before(earliest) {
		l.next = earliest
	}
	delay := l.next.Sub(now)
	l.next = l.next.Add(l.interval)
	return delay
}
