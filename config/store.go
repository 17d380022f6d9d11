package config

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	// LogPrefix is the prefix of the keys of log entries. The revision follows in revisionDigits digits.
	LogPrefix = "config/log/"
	// SnapshotKey holds the newest snapshot.
	SnapshotKey = "config/snapshot"
	// blockSize is the number of revisions that one list call covers: those whose keys share all but the
	// last two digits. It is also the minimum number of revisions between snapshots.
	blockSize      = 100
	revisionDigits = 20
	blockDigits    = revisionDigits - 2
	// RetainedLogChanges is the number of changes that the log retains as an audit trail: 10 days at
	// 19,000 a day.
	RetainedLogChanges = 200_000
	// maxCommitAttempts bounds the attempts of a commit. Each race lost to another writer uses one.
	maxCommitAttempts = 16
)

// Errors of Writer and Reader. Errors of the change itself are those of Document.Apply.
var (
	// ErrUnavailable means that the platform did not respond and that the change had no effect.
	ErrUnavailable = errors.New("config: platform unavailable")
	// ErrUnknownOutcome means that the change may be in force; resend the same id to find out.
	ErrUnknownOutcome = errors.New("config: outcome unknown")
	// ErrContention means that every attempt lost to another writer and that the change had no effect.
	ErrContention = errors.New("config: too many concurrent changes")
	// ErrCorruptLog means that the log or snapshot on the platform is inconsistent or cannot be decoded.
	ErrCorruptLog = errors.New("config: log damaged")
)

// LogKey returns the platform key of the log entry for the revision.
func LogKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", LogPrefix, revisionDigits, revision)
}

func blockPrefix(revision int64) string {
	return fmt.Sprintf("%s%0*d", LogPrefix, blockDigits, revision/blockSize)
}

// Reader reads the configuration from the platform. It is safe for concurrent use.
type Reader struct {
	Store kvstore.Store
}

// Load returns the newest document, built from the snapshot and the log entries after it.
func (r Reader) Load(ctx context.Context) (*Document, error) {
	document := NewDocument()
	entry, err := r.Store.Get(ctx, SnapshotKey)
	switch {
	case err == nil:
		if document, err = DecodeSnapshot(entry.Value); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCorruptLog, err)
		}
	case !errors.Is(err, kvstore.ErrNotFound):
		return nil, mapStoreError(err)
	}
	document, _, err = r.advance(ctx, document)
	return document, err
}

// Advance returns the newest document and the changes that lead to it from the given one, using one list
// call per 100 revisions. The changes are nil if the log no longer holds all of them and the document was
// loaded from the snapshot.
func (r Reader) Advance(ctx context.Context, document *Document) (*Document, []CommittedChange, error) {
	found, err := r.containsRevision(ctx, document.Revision)
	if err != nil {
		return nil, nil, err
	}
	if found {
		return r.advance(ctx, document)
	}
	loaded, err := r.Load(ctx)
	if err != nil {
		return nil, nil, err
	}
	return loaded, nil, checkNotOlder(loaded, document)
}

// checkNotOlder returns an error if the log lost revisions, as happens when the platform is restored from
// a backup.
func checkNotOlder(loaded, document *Document) error {
	if loaded.Revision < document.Revision {
		return fmt.Errorf("%w: ends at revision %d before %d", ErrCorruptLog, loaded.Revision, document.Revision)
	}
	return nil
}

// containsRevision reports whether the log still holds the entry of the revision. If it does not, a missing
// entry after the revision may have been deleted and does not mark the end of the log.
func (r Reader) containsRevision(ctx context.Context, revision int64) (bool, error) {
	if revision == 0 {
		return false, nil
	}
	_, err := r.Store.Get(ctx, LogKey(revision))
	if errors.Is(err, kvstore.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, mapStoreError(err)
	}
	return true, nil
}

func (r Reader) advance(ctx context.Context, document *Document) (*Document, []CommittedChange, error) {
	var changes []CommittedChange
	for {
		before := document.Revision
		block, err := r.List(ctx, before+1)
		if err != nil {
			return nil, nil, err
		}
		for _, change := range block {
			if change.Revision <= document.Revision {
				continue
			}
			next, err := document.Apply(change.Change, change.Revision)
			if err != nil {
				return nil, nil, fmt.Errorf("%w: revision %d: %w", ErrCorruptLog, change.Revision, err)
			}
			document = next
			changes = append(changes, change)
		}
		blockEnd := (before+1)/blockSize*blockSize + blockSize - 1
		if document.Revision < blockEnd {
			return document, changes, nil
		}
	}
}

