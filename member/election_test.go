package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// perform makes the next call of the election and passes the result to it.
func perform(store kvstore.Store, e *Election, now time.Time, rank int) CallKind {
	ctx := context.Background()
	call := e.Next(now, rank)
	var lease kvstore.LeaseID
	var entry kvstore.Entry
	var err error
	switch call.Kind {
	case NoCall:
		return NoCall
	case GrantLease:
		lease, err = store.GrantLease(ctx, WatcherLease)
	case TakeSlot:
		_, err = store.CompareAndSwap(ctx, call.Key, 0, call.Value, call.Lease)
	case ReadSlot:
		entry, err = store.Get(ctx, call.Key)
	case RenewLease:
		err = store.KeepAlive(ctx, call.Lease)
	case ReleaseLease:
		err = store.RevokeLease(ctx, call.Lease)
	}
	e.Result(now, lease, entry.Value, err)
	return call.Kind
}

// Guards against more or fewer than 3 watchers in a failure domain after a fault, a node that considers itself
// a watcher but holds no slot, and a number of platform calls that grows with the members.
func TestElection(t *testing.T) {
	var calls []int
	for _, members := range []int{5, 50, 500} {
		now := time.Unix(1e6, 0)
		store := kvstore.NewMemory(func() time.Time { return now })
		elections := make([]*Election, members)
		for i := range elections {
			elections[i] = NewElection("a", fmt.Append(nil, "node-", i), rand.New(rand.NewPCG(uint64(i), 1)))
		}
		first := 0 // members with a lower index are dead
		run := func(d time.Duration) int {
			before := 0
			for _, n := range store.Calls() {
				before -= n
			}
			for end := now.Add(d); now.Before(end); now = now.Add(tick) {
				for i, e := range elections[first:] {
					perform(store, e, now, i)
				}
			}
			for _, n := range store.Calls() {
				before += n
			}
			return before
		}
		// holders counts the nodes that consider themselves watchers, and checks that each holds a slot.
		holders := func() int {
			entries, _, err := store.List(context.Background(), WatcherPrefix)
			must.NoError(t, err)
			inSlot := map[string]bool{}
			for _, entry := range entries {
				inSlot[string(entry.Value)] = true
			}
			n := 0
			for _, e := range elections[first:] {
				if e.Holding(now) {
					must.True(t, inSlot[string(e.value)])
					n++
				}
			}
			must.Eq(t, n, len(inSlot))
			return n
		}
		store.LoseResponses(3)
		run(time.Minute)
		must.Eq(t, WatcherSlots, holders())
		calls = append(calls, run(time.Minute))
		first = 2 // two holders stop without releasing their slots
		run(time.Minute)
		must.Eq(t, WatcherSlots, holders())
		store.SetDown(true)
		run(WatcherLease)
		for _, e := range elections {
			must.False(t, e.Holding(now))
		}
		run(time.Minute)
		store.SetDown(false)
		store.LoseRequests(2)
		run(time.Minute)
		must.Eq(t, WatcherSlots, holders())
		elections[first].Drop() // paused
		must.False(t, elections[first].Holding(now))
		run(time.Minute)
		must.Eq(t, WatcherSlots, holders())
	}
	t.Logf("platform calls per minute in a failure domain of 5, 50 and 500 members: %v", calls)
	must.Eq(t, calls[0], calls[2])
	must.LessEq(t, 60, calls[0])
}

// Guards against a holder that keeps its slot although enough members with a lower rank have joined.
func TestElectionReleases(t *testing.T) {
	now := time.Unix(1e6, 0)
	store := kvstore.NewMemory(func() time.Time { return now })
	e := NewElection("a", []byte("x"), rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, GrantLease, perform(store, e, now, 0))
	must.Eq(t, TakeSlot, perform(store, e, now, 0))
	must.Eq(t, NoCall, perform(store, e, now, watcherReleaseRank-1))
	must.Eq(t, ReleaseLease, perform(store, e, now, watcherReleaseRank))
	must.False(t, e.Holding(now))
	must.Eq(t, NoCall, perform(store, e, now.Add(time.Hour), WatcherSlots))
}
