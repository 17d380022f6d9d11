package sidecar

import (
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// Guards against a concurrent reload that publishes an outdated registration in which the node is not
// stopping.
func TestReloadKeepsStopping(t *testing.T) {
	settings := DefaultSettings()
	settings.Node = "n0"
	n := New(settings, Dependencies{Store: kvstore.NewMemory(nil)}, zerolog.Nop(), 1)
	for range 50000 {
		n.stopping.Store(false)
		var reload sync.WaitGroup
		for range 4 {
			reload.Go(n.registry.publish)
		}
		n.stopping.Store(true)
		n.registry.publish()
		reload.Wait()
		must.True(t, n.registry.registration().Stopping)
	}
}
