package sidecar

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

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
