package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 16
	// A fingerprint is quarantined when its marks weigh as much as Config.Crashes strong ones.
	strongWeight = 2
	weakWeight   = 1
	// generations is the number of generations of past successes that a shard keeps.
	generations = 2
)

// Standing is the state of a fingerprint, derived from its marks.
type Standing uint8

// Standings, in rising order of suspicion.
const (
	// Clear fingerprints have no marks other than expired or cleared ones.
	Clear Standing = iota
	// Suspect fingerprints have too few marks to be refused, or their refusal has ended.
	Suspect
	// Quarantined fingerprints are refused.
	Quarantined
)

// List holds the marks known to a node. It is safe for concurrent use; fingerprints are divided into 16
// shards, each with its own lock.
type List struct {
	config   Config
	crashes  atomic.Int64
	sequence atomic.Uint64 // of the last change
	shards   [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	marks map[uint64][]entry
	count int
	// Times of past successes, in nanoseconds since the epoch. When recent is full, it replaces older, so that
	// frequent fingerprints stay known.
	recent, older map[uint64]int64
}

type entry struct {
	Mark
	sequence uint64
}

// NewList returns an empty List.
func NewList(config Config) *List {
	l := &List{config: config}
	l.SetCrashes(config.Crashes)
	for i := range l.shards {
		l.shards[i].marks = make(map[uint64][]entry)
	}
	return l
}

// SetCrashes changes the number of strong marks that quarantine a fingerprint, at least 1.
func (l *List) SetCrashes(crashes int) {
	l.crashes.Store(int64(max(crashes, 1)))
}

func (l *List) shard(fingerprint uint64) *shard {
	return &l.shards[fingerprint%shardCount]
}

// Standing returns the standing of a fingerprint and, if it is quarantined, the remaining refusal time.
func (l *List) Standing(fingerprint uint64, now time.Time) (Standing, time.Duration) {
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, remaining := l.evaluate(s.marks[fingerprint], now)
	if standing == Quarantined && IsBeginning(fingerprint) {
		return Suspect, 0
	}
	return standing, remaining
}

func (l *List) evaluate(marks []entry, now time.Time) (Standing, time.Duration) {
	weight := 0
	var last time.Time
	for i := range marks {
		mark := &marks[i].Mark
		if mark.Cleared || l.expired(mark, now) {
			continue
		}
		weight += strongWeight
		if mark.Weak {
			weight -= strongWeight - weakWeight
		}
		if mark.At.After(last) {
			last = mark.At
		}
	}
	remaining := last.Add(l.config.RefusalTime).Sub(now)
	switch {
	case weight == 0:
		return Clear, 0
	case int64(weight) >= strongWeight*l.crashes.Load() && remaining > 0:
		return Quarantined, remaining
	}
	return Suspect, 0
}

func (l *List) expired(mark *Mark, now time.Time) bool {
	return now.Sub(mark.At) >= l.config.MarkLifetime
}

// Success clears the known marks of a fingerprint and remembers that it has succeeded, so that older
// marks are cleared when they arrive. Any complete response of the upstream is a success. That of one request does not
// clear a beginning, which others share.
func (l *List) Success(fingerprint uint64, now time.Time) {
	if IsBeginning(fingerprint) {
		return
	}
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSuccess(fingerprint, now, l.config.SuccessLimit/shardCount/generations)
	l.clear(s.marks[fingerprint])
}

// Release clears the marks of a fingerprint for an operator and reports whether there were any.
// Unlike Success, it does not weaken the marks of later crashes.
func (l *List) Release(fingerprint uint64) bool {
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.clear(s.marks[fingerprint])
}

// clear clears the marks and reports whether any changed. The caller holds the lock.
func (l *List) clear(marks []entry) bool {
	changed := false
	for i := range marks {
		if !marks[i].Cleared {
			marks[i].Cleared = true
			marks[i].sequence = l.sequence.Add(1)
			changed = true
		}
	}
	return changed
}

func (s *shard) recordSuccess(fingerprint uint64, now time.Time, perGeneration int) {
	if _, known := s.recent[fingerprint]; !known && (s.recent == nil || len(s.recent) >= perGeneration) {
		s.older = s.recent
		s.recent = make(map[uint64]int64)
	}
	s.recent[fingerprint] = now.UnixNano()
}

// lastSuccess returns the time of the last remembered success, or 0. The caller holds the lock.
func (s *shard) lastSuccess(fingerprint uint64) int64 {
	if at, known := s.recent[fingerprint]; known {
		return at
	}
	return s.older[fingerprint]
}

// succeeded reports whether the fingerprint is among the remembered successes of this node.
func (l *List) succeeded(fingerprint uint64) bool {
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSuccess(fingerprint) != 0
}

// isSuspect reports whether the fingerprint is that of a whole request and has marks and no remembered success.
func (l *List) isSuspect(fingerprint uint64, now time.Time) bool {
	if IsBeginning(fingerprint) {
		return false
	}
	standing, _ := l.Standing(fingerprint, now)
	return standing != Clear && !l.succeeded(fingerprint)
}

// Merge adds marks of other nodes and returns how many were new or changed. It is commutative and
// idempotent. Marks older than a remembered success are cleared. Expired marks and marks further in the
// future than Config.ClockSkew are ignored.
func (l *List) Merge(marks []Mark, now time.Time) int {
	changed := 0
	for _, mark := range marks {
		if l.expired(&mark, now) || mark.At.Sub(now) > l.config.ClockSkew {
			continue
		}
		if l.add(mark) {
			changed++
		}
	}
	return changed
}

func (l *List) add(mark Mark) bool {
	s := l.shard(mark.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The clocks of nodes may differ. At worst, a mark is cleared whose fingerprint succeeded just before the crash.
	mark.Cleared = mark.Cleared || s.lastSuccess(mark.Fingerprint) > mark.At.UnixNano()
	marks := s.marks[mark.Fingerprint]
	for i := range marks {
		if marks[i].Crash != mark.Crash {
			continue
		}
		merged := marks[i].merge(mark)
		if merged == marks[i].Mark {
			return false
		}
		marks[i] = entry{Mark: merged, sequence: l.sequence.Add(1)}
		return true
	}
	s.marks[mark.Fingerprint] = append(marks, entry{Mark: mark, sequence: l.sequence.Add(1)})
	s.count++
	if s.count <= max(1, l.config.MarkLimit/shardCount) {
		return true
	}
	return s.dropOldest() != mark
}

// dropOldest removes and returns the first mark by Mark.compare. The order is the same at all nodes, so
// they keep the same marks whichever arrives first.
func (s *shard) dropOldest() Mark {
	var oldest *Mark
	for _, marks := range s.marks {
		for i := range marks {
			if oldest == nil || marks[i].compare(*oldest) < 0 {
				oldest = &marks[i].Mark
			}
		}
	}
	dropped := *oldest
	s.removeWhere(dropped.Fingerprint, func(m *Mark) bool { return m.Crash == dropped.Crash })
	return dropped
}

func (s *shard) removeWhere(fingerprint uint64, remove func(*Mark) bool) {
	marks := s.marks[fingerprint]
	kept := slices.DeleteFunc(marks, func(e entry) bool { return remove(&e.Mark) })
	s.count -= len(marks) - len(kept)
	s.marks[fingerprint] = kept
	if len(kept) == 0 {
		delete(s.marks, fingerprint)
	}
}

// Expire frees expired marks, which have no effect in any case. A node calls it about once a minute.
func (l *List) Expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for fingerprint := range s.marks {
			s.removeWhere(fingerprint, func(m *Mark) bool { return l.expired(m, now) })
		}
		s.mu.Unlock()
	}
}

