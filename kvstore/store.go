// Package kvstore defines the interface to the operators' key-value service and clients for it.
//
// The rest of cowslipglade accesses the service only through Store, so that supporting another
// protocol takes one more implementation. Every method is one call against the platform's rate
// limits; a waiting watch counts as one call.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. An implementation wraps one of them in every error that it returns.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kvstore: key not found")
	// ErrConflict means that the key was at another revision and the write had no effect.
	ErrConflict = errors.New("kvstore: revision conflict")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("kvstore: unavailable")
	// ErrUnknownOutcome means that the call may have taken effect; read the key before a retry.
	ErrUnknownOutcome = errors.New("kvstore: outcome unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("kvstore: lease expired")
	// ErrCompacted means that a watch requested a revision that the store has compacted.
	ErrCompacted = errors.New("kvstore: revision compacted")
)

// LeaseID identifies a lease. A key written with NoLease is attached to no lease.
type LeaseID int64

// NoLease is the absence of a lease.
const NoLease LeaseID = 0

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last change to this key.
	Revision int64
	// Deleted is set only in watch events.
	Deleted bool
}

// Store is a key-value store with compare-and-swap, leases and watches. Implementations are safe for
// concurrent use.
type Store interface {
	// Get returns one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with the prefix in key order, and the store revision at which it read them.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// CompareAndSwap writes value if the key's revision is still previous; 0 means that the key must
	// not exist. It returns the new revision.
	CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease LeaseID) (int64, error)
	// CompareAndDelete deletes the key if its revision is still previous.
	CompareAndDelete(ctx context.Context, key string, previous int64) error
	// GrantLease creates a lease. The holder must measure its time from before the call.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full TTL, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch waits for changes of keys with the prefix after the store revision and returns them with
	// the revision to continue from. It returns an empty slice when ctx ends.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error)
}

// Restorable is a Store that tells when it was restored from a backup.
type Restorable interface {
	Store
	// Generation returns the generation of the store as of its latest response, or 0 if unknown. It changes when the
	// store is restored from a backup: revisions and leases obtained in another generation are void, and may have been
	// given out again.
	Generation() uint64
}