// List returns the changes in the block of 100 revisions that contains the revision. Advance and the
// audit trail use it.
func (r Reader) List(ctx context.Context, revision int64) ([]CommittedChange, error) {
	entries, _, err := r.Store.List(ctx, blockPrefix(revision))
	if err != nil {
		return nil, mapStoreError(err)
	}
	changes := make([]CommittedChange, 0, len(entries))
	for _, entry := range entries {
		change, err := decodeEntry(entry)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func decodeEntry(entry kvstore.Entry) (CommittedChange, error) {
	change, err := DecodeCommittedChange(entry.Value)
	if err != nil {
		return CommittedChange{}, fmt.Errorf("%w: %s: %w", ErrCorruptLog, entry.Key, err)
	}
	keyRevision, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, LogPrefix), 10, 64)
	if err != nil || keyRevision != change.Revision {
		return CommittedChange{}, fmt.Errorf("%w: %s holds revision %d", ErrCorruptLog, entry.Key, change.Revision)
	}
	return change, nil
}

// Writer commits changes. It is safe for concurrent use, and writers on any number of nodes may compete.
type Writer struct {
	Store kvstore.Store
}

// Commit appends the change to the log and returns the resulting document and the revision of the change,
// also if the id was committed before. It starts from the caller's document and makes two platform calls
// if that is the newest.
//
// Errors are those of Document.Apply except *DuplicateError, or wrap ErrUnavailable,
// ErrUnknownOutcome, ErrContention or ErrCorruptLog.
func (w Writer) Commit(ctx context.Context, document *Document, c Change) (*Document, int64, error) {
	result, err := w.CommitChanges(ctx, document, c)
	return result.Document, result.Revision, err
}

// CommitResult is the outcome of a commit.
type CommitResult struct {
	// Document is the newest document that the commit saw; it includes the change.
	Document *Document
	// Revision is the revision of the change, which may be lower than the document's for a resent id.
	Revision int64
	// Changes lead from the caller's document to Document, for Replica.ApplyChanges. They are nil if the
	// caller's document was older than the log; use Replica.InstallDocument in that case.
	Changes []CommittedChange
}

// CommitChanges is like Commit, but also returns the changes that peers need.
func (w Writer) CommitChanges(ctx context.Context, document *Document, c Change) (CommitResult, error) {
	if err := c.Validate(); err != nil {
		return CommitResult{}, err
	}
	start, err := w.verifyHead(ctx, document)
	if err != nil {
		return CommitResult{}, err
	}
	result, err := w.commit(ctx, start, c)
	if start != document {
		result.Changes = nil
	}
	return result, err
}

func (w Writer) commit(ctx context.Context, document *Document, c Change) (CommitResult, error) {
	var changes []CommittedChange
	// inDoubt is true while an attempt at the next revision may still take effect.
	inDoubt := false
	for range maxCommitAttempts {
		next, err := document.Apply(c, document.Revision+1)
		var duplicate *DuplicateError
		if errors.As(err, &duplicate) {
			return CommitResult{Document: document, Revision: duplicate.Revision, Changes: changes}, nil
		}
		if err != nil {
			return CommitResult{}, err
		}
		entry := CommittedChange{Revision: next.Revision, Change: c}
		err = w.create(ctx, entry)
		if err == nil {
			return CommitResult{Document: next, Revision: next.Revision, Changes: append(changes, entry)}, nil
		}
		if errors.Is(err, kvstore.ErrUnknownOutcome) {
			inDoubt = true
		} else if !errors.Is(err, kvstore.ErrConflict) {
			return CommitResult{}, commitError(err, inDoubt)
		}
		advanced, change, err := w.readNext(ctx, document)
		if err != nil {
			return CommitResult{}, commitError(err, inDoubt)
		}
		if advanced != document {
			// The revision is now occupied, so a delayed attempt to write it can no longer take
			// effect. If the entry is ours, the next iteration finds its id in the document.
			document, inDoubt = advanced, false
			changes = append(changes, change)
		}
	}
	if inDoubt {
		return CommitResult{}, ErrUnknownOutcome
	}
	return CommitResult{}, ErrContention
}

