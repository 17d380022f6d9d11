package sidecar

import (
	"sync"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// generationCheck detects restores of the store. It must be called after each call that obtains what a restore voids.
type generationCheck struct {
	store kvstore.Restorable
	known uint64
}

// changed reports whether the store was restored since the last call. The first generation is not a change.
func (g *generationCheck) changed() bool {
	previous := g.known
	g.known = g.store.Generation()
	return previous != 0 && g.known != previous
}

// storeGeneration is the generation that a node has logged.
type storeGeneration struct {
	mu    sync.Mutex
	check generationCheck
}

func newStoreGeneration(store kvstore.Restorable) *storeGeneration {
	return &storeGeneration{check: generationCheck{store: store}}
}

// checkStoreGeneration is called after store calls, to notice a restore.
func (n *Node) checkStoreGeneration() {
	s := n.generation
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.check.known
	if !s.check.changed() {
		return
	}
	n.log.event("store_restored").Uint64("generation", s.check.known).Uint64("previous", previous).
		Msg("store restored from a backup")
}
