package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// process is one process of a node, with the signals that it was sent.
type process struct {
	signals []sentSignal // by time
	goneAt  time.Time    // zero while it runs
}

type sentSignal struct {
	signal syscall.Signal
	at     time.Time
}

func (l *ledger) started(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[node] = append(l.processes[node], &process{})
}

// newest returns the node's newest process, nil for none. The caller holds the lock.
func (l *ledger) newest(node string) *process {
	if list := l.processes[node]; len(list) > 0 {
		return list[len(list)-1]
	}
	return nil
}

func (l *ledger) signaled(node string, s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.newest(node); p != nil && p.goneAt.IsZero() {
		p.signals = append(p.signals, sentSignal{s, time.Now()})
	}
}

func (l *ledger) gone(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest(node).goneAt = time.Now()
}

// stopAt returns when the process was first told to stop.
func (p *process) stopAt() (time.Time, bool) {
	i := slices.IndexFunc(p.signals, func(s sentSignal) bool { return s.signal == syscall.SIGTERM })
	if i < 0 {
		return time.Time{}, false
	}
	return p.signals[i].at, true
}

// disturbed tells whether the process was killed before end or paused between two times.
func (p *process) disturbed(begin, end time.Time) bool {
	paused := false
	for _, s := range p.signals {
		if s.at.After(end) {
			break
		}
		if paused && s.at.After(begin) || s.signal == syscall.SIGKILL {
			return true
		}
		switch s.signal {
		case syscall.SIGSTOP:
			paused = true
		case syscall.SIGCONT:
			paused = false
		}
	}
	return paused
}

// stopLimit is the time in which a process that is told to stop ends.
const stopLimit = graceTime + stopMargin

// stopping tells whether a process may still end in time.
func (l *ledger) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.processes {
		for _, p := range list {
			if stopAt, ok := p.stopAt(); ok && p.goneAt.IsZero() && time.Since(stopAt) <= stopLimit {
				return true
			}
		}
	}
	return false
}

// checkStops looks for processes that were told to stop and went on.
func (l *ledger) checkStops(now time.Time) {
	for node, list := range l.processes {
		for _, p := range list {
			stopAt, ok := p.stopAt()
			end := p.goneAt
			if end.IsZero() {
				end = now
			}
			if ok && end.Sub(stopAt) > stopLimit && !p.disturbed(stopAt, stopAt.Add(stopLimit)) {
				l.violate("a process that is told to stop ends by itself in time", node, "%v after the signal it had not ended", end.Sub(stopAt))
			}
		}
	}
}

// checkCut looks for requests that have run and whose client got no whole answer because their node was told to
// stop. An answer that came in part counts only if the node's own upstream sent all of it: another node or the
// link to it may break off a stream, which leaves nothing but to abort it.
func (l *ledger) checkCut(sent *request, got reply, runs []*run) {
	if got.status != 0 || got.left || got.at.IsZero() || len(runs) == 0 || sent.incarnation == 0 {
		return
	}
	p := l.processes[sent.node.name][sent.incarnation-1]
	stopAt, ok := p.stopAt()
	if !ok || got.at.Before(stopAt) || !p.goneAt.IsZero() && p.goneAt.Before(sent.sentAt) {
		return
	}
	begin := stopAt
	if sent.sentAt.Before(begin) {
		begin = sent.sentAt
	}
	if p.disturbed(begin, got.at) {
		return
	}
	if got.begun && !slices.ContainsFunc(runs, func(r *run) bool { return r.whole && r.node == sent.node.name }) {
		return
	}
	l.violate("a planned stop cuts no request", sent.ID, "%s: sent %v and cut %v after the signal, ran at %s",
		sent.node.name, sent.sentAt.Sub(stopAt), got.at.Sub(stopAt), runs[0].Instance)
}

// stopEach tells one node after the other to stop, while requests take long.
func (w *world) stopEach(ctx context.Context) {
	for _, n := range w.nodes {
		n.upstream.set(flawSlow)
	}
	for _, n := range w.nodes {
		sleep(ctx, w.config.Length/time.Duration(len(w.nodes)+1))
		n.signal(syscall.SIGTERM)
	}
}
