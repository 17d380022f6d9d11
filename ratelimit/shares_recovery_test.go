package ratelimit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recoveryTarget is the time in which operators expect a fleet to serve again after all nodes are back (recoverS), and
// recoveryShare the share of the requests that it must serve from then on.
const (
	recoveryTarget = 15 * time.Second
	recoveryShare  = 0.25
)

// Times of the registry: of the lease of an entry, and until the others have removed a node whose entry has ended.
const (
	entryLifetime = 9 * time.Second
	entryRemoval  = 4 * time.Second
)

// poweredFleet is a fleet whose nodes have all lost power. Its registry may hold entries of their previous processes.
type poweredFleet struct {
	*boundFleet
	// entries holds the end of each entry, or the zero time while it is renewed.
	entries map[string]time.Time
	// storeAway is when the store stops to answer, storeBack when it answers again.
	storeAway, storeBack time.Time
	// back is when the last node has started.
	back time.Time
	// unconfigured holds how long nodes take to read the rates, by index, where that is unusual.
	unconfigured map[int]time.Duration
}

func newPoweredFleet(seed uint64, nodes, domains int) *poweredFleet {
	f := &poweredFleet{boundFleet: newBoundFleet(seed, nodes, domains, Quota{Rate: 872, Burst: 880}), entries: map[string]time.Time{}}
	f.latency = 500 * time.Microsecond
	f.demand = func(int) float64 { return 0.5 * f.quota.Rate / float64(nodes) }
	return f
}

func (f *poweredFleet) storeAnswers() bool {
	return f.storeAway.IsZero() || f.now.Before(f.storeAway) || !f.now.Before(f.storeBack)
}

// retain keeps the entries of the previous processes of all nodes but these. They end after the given time.
func (f *poweredFleet) retain(end time.Duration, except ...int) {
	for _, n := range f.nodes {
		f.entries[n.Name] = f.now.Add(end)
	}
	for _, i := range except {
		delete(f.entries, f.nodes[i].Name)
	}
}

func (f *poweredFleet) listed(name string) bool {
	end, ok := f.entries[name]
	return ok && (end.IsZero() || f.now.Before(end))
}

