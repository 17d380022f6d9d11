package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// eventLoop is a deterministic event queue with a fake clock, a random source and a trace.
type eventLoop struct {
	start  time.Time
	now    time.Time
	events eventHeap
	order  int
	random *rand.Rand
	trace  []traceLine
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []*event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface. Events at the same time run in the order in which they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

func newEventLoop(seed uint64) *eventLoop {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &eventLoop{start: start, now: start, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

func (l *eventLoop) after(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, &event{at: l.now.Add(d), order: l.order, run: run})
}

func (l *eventLoop) runUntil(end time.Duration) {
	limit := l.start.Add(end)
	for len(l.events) > 0 && !l.events[0].at.After(limit) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run()
	}
	l.now = limit
}

func (l *eventLoop) elapsed() time.Duration { return l.now.Sub(l.start) }

// traceLimit bounds the number of trace lines that are kept.
const traceLimit = 4000

// traceLine is a trace entry that is formatted only when the trace is read.
type traceLine struct {
	at     time.Duration
	format string
	args   []any
}

func (l *eventLoop) logf(format string, args ...any) {
	if len(l.trace) >= traceLimit {
		l.trace = append(l.trace[:0], l.trace[traceLimit/2:]...)
	}
	l.trace = append(l.trace, traceLine{l.elapsed(), format, args})
}

func (l traceLine) String() string {
	return fmt.Sprintf("%8.3f ", l.at.Seconds()) + fmt.Sprintf(l.format, l.args...)
}

// jitter returns a uniform duration in [low, high).
func (l *eventLoop) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(l.random.Int64N(int64(high-low)))
}

// sendError is the result of a remote call as its sender sees it.
type sendError uint8

const (
	delivered sendError = iota
	// notSent means that nothing reached the receiver.
	notSent
	// lost means that the request may have arrived.
	lost
)

// pendingCall is a call in progress on a connection.
type pendingCall struct {
	id   string
	to   string
	done func(payload any, err sendError)
}

// connection identifies the connections to one peer for one kind of message. Each slot carries one call at
// a time and is reused after that call has ended or timed out. A late response can therefore arrive while
// another call is in progress, and only the call id tells them apart.
type connection struct{ to, kind string }

// rpc sends a request to the process that currently runs as node to. done is called exactly once, unless
// the sender stops.
func (p *process) rpc(to, kind string, timeout time.Duration, handle func(q *process, respond func(any)), done func(any, sendError)) {
	sim := p.sim
	sim.calls++
	id := fmt.Sprintf("%s-%d-%d", p.name, p.incarnation, sim.calls)
	target := sim.processes[to]
	if target == nil || !target.alive {
		p.after(2*time.Millisecond, func() { done(nil, notSent) })
		return
	}
	if sim.partitioned(p, target) {
		p.after(100*time.Millisecond, func() { done(nil, notSent) })
		return
	}
	key := connection{to, kind}
	slot := p.freeSlot(key)
	p.pending[key][slot] = &pendingCall{id: id, to: to, done: done}
	p.after(timeout, func() { p.failCall(key, slot, id) })
	sim.deliver(p, to, kind, func(q *process) {
		handle(q, func(payload any) {
			if response, ok := payload.(*upstreamResponse); ok && sim.truncatesResponse(q.name, p.name) {
				payload = response.truncated()
			}
			sim.deliver(q, p.name, kind, func(receiver *process) {
				if receiver == p {
					p.receiveResponse(key, slot, id, payload)
				}
			})
		})
	})
}

func (p *process) freeSlot(key connection) int {
	for i, c := range p.pending[key] {
		if c == nil {
			return i
		}
	}
	p.pending[key] = append(p.pending[key], nil)
	return len(p.pending[key]) - 1
}

func (p *process) receiveResponse(key connection, slot int, id string, payload any) {
	c := p.pending[key][slot]
	if c == nil || c.id != id && !p.sim.mutations.AcceptAnyResponse {
		return
	}
	p.pending[key][slot] = nil
	if response, ok := payload.(*upstreamResponse); ok && len(response.body) < response.length && !p.sim.mutations.AcceptTruncatedResponse {
		c.done(nil, lost)
		return
	}
	c.done(payload, delivered)
}

func (p *process) failCall(key connection, slot int, id string) {
	if c := p.pending[key][slot]; c != nil && c.id == id {
		p.pending[key][slot] = nil
		c.done(nil, lost)
	}
}

// breakConnections fails all pending calls to a process that was killed.
func (p *process) breakConnections(to string) {
	for _, kind := range rpcKinds {
		key := connection{to, kind}
		for slot, c := range p.pending[key] {
			if c != nil {
				p.after(5*time.Millisecond, func() { p.failCall(key, slot, c.id) })
			}
		}
	}
}

// messageFault is a fault that affects messages from and to a node.
type messageFault struct {
	kind  Fault
	until time.Time
	// affectNext makes the fault certain for the first message.
	affectNext bool
}

// deliver sends a message to the process that runs as node to when the message arrives.
func (sim *simulation) deliver(from *process, to, kind string, handle func(*process)) {
	arrive := func(delay time.Duration) {
		sim.after(delay, func() {
			q := sim.processes[to]
			if q == nil || !q.alive || sim.partitioned(from, q) {
				return
			}
			q.exec(func() { handle(q) })
		})
	}
	delay := sim.jitter(500*time.Microsecond, 2*time.Millisecond)
	// Callers connect by TCP directly, without a cowslipglade node in between, so their messages can be lost or
	// delayed but not duplicated.
	external := from.name == clientName || to == clientName
	for _, name := range []string{from.name, to} {
		for _, f := range sim.messageFaults[name] {
			if sim.now.After(f.until) || !f.affectNext && sim.random.IntN(2) == 0 {
				continue
			}
			f.affectNext = false
			switch {
			case f.kind == MessageLost:
				sim.logf("message %s %s>%s lost", kind, from.name, to)
				return
			case f.kind == MessageDelayed:
				delay += sim.jitter(50*time.Millisecond, 1500*time.Millisecond)
			case f.kind == MessagesReordered:
				delay += sim.jitter(0, 80*time.Millisecond)
			case f.kind == MessageDuplicated && !external:
				arrive(delay + sim.jitter(0, 600*time.Millisecond))
			}
		}
	}
	arrive(delay)
}

// truncatesResponse reports whether a response between two nodes arrives incomplete.
func (sim *simulation) truncatesResponse(names ...string) bool {
	for _, name := range names {
		for _, f := range sim.messageFaults[name] {
			if f.kind == MessageLost && !sim.now.After(f.until) {
				return sim.random.IntN(3) == 0
			}
		}
	}
	return false
}
