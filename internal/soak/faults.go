package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sabotage is a promise that a stand-in breaks on purpose.
type Sabotage string

// Kinds of sabotage, one for each main promise.
const (
	// SabotageRepeat sends non-idempotent requests to two nodes.
	SabotageRepeat Sabotage = "repeat"
	// SabotageRefusal makes upstreams say that they have not run what they ran.
	SabotageRefusal Sabotage = "refusal"
	// SabotageWithdrawal records keys as withdrawn that stay in the configuration.
	SabotageWithdrawal Sabotage = "withdrawal"
	// SabotageRollback writes an old configuration as a new version, unrecorded.
	SabotageRollback Sabotage = "rollback"
	// SabotageCut makes upstreams send half of an answer as if it were whole.
	SabotageCut Sabotage = "cut"
	// SabotageStop kills processes that are recorded as told to stop.
	SabotageStop Sabotage = "stop"
)

const (
	// faultGap is the mean time between the begins of two faults, so that about four overlap.
	faultGap = 500 * time.Millisecond
	// stopGap is the mean time between the begins of two faults around stops, two or three for each run.
	stopGap = 4 * time.Second
	// endlessGap is that of answers without end.
	endlessGap = 4 * time.Second
	// Faults last from shortFault to longFault; the longest outlives the bound on withdrawn keys.
	shortFault = 300 * time.Millisecond
	longFault  = 4 * time.Second
	// seriesShare is the share of faults that hit several nodes at once or one after the other.
	seriesShare = 0.3
	// slowStore and losingStore are a slow store's delay and the share of its answers that are lost.
	slowStore   = 250 * time.Millisecond
	losingStore = 0.3
	// lateWrites take effect after their caller has given up.
	lateWrites = 5
	// reloadCount is the number of reloads in quick succession, up to quickGap apart: a reload takes about as long.
	reloadCount = 4
	quickGap    = 300 * time.Microsecond
	// Stops of a failure domain begin from shortStopGap to longStopGap apart, so that they overlap.
	shortStopGap = 200 * time.Millisecond
	longStopGap  = 500 * time.Millisecond
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// single faults concern the whole deployment and do not come in series.
	single bool
	// hit begins the fault and returns what ends it, nil for nothing.
	hit func(w *world, n *node, random *rand.Rand) (end func())
}

func linkFault(name string, state link, links func(*node) []*proxy) fault {
	return fault{name: name, hit: func(_ *world, n *node, _ *rand.Rand) func() {
		for _, p := range links(n) {
			p.set(state)
		}
		return func() {
			for _, p := range links(n) {
				p.set(linkOpen)
			}
		}
	}}
}

func signalFault(name string, begin, end syscall.Signal) fault {
	return fault{name: name, hit: func(_ *world, n *node, _ *rand.Rand) func() {
		n.signal(begin)
		if end == 0 {
			return nil
		}
		return func() { n.signal(end) }
	}}
}

func upstreamFault(f flaw) fault {
	return fault{name: "upstream " + string(f), hit: func(_ *world, n *node, _ *rand.Rand) func() {
		n.upstream.set(f)
		return func() { n.upstream.set(flawNone) }
	}}
}

func storeFault(name string, begin, end func(*store)) fault {
	return fault{name: name, single: true, hit: func(w *world, _ *node, _ *rand.Rand) func() {
		begin(w.store)
		return func() { end(w.store) }
	}}
}

// faults are all kinds, equally likely.
func faults() []fault {
	peers := func(n *node) []*proxy { return []*proxy{n.peers, n.control} }
	toStore := func(n *node) []*proxy { return []*proxy{n.store} }
	all := func(n *node) []*proxy { return []*proxy{n.peers, n.control, n.store} }
	list := []fault{
		signalFault("kill", syscall.SIGKILL, 0), signalFault("stop", syscall.SIGTERM, 0), signalFault("reload", syscall.SIGHUP, 0),
		signalFault("pause", syscall.SIGSTOP, syscall.SIGCONT),
		linkFault("node silent", linkSilent, all), linkFault("node reset", linkReset, all), linkFault("node one way", linkOneWay, peers),
		linkFault("node delayed", linkDelayed, peers), linkFault("connections forgotten", linkForgotten, all),
		linkFault("store silent for node", linkSilent, toStore), linkFault("store resets node", linkReset, toStore),
		storeFault("store down", func(s *store) { s.memory.SetDown(true) }, func(s *store) { s.memory.SetDown(false) }),
		storeFault("store down, leases lapse", func(s *store) { s.memory.SetDown(true); s.memory.Expire() }, func(s *store) { s.memory.SetDown(false) }),
		storeFault("store slow", func(s *store) { s.memory.SetDelay(slowStore) }, func(s *store) { s.memory.SetDelay(0) }),
		storeFault("store loses answers", func(s *store) { s.setLosing(losingStore) }, func(s *store) { s.setLosing(0) }),
		storeFault("store writes late", func(s *store) { s.memory.DeferWrites(lateWrites) }, func(*store) {}),
		{name: "upstream crash", hit: func(w *world, n *node, _ *rand.Rand) func() {
			n.upstream.replace(w, n.upstream.crash)
			return nil
		}},
		{name: "upstream replaced", hit: func(w *world, n *node, _ *rand.Rand) func() {
			n.upstream.replace(w, func() { n.upstream.drain(context.Background()) })
			return nil
		}},
		{name: "key withdrawn", single: true, hit: withdrawKey},
		{name: "route moved", single: true, hit: func(w *world, _ *node, _ *rand.Rand) func() {
			w.configure(func(o *operator) { o.moved = (o.moved + 1) % serviceCount })
			return nil
		}},
		{name: "rate changed", single: true, hit: func(w *world, _ *node, random *rand.Rand) func() {
			rate := 20 + random.IntN(40)
			w.configure(func(o *operator) { o.rates["w0"] = rate })
			return nil
		}},
	}
	for _, f := range []flaw{flawLost, flawCut, flawExtra, flawForeign, flawSlow, flawErrors} {
		list = append(list, upstreamFault(f))
	}
	return list
}

