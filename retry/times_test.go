package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, and a budget that stays wrong, after times out of order and changes of the limits.
func TestRepeatLimiterTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		l := NewRepeatLimiter(RepeatLimits{})
		services := []string{"a", "b", ""}
		for range 500 {
			service, now := services[random.IntN(len(services))], times.Next()
			switch random.IntN(8) {
			case 0:
				l.SetLimits(RepeatLimits{Window: times.Duration(), Ratio: random.Float64(), Slack: float64(random.IntN(100)), MayHaveRunFraction: random.Float64()})
			case 1, 2, 3:
				l.RecordRequest(service, random.IntN(8) == 0, now)
			case 4:
				l.RetractRequest(service, random.IntN(8) == 0, now)
			default:
				l.AllowRepeat(service, Repeat{MayHaveRun: random.IntN(2) == 0, Rank: call.Rank(random.IntN(1 << 16)), Answered: random.IntN(5) - 1}, now)
			}
		}
		limits := RepeatLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 1, MayHaveRunFraction: 1}
		l.SetLimits(limits)
		for _, service := range services {
			l.RecordRequest(service, false, times.After(0)) // earlier repeats stay for a window from here on
			times.After(time.Minute)
			fresh := NewRepeatLimiter(limits)
			granted, usual := 0, 0
			for range 250 {
				now := times.After(40 * time.Millisecond)
				for limiter, count := range map[*RepeatLimiter]*int{l: &granted, fresh: &usual} {
					limiter.RecordRequest(service, false, now)
					if limiter.AllowRepeat(service, Repeat{}, now) == Granted {
						*count++
					}
				}
			}
			must.Between(t, usual*9/10, granted, usual*11/10, must.Sprint("the budget must be that of a new limiter"))
		}
	})
}
