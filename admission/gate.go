package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// GateConfig holds the dependencies of a Gate.
type GateConfig struct {
	// Now returns the current time.
	Now func() time.Time
	// Random returns a uniform random number in [0, 1). It is called with the lock of the Gate held.
	Random func() float64
	// Withdrawn reports whether this node knows that the key of an item is withdrawn. It is called on
	// arrival, because the node that checked the key may not have received the withdrawal yet, and again
	// when a queued item is dequeued, on the goroutine of the caller without a lock. Nil means never.
	Withdrawn func(*Item) bool
}

// Gate wraps a Queue for concurrent callers. All methods are safe for concurrent use. A Gate starts no
// goroutines: waiters are woken by calls that arrive or end, and by Sweep.
type Gate struct {
	cfg GateConfig

	mu        sync.Mutex
	queue     *Queue
	freeSlots *slot
}

// slot is a running call. Slots are reused, so that starting a call without queueing does not allocate.
type slot struct {
	gate       *Gate
	held       bool
	started    time.Time
	route      string
	downstream *atomic.Int64 // Item.Downstream
	release    func(Result)
	nextFree   *slot
}

// waiter is a queued call.
type waiter struct {
	Work
	// done is closed once the work is Running or Refused.
	done chan struct{}
}

// NewGate returns a Gate around queue, which must no longer be used directly.
func NewGate(queue *Queue, cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, queue: queue}
}

// Acquire blocks until the item has a slot or is refused. On success, release must be called exactly
// once, when the call has ended. Errors are of type *call.Refusal with outcome NotRun. Canceling ctx
// removes the item from the queue.
func (g *Gate) Acquire(ctx context.Context, item *Item) (release func(Result), err error) {
	return g.AcquireQueued(ctx, item, func() {})
}

// AcquireQueued is like Acquire and calls queued before it waits.
func (g *Gate) AcquireQueued(ctx context.Context, item *Item, queued func()) (release func(Result), err error) {
	withdrawn := g.withdrawn(item)
	release, w, err := g.offer(ctx, g.cfg.Now(), item, withdrawn)
	if w == nil {
		return release, err
	}
	queued()
	return g.wait(ctx, w)
}

func (g *Gate) withdrawn(item *Item) bool {
	return g.cfg.Withdrawn != nil && g.cfg.Withdrawn(item)
}

// offer starts or refuses the item, or returns a waiter if it is queued.
func (g *Gate) offer(ctx context.Context, now time.Time, item *Item, withdrawn bool) (release func(Result), queued *waiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if withdrawn {
		return nil, nil, g.refusal(now, Withdrawn)
	}
	if ctx.Err() != nil {
		return nil, nil, g.refusal(now, endReason(ctx))
	}
	if g.queue.TryStart(now, item) {
		return g.takeSlot(now, item).release, nil, nil
	}
	w := &waiter{Work: Work{Item: *item}, done: make(chan struct{})}
	w.owner = w
	state := g.queue.Offer(now, &w.Work)
	g.wakeDecided()
	switch state {
	case Running:
		return g.takeSlot(now, item).release, nil, nil
	case Refused:
		return nil, nil, g.refusal(now, w.Reason)
	}
	return nil, w, nil
}

func (g *Gate) wait(ctx context.Context, w *waiter) (func(Result), error) {
	select {
	case <-w.done:
	case <-ctx.Done():
		return nil, g.abandon(ctx, w)
	}
	if w.State == Running && ctx.Err() != nil { // select picks one of two ready channels at random
		return nil, g.abandon(ctx, w)
	}
	withdrawn := w.State == Running && g.withdrawn(&w.Item)
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case w.State == Refused:
		return nil, g.refusal(now, w.Reason)
	case withdrawn:
		g.queue.Finish(now, w.Started, w.Route, 0, Ignored)
		g.wakeDecided()
		return nil, g.refusal(now, Withdrawn)
	}
	return g.takeSlot(w.Started, &w.Item).release, nil
}

// abandon removes the item after ctx has ended, and frees the slot if the item was started in the
// meantime.
func (g *Gate) abandon(ctx context.Context, w *waiter) error {
	reason := endReason(ctx)
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(now, &w.Work, reason) && w.State == Running {
		g.queue.Finish(now, w.Started, w.Route, 0, Ignored)
		g.wakeDecided()
	}
	return g.refusal(now, reason)
}

// endReason returns the reason of a refusal for a context that has ended.
func endReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlinePassed
	}
	return Canceled
}

func (g *Gate) refusal(now time.Time, reason Reason) error {
	return g.queue.Refusal(now, reason, g.cfg.Random())
}

// wakeDecided wakes the waiters whose work was started or refused.
func (g *Gate) wakeDecided() {
	for w := g.queue.NextDecided(); w != nil; w = g.queue.NextDecided() {
		close(w.owner.done)
	}
}

func (g *Gate) takeSlot(started time.Time, item *Item) *slot {
	s := g.freeSlots
	if s == nil {
		s = &slot{gate: g}
		s.release = s.finish
	} else {
		g.freeSlots = s.nextFree
	}
	s.held = true
	s.started = started
	s.route = item.Route
	s.downstream = item.Downstream
	return s
}

// finish frees the slot.
func (s *slot) finish(r Result) {
	g := s.gate
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.held {
		return
	}
	s.held = false
	s.nextFree = g.freeSlots
	g.freeSlots = s
	var downstream time.Duration
	if s.downstream != nil {
		downstream = time.Duration(s.downstream.Load())
		s.downstream = nil
	}
	g.queue.Finish(now, s.started, s.route, downstream, r)
	g.wakeDecided()
}

// DropMatching refuses all queued items for which match returns true with reason Withdrawn and returns
// their number. It calls match with the lock of the Gate held.
func (g *Gate) DropMatching(match func(*Item) bool) int {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	dropped := g.queue.DropMatching(now, Withdrawn, match)
	g.wakeDecided()
	return dropped
}

// RefuseQueued refuses all queued items with the given reason and returns their number.
func (g *Gate) RefuseQueued(reason Reason) int {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.queue.DropMatching(now, reason, func(*Item) bool { return true })
	g.wakeDecided()
	return refused
}

// Sweep refuses overdue items. Call it periodically, because nothing else wakes waiters while no call
// arrives or ends.
func (g *Gate) Sweep() {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Sweep(now)
	g.wakeDecided()
}

// SetSlots sets the number of slots that the upstream announced.
func (g *Gate) SetSlots(slots int) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSlots(now, slots)
	g.wakeDecided()
}

// SetDraining starts or ends a drain.
func (g *Gate) SetDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetDraining(draining)
}

// ServiceTime returns the mean service time of a route, or of all routes if the route has none.
func (g *Gate) ServiceTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.serviceTime(route)
}

// Idle reports whether no call is running or queued.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Idle()
}

// Load returns the load signal to attach to responses.
func (g *Gate) Load() call.Load {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(now)
}
