// Package clocktest runs seeded tests with times that go back and forth. Callers read the clock before they take a lock, so
// what is under the lock sees times out of order.
package clocktest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Uint64("clocktest.seeds", 8, "number of seeds for each kind of time")

// Times returns times out of order.
type Times struct {
	random *rand.Rand
	at     time.Time
	// step is the largest advance between two times, back by how much a time may lie before the latest.
	step, back time.Duration
}

// kinds are the kinds of times: back by milliseconds, back by seconds, all equal, and with long pauses.
var kinds = []struct {
	name       string
	step, back time.Duration
}{
	{"milliseconds", 3 * time.Millisecond, 5 * time.Millisecond},
	{"seconds", 300 * time.Millisecond, 5 * time.Second},
	{"equal", 0, 0},
	{"pauses", 10 * time.Minute, 10 * time.Millisecond},
}

// Run runs test for each kind of time with each seed.
func Run(t *testing.T, test func(t *testing.T, random *rand.Rand, times *Times)) {
	t.Helper()
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			for seed := range *seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					test(t, random, &Times{random: random, at: time.Now(), step: kind.step, back: kind.back})
				})
			}
		})
	}
}

// Next returns a time that may lie before the last one.
func (s *Times) Next() time.Time {
	if s.step > 0 {
		s.at = s.at.Add(time.Duration(s.random.Int64N(int64(s.step))))
	}
	if s.back == 0 || s.random.IntN(2) == 0 {
		return s.at
	}
	return s.at.Add(-time.Duration(s.random.Int64N(int64(s.back))))
}

// After returns a time that is later than all before by d, and from which the next ones follow.
func (s *Times) After(d time.Duration) time.Time {
	s.at = s.at.Add(d)
	return s.at
}

// durations are possible but extreme.
var durations = []time.Duration{0, 1, time.Microsecond, time.Millisecond, 20 * time.Millisecond, time.Second, time.Hour, 24 * time.Hour, -time.Millisecond}

// Duration returns a duration, often an extreme one.
func (s *Times) Duration() time.Duration { return durations[s.random.IntN(len(durations))] }
