package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is the distance of an upstream from the origin.
type tier uint8

const (
	localDomain tier = iota
	localRegion
	otherRegion
	tierCount
)

func tierOf(origin Origin, candidate *Candidate) tier {
	switch {
	case candidate.Region != origin.Region:
		return otherRegion
	case candidate.FailureDomain != origin.FailureDomain:
		return localRegion
	default:
		return localDomain
	}
}

// Fractions of a subset reserved for farther tiers, when these have upstreams. Without the reserve a large
// local domain would fill the subset and leave no target for spillover. The places for other regions count
// towards those for other failure domains.
const (
	otherDomainsDivisor = 4  // one in 4 places for other failure domains
	otherRegionsDivisor = 10 // one in 10 places for other regions
)

// Subset returns at most size candidates that the origin uses for a service: the local failure domain
// first, then the rest of its region, then other regions. A tier with more candidates than places is
// ordered by rendezvous hash. Draining candidates are excluded. It is a pure function of its arguments
// and safe for concurrent use.
func Subset(origin Origin, service string, candidates []Candidate, size int) []Candidate {
	var tiers [tierCount][]Candidate
	for i := range candidates {
		if !candidates[i].Draining {
			t := tierOf(origin, &candidates[i])
			tiers[t] = append(tiers[t], candidates[i])
		}
	}
	sizes := tierSizes(tiers, size)
	subset := make([]Candidate, 0, min(size, len(candidates)))
	for t := range tiers {
		if sizes[t] < len(tiers[t]) {
			sortByRendezvous(origin, service, tiers[t])
		}
		subset = append(subset, tiers[t][:sizes[t]]...)
	}
	return subset
}

func tierSizes(tiers [tierCount][]Candidate, size int) [tierCount]int {
	var sizes [tierCount]int
	far := len(tiers[otherRegion])
	near := len(tiers[localRegion])
	farReserve := min(far, size/otherRegionsDivisor)
	reserve := max(farReserve, min(near+far, size/otherDomainsDivisor))
	sizes[localDomain] = min(len(tiers[localDomain]), size-reserve)
	sizes[localRegion] = min(near, size-sizes[localDomain]-farReserve)
	sizes[otherRegion] = min(far, size-sizes[localDomain]-sizes[localRegion])
	return sizes
}

// sortByRendezvous orders candidates by a hash of origin, service and candidate. The incarnation is not
// hashed, so that a restarted upstream keeps its place in all subsets.
func sortByRendezvous(origin Origin, service string, candidates []Candidate) {
	prefix := append([]byte(origin.Node), 0)
	prefix = append(append(prefix, service...), 0)
	weights := make(map[ID]uint64, len(candidates))
	for i := range candidates {
		weights[candidates[i].ID] = xxhash.Sum64(append(prefix, candidates[i].Node...))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