// Changes returns at most limit marks that were added or changed after the given sequence, oldest
// change first, and the sequence to continue from. Sequence 0 is the beginning; sequences are meaningful
// only to this List. The result is sent to other nodes, which Merge it.
func (l *List) Changes(after uint64, limit int) ([]Mark, uint64) {
	// A change up to this sequence is either in its shard already or being made under the shard's lock,
	// which is acquired below, so continuing from the result misses none.
	upTo := l.sequence.Load()
	if upTo <= after {
		return nil, after
	}
	var changes []entry
	for i := range l.shards {
		changes = l.shards[i].appendChanges(changes, after, upTo)
	}
	slices.SortFunc(changes, func(a, b entry) int { return cmp.Compare(a.sequence, b.sequence) })
	if len(changes) > limit {
		changes = changes[:limit]
		upTo = changes[limit-1].sequence
	}
	marks := make([]Mark, len(changes))
	for i := range changes {
		marks[i] = changes[i].Mark
	}
	return marks, upTo
}

func (s *shard) appendChanges(changes []entry, after, upTo uint64) []entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, marks := range s.marks {
		for _, e := range marks {
			if e.sequence > after && e.sequence <= upTo {
				changes = append(changes, e)
			}
		}
	}
	return changes
}

// Refusal is a quarantined fingerprint, for operators.
type Refusal struct {
	Fingerprint uint64
	Remaining   time.Duration
}

// Refusals returns the quarantined fingerprints, longest remaining refusal first.
func (l *List) Refusals(now time.Time) []Refusal {
	var refusals []Refusal
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for fingerprint, marks := range s.marks {
			if standing, remaining := l.evaluate(marks, now); standing == Quarantined && !IsBeginning(fingerprint) {
				refusals = append(refusals, Refusal{Fingerprint: fingerprint, Remaining: remaining})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return refusals
}

// Count returns the number of marks kept, for metrics.
func (l *List) Count() int {
	count := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		count += s.count
		s.mu.Unlock()
	}
	return count
}
