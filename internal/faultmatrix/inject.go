package faultmatrix

import (
	"slices"
	"time"
)

// injectAt starts the faults of the cell at p if s is the step of the cell and warm-up is over. The first
// stepsToSkip visits of the step are skipped.
func (sim *simulation) injectAt(s Step, p *process) {
	if sim.injected || s != sim.cell.Step || sim.elapsed() < faultsFrom {
		return
	}
	if sim.stepsToSkip > 0 {
		sim.stepsToSkip--
		return
	}
	sim.injected = true
	sim.logf("step %s at %s", s, p.name)
	sim.inject(sim.cell.Faults[0], p.name)
	if len(sim.cell.Faults) == 1 {
		return
	}
	next := nodeNames[(slices.Index(nodeNames, p.name)+1)%len(nodeNames)]
	if sim.cell.Seed%2 == 1 {
		sim.inject(sim.cell.Faults[1], next)
		return
	}
	// With even seeds the second fault starts while most kinds of first faults are still active.
	sim.faultsEndAt = sim.elapsed() + secondFaultDelay
	sim.after(secondFaultDelay, func() { sim.inject(sim.cell.Faults[1], next) })
}

const secondFaultDelay = 200 * time.Millisecond

func (sim *simulation) inject(fault Fault, name string) {
	sim.logf("fault %s at %s", fault, name)
	p := sim.processes[name]
	switch fault {
	case Killed:
		sim.kill(p)
		sim.restart(p, restartDelay, true)
	case VMReplaced:
		sim.kill(p)
		sim.restart(p, replacementDelay, false)
	case Frozen:
		p.frozen = true
		sim.healAfter(freezeDuration, p.thaw)
	case PartitionedFromPeers:
		// Odd seeds partition one node, even seeds its entire failure domain.
		partitions, key := sim.peersPartitioned, name
		if sim.cell.Seed%2 == 0 {
			partitions, key = sim.domainsPartitioned, p.domain
		}
		partitions[key] = true
		sim.healAfter(partitionDuration, func() { delete(partitions, key) })
	case PartitionedFromPlatform:
		sim.platformPartitioned[name] = true
		sim.healAfter(outageDuration, func() { delete(sim.platformPartitioned, name) })
	case PlatformDown:
		sim.store.SetDown(true)
		sim.healAfter(outageDuration, func() { sim.store.SetDown(false) })
	case PlatformSlow:
		sim.slow = true
		sim.healAfter(slowDuration, func() { sim.slow = false })
	case PlatformResponseLost:
		sim.store.LoseResponses(3)
		if sim.cell.Seed%2 == 0 {
			sim.store.LoseRequests(1)
		}
	case KeyWithdrawn:
		// The withdrawal goes to a node that is running: a withdrawal that reaches no node has no effect.
		for i := slices.Index(nodeNames, name); !p.alive || p.frozen; i++ {
			p = sim.processes[nodeNames[i%len(nodeNames)]]
		}
		sim.withdrawnAt = sim.elapsed()
		p.withdraw(withdrawnKeyHash)
	default:
		f := &messageFault{kind: fault, until: sim.now.Add(messageFaultDuration), affectNext: true}
		sim.messageFaults[name] = append(sim.messageFaults[name], f)
		sim.healAfter(messageFaultDuration, func() {})
	}
}

// healAfter calls heal, which ends a fault, after d.
func (sim *simulation) healAfter(d time.Duration, heal func()) {
	sim.faultsEndAt = max(sim.faultsEndAt, sim.elapsed()+d)
	sim.after(d, func() {
		sim.logf("fault ends")
		heal()
	})
}

func (sim *simulation) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	sim.logf("%s is killed", p.name)
	for _, name := range append([]string{clientName}, nodeNames...) {
		sim.processes[name].breakConnections(p.name)
	}
}

// restart starts the next process of a node after d, unless the workload has already done so. With
// keepRevision, the new process starts with the highest revision of the old one as its minimum: the
// upstream outlives a killed node process and remembers that revision.
func (sim *simulation) restart(p *process, d time.Duration, keepRevision bool) {
	sim.healAfter(d, func() {
		if sim.processes[p.name] != p {
			return
		}
		minRevision := int64(0)
		if keepRevision {
			minRevision = p.highestRevision
		}
		sim.startProcess(p.name, minRevision)
	})
}

// thaw resumes a frozen process, which handles its deferred events in order.
func (p *process) thaw() {
	p.frozen = false
	deferred := p.deferred
	p.deferred = nil
	for _, f := range deferred {
		p.exec(f)
	}
}

// partitioned reports whether two processes cannot reach each other.
func (sim *simulation) partitioned(p, q *process) bool {
	if p.name == clientName || q.name == clientName || p.name == q.name {
		return false
	}
	if sim.peersPartitioned[p.name] || sim.peersPartitioned[q.name] {
		return true
	}
	return p.domain != q.domain && (sim.domainsPartitioned[p.domain] || sim.domainsPartitioned[q.domain])
}

func (sim *simulation) platformLatency() time.Duration {
	if sim.slow {
		return sim.jitter(150*time.Millisecond, 400*time.Millisecond)
	}
	return sim.jitter(time.Millisecond, 4*time.Millisecond)
}