// powerOn starts a node after a delay.
func (f *poweredFleet) powerOn(n *boundNode, delay time.Duration) {
	f.back = later(f.back, f.now.Add(delay))
	f.after(delay, func() {
		config := DefaultSharesConfig()
		config.Process = uint64(f.now.UnixNano())
		n.shares, n.known, n.complete, n.loan = NewShares(n.Member, config), nil, false, nil
		n.lastContact, n.lastShare = map[string]time.Time{}, 0
		s := n.shares
		configured, ok := f.unconfigured[n.index]
		if !ok {
			configured = f.upTo(60 * time.Millisecond)
		}
		f.after(configured, func() { s.SetWorkspaces(map[string]Quota{"w": f.quota}, f.now) })
		f.after(10*time.Millisecond+f.upTo(30*time.Millisecond), func() { f.register(n, s) })
		f.after(f.upTo(20*time.Millisecond), func() { f.round(n, s) })
		f.after(f.upTo(20*time.Millisecond), func() { f.arrive(n, s) })
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// register writes the entry of a node once the store answers, and then reads those of the others.
func (f *poweredFleet) register(n *boundNode, s *Shares) {
	if n.shares != s {
		return
	}
	if !f.storeAnswers() {
		f.after(250*time.Millisecond, func() { f.register(n, s) })
		return
	}
	if f.listed(n.Name) {
		s.SetRegistrationSurvived()
	}
	f.entries[n.Name] = time.Time{}
	f.after(5*time.Millisecond+f.upTo(10*time.Millisecond), func() { f.readRegistry(n, s) })
}

// readRegistry reads the registry from time to time. Members whose entries have ended are removed later.
func (f *poweredFleet) readRegistry(n *boundNode, s *Shares) {
	if n.shares != s {
		return
	}
	if f.storeAnswers() {
		n.complete = true
		known := n.known
		n.known = nil
		for _, other := range f.nodes {
			end, listed := f.entries[other.Name]
			expired := listed && !end.IsZero() && f.now.Sub(end) >= entryRemoval
			if other != n && (f.listed(other.Name) || slices.Contains(known, other.Member) && !expired) {
				n.known = append(n.known, other.Member)
			}
		}
		s.SetMembers(n.known, true)
	}
	f.after(400*time.Millisecond, func() { f.readRegistry(n, s) })
}

// die ends a node for good. Its entry ends with its lease.
func (f *poweredFleet) die(n *boundNode) {
	n.shares = nil
	f.entries[n.Name] = f.now.Add(entryLifetime)
}

// recoveryScenarios are the ways in which a fleet comes back after all its nodes have lost power.
var recoveryScenarios = map[string]func(f *poweredFleet){
	"all nodes return": func(f *poweredFleet) {
		f.retain(7 * time.Second)
		f.powerOnAllBut(200 * time.Millisecond)
	},
	// The entry of a node that is gone stays, and those of two others have ended. The first to start miss these two.
	"dead node listed, others not": func(f *poweredFleet) {
		f.retain(time.Minute, 30, 31)
		f.powerOnAllBut(200*time.Millisecond, 7)
	},
	"dead node listed, store away after the start": func(f *poweredFleet) {
		f.storeAway, f.storeBack = f.now.Add(400*time.Millisecond), f.now.Add(time.Minute)
		f.retain(8*time.Second, 30, 31)
		f.powerOnAllBut(200*time.Millisecond, 7)
	},
	"failure domain gone": func(f *poweredFleet) {
		f.retain(8*time.Second, 30, 31)
		f.powerOnAllBut(200*time.Millisecond, 3, 8, 13, 18, 23, 28, 33, 38, 43, 48, 53, 58, 63, 68)
	},
	"failure domain partitioned": func(f *poweredFleet) {
		f.splitDomain, f.healAt = "d3", f.now.Add(time.Minute)
		f.retain(8*time.Second, 30, 31)
		f.powerOnAllBut(200*time.Millisecond, 7)
	},
	"starts over seconds, dead node listed": func(f *poweredFleet) {
		f.retain(8*time.Second, 30, 31)
		f.powerOnAllBut(4*time.Second, 7)
	},
	"store back seconds later, entries ended": func(f *poweredFleet) {
		f.storeAway, f.storeBack = f.now, f.now.Add(3*time.Second)
		f.retain(2 * time.Second)
		f.powerOnAllBut(200*time.Millisecond, 7)
	},
	// The node with the smallest roster ends after the others have learned of it.
	"smallest roster lost": func(f *poweredFleet) {
		f.retain(time.Minute, 30, 31)
		f.powerOn(f.nodes[12], 0)
		f.after(100*time.Millisecond, func() { f.powerOnAllBut(200*time.Millisecond, 7, 12) })
		f.after(800*time.Millisecond, func() { f.die(f.nodes[12]) })
	},
	// All entries have ended. The first node to register is gone before it has met the others.
	"first to register lost, no entries": func(f *poweredFleet) {
		f.powerOn(f.nodes[12], 0)
		f.after(60*time.Millisecond, func() { f.die(f.nodes[12]) })
		f.after(50*time.Millisecond, func() { f.powerOnAllBut(200*time.Millisecond, 12) })
	},
	// All entries have ended. The first node to register gets no response to its first read of the rates, and another one
	// is lost.
	"first to register without rates, no entries": func(f *poweredFleet) {
		f.unconfigured = map[int]time.Duration{12: 1100 * time.Millisecond}
		f.powerOn(f.nodes[12], 0)
		f.after(60*time.Millisecond, func() { f.powerOnAllBut(200*time.Millisecond, 12) })
		f.after(2*time.Second, func() { f.die(f.nodes[40]) })
	},
	// One node did not lose power. It ends while it tells the others their shares.
	"holder of shares lost": func(f *poweredFleet) {
		f.retain(time.Minute)
		f.powerOnAllBut(50 * time.Millisecond)
		f.run(8 * time.Second)
		for _, n := range f.nodes[1:] {
			n.shares = nil
			f.entries[n.Name] = f.now.Add(8 * time.Second)
		}
		f.back = f.now
		f.powerOnAllBut(200*time.Millisecond, 0)
		f.after(350*time.Millisecond, func() { f.die(f.nodes[0]) })
	},
}

// powerOnAllBut starts all nodes but these within the given time.
func (f *poweredFleet) powerOnAllBut(within time.Duration, except ...int) {
	skip := map[int]bool{}
	for _, i := range except {
		skip[i] = true
	}
	for i, n := range f.nodes {
		if !skip[i] && n.shares == nil {
			f.powerOn(n, f.upTo(within))
		}
	}
}

// served runs the fleet for a while and returns the share of the requests that it admitted.
func (f *poweredFleet) served(d time.Duration) float64 {
	f.requests, f.admitted = 0, 0
	f.run(d)
	return float64(f.admitted) / float64(max(1, f.requests))
}

// Guards against a fleet that refuses all requests with a rate after a start of all its nodes, because a node that it
// waits for does not come back (incident RECOVER).
func TestRestartedFleetServesWithoutNodesThatAreGone(t *testing.T) {
	for name, scenario := range recoveryScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPoweredFleet(0, 70, 5)
			scenario(f)
			f.run(f.back.Sub(f.now)) // none is back before
			recovered, waits := time.Duration(-1), map[JoinWait]bool{}
			for f.now.Sub(f.back) < recoveryTarget {
				if f.served(100*time.Millisecond) >= 0.9 && recovered < 0 {
					recovered = f.now.Sub(f.back)
				}
				f.checkWaits(t, waits)
			}
			served := f.served(5 * time.Second)
			t.Logf("serving after %v, %.2f of the requests from %v on, shares up to %.3f, %.1f above the quota; %s; waits %v",
				recovered, served, recoveryTarget, f.share, f.excess(), f.joinStatus(), slices.Sorted(maps.Keys(waits)))
			must.GreaterEq(t, recoveryShare, served, must.Sprintf("served from %v on", recoveryTarget))
			must.LessEq(t, 1, f.excess(), must.Sprint("requests above the quota"))
		})
	}
}

