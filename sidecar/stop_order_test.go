package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// slowRevoke is a store whose responses to RevokeLease take a while.
type slowRevoke struct{ *kvstore.Memory }

func (s slowRevoke) RevokeLease(ctx context.Context, lease kvstore.LeaseID) error {
	err := s.Memory.RevokeLease(ctx, lease)
	time.Sleep(190 * time.Millisecond)
	return err
}

// Guards against an entry that is written under a new lease while the stopping node removes it, and outlives the node.
func TestStopLeavesNoEntry(t *testing.T) {
	store := slowRevoke{kvstore.NewMemory(time.Now)}
	settings := DefaultSettings()
	settings.Node, settings.FailureDomain, settings.ShutdownTimeout = "n0", "d", 4800*time.Millisecond
	n := New(settings, Dependencies{Store: store, Configuration: revisionSource{store}}, zerolog.Nop(), 1)
	n.registry.publish()
	n.tasks.Go(func() { n.registry.runPublish(n.ctx) })
	within(t, time.Second, func() error {
		_, err := storedSequence(store)
		return err
	})
	n.registry.mu.Lock()
	lease := n.registry.lease
	n.registry.mu.Unlock()
	lost := time.AfterFunc(settings.acceptPeriod()-100*time.Millisecond, func() {
		_ = store.Memory.RevokeLease(context.Background(), lease)
		n.registry.publish()
	})
	defer lost.Stop()
	must.NoError(t, n.Stop())
	_, err := store.Get(t.Context(), registryPrefix+"n0")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
}

// Guards against running requests that are never aborted because a stop cannot announce itself.
func TestStopAbortsWithoutRegistry(t *testing.T) {
	settings := DefaultSettings()
	settings.Node, settings.ShutdownTimeout = "n0", 500*time.Millisecond
	n := New(settings, Dependencies{Store: kvstore.NewMemory(time.Now)}, zerolog.Nop(), 1)
	n.registry.mu.Lock()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop() }()
	aborted := false
	select {
	case <-n.runCtx.Done():
		aborted = true
	case <-time.After(settings.ShutdownTimeout):
	}
	n.registry.mu.Unlock()
	must.NoError(t, <-stopped)
	must.True(t, aborted)
}
