package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	// minLeaseTTL is longer than the time after which a partitioned node stops admitting keyed requests, so
	// that its quota share is reassigned only when it no longer uses it.
	minLeaseTTL = 9 * time.Second
	// leaseRenewInterval allows three renewal attempts within the lease.
	leaseRenewInterval = 2500 * time.Millisecond
)

// adoptEarlier applies what an earlier process of this node has published about the upstream, and reports whether the entry
// is of one.
func (r *registry) adoptEarlier(entry kvstore.Entry) bool {
	if entry.Deleted || len(entry.Value) == 0 {
		return false
	}
	reg, err := decodeRegistration(entry.Value, r.node.settings().Node)
	if err != nil {
		r.rejectRegistration("registration_rejected", entry.Key, err)
		return false
	}
	if reg.Incarnation == r.node.incarnation {
		return false
	}
	if d, departed := reg.departure(); departed {
		r.node.adoptDeparture(d, "store")
	}
	return true
}

// checkOwnEntry schedules a write of this node's entry if another writer has changed or deleted it, or if its lease
// has ended.
func (r *registry) checkOwnEntry(change kvstore.Entry) {
	r.adoptEarlier(change)
	r.mu.Lock()
	displaced := r.lease != kvstore.NoLease && r.publishedRevision != 0 &&
		(change.Revision == 0 || change.Revision > r.publishedRevision) &&
		(change.Deleted || !bytes.Equal(change.Value, r.published))
	r.displaced = r.displaced || displaced
	r.mu.Unlock()
	if displaced {
		r.node.log.event("registration_displaced").Int64("revision", change.Revision).Bool("deleted", change.Deleted).
			Msg("registry entry of this node overwritten, deleted or expired")
		r.wakePublisher()
	}
}

// takeDisplaced reports whether another writer has changed this node's entry since the last call.
func (r *registry) takeDisplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	displaced := r.displaced
	r.displaced = false
	return displaced
}

// runPublish keeps this node's entry and its lease current until ctx ends. After a restore of the store it writes the
// entry again under a new lease: the entry may be lost or outdated, and another node may hold a lease with the same ID.
func (r *registry) runPublish(ctx context.Context) {
	r.node.generation.forEach(ctx, r.publishEntry)
}

func (r *registry) publishEntry(ctx context.Context) {
	r.setLease(kvstore.NoLease)
	r.departures = departuresEntry{}
	p := publisher{registry: r}
	var retry storeBackoff
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.step(callCtx)
		cancel()
		r.node.checkStoreGeneration()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.node.log.event("registration_failed").Err(err).Msg("cannot write registration")
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		p.wait(ctx)
	}
}

// publisher holds the state of this node's entry in the store.
type publisher struct {
	registry        *registry
	lease           kvstore.LeaseID
	renewed         time.Time
	revision        int64
	writtenSequence int64     // sequence number of the registration in the store
	rewrittenAt     time.Time // last write after another writer had displaced the entry
}

// step performs the store calls that are due.
func (p *publisher) step(ctx context.Context) error {
	store := p.registry.node.store
	if p.lease == kvstore.NoLease {
		now := clock.Boot()
		lease, err := store.GrantLease(ctx, p.registry.node.settings().leaseTTL())
		if err != nil {
			return err
		}
		p.lease, p.renewed, p.writtenSequence = lease, now, 0
		p.registry.setLease(lease)
	}
	if now := clock.Boot(); now.Sub(p.renewed) >= leaseRenewInterval {
		if err := store.KeepAlive(ctx, p.lease); err != nil {
			if errors.Is(err, kvstore.ErrLeaseExpired) {
				p.lease = kvstore.NoLease
			}
			return err
		}
		p.renewed = now
	}
	// Restoring at the pace of renewals keeps two processes with the same name from writing in turns without a pause.
	if now := clock.Boot(); now.Sub(p.rewrittenAt) >= leaseRenewInterval && p.registry.takeDisplaced() {
		p.rewrittenAt, p.writtenSequence = now, 0
	}
	if self := p.registry.registration(); self.Sequence != p.writtenSequence {
		if err := p.write(ctx, self); err != nil {
			return err
		}
	}
	return p.registry.departures.sync(ctx, p.registry.node)
}

func (p *publisher) write(ctx context.Context, self Registration) error {
	store := p.registry.node.store
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := registryPrefix + self.Node
	p.registry.setPublishing(value)
	revision, err := store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
	if errors.Is(err, kvstore.ErrConflict) {
		// The entry was written by an earlier process, or by a write of this process whose response was
		// lost. This process is now the only writer of the entry.
		entry, readErr := store.Get(ctx, key)
		if readErr != nil && !errors.Is(readErr, kvstore.ErrNotFound) {
			return readErr
		}
		p.revision = entry.Revision
		earlier := p.registry.adoptEarlier(entry)
		revision, err = store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
		if err == nil && earlier {
			p.registry.node.shares.SetRegistrationSurvived()
		}
	}
	switch {
	case err == nil:
		p.written(revision, self)
	case errors.Is(err, kvstore.ErrLeaseExpired):
		p.lease = kvstore.NoLease
	}
	return err
}

func (p *publisher) written(revision int64, self Registration) {
	p.revision, p.writtenSequence = revision, self.Sequence
	p.registry.setPublished(revision)
}

// wait blocks until the registration changes or the lease is due for renewal.
func (p *publisher) wait(ctx context.Context) {
	timer := time.NewTimer(max(0, leaseRenewInterval-clock.Boot().Sub(p.renewed)))
	defer timer.Stop()
	select {
	case <-p.registry.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deregister removes this node's entry by revoking its lease, once the departures that it shows are in their own entry.
// runPublish must have ended.
func (r *registry) deregister(ctx context.Context) error {
	if len(r.node.local.acknowledged()) > 0 {
		if err := r.departures.sync(ctx, r.node); err != nil {
			return err // until its lease ends, the node's entry tells what has departed
		}
	}
	r.mu.Lock()
	lease := r.lease
	r.lease = kvstore.NoLease
	r.mu.Unlock()
	if lease == kvstore.NoLease {
		return nil
	}
	return r.node.store.RevokeLease(ctx, lease)
}

func (r *registry) setLease(lease kvstore.LeaseID) {
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
}

// setPublishing records the value of this node's entry that is about to be written.
func (r *registry) setPublishing(value []byte) {
	r.mu.Lock()
	r.published = value
	r.mu.Unlock()
}

// setPublished records the revision of the last confirmed write of this node's entry.
func (r *registry) setPublished(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishedRevision = revision
	select {
	case <-r.firstPublished:
	default:
		close(r.firstPublished)
	}
}
