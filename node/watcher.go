package node

import (
	"context"
	"fmt"

	"github.com/cowslipglade/cowslipglade/member"
)

// elect makes the next platform call of the watcher election. One call is in progress at a time.
func (m *membership) elect(ctx context.Context) {
	m.mu.Lock()
	next := m.election.Next(m.node.leaseNow(), m.machine.Rank())
	m.mu.Unlock()
	if next.Kind == member.NoCall {
		return
	}
	m.node.tasks.Go(func() { m.callPlatform(ctx, next) })
}

func (m *membership) callPlatform(ctx context.Context, next member.Call) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	store := m.node.store
	lease, value, err := next.Lease, []byte(nil), error(nil)
	switch next.Kind {
	case member.GrantLease:
		lease, err = store.GrantLease(ctx, member.WatcherLease)
	case member.TakeSlot:
		_, err = store.CompareAndSwap(ctx, next.Key, 0, next.Value, next.Lease)
	case member.ReadSlot:
		entry, readErr := store.Get(ctx, next.Key)
		value, err = entry.Value, readErr
	case member.RenewLease:
		err = store.KeepAlive(ctx, next.Lease)
	case member.ReleaseLease:
		err = store.RevokeLease(ctx, next.Lease)
	}
	m.mu.Lock()
	m.election.Result(m.node.leaseNow(), lease, value, err)
	m.mu.Unlock()
}

// watching reports whether this node watches the platform for its failure domain.
func (m *membership) watching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.election.Holding(m.node.leaseNow())
}

// loadWatchers reads the addresses of watchers from the platform, for use as seeds.
func (m *membership) loadWatchers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entries, _, err := m.node.store.List(ctx, member.WatcherPrefix)
	if err != nil {
		return fmt.Errorf("read watchers: %w", err)
	}
	var found []string
	for _, entry := range entries {
		if address := string(entry.Value); address != m.node.settings.Advertised() {
			found = append(found, address)
		}
	}
	m.mu.Lock()
	m.watcherAddresses = found
	m.mu.Unlock()
	return nil
}
