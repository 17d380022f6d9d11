package sidecar

import (
	"context"
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

// Guards against a node that is gone but stays a member for as long as no other entry changes: a restarted fleet may wait
// for it (incident RECOVER).
func TestLapsedNodeIsRemovedThoughNoEntryChanges(t *testing.T) {
	store := kvstore.NewMemory(time.Now)
	n := New(testNode("n0", 1).settings(), Dependencies{Store: store, Configuration: noConfiguration{}}, zerolog.Nop(), 1)
	n.registry.publish()
	p := publisher{registry: n.registry}
	must.NoError(t, p.step(t.Context()))
	lease, err := store.GrantLease(t.Context(), time.Minute)
	must.NoError(t, err)
	_, err = store.CompareAndSwap(t.Context(), registryPrefix+"b", 0, registrationWith(nil), lease)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { n.registry.runWatch(ctx) })
	defer following.Wait()
	defer cancel()
	awaitMembers := func(count int, within time.Duration) {
		t.Helper()
		for end := time.Now().Add(within); len(n.registry.others()) != count; time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprintf("%d members after %v, not %d", len(n.registry.others()), within, count))
		}
	}
	awaitMembers(1, 5*time.Second)
	must.NoError(t, store.RevokeLease(t.Context(), lease))
	awaitMembers(0, lapsedEntryGrace+3*time.Second)
}