// verifyHead returns the document if the log still holds its revision, and loads a newer one otherwise.
// Without this check, a commit based on a document older than the log would recreate a deleted entry and
// report it as committed.
func (w Writer) verifyHead(ctx context.Context, document *Document) (*Document, error) {
	found, err := Reader(w).containsRevision(ctx, document.Revision)
	if err != nil {
		return nil, err
	}
	if found {
		return document, nil
	}
	loaded, err := Reader(w).Load(ctx)
	if err != nil {
		return nil, err
	}
	return loaded, checkNotOlder(loaded, document)
}

func (w Writer) create(ctx context.Context, c CommittedChange) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	_, err = w.Store.CompareAndSwap(ctx, LogKey(c.Revision), 0, data, kvstore.NoLease)
	return err
}

// readNext applies the next log entry and returns the resulting document and the entry, or the unchanged
// document if there is no next entry.
func (w Writer) readNext(ctx context.Context, document *Document) (*Document, CommittedChange, error) {
	entry, err := w.Store.Get(ctx, LogKey(document.Revision+1))
	if errors.Is(err, kvstore.ErrNotFound) {
		return document, CommittedChange{}, nil
	}
	if err != nil {
		return nil, CommittedChange{}, err
	}
	change, err := decodeEntry(entry)
	if err != nil {
		return nil, CommittedChange{}, err
	}
	next, err := document.Apply(change.Change, change.Revision)
	if err != nil {
		return nil, CommittedChange{}, fmt.Errorf("%w: revision %d: %w", ErrCorruptLog, change.Revision, err)
	}
	return next, change, nil
}

// commitError returns the error of a commit that ends with err. It wraps ErrUnknownOutcome if an earlier
// attempt may still take effect.
func commitError(err error, inDoubt bool) error {
	if inDoubt {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return mapStoreError(err)
}

// mapStoreError wraps platform errors in ErrUnavailable and returns other errors unchanged.
func mapStoreError(err error) error {
	for _, known := range []error{kvstore.ErrUnavailable, kvstore.ErrUnknownOutcome, kvstore.ErrNotFound, kvstore.ErrConflict} {
		if errors.Is(err, known) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return err
}

// Compact writes the document as the snapshot if it is at least 100 revisions newer than the one on the
// platform, then deletes log entries beyond RetainedLogChanges. Watchers may call it concurrently;
// compare-and-swap ensures that only one succeeds. It reports whether this call wrote the snapshot. A
// failure leaves consistent data: an older snapshot, or log entries that are retained longer than needed.
func (w Writer) Compact(ctx context.Context, document *Document) (bool, error) {
	var snapshotRevision, previous int64
	entry, err := w.Store.Get(ctx, SnapshotKey)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return false, mapStoreError(err)
	}
	if err == nil {
		old, err := DecodeSnapshot(entry.Value)
		if err != nil {
			return false, fmt.Errorf("%w: %w", ErrCorruptLog, err)
		}
		snapshotRevision, previous = old.Revision, entry.Revision
	}
	if document.Revision < snapshotRevision+blockSize {
		return false, nil
	}
	data, err := document.EncodeSnapshot()
	if err != nil {
		return false, err
	}
	_, err = w.Store.CompareAndSwap(ctx, SnapshotKey, previous, data, kvstore.NoLease)
	if errors.Is(err, kvstore.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, mapStoreError(err)
	}
	first := max(0, (snapshotRevision-RetainedLogChanges)/blockSize)
	last := (document.Revision - RetainedLogChanges) / blockSize
	for block := first; block < last; block++ {
		if err := w.deleteBlock(ctx, block*blockSize); err != nil {
			return true, err
		}
	}
	return true, nil
}

func (w Writer) deleteBlock(ctx context.Context, revision int64) error {
	entries, _, err := w.Store.List(ctx, blockPrefix(revision))
	if err != nil {
		return mapStoreError(err)
	}
	for _, entry := range entries {
		err := w.Store.CompareAndDelete(ctx, entry.Key, entry.Revision)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) && !errors.Is(err, kvstore.ErrConflict) {
			return mapStoreError(err)
		}
	}
	return nil
}
