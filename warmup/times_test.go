package warmup

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, and a pace that never ends, after times out of order and changes of the configuration.
func TestPacerTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		p := New(times.Next())
		for range 2000 {
			now := times.Next()
			switch random.IntN(8) {
			case 0:
				rate := []float64{0, 1e-9, 0.5, 13, 1e9}[random.IntN(5)]
				p.Configure(Config{Rate: rate, Duration: times.Duration(), Over: float64(random.IntN(3)), Slack: float64(random.IntN(30) - 10), Silence: times.Duration()}, now)
			case 1:
				p.Doubt(now)
			case 2:
				p.RecordAnswer(times.Next(), now, times.Duration())
			case 3:
				p.RecordHeartbeat(now, times.Duration(), random.IntN(3) == 0)
			case 4:
				p.RecordAlive(now)
			case 5:
				must.Between(t, 0, p.Send(now), 24*time.Hour)
			case 6:
				if p.MayStart(now) {
					p.Start(now)
				}
			default:
				must.GreaterEq(t, 0, p.Cold(now))
				must.Between(t, 0, p.Interval(now), maxInterval)
			}
		}
		p.Configure(Config{Rate: 10, Duration: time.Second, Over: 2, Slack: 1}, times.After(time.Minute))
		now := times.After(48 * time.Hour)
		p.RecordAnswer(now, now, 0)
		must.Eq(t, 0, p.Cold(now))
		must.Eq(t, 0, p.Send(now))
		p.Doubt(now)
		served := 0
		for range 1000 { // ten seconds at the pace
			if now = times.After(10 * time.Millisecond); p.MayStart(now) && p.Send(now) == 0 {
				p.Start(now)
				served++
			}
		}
		must.Between(t, 50, served, 120)
	})
}
