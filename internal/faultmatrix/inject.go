package faultmatrix

import (
	"slices"
	"time"
)

// reach begins the faults of the cell when the workload has reached its step often enough.
func (w *world) reach(s Step, p *process) {
	if w.injected || s != w.cell.Step || w.elapsed() < armed {
		return
	}
	if w.skip > 0 {
		w.skip--
		return
	}
	w.injected = true
	w.logf("step %s at %s", s, p.name)
	w.inject(w.cell.Faults[0], p.name)
	if len(w.cell.Faults) == 1 {
		return
	}
	next := names[(slices.Index(names, p.name)+1)%len(names)]
	if w.cell.Seed%2 == 1 {
		w.inject(w.cell.Faults[1], next)
		return
	}
	// Even seeds begin the second fault in the middle of the first.
	w.faultEnds = w.elapsed() + secondAfter
	w.after(secondAfter, func() { w.inject(w.cell.Faults[1], next) })
}

const secondAfter = 200 * time.Millisecond

func (w *world) inject(fault Fault, name string) {
	w.logf("fault %s at %s", fault, name)
	p := w.processes[name]
	switch fault {
	case Killed:
		w.kill(p)
		w.restart(p, restartAfter, true)
	case Replaced:
		w.kill(p)
		w.restart(p, replaceAfter, false)
	case Frozen:
		p.frozen = true
		w.during(freezeTime, p.thaw)
	case CutFromPeers:
		// Odd seeds cut one node, even ones its whole failure domain.
		cut, key := w.noPeers, name
		if w.cell.Seed%2 == 0 {
			cut, key = w.noDomainPeers, p.domain
		}
		cut[key] = true
		w.during(cutTime, func() { delete(cut, key) })
	case CutFromPlatform:
		w.noPlatform[name] = true
		w.during(outageTime, func() { delete(w.noPlatform, name) })
	case PlatformDown:
		w.store.SetDown(true)
		w.during(outageTime, func() { w.store.SetDown(false) })
	case PlatformSlow:
		w.slow = true
		w.during(slowTime, func() { w.slow = false })
	case PlatformLost:
		w.store.LoseResponses(3)
		if w.cell.Seed%2 == 0 {
			w.store.LoseRequests(1)
		}
	case KeyWithdrawn:
		// An operator who reaches no node has not withdrawn anything.
		for i := slices.Index(names, name); !p.alive || p.frozen; i++ {
			p = w.processes[names[i%len(names)]]
		}
		w.withdrawnAt = w.elapsed()
		p.withdraw(withdrawnHash)
	default:
		f := &messageFault{kind: fault, until: w.now.Add(messageTime), next: true}
		w.messageFaults[name] = append(w.messageFaults[name], f)
		w.during(messageTime, func() {})
	}
}

// during ends a fault after its time.
func (w *world) during(d time.Duration, heal func()) {
	w.faultEnds = max(w.faultEnds, w.elapsed()+d)
	w.after(d, func() {
		w.logf("fault ends")
		heal()
	})
}

func (w *world) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	w.logf("%s ends", p.name)
	for _, name := range append([]string{clientName}, names...) {
		w.processes[name].breakConnections(p.name)
	}
}

// restart starts the next process of a node unless the script has done so. A process that was killed
// leaves its upstream, which remembers the revision that it heard.
func (w *world) restart(p *process, d time.Duration, remembers bool) {
	w.during(d, func() {
		if w.processes[p.name] != p {
			return
		}
		floor := int64(0)
		if remembers {
			floor = p.highest
		}
		w.startProcess(p.name, floor)
	})
}

// thaw lets a frozen process handle what has waited for it, in order.
func (p *process) thaw() {
	p.frozen = false
	waiting := p.deferred
	p.deferred = nil
	for _, f := range waiting {
		p.exec(f)
	}
}

// cut tells whether two processes cannot reach each other.
func (w *world) cut(p, q *process) bool {
	if p.name == clientName || q.name == clientName || p.name == q.name {
		return false
	}
	if w.noPeers[p.name] || w.noPeers[q.name] {
		return true
	}
	return p.domain != q.domain && (w.noDomainPeers[p.domain] || w.noDomainPeers[q.domain])
}

func (w *world) platformLatency() time.Duration {
	if w.slow {
		return w.jitter(150*time.Millisecond, 400*time.Millisecond)
	}
	return w.jitter(time.Millisecond, 4*time.Millisecond)
}
