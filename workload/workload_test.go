package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classA = Class{Route: "a"}

// meterFixture runs calls of one class at a constant concurrency on an upstream whose speed can change.
type meterFixture struct {
	meter   *Meter
	random  *rand.Rand
	now     time.Time
	running []*fixtureCall
}

type fixtureCall struct {
	call *Call
	left float64 // seconds of work
}

func newMeterFixture(slots int) *meterFixture {
	f := &meterFixture{meter: NewMeter(), random: rand.New(rand.NewPCG(1, 1)), now: epoch}
	for range slots {
		f.running = append(f.running, &fixtureCall{})
	}
	return f
}

// run lets time pass in steps of a millisecond and returns the least and the last pace.
func (f *meterFixture) run(d time.Duration, speed float64) (least, last float64) {
	least = 1
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for _, c := range f.running {
			if c.left -= 0.001 * speed; c.left > 0 {
				continue
			}
			if c.call != nil {
				f.meter.End(c.call, true, f.now)
			}
			c.left = 0.1 * math.Exp(0.5*f.random.NormFloat64())
			if f.random.Float64() < 0.03 {
				c.left *= 7
			}
			c.call = f.meter.Wait(classA)
			f.meter.Start(c.call, f.now)
		}
		last = f.meter.Report(f.now).Pace
		least = min(least, last)
	}
	return least, last
}

// A slow upstream must be noticed within a few call durations, and one that has stopped although nothing ends there. Usual
// variance, with 3 calls in a hundred that cost 7 times as much, must not look like it.
func TestPaceOfSlowUpstream(t *testing.T) {
	f := newMeterFixture(40)
	f.run(10*time.Second, 1)
	least, _ := f.run(10*time.Second, 1)
	must.Greater(t, 0.6, least, must.Sprint("pace of a healthy upstream"))
	_, slow := f.run(200*time.Millisecond, 0.4)
	must.Less(t, 0.7, slow)
	_, recovered := f.run(time.Second, 1)
	must.Greater(t, 0.85, recovered)
	_, stopped := f.run(150*time.Millisecond, 0)
	must.Less(t, 0.5, stopped)
}

// A report whose time was read before that of a call that has started meanwhile must neither crash nor end the estimate of the
// pace.
func TestReportOlderThanRunningCall(t *testing.T) {
	f := newMeterFixture(40)
	f.run(10*time.Second, 1)
	reported := f.now.Add(2 * paceInterval)
	f.now = reported.Add(time.Millisecond)
	call := f.meter.Wait(classA)
	f.meter.Start(call, f.now)
	must.Greater(t, 0, f.meter.Report(reported).Left)
	f.meter.End(call, false, reported)
	_, slow := f.run(200*time.Millisecond, 0.4)
	must.Less(t, 0.7, slow)
}

// The work left must count what waits and runs, and return to 0.
func TestWorkLeft(t *testing.T) {
	f := newMeterFixture(40)
	f.run(10*time.Second, 1)
	busy := f.meter.Report(f.now).Left.Seconds()
	mean := f.meter.model.Work(classA).Mean(nil).Seconds()
	must.Between(t, 0.5*40*mean, busy, 2.5*40*mean)
	waiting := f.meter.Wait(classA)
	must.InDelta(t, busy+mean, f.meter.Report(f.now).Left.Seconds(), 0.1*mean)
	f.meter.Drop(waiting)
	for _, c := range f.running {
		f.meter.End(c.call, false, f.now)
		f.meter.End(c.call, false, f.now) // a second end changes nothing
	}
	f.now = f.now.Add(time.Second)
	must.Eq(t, Report{Pace: 1}, f.meter.Report(f.now))
}

// After a restart nothing is known: the pace is the usual one and no duration is told, until enough calls have ended.
func TestMeterAfterRestart(t *testing.T) {
	f := newMeterFixture(4)
	for _, c := range f.running {
		c.call = f.meter.Wait(classA)
		f.meter.Start(c.call, f.now)
	}
	f.now = f.now.Add(10 * time.Second)
	must.Eq(t, 1, f.meter.Report(f.now).Pace)
	must.SliceEmpty(t, f.meter.Routes(8))
	f.run(time.Second, 1)
	must.Len(t, 1, f.meter.Routes(8))
}

// What is learned about the speed of an upstream on one route must hold for another route.
func TestSpeedInformsAllRoutes(t *testing.T) {
	m := NewModel()
	var fast, slow Speed
	b := Class{Route: "b"}
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		m.ObserveUsual(classA, 100*time.Millisecond, &fast, now)
		m.ObserveUsual(classA, 200*time.Millisecond, &slow, now)
		m.ObserveUsual(b, time.Second, &fast, now)
	}
	must.InDelta(t, 2, fast.Ratio(&slow), 0.1)
	must.InDelta(t, 2, m.Work(b).Usual(&slow).Seconds(), 0.1)
	restarted := Speed{}
	restarted.Assume([]*Speed{&fast, &slow})
	must.InDelta(t, math.Sqrt2, m.Work(b).Usual(&restarted).Seconds(), 0.1)
}

// Quantiles must be known only from enough calls, follow the distribution, and forget what no longer holds.
func TestQuantile(t *testing.T) {
	m, random, now := NewModel(), rand.New(rand.NewPCG(1, 1)), epoch
	observe := func(sigma float64, calls int) {
		for range calls {
			now = now.Add(10 * time.Millisecond)
			m.Observe(classA, time.Duration(1e8*math.Exp(sigma*random.NormFloat64())), nil, now)
		}
	}
	observe(0.3, 200)
	_, ok := m.Work(classA).Quantile(nil, 0.99)
	must.False(t, ok)
	observe(0.3, 3000)
	p99, ok := m.Work(classA).Quantile(nil, 0.99)
	must.True(t, ok)
	must.InDelta(t, 0.1*math.Exp(0.3*2.326), p99.Seconds(), 0.05)
	observe(0.8, 10000)
	p99, _ = m.Work(classA).Quantile(nil, 0.99)
	must.InDelta(t, 0.1*math.Exp(0.8*2.326), p99.Seconds(), 0.2)
}

// Clients choose methods and sizes, so the classes must be bounded, with those of the same route as a fallback.
func TestModelIsBounded(t *testing.T) {
	m := NewModel()
	for i := range 10 * maxClasses {
		m.Observe(Class{Route: "a", Method: fmt.Sprint(i)}, time.Second, nil, epoch)
	}
	must.LessEq(t, maxClasses, len(m.classes))
	must.True(t, m.Work(Class{Route: "a", Method: "other"}).Known())
	m.Observe(Class{Route: "later"}, time.Second, nil, epoch.Add(2*classIdle))
	must.MapContainsKey(t, m.classes, Class{Route: "later"})
	must.LessEq(t, maxClasses, len(m.classes))
}

func BenchmarkReport(b *testing.B) {
	f := newMeterFixture(319)
	f.run(time.Second, 1)
	for b.Loop() {
		f.now = f.now.Add(paceInterval)
		f.meter.Report(f.now)
	}
}
