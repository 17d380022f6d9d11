// Package platform emulates the operators' key-value service. It implements the part of the etcd v3
// JSON gateway that cowslipglade uses, keeps all data in memory, enforces the documented rate limits
// and maximum value size, and injects faults on request.
//
// The message types are defined independently of the client's, so that an error in one is not
// repeated in the other.
package platform

import (
	"sort"
	"time"
)

// maxHistoryEvents and maxHistoryBytes bound the event history for watches. When it exceeds one of
// them, its older half is dropped.
const (
	maxHistoryEvents = 50_000
	maxHistoryBytes  = 64 << 20
)

type record struct {
	value       []byte
	modRevision int64
	lease       int64
}

type event struct {
	key      string
	value    []byte
	revision int64
	deleted  bool
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

// store holds the keys, leases and events. It is not safe for concurrent use.
type store struct {
	revision     int64
	records      map[string]record
	leases       map[int64]*lease
	nextLease    int64
	history      []event
	historyBytes int
	// compacted is the latest revision that is no longer in history.
	compacted int64
	// changed is closed and replaced when history grows.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		revision:  1,
		records:   map[string]record{},
		leases:    map[int64]*lease{},
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// put stores value at the current revision.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.detachLease(key)
	s.records[key] = record{value: value, modRevision: s.revision, lease: leaseID}
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.appendEvent(event{key: key, value: value, revision: s.revision})
}

// remove deletes key at the current revision. It does nothing if key does not exist.
func (s *store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.detachLease(key)
	delete(s.records, key)
	s.appendEvent(event{key: key, revision: s.revision, deleted: true})
}

func (s *store) detachLease(key string) {
	if l := s.leases[s.records[key].lease]; l != nil {
		delete(l.keys, key)
	}
}

func (s *store) appendEvent(e event) {
	s.history = append(s.history, e)
	s.historyBytes += len(e.key) + len(e.value)
	if len(s.history) > maxHistoryEvents || s.historyBytes > maxHistoryBytes {
		s.compact(len(s.history) / 2)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the first n events, and the following ones that have the same revision as the last of these.
func (s *store) compact(n int) {
	if n == 0 {
		return
	}
	s.compacted = s.history[n-1].revision
	for n < len(s.history) && s.history[n].revision == s.compacted {
		n++
	}
	for _, e := range s.history[:n] {
		s.historyBytes -= len(e.key) + len(e.value)
	}
	s.history = append([]event(nil), s.history[n:]...)
}

// inRange reports whether key is in [start, end). An empty end means only start, and "\x00" no upper bound.
func inRange(key, start, end string) bool {
	switch end {
	case "":
		return key == start
	case "\x00":
		return key >= start
	}
	return key >= start && key < end
}

// keysInRange returns the existing keys of a range in order.
func (s *store) keysInRange(start, end string) []string {
	var keys []string
	if end == "" {
		if _, ok := s.records[start]; ok {
			keys = append(keys, start)
		}
		return keys
	}
	for key := range s.records {
		if inRange(key, start, end) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// eventsFrom returns the events of a range at or after a revision.
func (s *store) eventsFrom(revision int64, start, end string) []event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= revision })
	var events []event
	for _, e := range s.history[first:] {
		if inRange(e.key, start, end) {
			events = append(events, e)
		}
	}
	return events
}

// grant creates a lease and returns its ID.
func (s *store) grant(ttl time.Duration, now time.Time) int64 {
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{ttl: ttl, deadline: now.Add(ttl), keys: map[string]struct{}{}}
	return id
}

// keepAlive renews a lease and returns its TTL, or 0 if it does not exist.
func (s *store) keepAlive(id int64, now time.Time) time.Duration {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.deadline = now.Add(l.ttl)
	return l.ttl
}

// revoke ends a lease and deletes its keys in one revision. It reports whether the lease existed.
func (s *store) revoke(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	if len(l.keys) > 0 {
		s.revision++
	}
	for key := range l.keys {
		s.remove(key)
	}
	delete(s.leases, id)
	return true
}

// expire revokes the leases that have expired.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.revoke(id)
		}
	}
}
