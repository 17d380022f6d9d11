package upstream

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// serviceTimeSampler draws log-normal service times. It is safe for concurrent use.
type serviceTimeSampler struct {
	median time.Duration
	sigma  float64

	mutex  sync.Mutex
	random *rand.Rand
}

func newServiceTimeSampler(s Settings) *serviceTimeSampler {
	return &serviceTimeSampler{
		median: time.Duration(s.ServiceMedianMS / s.Speed * float64(time.Millisecond)),
		sigma:  s.ServiceSigma,
		random: rand.New(rand.NewPCG(s.Seed, 1)),
	}
}

func (s *serviceTimeSampler) draw() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(float64(s.median) * math.Exp(s.sigma*s.random.NormFloat64()))
}

// coldStartFactor returns the factor of the service time at the given age of the upstream. It falls
// linearly from initial to 1 over the warm-up.
func coldStartFactor(age, warmUp time.Duration, initial float64) float64 {
	if age >= warmUp {
		return 1
	}
	return initial + (1-initial)*float64(age)/float64(warmUp)
}

// work waits for the given service time, multiplied by SlowFactor, which may change meanwhile. It returns
// the error of ctx if that ends first.
func (b *behaviorState) work(ctx context.Context, remaining time.Duration) error {
	for remaining > 0 {
		behavior, changed := b.get()
		begin := time.Now()
		// The product with a factor that is meant to freeze the request would overflow a Duration.
		scaled := time.Duration(min(float64(remaining)*behavior.SlowFactor, float64(24*time.Hour)))
		timer := time.NewTimer(scaled)
		select {
		case <-timer.C:
			return nil
		case <-changed:
			timer.Stop()
			remaining -= time.Duration(float64(time.Since(begin)) / behavior.SlowFactor)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// slots are the worker slots with their queue. They are safe for concurrent use.
type slots struct {
	free   chan struct{}
	queue  int64
	queued atomic.Int64
}

func newSlots(count, queue int) *slots {
	return &slots{free: make(chan struct{}, count), queue: int64(queue)}
}

// acquire takes a slot. If none is free it waits in the queue, unless shed is set or the queue is full. It
// returns false if the request is shed, and the error of ctx if that ends first.
func (s *slots) acquire(ctx context.Context, shed bool) (bool, error) {
	select {
	case s.free <- struct{}{}:
		return true, nil
	default:
	}
	if shed {
		return false, nil
	}
	defer s.queued.Add(-1)
	if s.queued.Add(1) > s.queue {
		return false, nil
	}
	select {
	case s.free <- struct{}{}:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (s *slots) release() { <-s.free }

func (s *slots) running() int { return len(s.free) }
