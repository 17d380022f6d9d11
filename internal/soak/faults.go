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

// Defect is a guarantee that the soak violates deliberately, to test its checks.
type Defect string

// Defects, one for each main guarantee.
const (
	// DefectRepeat sends non-idempotent requests to two nodes.
	DefectRepeat Defect = "repeat"
	// DefectRefusal makes upstreams report requests that they ran as not executed.
	DefectRefusal Defect = "refusal"
	// DefectWithdrawal records keys as withdrawn that remain in the configuration.
	DefectWithdrawal Defect = "withdrawal"
	// DefectRollback writes an old configuration as a new version without recording it.
	DefectRollback Defect = "rollback"
	// DefectTruncate makes upstreams send half of a response as if it were complete.
	DefectTruncate Defect = "cut"
	// DefectStop sends SIGKILL to processes that are recorded as having received SIGTERM.
	DefectStop Defect = "stop"
)

const (
	// faultInterval is the mean time between the starts of two faults, so that about four overlap.
	faultInterval = 500 * time.Millisecond
	// stopFaultInterval is the mean time between the starts of two stopFaults, two or three in each run.
	stopFaultInterval = 4 * time.Second
	// endlessFaultInterval is the mean time between the starts of two endlessFaults.
	endlessFaultInterval = 4 * time.Second
	// malformedFaultInterval is the mean time between the starts of two malformedFaults.
	malformedFaultInterval = 2 * time.Second
	// Faults last from minFaultDuration to maxFaultDuration, which exceeds the bound on key withdrawal.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// multiNodeFraction is the fraction of faults that affect several nodes, simultaneously or in sequence.
	multiNodeFraction = 0.3
	// storeDelay is the delay of a slow store, storeResponseLoss the fraction of responses that it loses.
	storeDelay        = 250 * time.Millisecond
	storeResponseLoss = 0.3
	// deferredWrites is the number of writes that take effect after their caller has given up.
	deferredWrites = 5
	// reloadCount is the number of reloads in quick succession, up to maxReloadGap apart, which is about the
	// duration of a reload.
	reloadCount  = 4
	maxReloadGap = 300 * time.Microsecond
	// The nodes of a failure domain stop from minStopGap to maxStopGap apart, so that their shutdowns overlap.
	minStopGap = 200 * time.Millisecond
	maxStopGap = 500 * time.Millisecond
)

// fault is a kind of fault, which is injected and may end later.
type fault struct {
	name string
	// singleTarget faults are not injected at several nodes, as they affect a failure domain or the entire deployment.
	singleTarget bool
	// inject starts the fault and returns the function that ends it, or nil if there is nothing to end.
	inject func(d *deployment, n *node, random *rand.Rand) (end func())
}

func linkFault(name string, state linkState, links func(*node) []*proxy) fault {
	return fault{name: name, inject: func(_ *deployment, n *node, _ *rand.Rand) func() {
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
	return fault{name: name, inject: func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.signal(begin)
		if end == 0 {
			return nil
		}
		return func() { n.signal(end) }
	}}
}

func upstreamFault(f failureMode) fault {
	return fault{name: "upstream " + string(f), inject: func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.upstream.setFailure(f)
		return func() { n.upstream.setFailure(failureNone) }
	}}
}

func storeFault(name string, begin, end func(*store)) fault {
	return fault{name: name, singleTarget: true, inject: func(d *deployment, _ *node, _ *rand.Rand) func() {
		begin(d.store)
		return func() { end(d.store) }
	}}
}

