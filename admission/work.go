package admission

import (
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Item describes one call that requests a slot.
type Item struct {
	// Workspace is the unit of fair queueing. Open routes share the empty workspace.
	Workspace string
	// Weight is the relative share of the workspace; 0 means 1.
	Weight float64
	// KeyHash identifies the key of the call for DropMatching and the withdrawal check.
	KeyHash string
	// Route selects the service time estimate.
	Route      string
	Importance call.Importance
	// ShedOrder is the position within the importance class; Inner means that a running request made the call.
	ShedOrder uint16
	Inner     bool
	// Deadline is when the response becomes useless; the zero time means never.
	Deadline time.Time
	// Downstream is the time in ns that the call has spent waiting for downstream calls; nil means none.
	// Gate reads it when the call ends.
	Downstream *atomic.Int64
}

func (i *Item) rank() call.Rank {
	return call.Rank(min(i.Importance, call.Sheddable))*call.RanksPerClass + call.Rank(i.ShedOrder)
}

// Result is how a call ended at the upstream.
type Result uint8

// Results of calls.
const (
	// Succeeded means that the response is complete. The limiter uses the latency of the call.
	Succeeded Result = iota
	// Failed means an error unrelated to load. The limiter ignores the latency of the call.
	Failed
	// Overloaded means that the upstream shed the call.
	Overloaded
	// TimedOut means that the upstream did not respond by the deadline.
	TimedOut
	// Ignored means that the call was canceled or never reached the upstream.
	Ignored
)

// State is the state of a Work. Each Work becomes Running or Refused exactly once.
type State uint8

// States of a Work.
const (
	New State = iota
	Queued
	Running
	Refused
)

// Reason is why a Work was refused.
type Reason uint8

// Reasons of refusals.
const (
	NoReason Reason = iota
	// QueueFull means that the queue is full and holds nothing to evict instead.
	QueueFull
	// Evicted means that the item was removed from a full queue to make room for another.
	Evicted
	// QueueDelay means that the class has a standing queue with a delay above its target.
	QueueDelay
	// DeadlinePassed means that the item cannot finish by its deadline.
	DeadlinePassed
	// Canceled means that the caller canceled the call.
	Canceled
	// Draining means that the upstream is draining and accepts no new work.
	Draining
	// Withdrawn means that the key of the call was withdrawn.
	Withdrawn
	// RankShed means that the upstream can only serve calls of lower rank.
	RankShed
)

var reasonTexts = [...]string{
	NoReason:       "not refused",
	QueueFull:      "queue full",
	Evicted:        "evicted from the full queue",
	QueueDelay:     "queue delay above target",
	DeadlinePassed: "cannot finish by the deadline",
	Canceled:       "canceled by the caller",
	Draining:       "upstream is draining",
	Withdrawn:      "key withdrawn",
	RankShed:       "only calls of lower rank are served",
}

// String returns a short text for messages.
func (r Reason) String() string { return reasonTexts[r] }

// Code returns the refusal code for the reason.
func (r Reason) Code() call.Code {
	switch r {
	case DeadlinePassed:
		return call.CodeDeadline
	case Canceled:
		return call.CodeCanceled
	case Draining:
		return call.CodeDraining
	case Withdrawn:
		return call.CodeWithdrawnKey
	default:
		return call.CodeOverloaded
	}
}

// Work is an Item with its state in a Queue. The caller allocates it, so it can be embedded in a larger
// value. It must not be copied or reused after Offer.
type Work struct {
	Item
	State  State
	Reason Reason
	// Arrived is when the Work was passed to Offer.
	Arrived time.Time
	// Started is when the Work was given a slot.
	Started time.Time

	owner       *waiter // set by Gate
	flow        *flow
	prev, next  *Work
	nextDecided *Work
}

// list is a doubly linked list of the queued items of one workspace and class.
type list struct {
	head, tail *Work
	length     int
	// since is when the list last became non-empty.
	since time.Time
}

// insertAfter inserts w after pos, or at the head if pos is nil.
func (l *list) insertAfter(w, pos *Work) {
	w.prev = pos
	if pos == nil {
		w.next = l.head
		l.head = w
	} else {
		w.next = pos.next
		pos.next = w
	}
	if w.next == nil {
		l.tail = w
	} else {
		w.next.prev = w
	}
	l.length++
}

// insertByDeadline inserts w into a list sorted by deadline, with items without a deadline last. Later
// arrivals mostly have later deadlines, so the search starts at the tail.
func (l *list) insertByDeadline(w *Work) {
	pos := l.tail
	for pos != nil && expiresBefore(w, pos) {
		pos = pos.prev
	}
	l.insertAfter(w, pos)
}

func expiresBefore(a, b *Work) bool {
	if a.Deadline.IsZero() {
		return false
	}
	return b.Deadline.IsZero() || a.Deadline.Before(b.Deadline)
}

func (l *list) remove(w *Work) {
	if w.prev == nil {
		l.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	l.length--
}
