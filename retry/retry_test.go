package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cowslipglade/cowslipglade/call"
)

// TestDecide runs the script testdata/decide.
func TestDecide(t *testing.T) {
	config := DefaultConfig()
	random := rand.New(rand.NewPCG(1, 1))
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		budget, failure := NewBudget(1), Failure{Attempt: 1, Remaining: time.Second, Outcome: call.MayHaveRun}
		failure.Idempotent, failure.Final = d.HasArg("idempotent"), d.HasArg("final")
		if d.HasArg("not_run") {
			failure.Outcome = call.NotRun
		}
		if d.HasArg("late") {
			failure.Remaining = config.RemainingMinimum - 1
		}
		if d.HasArg("spent") {
			budget = NewBudget(0)
		}
		var out strings.Builder
		for _, code := range strings.Fields(d.Input) {
			failure.Code = call.Code(code)
			decision := config.Decide(failure, budget, random)
			must.Eq(t, decision.Reason == Retried, decision.Retry)
			fmt.Fprintf(&out, "%s: %s, left %d\n", code, decision.Reason, budget.Remaining())
		}
		return out.String()
	})
}

// Guards against synchronized retries and against waits out of bounds.
func TestBackoff(t *testing.T) {
	config := DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		attempt := rapid.IntRange(-1, 1<<40).Draw(t, "attempt")
		must.Between(t, 0, config.Backoff(attempt, random), config.BackoffLimit)
		must.Between(t, 0, config.Backoff(1, random), config.BackoffBase)
		must.Between(t, time.Second, config.SpreadRetryAfter(time.Second, random), 1500*time.Millisecond)
		must.Zero(t, config.SpreadRetryAfter(0, random))
	})
}

// For any sequence of overlapping requests, top-ups and evictions, the tokens spent must not exceed
// Ratio times the number of requests.
func TestBucketsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.BucketCount = 1 // forces evictions
		buckets := NewBuckets(config)
		rules := Rules{Ratio: 0.05, Limit: rapid.IntRange(0, 3).Draw(t, "limit")}
		var open []*Budget
		roots, spent := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			key := Key{Workspace: "w", Route: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "route") / 20)}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if len(open) > 0 {
					buckets.Return(key, open[0])
					buckets.TopUp(key, rules, open[0])
					must.Zero(t, open[0].Remaining())
					open = open[1:]
				}
			case 1:
				if len(open) > 0 {
					buckets.TopUp(key, rules, open[0])
					must.LessEq(t, rules.Limit, open[0].Remaining())
					if open[0].Spend() {
						spent++
					}
				}
			default:
				roots++
				open = append(open, buckets.Reserve(key, rules))
			}
			must.True(t, 20*spent <= roots)
		}
	})
}

// Guards against data races and lost tokens; run with -race.
func TestConcurrentUse(t *testing.T) {
	buckets := NewBuckets(DefaultConfig())
	key := Key{Workspace: "w", Route: "/r"}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 500 {
				budget := buckets.Reserve(key, Rules{Ratio: 0.05, Limit: 1})
				grant := budget.Grant()
				group.Go(func() { grant.Settle(grant.Tokens()) })
				grant.SettleUnsent()
				buckets.Return(key, budget)
			}
		})
	}
	group.Wait()
	must.Eq(t, 10, buckets.Level(key))
}

func BenchmarkBuckets(b *testing.B) {
	buckets := NewBuckets(DefaultConfig())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		workspaces := strings.Fields("mirror glass pane frame bevel tint float sheet")
		for i := 0; pb.Next(); i++ {
			key := Key{Workspace: workspaces[i%len(workspaces)], Route: "/stock/check"}
			budget := buckets.Reserve(key, Rules{Ratio: 0.05, Limit: 1})
			grant := budget.Grant()
			grant.Settle(grant.Tokens())
			buckets.Return(key, budget)
		}
	})
}
