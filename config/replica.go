package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// PushFanout is the number of random members to which a node pushes a new revision. With a fanout
	// of 4, a revision reaches nearly all of 4,900 members in about 7 rounds; probes carry it to the rest.
	PushFanout = 4
	// DefaultRetainedChanges is the number of encoded changes that a Replica retains for peers: 20 min of
	// changes at 19,000 a day, in at most 4 MB. A peer that is further behind receives a snapshot.
	DefaultRetainedChanges = 256
	// neverConfirmedAge is the reported age of a configuration that was never confirmed.
	neverConfirmedAge = 100 * 365 * 24 * time.Hour
)

// ErrBelowMinRevision means that the replica is below the revision that was in force at the node before.
var ErrBelowMinRevision = errors.New("config: revision is below the one previously in force")

// Replica is a node's copy of the configuration. It applies changes only in contiguous revision order,
// and its revision never decreases. It is not safe for concurrent use; the documents that it returns are.
type Replica struct {
	document *Document
	// highestKnown is the highest revision known to exist, minRevision the one required for serving.
	highestKnown, minRevision int64
	// retained holds the last encoded changes up to the document's revision, without gaps.
	retained    [][]byte
	maxRetained int
	// confirmedAt is when the platform last confirmed that it had no higher revision.
	confirmedAt time.Time
}

// NewReplica returns a replica at revision 0 that retains up to maxRetained changes for peers.
func NewReplica(maxRetained int) *Replica {
	return &Replica{document: NewDocument(), maxRetained: max(1, maxRetained)}
}

// Document returns the configuration in force.
func (r *Replica) Document() *Document { return r.document }

// Revision returns the revision in force.
func (r *Replica) Revision() int64 { return r.document.Revision }

// ApplyChanges applies the changes that follow the revision in force, ignores older ones and returns the
// number applied. A change beyond the next revision is not applied but makes Gap report that the replica
// is behind. An error means that a change does not apply to the document; those before it are in force.
func (r *Replica) ApplyChanges(changes []CommittedChange) (int, error) {
	applied := 0
	for _, change := range changes {
		r.ObserveRevision(change.Revision)
		if change.Revision != r.document.Revision+1 {
			continue
		}
		next, err := r.document.Apply(change.Change, change.Revision)
		if err != nil {
			return applied, fmt.Errorf("config: apply revision %d: %w", change.Revision, err)
		}
		data, err := change.Encode()
		if err != nil {
			return applied, err
		}
		r.document = next
		r.retained = append(r.retained, data)
		if len(r.retained) > r.maxRetained {
			r.retained = append([][]byte(nil), r.retained[len(r.retained)-r.maxRetained:]...)
		}
		applied++
	}
	return applied, nil
}

// ApplyEncodedChanges decodes changes from a peer and applies them.
func (r *Replica) ApplyEncodedChanges(encoded [][]byte) (int, error) {
	changes := make([]CommittedChange, 0, len(encoded))
	for _, data := range encoded {
		change, err := DecodeCommittedChange(data)
		if err != nil {
			return 0, err
		}
		changes = append(changes, change)
	}
	return r.ApplyChanges(changes)
}

// InstallDocument replaces the document if d is newer, and reports whether it did. The changes retained for
// peers then restart after d.
func (r *Replica) InstallDocument(d *Document) bool {
	r.ObserveRevision(d.Revision)
	if d.Revision <= r.document.Revision {
		return false
	}
	r.document = d
	r.retained = nil
	return true
}

// InstallSnapshot decodes a snapshot from a peer and installs its document if it is newer.
func (r *Replica) InstallSnapshot(data []byte) (bool, error) {
	document, err := DecodeSnapshot(data)
	if err != nil {
		return false, err
	}
	return r.InstallDocument(document), nil
}

// ObserveRevision records that the revision exists, here or elsewhere.
func (r *Replica) ObserveRevision(revision int64) { r.highestKnown = max(r.highestKnown, revision) }

// Gap returns the revision to pull from, and whether a higher one is known to exist.
func (r *Replica) Gap() (after int64, behind bool) {
	return r.document.Revision, r.highestKnown > r.document.Revision
}

// ChangesSince returns the encoded changes after the revision, or false if they are no longer retained
// and the peer needs a snapshot.
func (r *Replica) ChangesSince(after int64) ([][]byte, bool) {
	missing := r.document.Revision - after
	if missing <= 0 {
		return nil, true
	}
	if after < 0 || missing > int64(len(r.retained)) {
		return nil, false
	}
	return r.retained[int64(len(r.retained))-missing:], true
}

// RaiseMinRevision records a revision that was in force at this node or its upstream before. Ready returns
// an error until the replica has reached it.
func (r *Replica) RaiseMinRevision(revision int64) {
	r.minRevision = max(r.minRevision, revision)
	r.ObserveRevision(revision)
}

// Ready returns nil if the node may serve, otherwise an error that wraps ErrBelowMinRevision.
func (r *Replica) Ready() error {
	if r.document.Revision < r.minRevision {
		return fmt.Errorf("%w: at %d, needs %d", ErrBelowMinRevision, r.document.Revision, r.minRevision)
	}
	return nil
}

// Confirm records that revision was the newest on the platform at the time now minus age. The age is 0 if
// this node read the platform itself, and the peer's confirmed age if a peer reported it. Confirm has no
// effect on the confirmed age unless the replica has reached the revision.
func (r *Replica) Confirm(now time.Time, revision int64, age time.Duration) {
	r.ObserveRevision(revision)
	if age < 0 || age >= neverConfirmedAge || revision > r.document.Revision {
		return
	}
	if at := now.Add(-age); at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// ConfirmedAge returns the time since the platform last confirmed the revision in force, as far as this
// node knows. Nodes send it to peers together with the revision.
func (r *Replica) ConfirmedAge(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return neverConfirmedAge
	}
	return max(0, now.Sub(r.confirmedAt))
}

// PushTargets returns up to PushFanout distinct random members. It reorders members in place.
func PushTargets(random *rand.Rand, members []string) []string {
	count := min(PushFanout, len(members))
	for i := range count {
		j := i + random.IntN(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:count]
}
