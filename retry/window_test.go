package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A chain of services in which each call makes one call below it, and all of them fail. The operators
// count a call made by a repeated run as a repeat of the service below. Without a part of its own for
// repeats after a run, the second service is already over the limit.
func TestWindowChainOfFailures(t *testing.T) {
	const (
		depth    = 4
		ratio    = 0.2
		slack    = 47.0
		requests = 20_000
		share    = 0.6
	)
	w := NewWindow(WindowLimits{Length: 10 * time.Second, Ratio: ratio * share, Slack: slack * share, AfterRunShare: 0.2})
	names := []string{"a", "b", "c", "d"}
	firsts, repeats := make([]float64, depth), make([]float64, depth)
	now := time.Unix(1, 0)
	var run func(level int, repeated bool)
	run = func(level int, repeated bool) {
		if level == depth {
			return
		}
		w.Request(names[level], now)
		if repeated {
			repeats[level]++
		} else {
			firsts[level]++
		}
		run(level+1, repeated)
		if w.Repeat(names[level], true, now) {
			repeats[level]++
			run(level+1, true)
		}
	}
	for i := range requests {
		now = time.Unix(1, 0).Add(time.Duration(i) * 10 * time.Second / requests)
		run(0, false)
	}
	for level := range depth {
		must.LessEq(t, ratio*firsts[level]+slack, repeats[level], must.Sprintf("service %s", names[level]))
	}
}

// Repeats after refusals that say "not run" may use the whole limit, and the window slides.
func TestWindowLimits(t *testing.T) {
	w := NewWindow(WindowLimits{Length: 10 * time.Second, Ratio: 0.1, Slack: 2, AfterRunShare: 0.5})
	now := time.Unix(100, 0)
	for range 20 {
		w.Request("s", now)
	}
	count := func(ran bool, at time.Time) (n int) {
		for w.Repeat("s", ran, at) {
			n++
		}
		return n
	}
	must.Eq(t, 2, count(true, now))
	must.Eq(t, 2, count(false, now))
	must.Eq(t, 0, count(false, now.Add(9*time.Second)), must.Sprint("still in the window"))
	must.Eq(t, 2, count(false, now.Add(12*time.Second)), must.Sprint("only the slack is left"))
}
