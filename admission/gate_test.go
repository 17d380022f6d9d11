package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

func newTestGate(tb testing.TB, slots int, withdrawn func(*Item) bool) *Gate {
	queue, err := NewQueue(DefaultConfig(slots), NewFixedLimiter(slots))
	must.NoError(tb, err)
	return NewGate(queue, GateConfig{Now: time.Now, Random: rand.Float64, Withdrawn: withdrawn})
}

// waitQueued waits until n items are queued at g.
func waitQueued(tb testing.TB, g *Gate, n int) {
	for range 2000 {
		g.mu.Lock()
		queued := g.queue.Queued()
		g.mu.Unlock()
		if queued == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	tb.Fatalf("queue length did not reach %d within 2 s", n)
}

// TestGateConcurrent guards against more running calls than the limit, slots that leak when a caller's
// context ends while it is being granted a slot, and data races.
func TestGateConcurrent(t *testing.T) {
	const slots = 8
	g := newTestGate(t, slots, func(item *Item) bool { return item.KeyHash == "withdrawn" })
	var running, granted, refused atomic.Int64
	var callers sync.WaitGroup
	for caller := range 64 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for range 200 {
				item := &Item{
					Workspace:  string(rune('a' + caller%5)),
					Importance: call.Importance(random.IntN(call.ImportanceCount)),
					KeyHash:    []string{"", "withdrawn"}[random.IntN(2)],
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(2000))*time.Microsecond)
				release, err := g.Acquire(ctx, item)
				if err != nil {
					var refusal *call.Refusal
					must.True(t, errors.As(err, &refusal))
					must.Eq(t, call.NotRun, refusal.Outcome)
					refused.Add(1)
				} else {
					granted.Add(1)
					must.LessEq(t, slots, running.Add(1))
					time.Sleep(time.Duration(random.IntN(200)) * time.Microsecond)
					running.Add(-1)
					release(Succeeded)
				}
				cancel()
				if random.IntN(20) == 0 {
					g.DropMatching(func(item *Item) bool { return item.KeyHash == "withdrawn" })
					g.Sweep()
				}
			}
		})
	}
	callers.Wait()
	must.True(t, g.Idle())
	must.Eq(t, 64*200, granted.Load()+refused.Load())
	must.Positive(t, granted.Load())
}

// TestGateRefusals guards against work that runs with a withdrawn key, stays queued after its caller
// canceled it or is accepted during a drain, and against slots that leak in these cases.
func TestGateRefusals(t *testing.T) {
	var withdrawn atomic.Bool
	g := newTestGate(t, 1, func(*Item) bool { return withdrawn.Load() })
	ctx, cancel := context.WithCancel(t.Context())
	expectRefusal := func(code call.Code, trigger func()) {
		release, err := g.Acquire(t.Context(), &Item{})
		must.NoError(t, err)
		result := make(chan error)
		go func() {
			_, err := g.Acquire(ctx, &Item{KeyHash: "k"})
			result <- err
		}()
		waitQueued(t, g, 1)
		trigger()
		if code == call.CodeWithdrawnKey && withdrawn.Load() {
			release(Succeeded)
			release(Succeeded) // a second release must not free another slot
			must.Eq(t, code, call.AsRefusal(<-result).Code)
		} else {
			must.Eq(t, code, call.AsRefusal(<-result).Code)
			release(Succeeded)
		}
		must.True(t, g.Idle())
	}
	expectRefusal(call.CodeWithdrawnKey, func() {
		must.Eq(t, 1, g.DropMatching(func(item *Item) bool { return item.KeyHash == "k" }))
	})
	expectRefusal(call.CodeWithdrawnKey, func() { withdrawn.Store(true) })
	withdrawn.Store(false)
	expectRefusal(call.CodeCanceled, cancel)
	g.SetDraining(true)
	_, err := g.Acquire(t.Context(), &Item{})
	must.Eq(t, call.CodeDraining, call.AsRefusal(err).Code)
	must.True(t, g.Load().Draining)
}

// TestGateWithdrawnOnArrival guards against a call that finds a free slot and runs with a key that this
// node knows to be withdrawn. That happens if the node that checked the key does not know it yet.
func TestGateWithdrawnOnArrival(t *testing.T) {
	g := newTestGate(t, 1, func(i *Item) bool { return i.KeyHash == "withdrawn" })
	_, err := g.Acquire(t.Context(), &Item{KeyHash: "withdrawn"})
	var refusal *call.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, call.CodeWithdrawnKey, refusal.Code)
	must.Eq(t, call.NotRun, refusal.Outcome)
	must.True(t, g.Idle())
	release, err := g.Acquire(t.Context(), &Item{KeyHash: "valid"})
	must.NoError(t, err)
	release(Succeeded)
}

// TestGateAllocations guards against allocations on the uncontended path.
func TestGateAllocations(t *testing.T) {
	g := newTestGate(t, 4, nil)
	item := &Item{Workspace: "a", Route: "r"}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		release, _ := g.Acquire(t.Context(), item)
		release(Succeeded)
	}))
}

func BenchmarkGateUncontended(b *testing.B) {
	g := newTestGate(b, 4, nil)
	item := &Item{Workspace: "a", Route: "r"}
	b.ReportAllocs()
	for b.Loop() {
		release, _ := g.Acquire(b.Context(), item)
		release(Succeeded)
	}
}

// BenchmarkGateQueued measures the handover of a single slot between contending callers.
func BenchmarkGateQueued(b *testing.B) {
	g := newTestGate(b, 1, nil)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		item := &Item{Workspace: "a", Route: "r"}
		for pb.Next() {
			if release, err := g.Acquire(b.Context(), item); err == nil {
				release(Succeeded)
			}
		}
	})
}

// A caller whose context has ended gets no slot, even if one was granted at the same moment, and frees it for the next.
func TestGateEndedCallerGetsNoSlot(t *testing.T) {
	g := newTestGate(t, 1, nil)
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		release, err := g.Acquire(ctx, &Item{})
		must.NoError(t, err)
		_, err = g.AcquireQueued(ctx, &Item{}, func() {
			cancel()
			release(Succeeded)
		})
		must.Error(t, err, must.Sprint("a slot for a caller that had ended"))
		must.Eq(t, call.CodeCanceled, call.AsRefusal(err).Code)
		must.True(t, g.Idle())
		_, err = g.Acquire(ctx, &Item{})
		must.Error(t, err, must.Sprint("a free slot for a caller that had ended"))
		must.Eq(t, call.CodeCanceled, call.AsRefusal(err).Code)
		must.True(t, g.Idle())
	}
}