// checkWaits checks that every node without a share tells what it waits for, since when, for which nodes and what ends that, and
// adds these waits.
func (f *poweredFleet) checkWaits(t *testing.T, waits map[JoinWait]bool) {
	for _, n := range f.nodes {
		if n.shares == nil {
			continue
		}
		status := n.shares.JoinStatus(f.now)
		if status.Joined {
			must.Eq(t, WaitNone, status.Wait)
			continue
		}
		waits[status.Wait] = true
		must.NotEq(t, "", status.Ends, must.Sprintf("what ends %q", status.Wait))
		started := time.Unix(0, int64(n.shares.config.Process))
		must.Between(t, 0, status.Seconds, f.now.Sub(started).Seconds(), must.Sprint(status.Wait))
		if status.Wait != WaitRegistry && status.Wait != WaitConfiguration {
			must.Positive(t, status.NodeCount, must.Sprint(status.Wait))
		}
	}
}

// drawReturn draws a return from a loss of power: which entries have ended, which nodes or failure domain are gone or die soon
// after, how far the starts are apart, and whether the store is away or a domain partitioned meanwhile. It returns when the
// store answers and all links work.
func (f *poweredFleet) drawReturn(domains int) (calm time.Time) {
	random, nodes := f.random, len(f.nodes)
	var ended, gone []int
	domain := random.IntN(3 * domains) // gone if it exists
	for i := range nodes {
		if random.IntN(12) == 0 {
			ended = append(ended, i)
		}
		if i%domains == domain || domain >= domains && random.IntN(15) == 0 {
			gone = append(gone, i)
		}
	}
	if random.IntN(4) == 0 {
		clear(f.entries)
	} else {
		f.retain(2*time.Second+f.upTo(20*time.Second), ended...)
	}
	calm = f.now
	switch random.IntN(4) {
	case 0:
		f.storeAway = f.now.Add(f.upTo(time.Second))
		f.storeBack = f.storeAway.Add(f.upTo(6 * time.Second))
		calm = f.storeBack
	case 1:
		f.splitDomain, f.healAt = fmt.Sprintf("d%d", random.IntN(domains)), f.now.Add(f.upTo(8*time.Second))
		calm = f.healAt
	}
	f.powerOnAllBut(100*time.Millisecond+time.Duration(random.IntN(3))*1500*time.Millisecond, gone...)
	for range random.IntN(3) {
		n := f.nodes[random.IntN(nodes)]
		f.after(f.upTo(1500*time.Millisecond), func() {
			if n.shares != nil {
				f.die(n)
			}
		})
	}
	return calm
}

// Guards against any return from a loss of power after which the fleet refuses requests within its rate for longer than
// operators allow, or admits more than its rate.
func TestRestartedFleetServesInTime(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			nodes, domains := 12+int(seed%3)*14, 3+int(seed%3)
			f := newPoweredFleet(seed, nodes, domains)
			if seed%2 == 0 {
				f.demand = func(int) float64 { return 1.5 * f.quota.Rate / float64(nodes) }
			}
			calm := later(f.drawReturn(domains), f.back)
			f.run(calm.Sub(f.now) + recoveryTarget)
			served := f.served(5 * time.Second)
			must.GreaterEq(t, recoveryShare, served, must.Sprintf("served from %v on; %s", recoveryTarget, f.joinStatus()))
			must.LessEq(t, 1, f.excess(), must.Sprintf("requests above the quota, shares up to %.2f", f.share))
		})
	}
}

// joinStatus sums up what the nodes wait for.
func (f *poweredFleet) joinStatus() string {
	waits := map[string]int{}
	for _, n := range f.nodes {
		if n.shares != nil {
			status := n.shares.JoinStatus(f.now)
			waits[fmt.Sprintf("%s %v", status.Wait, status.Nodes)]++
		}
	}
	return fmt.Sprint(waits)
}

// Guards against a fleet that gets almost no share because its first node joins before it knows any rate: the others then
// take what it reports of them, which is nothing.
func TestFirstNodeWithoutRatesDoesNotJoin(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	s.SetMembers(nil, true)
	must.False(t, s.Reconcile(epoch))
	must.Eq(t, WaitConfiguration, s.JoinStatus(epoch).Wait)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 100, Burst: 100}}, epoch)
	must.True(t, s.Reconcile(epoch))
	must.Eq(t, 1, s.Status(epoch)["w"].Share)
}
