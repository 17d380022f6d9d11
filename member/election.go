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
	// WatcherPrefix starts the platform keys of watchers: prefix, failure domain, slot.
	WatcherPrefix = "watchers/"
	// WatcherSlots is the number of watchers in each failure domain.
	WatcherSlots = 3
	// WatcherLease is the lease of a slot.
	WatcherLease = 15 * time.Second
	// watcherRenewal leaves two more tries before the lease ends.
	watcherRenewal = WatcherLease / 3
	// watcherRetry is the mean wait of a candidate that found all slots taken.
	watcherRetry = WatcherLease
	// watcherKeepRank lets a holder stay when a few members with a better rank join, so that slots do
	// not move with each start of a node.
	watcherKeepRank = 2 * WatcherSlots
	// driftDivisor shortens the holder's view of its lease by 1%, for clocks that run at different
	// rates.
	driftDivisor = 100
)

// CallKind names a platform call.
type CallKind int

// Kinds of platform calls.
const (
	// NoCall means that nothing is due.
	NoCall CallKind = iota
	// GrantLease asks for a lease of WatcherLease.
	GrantLease
	// TakeSlot creates Key with Value under Lease if it does not exist.
	TakeSlot
	// ReadSlot reads Key after a lost answer to TakeSlot.
	ReadSlot
	// RenewLease keeps Lease alive.
	RenewLease
	// ReleaseLease revokes Lease.
	ReleaseLease
)

// Call is the platform call to make next.
type Call struct {
	Kind  CallKind
	Key   string
	Value []byte
	Lease kvstore.LeaseID
}

// Election decides whether this node is a watcher of its failure domain. It says which platform call to
// make and takes the result; one call is under way at a time. Only the WatcherSlots members of a
// domain with the lowest rank try, so that the number of calls grows with the domains and not with
// the members. It is not safe for concurrent use.
type Election struct {
	domain string
	value  []byte
	random *rand.Rand

	lease kvstore.LeaseID
	// asked is when the call under way was given out; the lease counts from before the call.
	asked   time.Time
	pending Call
	// expires is when the lease ends by this node's clock.
	expires time.Time
	renewAt time.Time
	retryAt time.Time
	slot    int
	tried   int
	holding bool
	// unclear is set after a lost answer to TakeSlot, resent when TakeSlot was repeated after one.
	unclear, resent bool
}

// NewElection returns the state of a node that holds no slot. The value is what others read in the
// slot; it must differ between processes.
func NewElection(domain string, value []byte, random *rand.Rand) *Election {
	return &Election{domain: domain, value: value, random: random}
}

// Rank returns the place of the member among the live members of its failure domain, in an order that
// every node computes alike.
func (m *Machine) Rank() int {
	own := xxhash.Sum64String(m.self.Name)
	rank := 0
	for _, r := range m.table.alive {
		if isAlive(r) && r.FailureDomain == m.self.FailureDomain && xxhash.Sum64String(r.Name) < own {
			rank++
		}
	}
	return rank
}

// Holding reports whether this node is a watcher.
func (e *Election) Holding(now time.Time) bool { return e.holding && now.Before(e.expires) }

// Drop forgets the lease, after a pause of the process. The slot becomes free when the lease ends.
func (e *Election) Drop() {
	*e = Election{domain: e.domain, value: e.value, random: e.random, pending: e.pending, asked: e.asked}
}

// Next returns the call to make now, given this node's rank. Kind is NoCall while a call is under way.
func (e *Election) Next(now time.Time, rank int) Call {
	if e.pending.Kind != NoCall {
		return Call{}
	}
	if e.lease != kvstore.NoLease && !now.Before(e.expires) {
		e.Drop()
	}
	call := e.next(now, rank)
	e.pending, e.asked = call, now
	return call
}

func (e *Election) next(now time.Time, rank int) Call {
	switch {
	case e.holding && rank >= watcherKeepRank:
		return Call{Kind: ReleaseLease, Lease: e.lease}
	case e.holding && now.Before(e.renewAt), now.Before(e.retryAt):
		return Call{}
	case e.holding:
		return Call{Kind: RenewLease, Lease: e.lease}
	case e.unclear:
		return Call{Kind: ReadSlot, Key: e.key()}
	case rank >= WatcherSlots:
		return Call{}
	case e.lease == kvstore.NoLease:
		e.slot, e.tried = rank, 0
		return Call{Kind: GrantLease}
	case e.tried >= WatcherSlots:
		return Call{Kind: ReleaseLease, Lease: e.lease}
	}
	return Call{Kind: TakeSlot, Key: e.key(), Value: e.value, Lease: e.lease}
}

func (e *Election) key() string {
	return fmt.Sprintf("%s%s/%d", WatcherPrefix, e.domain, e.slot)
}

// Result takes the outcome of the call that Next returned: the lease of GrantLease, the value that
// ReadSlot found, and the error of the call.
func (e *Election) Result(now time.Time, lease kvstore.LeaseID, value []byte, err error) {
	call := e.pending
	e.pending = Call{}
	switch {
	case call.Kind == GrantLease && err == nil:
		e.lease = lease
		e.extend()
	case call.Kind == GrantLease:
		e.retryAt = e.after(now, watcherRenewal)
	case call.Lease != e.lease && call.Kind != ReadSlot:
		// Drop was called meanwhile.
	case call.Kind == TakeSlot:
		e.tookSlot(now, err)
	case call.Kind == ReadSlot:
		e.readSlot(now, value, err)
	case call.Kind == RenewLease:
		e.renewed(now, err)
	case call.Kind == ReleaseLease:
		e.Drop()
		e.retryAt = e.after(now, watcherRetry)
	}
}

func (e *Election) tookSlot(now time.Time, err error) {
	switch {
	case err == nil:
		e.holding = true
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		e.unclear = true
	case errors.Is(err, kvstore.ErrConflict) && e.resent:
		e.unclear, e.resent = true, false // the lost attempt may have taken the slot meanwhile
	case errors.Is(err, kvstore.ErrConflict):
		e.nextSlot()
	case errors.Is(err, kvstore.ErrLeaseExpired):
		e.Drop()
	default:
		e.retryAt = e.after(now, watcherRenewal)
	}
}

func (e *Election) readSlot(now time.Time, value []byte, err error) {
	switch {
	case err == nil && string(value) == string(e.value):
		e.holding, e.unclear = true, false
	case err == nil:
		e.nextSlot()
	case errors.Is(err, kvstore.ErrNotFound):
		e.unclear, e.resent = false, true
	default:
		e.retryAt = e.after(now, watcherRenewal)
	}
}

func (e *Election) renewed(now time.Time, err error) {
	switch {
	case err == nil:
		e.extend()
	case errors.Is(err, kvstore.ErrLeaseExpired):
		e.Drop()
	default:
		e.renewAt = e.after(now, watcherRenewal/2)
	}
}

func (e *Election) nextSlot() {
	e.unclear, e.resent = false, false
	e.slot = (e.slot + 1) % WatcherSlots
	e.tried++
}

// extend counts the lease from before the call.
func (e *Election) extend() {
	e.expires = e.asked.Add(WatcherLease - WatcherLease/driftDivisor)
	e.renewAt = e.asked.Add(watcherRenewal)
}

// after returns a time between a half and one and a half of d from now, so that candidates spread.
func (e *Election) after(now time.Time, d time.Duration) time.Time {
	return now.Add(d/2 + time.Duration(e.random.Int64N(int64(d))))
}
