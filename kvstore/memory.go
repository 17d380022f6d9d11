package kvstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxMemoryEvents bounds the watch history of a Memory; watches from before it get ErrCompacted.
const maxMemoryEvents = 4096

// Memory is an in-memory Store with fault injection, for tests and embedding. Each call expires
// leases by the injected clock. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	// compacted is the revision of the last event dropped; watches must start at or after it.
	compacted int64
	entries   map[string]memoryEntry
	events    []Entry
	leases    map[LeaseID]memoryLease
	lastLease LeaseID
	changed   chan struct{}
	calls     map[string]int
	// generation counts the restores, and reported is its value in the latest response.
	generation, reported uint64

	down          bool
	delay         time.Duration
	loseResponses int
	loseRequests  int
	deferWrites   int
	deferred      []deferredWrite
}

// deferredWrite is a write that returned ErrUnknownOutcome to its caller before it takes effect.
type deferredWrite struct {
	remainingCalls int
	apply          func() error
}

// deferredWriteCalls is the number of calls after which a deferred write takes effect: a read right
// after the write does not see it, but a retry after that read does.
const deferredWriteCalls = 2

type memoryEntry struct {
	Entry
	lease LeaseID
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

var _ Restorable = (*Memory)(nil)

// NewMemory returns an empty store whose leases expire by the clock now.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:     now,
		entries: map[string]memoryEntry{},
		leases:  map[LeaseID]memoryLease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},

		generation: 1,
	}
}

// Backup returns a copy of the store's state, whose leases are paused.
func (m *Memory) Backup() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	backup := NewMemory(m.now)
	backup.copyState(m)
	now := m.now()
	for id, lease := range backup.leases {
		backup.leases[id] = memoryLease{ttl: lease.ttl, expires: time.Time{}.Add(lease.expires.Sub(now))}
	}
	return backup
}

// Restore replaces the store's state with a backup and ends waiting watches. Revisions and leases after those of the
// backup are given out again.
func (m *Memory) Restore(backup *Memory) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copyState(backup)
	now := m.now()
	for id, lease := range m.leases {
		m.leases[id] = memoryLease{ttl: lease.ttl, expires: now.Add(lease.expires.Sub(time.Time{}))}
	}
	m.deferred = nil
	m.generation++
	m.notify()
}

func (m *Memory) copyState(from *Memory) {
	m.revision, m.compacted, m.lastLease = from.revision, from.compacted, from.lastLease
	m.entries, m.events, m.leases = maps.Clone(from.entries), slices.Clone(from.events), maps.Clone(from.leases)
}

// Generation implements Restorable.
func (m *Memory) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reported
}

// SetDown sets whether all calls, including waiting watches, fail with ErrUnavailable.
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

// LoseResponses makes the next n writes take effect but return ErrUnknownOutcome.
func (m *Memory) LoseResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseResponses = n
}

// LoseRequests makes the next n writes return ErrUnknownOutcome without effect.
func (m *Memory) LoseRequests(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseRequests = n
}

// DeferWrites makes the next n writes return ErrUnknownOutcome and take effect only when the second
// call after them starts.
func (m *Memory) DeferWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deferWrites = n
}

// Calls returns the number of calls by method name since the store was created.
func (m *Memory) Calls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := make(map[string]int, len(m.calls))
	for name, n := range m.calls {
		calls[name] = n
	}
	return calls
}

// Expire removes expired leases, so that waiting watches see the deletion of their keys. Every other
// call does so too.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.beginCall(ctx, "Get"); err != nil {
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
	if err := m.beginCall(ctx, "List"); err != nil {
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
		return 0, err // a deferred write may set revision later
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
		return NoLease, err // a deferred write may set lease later
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

// Watch implements Store. It counts as one call regardless of how long it waits.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	if err := m.beginCall(ctx, "Watch"); err != nil {
		return nil, after, err
	}
	defer m.mu.Unlock()
	generation := m.generation
	for {
		if m.down || m.generation != generation {
			return nil, after, fmt.Errorf("watch %q: %w", prefix, ErrUnavailable)
		}
		if after < m.compacted || after > m.revision {
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

// beginCall counts the call, applies the injected delay and outage, expires leases and applies the
// deferred writes that are due. It returns with the lock held unless it returns an error.
func (m *Memory) beginCall(ctx context.Context, method string) error {
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
	m.reported = m.generation
	m.expire()
	m.applyDeferred()
	return nil
}

func (m *Memory) applyDeferred() {
	waiting := m.deferred[:0]
	for _, write := range m.deferred {
		write.remainingCalls--
		if write.remainingCalls > 0 {
			waiting = append(waiting, write)
			continue
		}
		_ = write.apply() // its caller has already returned
	}
	m.deferred = waiting
}

func (m *Memory) write(ctx context.Context, method string, apply func() error) error {
	if err := m.beginCall(ctx, method); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if m.loseRequests > 0 {
		m.loseRequests--
		return fmt.Errorf("%s: %w", method, ErrUnknownOutcome)
	}
	if m.deferWrites > 0 {
		m.deferWrites--
		m.deferred = append(m.deferred, deferredWrite{remainingCalls: deferredWriteCalls, apply: apply})
		return fmt.Errorf("%s: %w", method, ErrUnknownOutcome)
	}
	err := apply()
	if m.loseResponses > 0 {
		m.loseResponses--
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
