package sidecar

import (
	"time"

	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/peer"
)

// This file derives how long a request waits and what a refused caller is told from three things: the time that the
// caller has left, the work expected, and what clients promise. First tries and repeats of clients are treated alike.
// See "Time limits" in docs/design.md.

const (
	// retryAfterShare is the part of the time left for which clients wait when a refusal tells them to come back.
	retryAfterShare = 3
	// contactShare is the part of the time left in which a destination must give a sign that it has received a call,
	// so that a caller can still be served elsewhere after several destinations have failed.
	contactShare = 8
	// slotMargin is added to the wait for a slot at the destination for the way of its refusal.
	slotMargin = 200 * time.Millisecond
)

// patience returns how long a request may wait for a token, a destination or a slot: half of the time left beyond the
// expected work. After a refusal, as much remains to be served elsewhere or to come back.
func patience(left, work time.Duration) time.Duration { return max(0, (left-work)/2) }

// forwardWait returns how long to wait for a destination.
func forwardWait(left time.Duration) peer.Wait {
	return peer.Wait{Contact: left / contactShare, Slot: patience(left, 0) + slotMargin}
}

// retryAfter returns when a refused caller should come back, at the earliest after least. Callers that are refused
// together return one after the other, over the time for which clients wait, and not before the calls that are running
// now are expected to have ended.
func retryAfter(left, work, least time.Duration) time.Duration {
	most := left / retryAfterShare
	least = max(least, min(work, most))
	return least + time.Duration(random.Shared.Float64()*float64(max(0, most-least)))
}

// expectedWork returns the time that a call of the request is expected to take, or 0 when unknown.
func (n *Node) expectedWork(e *entryRequest) time.Duration {
	return n.picker.ExpectedLatency(e.req.Service, e.req.Route)
}

// giveUpAt returns when a request that has found no token or destination is refused.
func (n *Node) giveUpAt(e *entryRequest) time.Time {
	return e.start.Add(patience(e.req.Deadline.Sub(e.start), n.expectedWork(e)))
}

// retryAfter returns the retry delay for a refused request. least is the delay that the refusal asks for.
func (n *Node) retryAfter(e *entryRequest, least time.Duration) time.Duration {
	left := e.fields.Timeout
	if e.req == nil {
		if left <= 0 {
			left = defaultTimeout
		}
		return retryAfter(left-time.Since(e.start), 0, least)
	}
	return retryAfter(time.Until(e.req.Deadline), n.expectedWork(e), least)
}
