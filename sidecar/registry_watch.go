package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	// watchTimeout bounds a watch request. A dead connection is detected after this time; meanwhile gossip
	// delivers updates of known nodes.
	watchTimeout = 15 * time.Second
	// watchDelayPerNode is multiplied by the number of nodes to give the delay between two watches. It
	// batches changes that occur together, because each watch response costs one call per node; all watches
	// together make about 10 calls per second. Nodes announce changes to each other meanwhile.
	watchDelayPerNode = 100 * time.Millisecond
	// maxWatchDelay bounds that delay to less than half of the history that a store keeps, 20 s.
	maxWatchDelay = 8 * time.Second
	// readerWatchDelayPerNode and maxReaderWatchDelay apply to readers, which restore lapsed entries and the
	// shares of departed nodes within that time.
	readerWatchDelayPerNode = 20 * time.Millisecond
	maxReaderWatchDelay     = 2 * time.Second
)

// runWatch watches the entries of all nodes until ctx ends. It lists them again after a restore of the store, whose new
// changes may have revisions up to the one it has read.
func (r *registry) runWatch(ctx context.Context) {
	monitor := dependencyMonitor{node: r.node, name: "store watch"}
	r.node.generation.forEach(ctx, func(ctx context.Context) { r.follow(ctx, &monitor) })
}

func (r *registry) follow(ctx context.Context, monitor *dependencyMonitor) {
	var retry storeBackoff
	after := int64(0)
	for ctx.Err() == nil {
		var err error
		after, err = r.read(ctx, after)
		r.node.checkStoreGeneration()
		if ctx.Err() != nil {
			return
		}
		monitor.report(err)
		r.expire(err != nil)
		if err != nil {
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		delay := r.watchDelay()
		if due, ok := r.removalDue(time.Now()); ok {
			delay = min(delay, due)
		}
		r.pause(ctx, delay)
	}
}

// read applies the changes after a revision of the store, or all entries if it is 0, and returns the revision read.
func (r *registry) read(ctx context.Context, after int64) (next int64, err error) {
	if after == 0 {
		next, err = r.list(ctx)
	} else {
		next, err = r.watch(ctx, after)
	}
	if err == nil {
		r.recordRead(next)
	}
	return next, err
}

// recordRead records that all changes of the entries up to a revision of the store are known.
func (r *registry) recordRead(revision int64) {
	r.mu.Lock()
	if r.complete || r.publishedRevision == 0 || revision < r.publishedRevision {
		r.mu.Unlock()
		return
	}
	r.complete, r.dirty = true, true
	others := len(r.members)
	r.mu.Unlock()
	if others == 0 {
		r.node.gossip.roundCompleted.Store(true)
	}
	r.node.log.event("membership").Int("others", others).Int64("revision", revision).Msg("all entries known since the own one was written")
	r.applyMembership()
	r.node.updateRepeatLimits()
}

// pause waits for d, or until this node's entry is written if it waits for that to know all others.
func (r *registry) pause(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	var published chan struct{}
	if !r.complete {
		published = r.firstPublished
	}
	r.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-published:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchDelay returns the delay between two watches.
func (r *registry) watchDelay() time.Duration {
	reader := r.isReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := time.Duration(len(r.members) + 1)
	if reader {
		return min(maxReaderWatchDelay, nodes*readerWatchDelayPerNode)
	}
	return min(maxWatchDelay, nodes*watchDelayPerNode)
}

// isReader reports whether this node reads the store for its failure domain. The others learn from it in
// exchanges, and read themselves when what they know is older than it should be.
func (r *registry) isReader() bool {
	settings := r.node.settings()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		if m.FailureDomain == settings.FailureDomain && name < settings.Node && !m.Stopping {
			return false
		}
	}
	return true
}

func (r *registry) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, revision, err := r.node.store.List(ctx, registryPrefix)
	if err != nil {
		return 0, err
	}
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if node, ok := nodeOfKey(entry.Key); ok {
			seen[node] = true
		}
		r.applyEntry(entry)
	}
	if self := r.node.settings().Node; !seen[self] {
		r.checkOwnEntry(kvstore.Entry{Revision: revision, Deleted: true})
	}
	for _, other := range r.others() {
		if !seen[other.Node] {
			r.markUnlisted(other.Node)
		}
	}
	r.mu.Lock()
	r.listed, r.dirty = true, true
	r.mu.Unlock()
	r.applyMembership()
	return revision, nil
}

func (r *registry) watch(ctx context.Context, after int64) (int64, error) {
	// A removal needs a read after the grace time, whether or not other entries change.
	timeout := watchTimeout
	if due, ok := r.removalDue(time.Now()); ok {
		timeout = min(timeout, due+watchEndMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events, next, err := r.node.store.Watch(ctx, registryPrefix, after)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.node.log.event("watch_compacted").Int64("after", after).Msg("watch history compacted; rereading all entries")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	for _, event := range events {
		r.applyEntry(event)
	}
	return next, nil
}

// applyEntry applies a node's entry, or its deletion, from the store. It ignores invalid entries, as other writers
// may have created them.
func (r *registry) applyEntry(entry kvstore.Entry) {
	node, ok := nodeOfKey(entry.Key)
	switch {
	case !ok:
		r.rejectRegistration("registration_rejected", entry.Key, errRegistryKey)
	case node == r.node.settings().Node:
		r.checkOwnEntry(entry)
	case entry.Deleted:
		r.markUnlisted(node)
	default:
		reg, err := decodeRegistration(entry.Value, node)
		if err != nil {
			r.rejectRegistration("registration_rejected", entry.Key, err)
			return
		}
		r.update(reg, true)
	}
}
