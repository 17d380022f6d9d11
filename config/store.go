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
	// LogPrefix starts the keys of the log. The revision follows with revisionDigits digits.
	LogPrefix = "config/log/"
	// SnapshotKey holds the newest snapshot.
	SnapshotKey = "config/snapshot"
	// blockSize is the number of revisions that one list call can name, as they share all but their
	// last two digits. It is also the distance of snapshots.
	blockSize      = 100
	revisionDigits = 20
	blockDigits    = revisionDigits - 2
	// Retention is the number of changes that the audit trail keeps: 10 days at 19,000 a day.
	Retention = 200_000
	// maxCommitAttempts bounds the attempts of one commit. Each lost race costs one.
	maxCommitAttempts = 16
)

// Errors of Writer and Reader. Errors of the change itself are those of Document.Apply.
var (
	// ErrUnavailable means that the platform did not answer and that the change had no effect.
	ErrUnavailable = errors.New("config: platform unavailable")
	// ErrUnknownOutcome means that the change may be in force; send the same id again to learn it.
	ErrUnknownOutcome = errors.New("config: outcome unknown")
	// ErrContention means that other writers won every attempt and that the change had no effect.
	ErrContention = errors.New("config: too many concurrent changes")
	// ErrLog means that the log on the platform cannot be read as written.
	ErrLog = errors.New("config: log damaged")
)

// LogKey returns the platform key of the change at the revision.
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

// Load returns the newest document: the snapshot and the log after it.
func (r Reader) Load(ctx context.Context) (*Document, error) {
	document := NewDocument()
	entry, err := r.Store.Get(ctx, SnapshotKey)
	switch {
	case err == nil:
		if document, err = DecodeSnapshot(entry.Value); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLog, err)
		}
	case !errors.Is(err, kvstore.ErrNotFound):
		return nil, convert(err)
	}
	document, _, err = r.advance(ctx, document)
	return document, err
}

// Advance returns the newest document and the changes that lead there from the given one, with one
// list call for each 100 revisions. The changes are nil when the log no longer holds them all, so
// that the document came from the snapshot.
func (r Reader) Advance(ctx context.Context, document *Document) (*Document, []Committed, error) {
	held, err := r.holds(ctx, document.Revision)
	if err != nil {
		return nil, nil, err
	}
	if held {
		return r.advance(ctx, document)
	}
	loaded, err := r.Load(ctx)
	if err != nil {
		return nil, nil, err
	}
	return loaded, nil, checkNotOlder(loaded, document)
}

// checkNotOlder reports a log that lost revisions, as after a platform restored from a backup.
func checkNotOlder(loaded, document *Document) error {
	if loaded.Revision < document.Revision {
		return fmt.Errorf("%w: ends at revision %d before %d", ErrLog, loaded.Revision, document.Revision)
	}
	return nil
}

// holds reports whether the log still has the revision. When it has not, an empty place after the
// revision may be a deleted entry and not the end of the log.
func (r Reader) holds(ctx context.Context, revision int64) (bool, error) {
	if revision == 0 {
		return false, nil
	}
	_, err := r.Store.Get(ctx, LogKey(revision))
	if errors.Is(err, kvstore.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, convert(err)
	}
	return true, nil
}

