package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Action tells a destination node what to do with a call.
type Action uint8

// Actions.
const (
	// Run means that the call may be dispatched and counts as in flight.
	Run Action = iota
	// Hold means that another suspect is in flight at this upstream. The node should retry after a few
	// milliseconds and call ForceStart when it cannot wait any longer.
	Hold
	// Refuse means that the fingerprint is quarantined.
	Refuse
)

// Decision is the result of Tracker.Start.
type Decision struct {
	Action Action
	// RetryAfter is the remaining refusal time of a quarantined fingerprint.
	RetryAfter time.Duration
}

// Tracker holds the fingerprints in flight at one upstream. It is safe for concurrent use; fingerprints
// are divided into 16 shards, each with its own lock.
type Tracker struct {
	list *List
	// suspects is the number of suspects in flight.
	suspects atomic.Int64
	shards   [shardCount]trackerShard
}

type trackerShard struct {
	mu       sync.Mutex
	inFlight map[uint64]*callCounts
}

// callCounts counts the calls in flight of a fingerprint.
type callCounts struct {
	calls int
	// suspects is the number of calls that were started as suspects.
	suspects int
	// beginning is the fingerprint by which the calls were known before, or 0.
	beginning uint64
}

// Ticket is one call in flight. Its copies are the same call.
type Ticket struct{ *trackedCall }

// trackedCall is what a Tracker knows of a call in flight.
type trackedCall struct {
	mu          sync.Mutex
	fingerprint uint64
	counts      *callCounts
	suspect     bool
}

// NewTracker returns a Tracker of an upstream without calls in flight.
func NewTracker(list *List) *Tracker {
	t := &Tracker{list: list}
	for i := range t.shards {
		t.shards[i].inFlight = make(map[uint64]*callCounts)
	}
	return t
}

// Start decides whether to dispatch a call. crashes is the number of crashes that interrupted the call
// before; if there are any, it is a suspect even when the mark has not arrived here. After Run, End must
// follow.
func (t *Tracker) Start(fingerprint uint64, crashes int, now time.Time) (Ticket, Decision) {
	standing, remaining := t.list.Standing(fingerprint, now)
	if standing == Quarantined {
		return Ticket{}, Decision{Action: Refuse, RetryAfter: remaining}
	}
	suspect := (standing == Suspect || crashes > 0) && !IsBeginning(fingerprint) && !t.list.succeeded(fingerprint)
	if suspect && !t.suspects.CompareAndSwap(0, 1) {
		return Ticket{}, Decision{Action: Hold}
	}
	if suspect && t.hasNewSuspect(now) {
		t.suspects.Add(-1)
		return Ticket{}, Decision{Action: Hold}
	}
	return newTicket(fingerprint, t.add(fingerprint, 0, suspect), suspect), Decision{}
}

func newTicket(fingerprint uint64, counts *callCounts, suspect bool) Ticket {
	return Ticket{&trackedCall{fingerprint: fingerprint, counts: counts, suspect: suspect}}
}

// hasNewSuspect reports whether a mark has made a call in flight a suspect since its start. The search runs
// only at the start of a suspect.
func (t *Tracker) hasNewSuspect(now time.Time) bool {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		fingerprints := slices.Collect(maps.Keys(s.inFlight))
		s.mu.Unlock()
		for _, fingerprint := range fingerprints {
			if t.list.isSuspect(fingerprint, now) {
				return true
			}
		}
	}
	return false
}

// ForceStart starts a held call although another suspect is in flight.
func (t *Tracker) ForceStart(fingerprint uint64) Ticket {
	t.suspects.Add(1)
	return newTicket(fingerprint, t.add(fingerprint, 0, true), true)
}

// identify replaces the fingerprint of a beginning by that of the whole request, and reports whether that is quarantined. It
// has no effect on a call that has ended.
func (t *Tracker) identify(ticket Ticket, fingerprint uint64, now time.Time) (quarantined bool) {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if standing, _ := t.list.Standing(fingerprint, now); standing == Quarantined {
		return true
	}
	beginning, old := ticket.fingerprint, ticket.counts
	// First added, then removed, so that a crash in between misses neither.
	counts := t.add(fingerprint, beginning, false)
	if !t.removeCall(beginning, old, ticket.suspect) {
		t.removeCall(fingerprint, counts, false)
		return false
	}
	ticket.fingerprint, ticket.counts, ticket.suspect = fingerprint, counts, false
	return false
}

// add adds a call to those in flight. beginning is the fingerprint by which it was known before, or 0.
func (t *Tracker) add(fingerprint, beginning uint64, suspect bool) *callCounts {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.inFlight[fingerprint]
	if counts == nil {
		counts = &callCounts{}
		s.inFlight[fingerprint] = counts
	}
	counts.calls++
	if suspect {
		counts.suspects++
	}
	if beginning != 0 {
		counts.beginning = beginning
	}
	return counts
}

// End ends a call. success means that the upstream sent a complete response; an incomplete response or a
// canceled call is not a success. End has no effect on a call that was in flight at a crash.
func (t *Tracker) End(ticket Ticket, success bool, now time.Time) {
	if ticket.trackedCall == nil {
		return
	}
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if t.removeCall(ticket.fingerprint, ticket.counts, ticket.suspect) && success {
		t.list.Success(ticket.fingerprint, now)
	}
}

// removeCall reports whether the call was still in flight; it is not after a crash.
func (t *Tracker) removeCall(fingerprint uint64, counts *callCounts, suspect bool) bool {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if counts == nil || s.inFlight[fingerprint] != counts {
		return false
	}
	counts.calls--
	if suspect {
		counts.suspects--
		t.suspects.Add(-1)
	}
	if counts.calls == 0 {
		delete(s.inFlight, fingerprint)
	}
	return true
}

// Crash marks all fingerprints in flight, adds the marks to the list and returns them. Nothing is in
// flight afterwards. Call it before the interrupted calls end and before the upstream gets new ones.
func (t *Tracker) Crash(id CrashID, now time.Time) []Mark {
	inFlight := t.removeAll()
	suspects := make(map[uint64]bool)
	for fingerprint, counts := range inFlight {
		// The mark of another crash may have arrived after the call was started.
		if counts.suspects > 0 || t.list.isSuspect(fingerprint, now) {
			suspects[fingerprint] = true
		}
	}
	marks := make([]Mark, 0, len(inFlight))
	for fingerprint, counts := range inFlight {
		if counts.beginning != 0 {
			mark := Mark{Fingerprint: counts.beginning, Crash: id, At: now}
			t.list.add(mark)
			marks = append(marks, mark)
		}
		mark := Mark{Fingerprint: fingerprint, Crash: id, At: now}
		attributed := len(suspects) == 0 || len(suspects) == 1 && suspects[fingerprint]
		mark.Weak = len(inFlight) > 1 && (!attributed || t.list.succeeded(fingerprint))
		t.list.add(mark)
		marks = append(marks, mark)
	}
	return marks
}

// removeAll empties the tracker and returns what was in flight.
func (t *Tracker) removeAll() map[uint64]callCounts {
	all := make(map[uint64]callCounts)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for fingerprint, counts := range s.inFlight {
			all[fingerprint] = *counts
			t.suspects.Add(int64(-counts.suspects))
		}
		clear(s.inFlight)
		s.mu.Unlock()
	}
	return all
}
