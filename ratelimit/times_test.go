package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, a value that is no number, and more than the rate, after times out of order.
func TestSharesTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		const count = 4
		members := make([]Member, count)
		nodes := make([]*Shares, count)
		quotas := map[string]Quota{"a": {Rate: 100, Burst: 100}, "b": {Rate: 0.1, Burst: 1}, "open": {}}
		start := func(i int, process uint64) {
			config := DefaultSharesConfig()
			config.Process = process
			nodes[i] = NewShares(members[i], config)
		}
		others := func(i int) []Member {
			var list []Member
			for j := range members {
				if j != i {
					list = append(list, members[j])
				}
			}
			return list
		}
		for i := range nodes {
			members[i] = Member{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("d", i%2)}
		}
		for i := range nodes {
			start(i, 1)
		}
		workspaces := []string{"a", "b", "open", "unknown"}
		var delayed []func()
		for step := range 2000 {
			i, j := random.IntN(count), random.IntN(count)
			n, other, now, workspace := nodes[i], nodes[j], times.Next(), workspaces[random.IntN(len(workspaces))]
			switch random.IntN(12) {
			case 0:
				n.SetMembers(others(i), random.IntN(8) > 0)
			case 1:
				n.SetWorkspaces(quotas, now)
			case 2, 3, 4:
				if i != j {
					message, at := n.PrepareMessage(members[j].Name, now), times.Next()
					delayed = append(delayed, func() { other.Receive(members[i].Name, message, at) })
				}
			case 5, 6:
				if len(delayed) > 0 {
					k := random.IntN(len(delayed))
					delayed[k]()
					delayed = append(delayed[:k], delayed[k+1:]...)
				}
			case 7:
				n.Reconcile(now)
				n.JoinStatus(times.Next())
			case 8:
				n.Take(workspace, now)
				n.TakeRepeat(workspace, now)
			case 9:
				n.Retake(workspace, now)
				n.PlanLoan(workspace, random.IntN(10), now)
			case 10:
				given, left := other.Lend(workspace, float64(random.IntN(10)), now)
				n.RecordLoan(members[j].Name, workspace, given, left, times.Next())
				must.GreaterEq(t, 0, given)
			default:
				if random.IntN(50) == 0 {
					start(i, uint64(step)+2)
					n = nodes[i]
				}
				n.LoanFailed(members[j].Name)
				for name, status := range n.Status(now) {
					for _, v := range []float64{status.Share, status.Demand, status.Tokens, status.Lent, status.Borrowed} {
						must.Between(t, 0, v, math.MaxFloat64, must.Sprint(name, status))
					}
					must.LessEq(t, float64(quotas[name].Burst)*max(1, status.Share)+status.Borrowed+1e-6, status.Tokens)
				}
			}
		}
		// In regular rounds the nodes hold the whole rate again. What is delayed still is lost.
		for i, n := range nodes {
			n.SetMembers(others(i), true)
			n.SetWorkspaces(quotas, times.After(time.Second))
		}
		for range 100 {
			now := times.After(500 * time.Millisecond)
			for i, n := range nodes {
				for j, other := range nodes {
					if i < j {
						other.Receive(members[i].Name, n.PrepareMessage(members[j].Name, now), now)
						n.Receive(members[j].Name, other.PrepareMessage(members[i].Name, now), now)
					}
				}
			}
			for _, n := range nodes {
				n.Reconcile(now)
			}
		}
		sum := 0.0
		for _, n := range nodes {
			must.True(t, n.Joined())
			sum += n.Status(times.After(time.Millisecond))["a"].Share
		}
		must.Between(t, 0.98, sum, 1.02)
	})
}
