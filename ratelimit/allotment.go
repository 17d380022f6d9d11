package ratelimit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minShardBurst is the smallest part of a burst, in tokens, that a shard gets when the burst is divided
// among several. Smaller parts lose too much to fractions of a token: with parts of one or two tokens,
// up to 17% of the requests within the rate were refused.
const minShardBurst = 8

// Quota is a rate in tokens per second with a burst in tokens.
type Quota struct {
	Rate  float64
	Burst int64
}

// Allotment divides the quota of a workspace among quota shards. It is immutable and safe for
// concurrent use. All nodes with the same failure domains compute the same division.
type Allotment struct {
	shards []ShardID
}

// NewAllotment returns the Allotment for perDomain shards in each of the failure domains.
func NewAllotment(domains []string, perDomain int) *Allotment {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	a := &Allotment{}
	for _, domain := range slices.Compact(domains) {
		for n := range perDomain {
			a.shards = append(a.shards, ShardID{Domain: domain, Number: n})
		}
	}
	return a
}

// Shards returns all shards. The slice must not be modified.
func (a *Allotment) Shards() []ShardID {
	return a.shards
}

// Divide returns each shard's part of the quota, in the order of Shards.
//
// The burst is assigned in whole tokens, round-robin over the shards that hold the workspace (its
// holders), in an order that depends on the workspace and alternates between failure domains. There is
// one holder per minShardBurst tokens, and at least one. The rate is divided evenly among the holders.
// While their number does not change, a shard's part never decreases when rate or burst increases.
// Shards that apply a change at different times therefore never exceed the larger quota in total.
func (a *Allotment) Divide(workspace string, quota Quota) []Quota {
	parts := make([]Quota, len(a.shards))
	n := int64(len(a.shards))
	if n == 0 || quota.Burst <= 0 || quota.Rate < 0 {
		return parts
	}
	holders := max(1, min(n, quota.Burst/minShardBurst))
	for i, shard := range a.shardOrder(workspace) {
		if int64(i) >= holders {
			break
		}
		parts[shard].Burst = quota.Burst / holders
		if int64(i) < quota.Burst%holders {
			parts[shard].Burst++
		}
		parts[shard].Rate = quota.Rate / float64(holders)
	}
	return parts
}

// shardOrder returns indices into a.shards. Shards are sorted by rendezvous hash within each failure
// domain; the order takes the first shard of each domain, then the second of each, and so on.
func (a *Allotment) shardOrder(workspace string) []int {
	type place struct {
		shard  int
		rank   int
		hash   uint64
		domain uint64
	}
	places := make([]place, len(a.shards))
	for i, id := range a.shards {
		places[i] = place{
			shard:  i,
			hash:   xxhash.Sum64String(workspace + "\x00" + id.Domain + "\x00" + strconv.Itoa(id.Number)),
			domain: xxhash.Sum64String(workspace + "\x00" + id.Domain),
		}
	}
	slices.SortFunc(places, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.domain, y.domain), cmp.Compare(x.hash, y.hash), cmp.Compare(x.shard, y.shard))
	})
	for i := 1; i < len(places); i++ {
		if places[i].domain == places[i-1].domain {
			places[i].rank = places[i-1].rank + 1
		}
	}
	slices.SortStableFunc(places, func(x, y place) int { return cmp.Compare(x.rank, y.rank) })
	order := make([]int, len(places))
	for i, p := range places {
		order[i] = p.shard
	}
	return order
}
