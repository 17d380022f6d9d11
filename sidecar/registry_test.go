package sidecar

import (
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// Guards against a reload that takes back, in what other nodes are told, that the node stops.
func TestReloadDoesNotTakeBackStop(t *testing.T) {
	settings := DefaultSettings()
	settings.Node = "n0"
	n := New(settings, Ports{Store: kvstore.NewMemory(nil)}, zerolog.Nop(), 1)
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
