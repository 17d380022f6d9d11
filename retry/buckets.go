package retry

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a bucket. Workspaces cannot use up each other's retries, and neither can routes.
type Key struct {
	Workspace string
	Route     string
}

const (
	shardCount = 64
	// Buckets count in integer microtokens, so that deposits of 0.05 add up exactly.
	microtokensPerToken = 1_000_000
	// generations is the number of bucket generations per shard; they divide its size equally.
	generations = 2
)

// Buckets holds the retry tokens of all workspaces and routes at one node. It is safe for concurrent
// use; each of its 64 shards has its own lock. A bucket starts empty, so that the tokens reserved by all
// requests never exceed Ratio times the number of requests.
type Buckets struct {
	capacity      int64
	perGeneration int
	shards        [shardCount]shard
}

// shard keeps buckets in two generations. When the recent one is full, the older one is dropped, which
// approximates LRU eviction without maintaining a list.
type shard struct {
	mu            sync.Mutex
	recent, older map[Key]*int64 // microtokens
	_             [40]byte       // keeps the locks of neighboring shards on different cache lines
}

// NewBuckets returns empty buckets.
func NewBuckets(config Config) *Buckets {
	return &Buckets{
		capacity:      int64(config.BucketCap) * microtokensPerToken,
		perGeneration: max(1, config.BucketCount/shardCount/generations),
	}
}

func (b *Buckets) shard(key Key) *shard {
	hash := xxhash.Sum64String(key.Workspace)*31 + xxhash.Sum64String(key.Route)
	return &b.shards[hash%shardCount]
}

// level returns the bucket of a key, creating it if needed. The caller must hold the lock.
func (s *shard) level(key Key, perGeneration int) *int64 {
	if level := s.recent[key]; level != nil {
		return level
	}
	level := s.older[key]
	if level == nil {
		level = new(int64)
	}
	delete(s.older, key)
	if len(s.recent) >= perGeneration || s.recent == nil {
		s.older = s.recent
		s.recent = make(map[Key]*int64)
	}
	s.recent[key] = level
	return level
}

// Reserve counts a root request and returns its budget, which may be empty. The caller must call Return
// when the request ends.
func (b *Buckets) Reserve(key Key, rules Rules) *Budget {
	deposit := int64(math.Round(min(max(rules.Ratio, 0), 1) * microtokensPerToken))
	budget := NewBudget(0)
	b.fillBudget(key, rules, budget, deposit)
	return budget
}

// TopUp adds tokens that the bucket has gained since Reserve to a root request's budget, up to the limit
// on the budget's total. A root that sees a failure calls it before Decide.
func (b *Buckets) TopUp(key Key, rules Rules, budget *Budget) {
	b.fillBudget(key, rules, budget, 0)
}

func (b *Buckets) fillBudget(key Key, rules Rules, budget *Budget, deposit int64) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.level(key, b.perGeneration)
	*level = min(*level+deposit, b.capacity)
	*level -= int64(budget.fill(rules.Limit, int(*level/microtokensPerToken))) * microtokensPerToken
}

// Return closes a root request's budget and returns the unspent tokens to its bucket.
func (b *Buckets) Return(key Key, budget *Budget) {
	unspent := budget.Close()
	if unspent == 0 {
		return
	}
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.level(key, b.perGeneration)
	*level = min(*level+int64(unspent)*microtokensPerToken, b.capacity)
}

// Level returns the number of tokens in a bucket, for metrics.
func (b *Buckets) Level(key Key) float64 {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, generation := range []map[Key]*int64{s.recent, s.older} {
		if level := generation[key]; level != nil {
			return float64(*level) / microtokensPerToken
		}
	}
	return 0
}