// stopFaults are stops that follow other signals.
func stopFaults() []fault {
	return []fault{
		{name: "reloads and stop", hit: func(_ *world, n *node, random *rand.Rand) func() {
			gap := time.Duration(random.Float64() * float64(quickGap))
			for range reloadCount {
				n.signal(syscall.SIGHUP)
				for begin := time.Now(); time.Since(begin) < gap; { // a sleep of less than a millisecond takes one
				}
			}
			n.signal(syscall.SIGTERM)
			return nil
		}},
		{name: "rolling stop", single: true, hit: func(w *world, n *node, random *rand.Rand) func() {
			gap := shortStopGap + time.Duration(random.Float64()*float64(longStopGap-shortStopGap))
			w.ends.Go(func() {
				for _, other := range w.nodes {
					if other.domain == n.domain {
						other.signal(syscall.SIGTERM)
						time.Sleep(gap)
					}
				}
			})
			return nil
		}},
		{name: "stop and stop again", hit: func(w *world, n *node, random *rand.Rand) func() {
			pause := time.Duration(random.Float64() * float64(time.Second))
			next := n.started() + 1
			n.signal(syscall.SIGTERM)
			w.ends.Go(func() {
				deadline := time.Now().Add(stopLimit + restartDelay)
				for n.started() < next && time.Now().Before(deadline) {
					time.Sleep(workTime)
				}
				time.Sleep(pause)
				n.signal(syscall.SIGTERM)
			})
			return nil
		}},
	}
}

func endlessFaults() []fault {
	return []fault{upstreamFault(flawEndlessHead), upstreamFault(flawEndlessBody)}
}

// withdrawKey takes the first key of a workspace away unless it is the last. Clients go on with it.
func withdrawKey(w *world, _ *node, random *rand.Rand) func() {
	workspace := fmt.Sprintf("w%d", random.IntN(2))
	w.configure(func(o *operator) {
		if keys := o.keys[workspace]; len(keys) > 1 {
			o.keys[workspace] = keys[1:]
		}
	})
	return nil
}

// configure writes a changed configuration in the background.
func (w *world) configure(alter func(*operator)) {
	w.tasks.Go(func() {
		if err := w.operator.change(alter); err != nil {
			w.logf("configuration not written: %v", err)
		}
	})
}

// replace ends the upstream and starts it again as a new instance, unless that is under way.
func (u *upstream) replace(w *world, end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replacing {
		return
	}
	u.replacing = true
	w.tasks.Go(func() {
		end()
		time.Sleep(restartDelay)
		if err := u.start(); err != nil {
			w.logf("upstream of %s: %v", u.node.name, err)
		}
		u.mu.Lock()
		u.replacing = false
		u.mu.Unlock()
	})
}

// injectFaults plays the schedules of a seed and returns the number of faults, when all have ended. Each schedule
// has its own stream, so that a further one does not change the others.
func (w *world) injectFaults(ctx context.Context) int {
	var count atomic.Int64
	var schedules sync.WaitGroup
	for _, s := range []struct {
		kinds  []fault
		gap    time.Duration
		stream uint64
	}{{faults(), faultGap, faultStream}, {stopFaults(), stopGap, stopStream}, {endlessFaults(), endlessGap, endlessStream}} {
		random := rand.New(rand.NewPCG(w.config.Seed, s.stream))
		schedules.Go(func() { count.Add(int64(w.play(ctx, s.kinds, s.gap, random))) })
	}
	schedules.Wait()
	w.ends.Wait()
	return int(count.Load())
}

// play plays one schedule and returns the number of its faults.
func (w *world) play(ctx context.Context, kinds []fault, meanGap time.Duration, random *rand.Rand) int {
	start := time.Now()
	count := 0
	for ctx.Err() == nil && time.Since(start) < w.config.Length {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanGap)))
		f := kinds[random.IntN(len(kinds))]
		length := shortFault + time.Duration(random.Float64()*float64(longFault-shortFault))
		victims := []*node{w.nodes[random.IntN(len(w.nodes))]}
		if !f.single && random.Float64() < seriesShare {
			victims = w.series(random)
		}
		gap := time.Duration(random.Float64() * float64(shortFault))
		for i, n := range victims {
			if i > 0 {
				sleep(ctx, gap)
			}
			w.logf("%6.2f s  %s at %s for %v", time.Since(start).Seconds(), f.name, n.name, length.Round(time.Millisecond))
			count++
			if end := f.hit(w, n, random); end != nil {
				w.ends.Go(func() { sleep(ctx, length); end() })
			}
		}
	}
	return count
}

// series returns some nodes: those of a failure domain, or a random half.
func (w *world) series(random *rand.Rand) []*node {
	domain := w.nodes[random.IntN(len(w.nodes))].domain
	half := random.IntN(2) == 0
	victims := slices.Clone(w.nodes)
	random.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
	if half {
		return victims[:len(victims)/2]
	}
	return slices.DeleteFunc(victims, func(n *node) bool { return n.domain != domain })
}
