package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, a value that is no number, and an estimate that stays wrong after times out of order.
func TestMeterTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		m := NewMeter()
		classes := []Class{{Route: "c"}, {Route: "b"}, {Route: "b", Method: "GET", Size: 3}, {}}
		var waiting, running []*Call
		take := func(calls *[]*Call) *Call {
			i := random.IntN(len(*calls))
			c := (*calls)[i]
			*calls = slices.Delete(*calls, i, i+1)
			return c
		}
		check := func(now time.Time) {
			r := m.Report(now)
			must.GreaterEq(t, 0, r.Left)
			must.Between(t, paces[len(paces)-1], r.Pace, 1)
			for _, s := range m.Status() {
				must.Between(t, 0, s.Usual, math.MaxFloat64)
				must.Between(t, 0, s.Mean, math.MaxFloat64)
				must.Between(t, 0, s.P99, math.MaxFloat64)
			}
		}
		for range 2000 {
			now := times.Next()
			switch random.IntN(5) {
			case 0, 1:
				waiting = append(waiting, m.Wait(classes[random.IntN(len(classes))]))
			case 2:
				if len(waiting) > 0 {
					c := take(&waiting)
					if random.IntN(10) == 0 {
						m.Drop(c)
					} else {
						m.Start(c, now)
						running = append(running, c)
					}
				}
			case 3:
				if len(running) > 0 {
					c := take(&running)
					ran, usual := m.End(c, random.IntN(4) > 0, now)
					must.GreaterEq(t, 0, ran)
					must.GreaterEq(t, 0, usual)
				}
			case 4:
				check(now)
			}
		}
		for _, c := range waiting {
			m.Drop(c)
		}
		for _, c := range running {
			m.End(c, false, times.Next())
		}
		must.Eq(t, 0, m.Report(times.After(time.Hour)).Waiting)
		must.Eq(t, Report{Pace: 1}, m.Report(times.After(time.Hour)))
		f := newMeterFixture(40)
		f.meter, f.now = m, times.After(time.Hour)
		f.run(5*time.Second, 1)
		_, slow := f.run(400*time.Millisecond, 0.4)
		must.Less(t, 0.7, slow, must.Sprint("the pace must follow the calls again"))
	})
}

// Guards against a shape or speed that is no number.
func TestModelExtremeDurations(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		m := NewModel()
		speeds := []*Speed{{}, {}, nil}
		for i := range 1000 {
			c := Class{Route: string(rune('a' + random.IntN(26))), Size: uint8(random.IntN(9))}
			speed, d, now := speeds[random.IntN(len(speeds))], times.Duration(), times.Next()
			switch random.IntN(4) {
			case 0:
				m.Observe(c, d, speed, now)
			case 1:
				m.ObserveShape(c, d, speed, now)
			case 2:
				m.ObserveUsual(c, d, speed, now)
			default:
				m.Observe(c, time.Duration(random.ExpFloat64()*float64(20*time.Millisecond)), speed, now)
			}
			if w := m.Work(c); w.Known() && i%16 == 0 {
				for _, speed := range speeds {
					q, _ := w.Quantile(speed, 0.99)
					for _, d := range []time.Duration{w.Usual(speed), w.Mean(speed), q} {
						must.GreaterEq(t, 0, d, must.Sprint(c))
					}
				}
			}
		}
		for _, speed := range speeds[:2] {
			must.False(t, math.IsNaN(speed.log) || math.IsInf(speed.log, 0))
		}
	})
}
