package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// timesPace is a Pace that turns on and off.
type timesPace struct {
	random   *rand.Rand
	interval time.Duration
}

func (p *timesPace) Interval(time.Time) time.Duration { return p.interval }
func (p *timesPace) MayStart(time.Time) bool          { return p.interval == 0 || p.random.IntN(3) == 0 }
func (p *timesPace) Start(time.Time)                  {}

// Guards against a panic, a lost slot or waiter, and a limit that stays after times out of order.
func TestQueueTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		cfg := DefaultConfig(1 + random.IntN(8))
		cfg.Order = Order(random.IntN(int(EDF) + 1))
		cfg.ShareFirst = random.IntN(2) == 0
		cfg.TargetWork = float64(3 * random.IntN(2))
		if random.IntN(4) > 0 {
			cfg.Level = DefaultLevelConfig()
		}
		pace := &timesPace{random: random}
		if random.IntN(2) == 0 {
			cfg.Pace = pace
		}
		q, err := NewQueue(cfg, []Limiter{NewFixedLimiter(cfg.Slots), NewDefaultLimiter(cfg.Slots), NewAIMDLimiter(cfg.Slots), NewGradientLimiter(cfg.Slots)}[random.IntN(4)])
		must.NoError(t, err)
		var running, queued []*Work
		decided := func() {
			for w := q.NextDecided(); w != nil; w = q.NextDecided() {
				if i := slices.Index(queued, w); i >= 0 {
					queued = slices.Delete(queued, i, i+1)
					if w.State == Running {
						running = append(running, w)
					}
				}
			}
		}
		finish := func(i int, now time.Time) {
			w := running[i]
			running = slices.Delete(running, i, i+1)
			q.Finish(now, w.Started, w.Route, times.Duration(), Result(random.IntN(int(Ignored)+1)))
		}
		for range 2000 {
			now := times.Next()
			switch random.IntN(8) {
			case 0, 1, 2:
				w := &Work{Item: Item{
					Workspace: string(rune('a' + random.IntN(4))), Weight: float64(random.IntN(3)), Route: string(rune('a' + random.IntN(4))),
					Importance: call.Importance(random.IntN(call.ImportanceCount)), ShedOrder: uint16(random.IntN(int(call.RanksPerClass))), Inner: random.IntN(2) == 0,
				}}
				if random.IntN(2) == 0 {
					w.Deadline = now.Add(times.Duration())
				}
				switch q.Offer(now, w) {
				case Running:
					running = append(running, w)
				case Queued:
					queued = append(queued, w)
				}
			case 3, 4:
				if len(running) > 0 {
					finish(random.IntN(len(running)), now)
				}
			case 5:
				if len(queued) > 0 {
					if i := random.IntN(len(queued)); q.Cancel(now, queued[i], Canceled) {
						queued = slices.Delete(queued, i, i+1)
					}
				}
			case 6:
				q.Sweep(now)
				pace.interval = []time.Duration{0, 0, time.Millisecond, time.Second, time.Hour}[random.IntN(5)]
			default:
				q.SetSlots(now, random.IntN(10))
				q.SetDraining(random.IntN(10) == 0)
				load := q.Load(now)
				must.GreaterEq(t, 0, load.QueueDelay)
				must.GreaterEq(t, 1, load.Limit)
				refusal := q.Refusal(now, Reason(random.IntN(int(RankShed)+1)), random.Float64())
				must.GreaterEq(t, 0, refusal.RetryAfter)
			}
			decided()
			must.Eq(t, len(running), q.inFlight)
			must.Eq(t, len(queued), q.Queued())
		}
		q.SetDraining(false)
		pace.interval = 0
		for len(running)+len(queued) > 0 {
			if len(running) > 0 {
				finish(0, times.After(time.Second))
			} else {
				q.Sweep(times.After(time.Second))
			}
			decided()
		}
		must.True(t, q.Idle())
		// A light load is served again, all ranks of it.
		refused := 0
		for i := range 300 {
			w := &Work{Item: Item{Workspace: "a", Importance: call.Importance(i % call.ImportanceCount), ShedOrder: uint16(random.IntN(int(call.RanksPerClass)))}}
			if q.Offer(times.After(time.Second), w) != Running {
				refused++
				continue
			}
			q.Finish(times.After(10*time.Millisecond), w.Started, "a", 0, Succeeded)
		}
		must.Less(t, 100, refused)
		must.Eq(t, 0, q.Load(times.After(time.Minute)).ShedFrom)
	})
}

// Guards against a waiter that is woken twice or never.
func TestGateTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		cfg := DefaultConfig(2)
		cfg.Level = DefaultLevelConfig()
		queue, err := NewQueue(cfg, NewFixedLimiter(2))
		must.NoError(t, err)
		gate := NewGate(queue, GateConfig{Now: times.Next, Random: random.Float64}) // only this goroutine uses the gate
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		var releases []func(Result)
		for range 500 {
			ctx := t.Context()
			if len(releases) == 2 {
				ctx = ended
			}
			release, err := gate.Acquire(ctx, &Item{Workspace: "a", Importance: call.Importance(random.IntN(call.ImportanceCount))})
			if err == nil {
				releases = append(releases, release)
			}
			if len(releases) > 0 && random.IntN(2) == 0 {
				releases[0](Succeeded)
				releases[0](Succeeded) // a second call has no effect
				releases = releases[1:]
			}
			gate.Sweep()
			gate.RefuseQueued(Draining)
		}
		for _, release := range releases {
			release(Failed)
		}
		must.True(t, gate.Idle())
	})
}
