package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/peer"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

const (
	// evacuationWatchWait is how long a reader's watch waits. Its end confirms the set, so it bounds the age of what
	// readers know; three readers make about four calls a second.
	evacuationWatchWait = 750 * time.Millisecond
	// watchEndMargin is the time for the response of a watch that has ended.
	watchEndMargin = 500 * time.Millisecond
	// minEvacuationWatch is the shortest time between two watches of a reader, whose answer may come at once.
	minEvacuationWatch = 250 * time.Millisecond
	// evacuationAgeDivisor divides the operators' time for evacuations to give the age of the set at which a node that is
	// not a reader reads it itself. What is left of the time covers a slow store and requests on their way.
	evacuationAgeDivisor = 2.5
	// maxEvacuated bounds the evacuated failure domains that are kept, 100 KB of names.
	maxEvacuated = 512
)

// ErrEvacuation means that another node has sent a set of evacuated failure domains that violates a rule.
var ErrEvacuation = errors.New("sidecar: invalid set of evacuated failure domains")

// evacuatedSet is the set of evacuated failure domains at one revision of the store.
type evacuatedSet struct {
	// domains are sorted.
	domains []string
	// generation and revision are those of the store at which the set was read. They order sets.
	generation uint64
	revision   int64
}

func (s *evacuatedSet) newerThan(o *evacuatedSet) bool {
	if s.generation != o.generation {
		return s.generation > o.generation
	}
	return s.revision > o.revision
}

// check returns an error that names the first rule that a set of another node violates.
func (s *evacuatedSet) check() error {
	if len(s.domains) > maxEvacuated {
		return fmt.Errorf("%w: %d failure domains, must be at most %d", ErrEvacuation, len(s.domains), maxEvacuated)
	}
	if s.revision < 0 || s.revision > maxOrdinal {
		return fmt.Errorf("%w: revision is %d, must be from 0 to 2^62", ErrEvacuation, s.revision)
	}
	for _, domain := range s.domains {
		if domain == "" || len(domain) > maxNameBytes {
			return fmt.Errorf("%w: failure domain %q must have 1 to %d bytes", ErrEvacuation, abbreviate(domain), maxNameBytes)
		}
	}
	return nil
}

// evacuation holds the failure domains to whose upstreams nothing may be sent, and the age of that knowledge. One node of
// each failure domain watches the store; the others learn the set and its age in exchanges. The last known set stays in
// effect until a newer one is known, however old it is.
type evacuation struct {
	node *Node
	// current is nil until a set is known.
	current atomic.Pointer[evacuatedSet]

	mu sync.Mutex // serializes updates of current
	// confirmedAt is when the set was last known to be the newest, on the lease clock.
	confirmedAt time.Time
}

// enabled reports whether operators of this deployment evacuate failure domains.
func (e *evacuation) enabled() bool {
	return e.node.settings().EvacuateTime > 0 && e.node.dependencies.EvacuationPrefix != ""
}

// known reports whether the node knows what is evacuated, so that it may send to upstreams.
func (e *evacuation) known() bool { return !e.enabled() || e.current.Load() != nil }

// includes reports whether a failure domain is evacuated.
func (e *evacuation) includes(domain string) bool {
	set := e.current.Load()
	if set == nil || !e.enabled() {
		return false
	}
	_, found := slices.BinarySearch(set.domains, domain)
	return found
}

// includesSelf reports whether this node's failure domain is evacuated.
func (e *evacuation) includesSelf() bool { return e.includes(e.node.settings().FailureDomain) }

// refuseLocal returns the refusal for a call that must not be sent to the upstream of this node, or nil. It is marked as
// that of a draining node, so that the sender chooses another one.
func (e *evacuation) refuseLocal() *call.Refusal {
	reason := "failure domain is evacuated"
	if !e.known() {
		reason = "evacuated failure domains are not known yet"
	} else if !e.includesSelf() {
		return nil
	}
	e.node.metrics.evacuationRefused.Add(1)
	refusal := call.NewRefusal(call.CodeDraining, call.NotRun, "%s", reason)
	refusal.Load = &call.Load{Draining: true}
	return refusal
}

// update applies a set that was the newest at confirmedAt, unless a newer one is known.
func (e *evacuation) update(next *evacuatedSet, confirmedAt time.Time, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.current.Load()
	if old != nil && old.newerThan(next) {
		return
	}
	if confirmedAt.After(e.confirmedAt) {
		e.confirmedAt = confirmedAt
	}
	if old != nil && !next.newerThan(old) {
		return
	}
	wasIncluded := e.includesSelf()
	e.current.Store(next)
	if old != nil && slices.Equal(old.domains, next.domains) || old == nil && len(next.domains) == 0 {
		return
	}
	e.node.log.event("evacuation").Strs("failure_domains", next.domains).Int64("revision", next.revision).Str("from", from).
		Msg("evacuated failure domains changed")
	e.node.registry.refresh()
	e.node.local.applyEvacuation(wasIncluded, e.includesSelf())
}