// faults returns the faults of the main schedule, which are equally likely.
func faults() []fault {
	peers := func(n *node) []*proxy { return []*proxy{n.peers, n.control} }
	toStore := func(n *node) []*proxy { return []*proxy{n.store} }
	all := func(n *node) []*proxy { return []*proxy{n.peers, n.control, n.store} }
	list := []fault{
		signalFault("kill", syscall.SIGKILL, 0), signalFault("stop", syscall.SIGTERM, 0), signalFault("reload", syscall.SIGHUP, 0),
		signalFault("pause", syscall.SIGSTOP, syscall.SIGCONT),
		linkFault("node silent", linkBlackhole, all), linkFault("node reset", linkReset, all), linkFault("node one way", linkOneWay, peers),
		linkFault("node delayed", linkDelayed, peers), linkFault("connections forgotten", linkStale, all),
		linkFault("store silent for node", linkBlackhole, toStore), linkFault("store resets node", linkReset, toStore),
		storeFault("store down", func(s *store) { s.memory.SetDown(true) }, func(s *store) { s.memory.SetDown(false) }),
		storeFault("store down, leases expire", func(s *store) { s.memory.SetDown(true); s.memory.Expire() }, func(s *store) { s.memory.SetDown(false) }),
		storeFault("store slow", func(s *store) { s.memory.SetDelay(storeDelay) }, func(s *store) { s.memory.SetDelay(0) }),
		storeFault("store loses responses", func(s *store) { s.setResponseLoss(storeResponseLoss) }, func(s *store) { s.setResponseLoss(0) }),
		storeFault("store writes late", func(s *store) { s.memory.DeferWrites(deferredWrites) }, func(*store) {}),
		{name: "upstream crash", inject: func(d *deployment, n *node, _ *rand.Rand) func() {
			n.upstream.replace(d, n.upstream.crash)
			return nil
		}},
		{name: "upstream replaced", inject: func(d *deployment, n *node, _ *rand.Rand) func() {
			n.upstream.replace(d, func() { n.upstream.drain(context.Background()) })
			return nil
		}},
		{name: "key withdrawn", singleTarget: true, inject: withdrawKey},
		{name: "route moved", singleTarget: true, inject: func(d *deployment, _ *node, _ *rand.Rand) func() {
			d.configure(func(o *operator) { o.movingService = (o.movingService + 1) % serviceCount })
			return nil
		}},
		{name: "rate changed", singleTarget: true, inject: func(d *deployment, _ *node, random *rand.Rand) func() {
			rate := 20 + random.IntN(40)
			d.configure(func(o *operator) { o.rates["w0"] = rate })
			return nil
		}},
	}
	for _, f := range []failureMode{failureNoResponse, failureTruncated, failureExtraResponse, failureWrongRequestID, failureSlow, failureErrors} {
		list = append(list, upstreamFault(f))
	}
	return list
}

// stopFaults returns shutdowns that shortly follow other signals.
func stopFaults() []fault {
	return []fault{
		{name: "reloads and stop", inject: func(_ *deployment, n *node, random *rand.Rand) func() {
			gap := time.Duration(random.Float64() * float64(maxReloadGap))
			for range reloadCount {
				n.signal(syscall.SIGHUP)
				for begin := time.Now(); time.Since(begin) < gap; { // busy-wait: a sleep takes at least 1 ms
				}
			}
			n.signal(syscall.SIGTERM)
			return nil
		}},
		{name: "rolling stop", singleTarget: true, inject: func(d *deployment, n *node, random *rand.Rand) func() {
			gap := minStopGap + time.Duration(random.Float64()*float64(maxStopGap-minStopGap))
			d.faultEnds.Go(func() {
				for _, other := range d.nodes {
					if other.domain == n.domain {
						other.signal(syscall.SIGTERM)
						time.Sleep(gap)
					}
				}
			})
			return nil
		}},
		{name: "stop and stop again", inject: func(d *deployment, n *node, random *rand.Rand) func() {
			pause := time.Duration(random.Float64() * float64(time.Second))
			next := n.processCount() + 1
			n.signal(syscall.SIGTERM)
			d.faultEnds.Go(func() {
				deadline := time.Now().Add(stopLimit + restartDelay)
				for n.processCount() < next && time.Now().Before(deadline) {
					time.Sleep(serviceTime)
				}
				time.Sleep(pause)
				n.signal(syscall.SIGTERM)
			})
			return nil
		}},
	}
}

