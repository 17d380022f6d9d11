package sidecar

import (
	"context"
	"sync"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// storeGeneration is the store's generation as known to a node.
type storeGeneration struct {
	store kvstore.Restorable

	mu    sync.Mutex
	known uint64
	// current ends when the node notices that the store was restored.
	current context.Context
	end     context.CancelFunc
}

func newStoreGeneration(store kvstore.Restorable) *storeGeneration {
	g := &storeGeneration{store: store}
	g.current, g.end = context.WithCancel(context.Background())
	return g
}

// forEach runs task until ctx ends, and starts it again when the store was restored. The context of a run ends at a
// restore, after which the task must not use revisions and leases that it has obtained.
func (g *storeGeneration) forEach(ctx context.Context, task func(context.Context)) {
	for ctx.Err() == nil {
		g.mu.Lock()
		current := g.current
		g.mu.Unlock()
		runCtx, cancel := withEnd(ctx, current)
		task(runCtx)
		cancel()
	}
}

// checkStoreGeneration must be called after store calls. The first generation is not a change.
func (n *Node) checkStoreGeneration() {
	g := n.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	previous, latest := g.known, g.store.Generation()
	g.known = latest
	if previous == latest || previous == 0 {
		return
	}
	n.log.event("store_restored").Uint64("generation", latest).Uint64("previous", previous).Msg("store restored from a backup")
	g.end()
	g.current, g.end = context.WithCancel(context.Background())
}

// withEnd returns a context that ends with ctx or with other.
func withEnd(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
