package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// process is a process of a node, with the signals sent to it.
type process struct {
	signals  []sentSignal // ordered by time
	exitedAt time.Time    // zero while it runs
}

type sentSignal struct {
	signal syscall.Signal
	at     time.Time
}

func (h *history) recordStart(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes[node] = append(h.processes[node], &process{})
}

// latest returns the latest process of the node, or nil. The caller holds the lock.
func (h *history) latest(node string) *process {
	if list := h.processes[node]; len(list) > 0 {
		return list[len(list)-1]
	}
	return nil
}

func (h *history) recordSignal(node string, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.latest(node); p != nil && p.exitedAt.IsZero() {
		p.signals = append(p.signals, sentSignal{s, time.Now()})
	}
}

func (h *history) recordExit(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest(node).exitedAt = time.Now()
}

// stopAt returns the time of the first SIGTERM, or false if there was none.
func (p *process) stopAt() (time.Time, bool) {
	i := slices.IndexFunc(p.signals, func(s sentSignal) bool { return s.signal == syscall.SIGTERM })
	if i < 0 {
		return time.Time{}, false
	}
	return p.signals[i].at, true
}

// killedOrPaused reports whether the process was killed before end or paused between begin and end.
func (p *process) killedOrPaused(begin, end time.Time) bool {
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

// stopLimit is the time within which a process must exit after SIGTERM.
const stopLimit = gracePeriod + stopMargin

// stopping reports whether any process was sent SIGTERM and is still running within stopLimit.
func (h *history) stopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.processes {
		for _, p := range list {
			if stopAt, ok := p.stopAt(); ok && p.exitedAt.IsZero() && time.Since(stopAt) <= stopLimit {
				return true
			}
		}
	}
	return false
}

// checkStops looks for processes that did not exit within stopLimit after SIGTERM.
func (h *history) checkStops(now time.Time) {
	for node, list := range h.processes {
		for _, p := range list {
			stopAt, ok := p.stopAt()
			end := p.exitedAt
			if end.IsZero() {
				end = now
			}
			if ok && end.Sub(stopAt) > stopLimit && !p.killedOrPaused(stopAt, stopAt.Add(stopLimit)) {
				h.addViolation("a process that is told to stop ends by itself in time", node, "it was still running %v after the signal", end.Sub(stopAt))
			}
		}
	}
}

// checkAborted looks for requests that have run and whose client received no complete response because their node
// was sent SIGTERM. A partial response counts only if the upstream of that node sent all of it: if another node or
// the link to it breaks a stream, the node can only abort the response.
func (h *history) checkAborted(sent *request, got response, runs []*run) {
	if got.status != 0 || got.disconnected || got.at.IsZero() || len(runs) == 0 || sent.incarnation == 0 {
		return
	}
	p := h.processes[sent.node.name][sent.incarnation-1]
	stopAt, ok := p.stopAt()
	if !ok || got.at.Before(stopAt) || !p.exitedAt.IsZero() && p.exitedAt.Before(sent.sentAt) {
		return
	}
	begin := stopAt
	if sent.sentAt.Before(begin) {
		begin = sent.sentAt
	}
	if p.killedOrPaused(begin, got.at) {
		return
	}
	if got.partial && !slices.ContainsFunc(runs, func(r *run) bool { return r.complete && r.node == sent.node.name }) {
		return
	}
	h.addViolation("a planned stop cuts no request", sent.ID, "%s: sent %v and aborted %v after the signal, ran at %s: %v",
		sent.node.name, sent.sentAt.Sub(stopAt), got.at.Sub(stopAt), runs[0].Instance, got.err)
}

// stopNodes sends SIGTERM to one node after the other while the upstreams are slow.
func (d *deployment) stopNodes(ctx context.Context) {
	for _, n := range d.nodes {
		n.upstream.setFailure(failureSlow)
	}
	for _, n := range d.nodes {
		sleep(ctx, d.config.Length/time.Duration(len(d.nodes)+1))
		n.signal(syscall.SIGTERM)
	}
}
