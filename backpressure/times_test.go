package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, and a limit that never expires, after times out of order.
func TestLimitsTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		l := New()
		name := func() string { return fmt.Sprint(random.IntN(40)) }
		limits := func() []call.ServiceLimit {
			list := make([]call.ServiceLimit, random.IntN(4))
			for i := range list {
				list[i] = call.ServiceLimit{Service: name(), ShedFrom: call.Rank(random.IntN(1 << 16)), Age: times.Duration()}
			}
			return list
		}
		for range 1000 {
			now := times.Next()
			switch random.IntN(6) {
			case 0:
				l.RecordDestination(name(), name(), call.Rank(random.IntN(1<<16)), now)
			case 1:
				l.RecordCall(name(), name())
			case 2:
				l.RecordBelow(name(), limits(), now)
			case 3:
				l.Relay(limits(), now)
			case 4:
				l.Strictest(name(), name(), now)
			default:
				l.All(now)
			}
		}
		now := times.After(time.Minute)
		must.SliceEmpty(t, l.All(now))
		must.Eq(t, call.RankLimit, l.Strictest("1", "2", now).ShedFrom)
		l.RecordDestination("2", "n", 7, now)
		must.Eq(t, 7, l.Strictest("1", "2", now).ShedFrom)
	})
}
