package sidecar

import (
	"bytes"
	"context"
	"errors"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// departuresEntry is the entry of the store with the departures that this node has acknowledged, also in its earlier
// processes. It has a lease that is not renewed. Its methods are not safe for concurrent use.
type departuresEntry struct {
	read     bool
	revision int64
	value    []byte
}

// sync adopts what an earlier process has written, and writes what has been acknowledged since.
func (e *departuresEntry) sync(ctx context.Context, n *Node) error {
	if !e.read {
		if err := e.adopt(ctx, n); err != nil {
			return err
		}
		e.read = true
	}
	acknowledged := n.local.acknowledged()
	if len(acknowledged) == 0 {
		return nil
	}
	value, err := acknowledged.encode()
	if err != nil || bytes.Equal(value, e.value) {
		return err
	}
	lease, err := n.store.GrantLease(ctx, max(departureLifetime, n.settings().LeaseMinimum))
	if err != nil {
		return err
	}
	revision, err := n.store.CompareAndSwap(ctx, e.key(n), e.revision, value, lease)
	if errors.Is(err, kvstore.ErrConflict) {
		// The entry has ended with its lease, or it was written by a call of this process whose response was lost.
		if err := e.adopt(ctx, n); err != nil {
			return err
		}
		revision, err = n.store.CompareAndSwap(ctx, e.key(n), e.revision, value, lease)
	}
	if err != nil {
		return err
	}
	e.revision, e.value = revision, value
	return nil
}

func (e *departuresEntry) key(n *Node) string { return departuresPrefix + n.settings().Node }

// adopt reads the entry and applies it.
func (e *departuresEntry) adopt(ctx context.Context, n *Node) error {
	entry, err := n.store.Get(ctx, e.key(n))
	if errors.Is(err, kvstore.ErrNotFound) {
		e.revision, e.value = 0, nil
		return nil
	}
	if err != nil {
		return err
	}
	e.revision, e.value = entry.Revision, entry.Value
	earlier, err := decodeDepartures(entry.Value)
	if err != nil {
		n.log.event("departures_rejected").Str("from", entry.Key).Str("reason", err.Error()).Msg("invalid departures ignored")
		return nil
	}
	for _, d := range earlier {
		n.adoptDeparture(d, "store")
	}
	return nil
}
