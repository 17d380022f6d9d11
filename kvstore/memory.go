package kvstore

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxMemoryEvents bounds the watch history of a Memory; older watches get ErrCompacted.
const maxMemoryEvents = 4096

// Memory is a Store in memory with injectable faults, for tests and embedding. Leases end by the
// injected time function, checked at each call. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	// compacted is the highest revision that watches can no longer continue from.
	compacted int64
	entries   map[string]memoryEntry
	events    []Entry
	leases    map[LeaseID]memoryLease
	lastLease LeaseID
	changed   chan struct{}
	calls     map[string]int

	down         bool
	delay        time.Duration
	loseAnswers  int
	loseRequests int
	lateWrites   int
	late         []lateWrite
}

// lateWrite is a write whose caller was told ErrUnknownOutcome before it took effect.
type lateWrite struct {
	calls  int
	effect func() error
}

// lateCalls is the number of later calls until a late write takes effect: a read in between does not
// see it, a repeated write meets it.
const lateCalls = 2

type memoryEntry struct {
	Entry
	lease LeaseID
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store that measures leases with now.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:     now,
		entries: map[string]memoryEntry{},
		leases:  map[LeaseID]memoryLease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetDown makes every call fail with ErrUnavailable while down is true. Waiting watches fail too.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.notify()
}

// SetDelay makes every call wait before it takes effect. A call whose context ends first has no effect.
func (m *Memory) SetDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

// LoseAnswers makes the next n writes take effect and return ErrUnknownOutcome.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseAnswers = n
}

// LoseRequests makes the next n writes return ErrUnknownOutcome without effect.
func (m *Memory) LoseRequests(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseRequests = n
}

// LateWrites makes the next n writes return ErrUnknownOutcome and take effect before the second call
// after them.
func (m *Memory) LateWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lateWrites = n
}

// Calls returns the number of calls by method name since the store was made.
func (m *Memory) Calls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := make(map[string]int, len(m.calls))
	for name, n := range m.calls {
		calls[name] = n
	}
	return calls
}

// Expire ends the leases whose time has passed, so that waiting watches see it. Every call does the
// same first.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.enter(ctx, "Get"); err != nil {
		return Entry{}, err
	}
	defer m.mu.Unlock()
	entry, ok := m.entries[key]
	if !ok {
		return Entry{}, fmt.Errorf("get %q: %w", key, ErrNotFound)
	}
	return cloneEntry(entry.Entry), nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	if err := m.enter(ctx, "List"); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	var found []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, cloneEntry(entry.Entry))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, m.revision, nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease LeaseID) (int64, error) {
	value = append([]byte(nil), value...)
	var revision int64
	err := m.write(ctx, "CompareAndSwap", func() error {
		if m.entries[key].Revision != previous {
			return fmt.Errorf("swap %q: %w", key, ErrConflict)
		}
		if _, ok := m.leases[lease]; !ok && lease != NoLease {
			return fmt.Errorf("swap %q: %w", key, ErrLeaseExpired)
		}
		m.revision++
		revision = m.revision
		entry := Entry{Key: key, Value: value, Revision: revision}
		m.entries[key] = memoryEntry{Entry: entry, lease: lease}
		m.record(entry)
		return nil
	})
	if err != nil {
		return 0, err // a late write may still set revision
	}
	return revision, nil
}

// CompareAndDelete implements Store.
func (m *Memory) CompareAndDelete(ctx context.Context, key string, previous int64) error {
	return m.write(ctx, "CompareAndDelete", func() error {
		entry, ok := m.entries[key]
		if !ok {
			return fmt.Errorf("delete %q: %w", key, ErrNotFound)
		}
		if entry.Revision != previous {
			return fmt.Errorf("delete %q: %w", key, ErrConflict)
		}
		m.remove(key)
		return nil
	})
}

