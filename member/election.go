package member

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	// WatcherPrefix starts the platform keys of watcher slots: prefix, failure domain, slot.
	WatcherPrefix = "watchers/"
	// WatcherSlots is the number of watchers in each failure domain.
	WatcherSlots = 3
	// WatcherLease is the duration of the lease of a slot.
	WatcherLease = 15 * time.Second
	// watcherRenewal leaves two more attempts before the lease expires.
	watcherRenewal = WatcherLease / 3
	// watcherRetry is the mean wait of a candidate that found all slots taken.
	watcherRetry = WatcherLease
	// watcherReleaseRank is the rank at which a holder releases its slot. It exceeds WatcherSlots, so that
	// slots do not move whenever a node with a lower rank starts.
	watcherReleaseRank = 2 * WatcherSlots
	// clockDriftDivisor shortens the holder's view of its lease by 1%, because clocks run at different rates.
	clockDriftDivisor = 100
)

// CallKind is the kind of a platform call.
type CallKind int

// Kinds of platform calls.
const (
	// NoCall means that no call is due.
	NoCall CallKind = iota
	// GrantLease requests a lease of WatcherLease.
	GrantLease
	// TakeSlot creates Key with Value under Lease if it does not exist.
	TakeSlot
	// ReadSlot reads Key after a TakeSlot with an unknown outcome.
	ReadSlot
	// RenewLease renews Lease.
	RenewLease
	// ReleaseLease revokes Lease.
	ReleaseLease
)

// Call is a platform call to make.
type Call struct {
	Kind  CallKind
	Key   string
	Value []byte
	Lease kvstore.LeaseID
}

// Election decides whether this node is a watcher of its failure domain. Next returns the platform call to
// make and Result handles its result; at most one call is pending. Only the WatcherSlots members of a
// failure domain with the lowest rank are candidates, so that calls grow with the number of domains and
// not of members. It is not safe for concurrent use.
type Election struct {
	domain string
	value  []byte
	random *rand.Rand

	lease kvstore.LeaseID
	// requestedAt is when Next returned the pending call. A granted or renewed lease counts from then.
	requestedAt time.Time
	pending     Call
	// expires is when the lease expires by this node's clock.
	expires time.Time
	renewAt time.Time
	retryAt time.Time
	slot    int
	// slotsTried is the number of slots found taken under this lease.
	slotsTried int
	holding    bool
	// outcomeUnknown is set after a TakeSlot with an unknown outcome, retrying when it is repeated after one.
	outcomeUnknown, retrying bool
}

// NewElection returns an Election that holds no slot. The value is written to the slot; it must differ
// between processes.
func NewElection(domain string, value []byte, random *rand.Rand) *Election {
	return &Election{domain: domain, value: value, random: random}
}

// Rank returns the position of this node among the alive members of its failure domain, in an order that
// is the same on every node.
func (m *Machine) Rank() int {
	selfHash := xxhash.Sum64String(m.self.Name)
	rank := 0
	for _, r := range m.table.live {
		if isAlive(r) && r.FailureDomain == m.self.FailureDomain && xxhash.Sum64String(r.Name) < selfHash {
			rank++
		}
	}
	return rank
}

// Holding reports whether this node is a watcher.
func (e *Election) Holding(now time.Time) bool { return e.holding && now.Before(e.expires) }

// Drop forgets the lease after a pause of the process. The slot becomes free when the lease expires.
func (e *Election) Drop() {
	*e = Election{domain: e.domain, value: e.value, random: e.random, pending: e.pending, requestedAt: e.requestedAt}
}

// Next returns the call to make now, given this node's rank. Its kind is NoCall while a call is pending.
func (e *Election) Next(now time.Time, rank int) Call {
	if e.pending.Kind != NoCall {
		return Call{}
	}
	if e.lease != kvstore.NoLease && !now.Before(e.expires) {
		e.Drop()
	}
	call := e.next(now, rank)
	e.pending, e.requestedAt = call, now
	return call
}

