package throttle

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

var testKey = Key{Service: "s", Workspace: "w"}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type byClass [call.ImportanceCount]int

func (b byClass) sum() int { return b[0] + b[1] + b[2] }

type totals struct{ offered, accepted, refusedLocally, refusedRemotely byClass }

// Periods of a simulation, which last 5 s, 20 s, 2 s and 8 s.
const (
	before = iota
	overload
	recovery
	after
)

// simulate offers calls of 5 nodes to a service that accepts capacity calls/s, most important first, in
// steps of 10 ms. 20% of the calls are critical, 50% normal and 30% sheddable.
func simulate(seed uint64, capacity, rate, overloadRate float64, throttled bool) (result [after + 1]totals) {
	random := rand.New(rand.NewPCG(seed, 1))
	nodes := []*Throttle{New(DefaultConfig()), New(DefaultConfig()), New(DefaultConfig()), New(DefaultConfig()), New(DefaultConfig())}
	credit := 0.0
	for step := range 3500 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		period, _ := slices.BinarySearch([]int{500, 2500, 2700}, step+1)
		periodTotals, offered := &result[period], rate
		if period == overload {
			offered = overloadRate
		}
		var sent [call.ImportanceCount][]*Throttle
		for range int(offered/100 + random.Float64()) {
			class := call.Importance([]int{0, 0, 1, 1, 1, 1, 1, 2, 2, 2}[random.IntN(10)])
			node := nodes[random.IntN(len(nodes))]
			periodTotals.offered[class]++
			if throttled && !node.Allow(testKey, class, now, random.Float64()) {
				periodTotals.refusedLocally[class]++
				continue
			}
			sent[class] = append(sent[class], node)
		}
		credit = min(credit+capacity/100, capacity/50) // a queue of 20 ms
		load := call.Load{Limit: 100, Admitted: call.Sheddable}
		for class, calls := range sent {
			if float64(len(calls)) > credit {
				load.Admitted = min(load.Admitted, call.Importance(max(class-1, 0)))
			}
			for _, node := range calls {
				feedback, count := Overloaded, &periodTotals.refusedRemotely
				if credit >= 1 {
					credit--
					feedback, count = Accepted, &periodTotals.accepted
				}
				count[class]++
				node.Observe(testKey, call.Importance(class), feedback, &load, now)
			}
		}
	}
	return result
}

// TestOverload guards against throttling that loses goodput, refuses important calls or continues after
// the overload.
func TestOverload(t *testing.T) {
	const capacity, length = 1000, 20
	for _, factor := range []float64{1.2, 2, 5} {
		for _, throttled := range []bool{false, true} {
			periods := simulate(5, capacity, 0.8*capacity, factor*capacity, throttled)
			over := periods[overload]
			share := func(count byClass, class call.Importance) float64 {
				return float64(count[class]) / float64(over.offered[class])
			}
			goodput := float64(over.accepted.sum()) / (capacity * length)
			t.Logf("%.1fx, throttled %v: goodput %.3f of capacity, critical lost %.4f, refused remotely %d/s, refused locally %v, in the 2 s after %d",
				factor, throttled, goodput, 1-share(over.accepted, call.Critical), over.refusedRemotely.sum()/length,
				over.refusedLocally, periods[recovery].refusedLocally.sum())
			if throttled {
				must.Greater(t, 0.95, goodput)
				must.Zero(t, over.refusedLocally[call.Critical])
				must.Greater(t, share(over.refusedLocally, call.Normal), share(over.refusedLocally, call.Sheddable))
				must.Zero(t, periods[before].refusedLocally.sum()+periods[after].refusedLocally.sum())
			}
		}
	}
}

// TestTotalOutage guards against callers that stop sending to a service that refuses all calls for long,
// and so do not notice its recovery.
func TestTotalOutage(t *testing.T) {
	refused := simulate(9, 0, 5000, 5000, true)[overload].refusedRemotely
	t.Logf("5000 calls/s, all refused: %d/s still sent, by class %v", refused.sum()/20, refused)
	for _, count := range refused {
		must.Greater(t, 20*4, count) // one per 250 ms
	}
	// With one node and all calls refused for 5 s, then none, calls are allowed again within 2 s at any rate.
	for _, gap := range []time.Duration{time.Millisecond, 50 * time.Millisecond} {
		throttle, random, lastRefused, end := New(DefaultConfig()), rand.New(rand.NewPCG(2, 2)), time.Duration(0), 5*time.Second
		for at := time.Duration(0); at < 2*end; at += gap {
			now := epoch.Add(at)
			if !throttle.Allow(testKey, call.Sheddable, now, random.Float64()) {
				lastRefused = at
				continue
			}
			if at < end {
				throttle.Observe(testKey, call.Sheddable, Overloaded, &call.Load{Limit: 10, Admitted: call.Critical}, now)
			} else {
				throttle.Observe(testKey, call.Sheddable, Accepted, &call.Load{Limit: 10, Admitted: call.Sheddable}, now)
			}
		}
		t.Logf("a call each %v: last refused %v after the end of the overload", gap, lastRefused-end)
		must.Positive(t, lastRefused)
		must.Less(t, end+2*time.Second, lastRefused)
	}
}

// TestConcurrentUse guards against data races; run with -race.
func TestConcurrentUse(t *testing.T) {
	throttle := New(DefaultConfig())
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for i := range 500 {
				throttle.Allow(testKey, call.Normal, epoch, 0.5)
				throttle.Observe(testKey, call.Normal, Feedback(i%3), &call.Load{Limit: 1}, epoch)
				if g == 0 {
					throttle.Expire(epoch.Add(time.Hour))
				}
			}
		})
	}
	group.Wait()
}

func BenchmarkAllowObserve(b *testing.B) {
	throttle, load := New(DefaultConfig()), call.Load{Limit: 100}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if throttle.Allow(testKey, call.Normal, epoch, 0.5) {
				throttle.Observe(testKey, call.Normal, Accepted, &load, epoch)
			}
		}
	})
}
