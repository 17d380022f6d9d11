package sidecar

import (
	"sync"
	"testing"
	"time"

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

// Guards against a deadlock of an exchange with the removal of nodes without an entry, after which the node
// answers no exchange, publishes nothing and does not stop.
func TestExpireDuringExchange(t *testing.T) {
	settings := DefaultSettings()
	settings.Node = "n0"
	n := New(settings, Dependencies{Store: kvstore.NewMemory(nil)}, zerolog.Nop(), 1)
	n.registry.update(Registration{Node: "n1", Incarnation: 1}, false)
	n.registry.members["n1"].unlistedSince = time.Now().Add(-time.Hour)
	n.gossip.peer("n1").lastContact = time.Now().Add(time.Hour)
	var tasks sync.WaitGroup
	for _, task := range []func(){
		func() { n.registry.expire(false) },
		func() { n.gossip.stateFor("n1") },
		n.registry.publish,
	} {
		tasks.Go(func() {
			for range 20000 {
				task()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock")
	}
}

// Guards against a lapsed lease that is used for another write, and another wait, because the entry was gone too.
func TestLapsedLeaseIsReplacedAtOnce(t *testing.T) {
	settings := DefaultSettings()
	settings.Node = "n0"
	store := kvstore.NewMemory(time.Now)
	n := New(settings, Dependencies{Store: store}, zerolog.Nop(), 1)
	n.registry.publish()
	p := publisher{registry: n.registry}
	must.NoError(t, p.step(t.Context()))
	must.NoError(t, store.RevokeLease(t.Context(), p.lease))
	n.registry.publish()
	must.ErrorIs(t, p.step(t.Context()), kvstore.ErrLeaseExpired)
	must.NoError(t, p.step(t.Context()))
}