// applyEvacuation refuses the calls that wait for an upstream that is evacuated. One that no longer is may have turned cold
// meanwhile.
func (s *upstreamState) applyEvacuation(before, now bool) {
	if u := s.current.Load(); u != nil && now {
		u.gate.RefuseQueued(admission.Draining)
	}
	if before && !now {
		s.doubt("evacuation_ended")
	}
}

// age returns the time since the set was last known to be the newest, and false if it never was.
func (e *evacuation) age() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.IsZero() {
		return 0, false
	}
	return clock.Boot().Sub(e.confirmedAt), true
}

// run keeps the set current until ctx ends. It lists the keys again after a restore of the store.
func (e *evacuation) run(ctx context.Context) {
	monitor := dependencyMonitor{node: e.node, name: "store evacuations"}
	e.node.generation.forEach(ctx, func(ctx context.Context) { e.follow(ctx, &monitor) })
}

func (e *evacuation) follow(ctx context.Context, monitor *dependencyMonitor) {
	var retry storeBackoff
	var last *evacuatedSet // the last set read from the store by an unbroken sequence of watches
	for ctx.Err() == nil {
		if wait := e.timeUntilRead(); wait > 0 {
			last = nil
			clock.Sleep(ctx, wait)
			continue
		}
		generation := e.node.store.Generation()
		startedAt := clock.Boot()
		next, err := e.read(ctx, last)
		e.node.checkStoreGeneration()
		if ctx.Err() != nil {
			return
		}
		monitor.report(err)
		if err != nil {
			last = nil
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		last = next
		// The first response tells the generation. Otherwise a set of a store that has been restored since has no order.
		if latest := e.node.store.Generation(); next != nil && (generation == latest || generation == 0) {
			next.generation = latest
			e.update(next, startedAt, "store")
		}
		clock.Sleep(ctx, max(0, minEvacuationWatch-clock.Boot().Sub(startedAt)))
	}
}

// timeUntilRead returns the time until the set must be read from the store.
func (e *evacuation) timeUntilRead() time.Duration {
	if !e.enabled() {
		return time.Second // the settings may be reloaded
	}
	age, known := e.age()
	if e.node.registry.isReader() || !known {
		return 0
	}
	return jittered(time.Duration(float64(e.node.settings().EvacuateTime)/evacuationAgeDivisor)) - age
}

// read returns the set as of now or later, and nil if it must be listed again. last is the set read before, if the changes
// since may be watched.
func (e *evacuation) read(ctx context.Context, last *evacuatedSet) (*evacuatedSet, error) {
	prefix := e.node.dependencies.EvacuationPrefix
	if last == nil {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		entries, revision, err := e.node.store.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		return newEvacuatedSet(nil, entries, prefix, revision), nil
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationWatchWait+watchEndMargin)
	defer cancel()
	events, revision, err := e.node.store.Watch(ctx, prefix, last.revision)
	if errors.Is(err, kvstore.ErrCompacted) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return newEvacuatedSet(last.domains, events, prefix, revision), nil
}

// newEvacuatedSet applies changes of keys to a set. Keys that name no failure domain are ignored.
func newEvacuatedSet(domains []string, changes []kvstore.Entry, prefix string, revision int64) *evacuatedSet {
	domains = slices.Clone(domains)
	for _, change := range changes {
		domain, ok := strings.CutPrefix(change.Key, prefix)
		if !ok || domain == "" {
			continue
		}
		at, found := slices.BinarySearch(domains, domain)
		switch {
		case change.Deleted && found:
			domains = slices.Delete(domains, at, at+1)
		case !change.Deleted && !found && len(domains) < maxEvacuated:
			domains = slices.Insert(domains, at, domain)
		}
	}
	return &evacuatedSet{domains: domains, revision: revision}
}

// encode returns the set and its age for an exchange, or nil if there is none to tell.
func (e *evacuation) encode() *gossipv1.Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.current.Load()
	if set == nil || !e.enabled() {
		return nil
	}
	message := &gossipv1.Evacuation{Generation: set.generation, Revision: set.revision, AgeUs: -1, FailureDomains: set.domains}
	if !e.confirmedAt.IsZero() {
		message.AgeUs = clock.Boot().Sub(e.confirmedAt).Microseconds()
	}
	return message
}

// receive applies the set in a message that a peer has prepared after preparedAt, zero if unknown.
func (e *evacuation) receive(message *gossipv1.Evacuation, preparedAt time.Time, from string) {
	if message == nil || !e.enabled() {
		return
	}
	set := &evacuatedSet{domains: slices.Sorted(slices.Values(message.FailureDomains)), generation: message.Generation, revision: message.Revision}
	if err := set.check(); err != nil {
		e.node.log.event("evacuation_rejected").Str("from", from).Err(err).Msg("invalid set of evacuated failure domains ignored")
		return
	}
	confirmedAt := time.Time{}
	if !preparedAt.IsZero() && message.AgeUs >= 0 {
		confirmedAt = preparedAt.Add(-peer.DecodeAge(message.AgeUs))
	}
	e.update(set, confirmedAt, "peer "+from)
}