// endlessFaults returns responses that never end.
func endlessFaults() []fault {
	return []fault{upstreamFault(failureEndlessHeader), upstreamFault(failureEndlessBody)}
}

// malformedFaults returns responses that are no response to their request.
func malformedFaults() []fault {
	return []fault{upstreamFault(failureTruncatedHeader), upstreamFault(failureRepeatedRefusal)}
}

// withdrawKey withdraws the first key of a random workspace unless it is the only one. Clients keep using it.
func withdrawKey(d *deployment, _ *node, random *rand.Rand) func() {
	workspace := fmt.Sprintf("w%d", random.IntN(2))
	d.configure(func(o *operator) {
		if keys := o.keys[workspace]; len(keys) > 1 {
			o.keys[workspace] = keys[1:]
		}
	})
	return nil
}

// configure updates the configuration in the background.
func (d *deployment) configure(update func(*operator)) {
	d.background.Go(func() {
		if err := d.operator.change(update); err != nil {
			d.logf("failed to write the configuration: %v", err)
		}
	})
}

// replace calls end to stop the upstream and starts a new instance, unless a replacement is in progress.
func (u *upstream) replace(d *deployment, end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.replacing {
		return
	}
	u.replacing = true
	d.background.Go(func() {
		end()
		time.Sleep(restartDelay)
		if err := u.start(); err != nil {
			d.logf("failed to start the upstream of %s: %v", u.node.name, err)
		}
		u.mu.Lock()
		u.replacing = false
		u.mu.Unlock()
	})
}

// injectFaults runs the fault schedules and returns the number of faults once all have ended. Each schedule has
// its own random stream, so that adding a schedule does not change the others.
func (d *deployment) injectFaults(ctx context.Context) int {
	var count atomic.Int64
	var schedules sync.WaitGroup
	for _, s := range []struct {
		kinds        []fault
		meanInterval time.Duration
		stream       uint64
	}{{faults(), faultInterval, faultStream}, {stopFaults(), stopFaultInterval, stopStream}, {endlessFaults(), endlessFaultInterval, endlessStream}, {malformedFaults(), malformedFaultInterval, malformedStream}} {
		random := rand.New(rand.NewPCG(d.config.Seed, s.stream))
		schedules.Go(func() { count.Add(int64(d.runSchedule(ctx, s.kinds, s.meanInterval, random))) })
	}
	schedules.Wait()
	d.faultEnds.Wait()
	return int(count.Load())
}

// runSchedule runs one schedule and returns the number of its faults.
func (d *deployment) runSchedule(ctx context.Context, kinds []fault, meanInterval time.Duration, random *rand.Rand) int {
	start := time.Now()
	count := 0
	for ctx.Err() == nil && time.Since(start) < d.config.Length {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanInterval)))
		f := kinds[random.IntN(len(kinds))]
		duration := minFaultDuration + time.Duration(random.Float64()*float64(maxFaultDuration-minFaultDuration))
		targets := []*node{d.nodes[random.IntN(len(d.nodes))]}
		if !f.singleTarget && random.Float64() < multiNodeFraction {
			targets = d.selectNodes(random)
		}
		gap := time.Duration(random.Float64() * float64(minFaultDuration))
		for i, n := range targets {
			if i > 0 {
				sleep(ctx, gap)
			}
			d.logf("%6.2f s  %s at %s for %v", time.Since(start).Seconds(), f.name, n.name, duration.Round(time.Millisecond))
			count++
			if end := f.inject(d, n, random); end != nil {
				d.faultEnds.Go(func() { sleep(ctx, duration); end() })
			}
		}
	}
	return count
}

// selectNodes returns the nodes of a random failure domain or a random half of all nodes.
func (d *deployment) selectNodes(random *rand.Rand) []*node {
	domain := d.nodes[random.IntN(len(d.nodes))].domain
	half := random.IntN(2) == 0
	targets := slices.Clone(d.nodes)
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if half {
		return targets[:len(targets)/2]
	}
	return slices.DeleteFunc(targets, func(n *node) bool { return n.domain != domain })
}
