package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

// revisionSource is a ConfigurationSource whose documents are only revision numbers.
type revisionSource struct{ store kvstore.Store }

func (s revisionSource) Read(ctx context.Context) ([]byte, error) {
	entry, err := s.store.Get(ctx, "configuration")
	return entry.Value, err
}

func (revisionSource) Decode(data []byte) (*config.Document, error) {
	document := config.NewDocument()
	return document, json.Unmarshal(data, &document.Revision)
}

// startTasks runs tasks of a node named n0 that uses store.
func startTasks(t *testing.T, store *kvstore.Memory, tasks func(*Node) []func(context.Context)) *Node {
	t.Helper()
	settings := DefaultSettings()
	settings.Node, settings.FailureDomain = "n0", "d"
	n := New(settings, Dependencies{Store: store, Configuration: revisionSource{store}}, zerolog.Nop(), 1)
	n.registry.publish()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, task := range tasks(n) {
		running.Go(func() { task(ctx) })
	}
	return n
}

// outage runs change while the store is down, before any call that fails meanwhile is repeated.
func outage(store *kvstore.Memory, change func()) {
	store.SetDown(true)
	time.Sleep(20 * time.Millisecond) // ends the waiting watches
	store.SetDown(false)
	change()
}

func within(t *testing.T, timeout time.Duration, check func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(timeout), wait.Gap(10*time.Millisecond)))
}

func putEntry(t *testing.T, store kvstore.Store, node string, stopping bool) {
	t.Helper()
	value := registrationWith(map[string]any{"node": node, "failure_domain": "other", "stopping": stopping})
	_, err := store.CompareAndSwap(t.Context(), registryPrefix+node, 0, value, kvstore.NoLease)
	must.NoError(t, err)
}

// storedSequence returns the sequence number of n0's registration in the store.
func storedSequence(store kvstore.Store) (int64, error) {
	entry, err := store.Get(context.Background(), registryPrefix+"n0")
	if err != nil {
		return 0, err
	}
	var reg Registration
	return reg.Sequence, json.Unmarshal(entry.Value, &reg)
}

// Guards against a watch that continues in a restored store and misses the changes made before it.
func TestRestoredStoreWatch(t *testing.T) {
	for name, fillers := range map[string]int{"changes follow": 3, "no change follows": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kvstore.NewMemory(time.Now)
			putEntry(t, store, "gone", true)
			backup := store.Backup()
			for i := range 3 {
				putEntry(t, store, fmt.Sprint("filler", i), false)
			}
			n := startTasks(t, store, func(n *Node) []func(context.Context) {
				return []func(context.Context){n.registry.runWatch, n.configuration.run}
			})
			knows := func(name string) bool {
				incarnation, _ := n.registry.known(name)
				return incarnation != 0
			}
			within(t, 2*time.Second, func() error {
				if !knows("gone") || store.Calls()["Watch"] == 0 {
					return errors.New("not watching")
				}
				return nil
			})
			outage(store, func() {
				store.Restore(backup)
				entry, err := store.Get(t.Context(), registryPrefix+"gone")
				must.NoError(t, err)
				must.NoError(t, store.CompareAndDelete(t.Context(), entry.Key, entry.Revision))
				putEntry(t, store, "joined", false)
				for i := range fillers {
					putEntry(t, store, fmt.Sprint("filler", i), false)
				}
			})
			within(t, 2*time.Second, func() error {
				if !knows("joined") || knows("gone") {
					return fmt.Errorf("joined node known: %v, departed node known: %v", knows("joined"), knows("gone"))
				}
				return nil
			})
		})
	}
}