func (e *Election) next(now time.Time, rank int) Call {
	switch {
	case e.holding && rank >= watcherReleaseRank:
		return Call{Kind: ReleaseLease, Lease: e.lease}
	case e.holding && now.Before(e.renewAt), now.Before(e.retryAt):
		return Call{}
	case e.holding:
		return Call{Kind: RenewLease, Lease: e.lease}
	case e.outcomeUnknown:
		return Call{Kind: ReadSlot, Key: e.key()}
	case rank >= WatcherSlots:
		return Call{}
	case e.lease == kvstore.NoLease:
		e.slot, e.slotsTried = rank, 0
		return Call{Kind: GrantLease}
	case e.slotsTried >= WatcherSlots:
		return Call{Kind: ReleaseLease, Lease: e.lease}
	}
	return Call{Kind: TakeSlot, Key: e.key(), Value: e.value, Lease: e.lease}
}

func (e *Election) key() string {
	return fmt.Sprintf("%s%s/%d", WatcherPrefix, e.domain, e.slot)
}

// Result handles the result of the call that Next returned: the lease from GrantLease, the value from
// ReadSlot, and the error of the call.
func (e *Election) Result(now time.Time, lease kvstore.LeaseID, value []byte, err error) {
	call := e.pending
	e.pending = Call{}
	switch {
	case call.Kind == GrantLease && err == nil:
		e.lease = lease
		e.extend()
	case call.Kind == GrantLease:
		e.retryAt = e.jitteredAfter(now, watcherRenewal)
	case call.Lease != e.lease && call.Kind != ReadSlot:
		// Drop was called while the call was pending.
	case call.Kind == TakeSlot:
		e.handleTakeSlot(now, err)
	case call.Kind == ReadSlot:
		e.handleReadSlot(now, value, err)
	case call.Kind == RenewLease:
		e.handleRenewLease(now, err)
	case call.Kind == ReleaseLease:
		e.Drop()
		e.retryAt = e.jitteredAfter(now, watcherRetry)
	}
}

func (e *Election) handleTakeSlot(now time.Time, err error) {
	switch {
	case err == nil:
		e.holding = true
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		e.outcomeUnknown = true
	case errors.Is(err, kvstore.ErrConflict) && e.retrying:
		e.outcomeUnknown, e.retrying = true, false // the first attempt may have been applied after the read
	case errors.Is(err, kvstore.ErrConflict):
		e.nextSlot()
	case errors.Is(err, kvstore.ErrLeaseExpired):
		e.Drop()
	default:
		e.retryAt = e.jitteredAfter(now, watcherRenewal)
	}
}

func (e *Election) handleReadSlot(now time.Time, value []byte, err error) {
	switch {
	case err == nil && string(value) == string(e.value):
		e.holding, e.outcomeUnknown = true, false
	case err == nil:
		e.nextSlot()
	case errors.Is(err, kvstore.ErrNotFound):
		e.outcomeUnknown, e.retrying = false, true
	default:
		e.retryAt = e.jitteredAfter(now, watcherRenewal)
	}
}

func (e *Election) handleRenewLease(now time.Time, err error) {
	switch {
	case err == nil:
		e.extend()
	case errors.Is(err, kvstore.ErrLeaseExpired):
		e.Drop()
	default:
		e.renewAt = e.jitteredAfter(now, watcherRenewal/2)
	}
}

func (e *Election) nextSlot() {
	e.outcomeUnknown, e.retrying = false, false
	e.slot = (e.slot + 1) % WatcherSlots
	e.slotsTried++
}

// extend counts a granted or renewed lease from before the call.
func (e *Election) extend() {
	e.expires = e.requestedAt.Add(WatcherLease - WatcherLease/clockDriftDivisor)
	e.renewAt = e.requestedAt.Add(watcherRenewal)
}

// jitteredAfter returns a random time between 0.5 d and 1.5 d from now, so that candidates do not retry in step.
func (e *Election) jitteredAfter(now time.Time, d time.Duration) time.Time {
	return now.Add(d/2 + time.Duration(e.random.Int64N(int64(d))))
}
