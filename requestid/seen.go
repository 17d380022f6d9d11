package requestid

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SeenResult is the result of SeenSet.Add.
type SeenResult uint8

// Results of SeenSet.Add.
const (
	// SeenNew means that the call id was not seen before and is now recorded.
	SeenNew SeenResult = iota
	// SeenDuplicate means that the call id was seen before; the call must not run.
	SeenDuplicate
	// SeenFull means that the set is full and the id is not recorded; the call must not run.
	SeenFull
)

type seenCall struct {
	id      string
	expires time.Time
}

type seenShard struct {
	mu    sync.Mutex
	ids   map[string]struct{}
	order *list.List
	// latest never decreases; see tableShard.latest.
	latest time.Time
}

// SeenSet is a destination's bounded set of the call ids of non-idempotent calls. It is safe for
// concurrent use. A new SeenSet is empty, so a destination must itself refuse calls that name an earlier
// incarnation of it.
type SeenSet struct {
	retention time.Duration
	max       int
	shards    [shardCount]seenShard
}

// NewSeenSet returns a set that holds up to size ids, each for the retention, which must exceed the
// longest delay of a message. An id takes about 200 bytes.
func NewSeenSet(size int, retention time.Duration) *SeenSet {
	set := &SeenSet{retention: retention, max: max(1, size/shardCount)}
	for i := range set.shards {
		set.shards[i].ids = map[string]struct{}{}
		set.shards[i].order = list.New()
	}
	return set
}

// Add records a call id unless it is already recorded or the set is full.
func (set *SeenSet) Add(now time.Time, callID string) SeenResult {
	s := &set.shards[xxhash.Sum64String(callID)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if _, known := s.ids[callID]; known {
		return SeenDuplicate
	}
	if len(s.ids) >= set.max {
		return SeenFull
	}
	s.ids[callID] = struct{}{}
	s.order.PushBack(seenCall{id: callID, expires: s.latest.Add(set.retention)})
	return SeenNew
}

func (s *seenShard) expire(now time.Time) {
	if now.After(s.latest) {
		s.latest = now
	}
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		seen := e.Value.(seenCall)
		if seen.expires.After(s.latest) {
			return
		}
		delete(s.ids, seen.id)
		s.order.Remove(e)
	}
}