// Guards against a node whose entry came back older, or was lost, and is not written again.
func TestRestoredStoreEntry(t *testing.T) {
	for name, test := range map[string]struct{ backupBeforeLease, reuseLease bool }{
		"older entry":                  {},
		"lost entry":                   {backupBeforeLease: true},
		"lost entry, lease of another": {backupBeforeLease: true, reuseLease: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kvstore.NewMemory(time.Now)
			backup := store.Backup()
			n := startTasks(t, store, func(n *Node) []func(context.Context) {
				return []func(context.Context){n.registry.runPublish, n.registry.runWatch, n.configuration.run}
			})
			writes := func(sequence int64) {
				t.Helper()
				within(t, 2*time.Second, func() error {
					if stored, err := storedSequence(store); err != nil || stored != sequence {
						return errors.Join(err, fmt.Errorf("sequence %d in the store, not %d", stored, sequence))
					}
					return nil
				})
			}
			writes(1)
			if !test.backupBeforeLease {
				backup = store.Backup()
			}
			n.registry.publish()
			writes(2)
			outage(store, func() {
				store.Restore(backup)
				if test.reuseLease {
					lease, err := store.GrantLease(t.Context(), time.Minute)
					must.NoError(t, err)
					must.Eq(t, 1, lease, must.Sprint("the lease that the node had"))
				}
			})
			writes(2)
		})
	}
}

// Guards against a stopping node that revokes the lease of another one.
func TestRestoredStoreStop(t *testing.T) {
	store := kvstore.NewMemory(time.Now)
	backup := store.Backup()
	n := startTasks(t, store, func(n *Node) []func(context.Context) { return []func(context.Context){n.registry.runPublish} })
	lease := func() kvstore.LeaseID {
		n.registry.mu.Lock()
		defer n.registry.mu.Unlock()
		return n.registry.lease
	}
	within(t, time.Second, func() error {
		_, err := storedSequence(store)
		return err
	})
	store.Restore(backup)
	other, err := store.GrantLease(t.Context(), time.Minute)
	must.NoError(t, err)
	must.Eq(t, lease(), other)
	n.registry.publish()
	within(t, time.Second, func() error {
		if lease() == other {
			return errors.New("the node uses the lease of another")
		}
		return nil
	})
	must.NoError(t, n.registry.deregister(t.Context()))
	must.NoError(t, store.KeepAlive(t.Context(), other))
}

// Guards against reads without a pause while the store holds an older configuration, or none, and against taking them
// for a confirmation.
func TestRestoredStoreOlderConfiguration(t *testing.T) {
	for name, test := range map[string]struct{ older bool }{"older": {true}, "none": {false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kvstore.NewMemory(time.Now)
			backup := store.Backup()
			write := func(previous int64, value string) int64 {
				revision, err := store.CompareAndSwap(t.Context(), "configuration", previous, []byte(value), kvstore.NoLease)
				must.NoError(t, err)
				return revision
			}
			revision := write(0, "1")
			if test.older {
				backup = store.Backup()
			}
			write(revision, "2")
			n := startTasks(t, store, func(n *Node) []func(context.Context) { return []func(context.Context){n.configuration.run} })
			within(t, time.Second, func() error {
				if n.configuration.revision() != 2 {
					return errors.New("not read")
				}
				return nil
			})
			store.Restore(backup)
			before := store.Calls()["Get"]
			time.Sleep(3 * time.Second)
			must.Between(t, 2, store.Calls()["Get"]-before, 10)
			must.Eq(t, 2, n.configuration.revision())
			must.False(t, n.configuration.freshWithin(2*time.Second))
			if !test.older {
				revision = 0
			}
			write(revision, "3")
			within(t, n.settings().ConfigApplyTime, func() error {
				if n.configuration.revision() != 3 || !n.configuration.freshWithin(time.Second) {
					return fmt.Errorf("revision %d in force", n.configuration.revision())
				}
				return nil
			})
		})
	}
}

// Guards against restores that no log line tells of.
func TestRestoredStoreLogged(t *testing.T) {
	store := kvstore.NewMemory(time.Now)
	var log bytes.Buffer
	n := New(DefaultSettings(), Dependencies{Store: store}, zerolog.New(&log), 1)
	for _, restored := range []int{0, 1, 1, 2} {
		if restored > strings.Count(log.String(), "store_restored") {
			store.Restore(store.Backup())
		}
		_, _, err := store.List(t.Context(), "")
		must.NoError(t, err)
		n.checkStoreGeneration()
		must.Eq(t, restored, strings.Count(log.String(), "store_restored"))
	}
}