func (r Reader) advance(ctx context.Context, document *Document) (*Document, []Committed, error) {
	var changes []Committed
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
				return nil, nil, fmt.Errorf("%w: revision %d: %w", ErrLog, change.Revision, err)
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

// List returns the changes of the block of 100 revisions that holds the revision, for the audit trail.
func (r Reader) List(ctx context.Context, revision int64) ([]Committed, error) {
	entries, _, err := r.Store.List(ctx, blockPrefix(revision))
	if err != nil {
		return nil, convert(err)
	}
	changes := make([]Committed, 0, len(entries))
	for _, entry := range entries {
		change, err := decodeEntry(entry)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func decodeEntry(entry kvstore.Entry) (Committed, error) {
	change, err := DecodeCommitted(entry.Value)
	if err != nil {
		return Committed{}, fmt.Errorf("%w: %s: %w", ErrLog, entry.Key, err)
	}
	named, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, LogPrefix), 10, 64)
	if err != nil || named != change.Revision {
		return Committed{}, fmt.Errorf("%w: %s holds revision %d", ErrLog, entry.Key, change.Revision)
	}
	return change, nil
}

// Writer commits changes. It is safe for concurrent use; writers on any number of nodes may race.
type Writer struct {
	Store kvstore.Store
}

// Commit appends the change to the log and returns the document and the revision that it has there,
// also when the id was committed before. It starts from the document that the caller has in force
// and costs two platform calls when that is the newest.
//
// Errors are those of Document.Apply except *DuplicateError, or wrap ErrUnavailable,
// ErrUnknownOutcome, ErrContention or ErrLog.
func (w Writer) Commit(ctx context.Context, document *Document, c Change) (*Document, int64, error) {
	result, err := w.CommitChanges(ctx, document, c)
	return result.Document, result.Revision, err
}

// CommitResult is the outcome of a commit.
type CommitResult struct {
	// Document is the newest document that the commit saw; it includes the change.
	Document *Document
	// Revision is that of the change, which may be lower than the document's for a repeated id.
	Revision int64
	// Changes lead from the caller's document to Document, for Replica.Offer. They are nil when the
	// caller's document was older than the log; then use Replica.OfferDocument.
	Changes []Committed
}

// CommitChanges is Commit with the changes that peers need.
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
	var changes []Committed
	// sent is true while an attempt at the next revision may still take effect.
	sent := false
	for range maxCommitAttempts {
		next, err := document.Apply(c, document.Revision+1)
		var duplicate *DuplicateError
		if errors.As(err, &duplicate) {
			return CommitResult{Document: document, Revision: duplicate.Revision, Changes: changes}, nil
		}
		if err != nil {
			return CommitResult{}, err
		}
		own := Committed{Revision: next.Revision, Change: c}
		err = w.create(ctx, own)
		if err == nil {
			return CommitResult{Document: next, Revision: next.Revision, Changes: append(changes, own)}, nil
		}
		if errors.Is(err, kvstore.ErrUnknownOutcome) {
			sent = true
		} else if !errors.Is(err, kvstore.ErrConflict) {
			return CommitResult{}, outcome(err, sent)
		}
		advanced, taken, err := w.readNext(ctx, document)
		if err != nil {
			return CommitResult{}, outcome(err, sent)
		}
		if advanced != document {
			// The revision is taken, so a late attempt at it can no longer take effect. If it was
			// ours, the document remembers the id and the next round returns it.
			document, sent = advanced, false
			changes = append(changes, taken)
		}
	}
	if sent {
		return CommitResult{}, ErrUnknownOutcome
	}
	return CommitResult{}, ErrContention
}

// verifyHead makes sure that the log still holds the document's revision, and loads a newer document
// when it does not. Without it, a document older than the retention would create an entry that was
// already deleted and count it as a commit.
func (w Writer) verifyHead(ctx context.Context, document *Document) (*Document, error) {
	held, err := Reader(w).holds(ctx, document.Revision)
	if err != nil {
		return nil, err
	}
	if held {
		return document, nil
	}
	loaded, err := Reader(w).Load(ctx)
	if err != nil {
		return nil, err
	}
	return loaded, checkNotOlder(loaded, document)
}

func (w Writer) create(ctx context.Context, c Committed) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	_, err = w.Store.CompareAndSwap(ctx, LogKey(c.Revision), 0, data, kvstore.NoLease)
	return err
}

// readNext returns the document after the next log entry with that entry, or the same document when
// there is none.
func (w Writer) readNext(ctx context.Context, document *Document) (*Document, Committed, error) {
	entry, err := w.Store.Get(ctx, LogKey(document.Revision+1))
	if errors.Is(err, kvstore.ErrNotFound) {
		return document, Committed{}, nil
	}
	if err != nil {
		return nil, Committed{}, err
	}
	change, err := decodeEntry(entry)
	if err != nil {
		return nil, Committed{}, err
	}
	next, err := document.Apply(change.Change, change.Revision)
	if err != nil {
		return nil, Committed{}, fmt.Errorf("%w: revision %d: %w", ErrLog, change.Revision, err)
	}
	return next, change, nil
}

// outcome says whether the change may be in force when the commit ends with err.
func outcome(err error, sent bool) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return convert(err)
}

// convert maps platform errors to those of this package and leaves the others as they are.
func convert(err error) error {
	for _, known := range []error{kvstore.ErrUnavailable, kvstore.ErrUnknownOutcome, kvstore.ErrNotFound, kvstore.ErrConflict} {
		if errors.Is(err, known) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return err
}

// Compact writes the document as the snapshot when it is at least 100 revisions newer than the one
// on the platform, then deletes log entries beyond the retention. Any number of watchers may call it;
// compare-and-swap lets one win. It reports whether this call wrote the snapshot. A failure leaves
// the platform correct: the snapshot is old, or entries stay longer than needed.
func (w Writer) Compact(ctx context.Context, document *Document) (bool, error) {
	var snapshotRevision, previous int64
	entry, err := w.Store.Get(ctx, SnapshotKey)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return false, convert(err)
	}
	if err == nil {
		old, err := DecodeSnapshot(entry.Value)
		if err != nil {
			return false, fmt.Errorf("%w: %w", ErrLog, err)
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
		return false, convert(err)
	}
	first := max(0, (snapshotRevision-Retention)/blockSize)
	last := (document.Revision - Retention) / blockSize
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
		return convert(err)
	}
	for _, entry := range entries {
		err := w.Store.CompareAndDelete(ctx, entry.Key, entry.Revision)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) && !errors.Is(err, kvstore.ErrConflict) {
			return convert(err)
		}
	}
	return nil
}