// GrantLease implements Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var lease LeaseID
	err := m.write(ctx, "GrantLease", func() error {
		m.lastLease++
		lease = m.lastLease
		m.leases[lease] = memoryLease{ttl: ttl, expires: m.now().Add(ttl)}
		return nil
	})
	if err != nil {
		return NoLease, err // a late write may still set lease
	}
	return lease, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, lease LeaseID) error {
	return m.write(ctx, "KeepAlive", func() error {
		held, ok := m.leases[lease]
		if !ok {
			return fmt.Errorf("keep lease %d alive: %w", lease, ErrLeaseExpired)
		}
		held.expires = m.now().Add(held.ttl)
		m.leases[lease] = held
		return nil
	})
}

// RevokeLease implements Store.
func (m *Memory) RevokeLease(ctx context.Context, lease LeaseID) error {
	return m.write(ctx, "RevokeLease", func() error {
		if _, ok := m.leases[lease]; !ok {
			return fmt.Errorf("revoke lease %d: %w", lease, ErrLeaseExpired)
		}
		m.endLease(lease)
		return nil
	})
}

// Watch implements Store. It counts as one call however long it waits.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	if err := m.enter(ctx, "Watch"); err != nil {
		return nil, after, err
	}
	defer m.mu.Unlock()
	for {
		if m.down {
			return nil, after, fmt.Errorf("watch %q: %w", prefix, ErrUnavailable)
		}
		if after < m.compacted {
			return nil, after, fmt.Errorf("watch %q: %w", prefix, ErrCompacted)
		}
		if found := m.eventsAfter(prefix, after); len(found) > 0 {
			return found, m.revision, nil
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			m.mu.Lock()
			return nil, after, nil
		case <-changed:
		}
		m.mu.Lock()
	}
}

// enter counts the call, applies the injected delay and outage, and returns with the lock held
// unless it returns an error.
func (m *Memory) enter(ctx context.Context, method string) error {
	m.mu.Lock()
	m.calls[method]++
	delay := m.delay
	m.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", method, ErrUnavailable, err)
	}
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return fmt.Errorf("%s: %w", method, ErrUnavailable)
	}
	m.expire()
	m.applyLate()
	return nil
}

func (m *Memory) applyLate() {
	waiting := m.late[:0]
	for _, write := range m.late {
		write.calls--
		if write.calls > 0 {
			waiting = append(waiting, write)
			continue
		}
		_ = write.effect() // its caller no longer waits
	}
	m.late = waiting
}

func (m *Memory) write(ctx context.Context, method string, effect func() error) error {
	if err := m.enter(ctx, method); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if m.loseRequests > 0 {
		m.loseRequests--
		return fmt.Errorf("%s: %w", method, ErrUnknownOutcome)
	}
	if m.lateWrites > 0 {
		m.lateWrites--
		m.late = append(m.late, lateWrite{calls: lateCalls, effect: effect})
		return fmt.Errorf("%s: %w", method, ErrUnknownOutcome)
	}
	err := effect()
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return fmt.Errorf("%s: %w", method, ErrUnknownOutcome)
	}
	return err
}

func (m *Memory) expire() {
	now := m.now()
	for lease, held := range m.leases {
		if !now.Before(held.expires) {
			m.endLease(lease)
		}
	}
}

func (m *Memory) endLease(lease LeaseID) {
	delete(m.leases, lease)
	var attached []string
	for key, entry := range m.entries {
		if entry.lease == lease {
			attached = append(attached, key)
		}
	}
	sort.Strings(attached)
	for _, key := range attached {
		m.remove(key)
	}
}

func (m *Memory) remove(key string) {
	delete(m.entries, key)
	m.revision++
	m.record(Entry{Key: key, Revision: m.revision, Deleted: true})
}

func (m *Memory) record(event Entry) {
	m.events = append(m.events, event)
	if len(m.events) > maxMemoryEvents {
		m.compacted = m.events[0].Revision
		m.events = m.events[1:]
	}
	m.notify()
}

func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) eventsAfter(prefix string, after int64) []Entry {
	first := sort.Search(len(m.events), func(i int) bool { return m.events[i].Revision > after })
	var found []Entry
	for _, event := range m.events[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			found = append(found, cloneEntry(event))
		}
	}
	return found
}

func cloneEntry(entry Entry) Entry {
	entry.Value = append([]byte(nil), entry.Value...)
	return entry
}
