package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a large fleet the burst of a workspace is less than one token per node. Its share is therefore kept by a few
// holders, at least one in each failure domain, and by nodes with enough of the total demand to be worth several
// tokens of the burst (SharesConfig.MinHolderTokens). The others borrow. Holders are selected by a hash of the
// node and workspace names, so that all nodes select the same ones. In a small fleet all nodes are holders.

// Member is a node that may hold shares.
type Member struct {
	Name          string
	FailureDomain string
}

// holders returns the names of a workspace's holders, which keep a share without demand.
func (s *Shares) holders(workspace string, burst float64) map[string]bool {
	nodes := make([]Member, 0, len(s.members)+1)
	nodes = append(nodes, s.self)
	for _, m := range s.members {
		nodes = append(nodes, m.Member)
	}
	return s.holdersAmong(nodes, workspace, burst)
}

func (s *Shares) holdersAmong(nodes []Member, workspace string, burst float64) map[string]bool {
	wanted := max(1, int(burst/s.config.MinHolderTokens))
	holders := map[string]bool{}
	if wanted >= len(nodes) {
		for _, m := range nodes {
			holders[m.Name] = true
		}
		return holders
	}
	domains := map[string][]Member{}
	for _, m := range nodes {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	perDomain := max(1, wanted/len(domains))
	for _, members := range domains {
		if perDomain < len(members) {
			sortByRendezvous(workspace, members)
		}
		for _, m := range members[:min(perDomain, len(members))] {
			holders[m.Name] = true
		}
	}
	return holders
}

func sortByRendezvous(workspace string, members []Member) {
	prefix := append([]byte(workspace), 0)
	weights := make(map[string]uint64, len(members))
	for _, m := range members {
		weights[m.Name] = xxhash.Sum64(append(prefix, m.Name...))
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}

// updateHolders selects the holders of workspaces again after a change of the members or of the burst.
func (s *Shares) updateHolders() {
	for name, b := range s.workspaces {
		if b.holders == nil {
			b.holders = s.holders(name, float64(b.quota.Burst))
		}
	}
}

// evenShare returns a node's share of a workspace that is divided evenly among its holders.
func (s *Shares) evenShare(b *shareBucket, name string) float64 {
	if !b.holders[name] {
		return 0
	}
	return 1 / float64(len(b.holders))
}

// weight returns the value to which a node's share of a workspace should be proportional.
func (s *Shares) weight(b *shareBucket, name string, demand float64) float64 {
	if b.holders[name] {
		return demand + s.config.BaselineDemand*b.quota.Rate/float64(len(b.holders))
	}
	if demand*float64(b.quota.Burst) < s.config.MinHolderTokens*b.totalDemand {
		return 0
	}
	return demand
}

// estimateTokens estimates the tokens of another node from its last report or loan and its share.
func (s *Shares) estimateTokens(b *shareBucket, m *memberState, entry *ShareEntry, now time.Time) float64 {
	gain := (b.quota.Rate*entry.Share - entry.Demand) * now.Sub(m.lastContact).Seconds()
	if at, ok := m.loanedAt[entry.Workspace]; ok {
		// The reported demand includes what the node has lent before.
		gain = b.quota.Rate * entry.Share * now.Sub(at).Seconds()
	}
	return min(max(entry.Tokens, float64(b.quota.Burst)*entry.Share), entry.Tokens+max(0, gain))
}
