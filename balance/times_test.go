package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
	"github.com/cowslipglade/cowslipglade/workload"
)

// Guards against a panic, a value that is no number, and an upstream that is never chosen again, after times out of order.
func TestLatencyPickerTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		p := NewLatencyPicker(DefaultLatencyConfig(), Origin{Node: "n0", FailureDomain: "d0", Region: "r0"})
		candidates := func(count int) []Candidate {
			list := make([]Candidate, count)
			for i := range list {
				list[i] = Candidate{
					ID: ID{fmt.Sprint("n", i), uint64(random.IntN(2))}, FailureDomain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i/4), Slots: random.IntN(20),
					Draining: random.IntN(8) == 0, Stopping: random.IntN(8) == 0, WarmUp: times.Duration(), FirstSeen: times.Next(),
				}
				if random.IntN(4) == 0 {
					list[i].ColdUntil, list[i].ColdRate = times.Next().Add(times.Duration()), []float64{0, 1e-6, 10}[random.IntN(3)]
				}
			}
			return list
		}
		load := func() *call.Load {
			return &call.Load{
				InFlight: random.IntN(100), Limit: random.IntN(20), QueueDelay: times.Duration(), Admitted: call.Importance(random.IntN(call.ImportanceCount)),
				Draining: random.IntN(8) == 0, ShedFrom: call.Rank(random.IntN(1 << 16)), Waiting: random.IntN(100), WorkLeft: max(0, times.Duration()),
				Pace: []float64{0, 0.01, 0.5, 1, 100}[random.IntN(5)], Waited: max(0, times.Duration()), Ran: max(0, times.Duration()), Usual: max(0, times.Duration()),
			}
		}
		route := func() string { return fmt.Sprint("route-", random.IntN(5)) }
		query := func() LatencyQuery {
			return LatencyQuery{Route: route(), Rank: call.Rank(random.IntN(1 << 16)), TimeLeft: times.Duration(), Bytes: int64(random.IntN(1 << 30))}
		}
		type sent struct {
			id    ID
			route string
		}
		var inFlight []sent
		p.SetCandidates("s", candidates(6))
		for range 1500 {
			now := times.Next()
			switch random.IntN(12) {
			case 0:
				p.SetCandidates("s", candidates(random.IntN(9)))
			case 1, 2, 3, 4:
				q := query()
				if c, err := p.Pick("s", q, now, random); err == nil {
					inFlight = append(inFlight, sent{c.ID, q.Route})
				}
			case 5, 6, 7, 8:
				if len(inFlight) > 0 {
					result := LatencyResult{Outcome: Outcome(random.IntN(int(Abandoned) + 1)), Latency: max(0, times.Duration()), Bytes: int64(random.IntN(1 << 30))}
					if random.IntN(4) > 0 {
						result.Load = load()
					}
					p.Done("s", inFlight[0].id, inFlight[0].route, result, now)
					inFlight = inFlight[1:]
				}
			case 9:
				p.SetReachable(fmt.Sprint("n", random.IntN(9)), random.IntN(2) == 0, now)
			case 10:
				p.Report("s", fmt.Sprint("n", random.IntN(9)), *load(), []workload.UsualTime{{Route: route(), Usual: max(0, times.Duration())}}, now)
			default:
				p.HedgeDelay("s", ID{fmt.Sprint("n", random.IntN(9)), 0}, query(), 0.99, now)
				must.GreaterEq(t, 0, p.ExpectedLatency("s", route()))
				for _, status := range p.WorkStatus() {
					for _, speed := range status.Speeds {
						must.Between(t, 0, speed, math.MaxFloat64)
					}
				}
			}
			if s := p.service("s"); s != nil {
				for _, u := range s.upstreams {
					must.Between(t, 0, u.drift, math.MaxFloat64)
					must.Between(t, 0, u.failures, 1)
				}
			}
		}
		for _, call := range inFlight {
			p.Done("s", call.id, call.route, LatencyResult{Outcome: Abandoned}, times.Next())
		}
		// Of two sound upstreams both are used again.
		pair := []Candidate{{ID: ID{"n0", 0}, FailureDomain: "d0", Region: "r0", Slots: 4}, {ID: ID{"n3", 0}, FailureDomain: "d0", Region: "r0", Slots: 4}}
		p.SetCandidates("s", pair)
		times.After(48 * time.Hour)
		picked := map[string]int{}
		for range 2000 {
			now := times.After(10 * time.Millisecond)
			c, err := p.Pick("s", LatencyQuery{Route: "new", TimeLeft: time.Second}, now, random)
			must.NoError(t, err)
			picked[c.Node]++
			p.Done("s", c.ID, "new", LatencyResult{Latency: 10 * time.Millisecond}, now.Add(10*time.Millisecond))
		}
		must.Greater(t, 100, picked["n0"], must.Sprint(picked))
		must.Greater(t, 100, picked["n3"], must.Sprint(picked))
	})
}
