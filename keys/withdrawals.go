package keys

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HashBytes is the length of a key hash.
const HashBytes = 32

// MaxWithdrawals bounds the size of a set. It is twice the number of keys that a configuration can hold,
// so a set can be full only if some of its hashes belong to no key.
const MaxWithdrawals = 10_000

// Errors of Withdrawals.
var (
	// ErrMalformedHash means that a hash is not 64 lower-case hexadecimal digits or 32 bytes.
	ErrMalformedHash = errors.New("keys: malformed key hash")
	// ErrFull means that the set holds MaxWithdrawals entries that the configuration does not hold yet.
	ErrFull = errors.New("keys: withdrawal set is full")
)

type keyHash = [HashBytes]byte

// Pending is a withdrawal that the configuration does not hold yet.
type Pending struct {
	Hash string
	// Actor withdrew the key at this node; it is empty for withdrawals received from other nodes.
	Actor string
}

// ChangeID returns the id of the configuration change that records the withdrawal. It depends only on
// the hash, so that the change is committed once even if several nodes write it.
func (p Pending) ChangeID() string { return "withdraw-" + p.Hash[:32] }

type withdrawal struct {
	hash    keyHash
	actor   string
	addedAt time.Time
}

// Withdrawals is the set of withdrawn keys that the configuration in force does not hold yet. Any node
// accepts a withdrawal and disseminates it without the platform; merging is commutative, associative
// and idempotent. An entry is removed only once the configuration holds it, so a withdrawn key never
// becomes valid again. Withdrawals is not safe for concurrent use.
type Withdrawals struct {
	entries map[keyHash]struct{}
	// log holds the entries in the order in which they were added; log[i] has version baseVersion+i+1.
	log         []withdrawal
	baseVersion int64
	digest      uint64
}

// NewWithdrawals returns an empty set.
func NewWithdrawals() *Withdrawals {
	return &Withdrawals{entries: map[keyHash]struct{}{}}
}

// Withdrawn reports whether the set holds the hash. Callers must check the configuration as well.
func (w *Withdrawals) Withdrawn(hash string) bool {
	if len(w.entries) == 0 {
		return false
	}
	h, err := parseHash(hash)
	if err != nil {
		return false
	}
	_, ok := w.entries[h]
	return ok
}

// Withdraw adds a key that an operator withdrew at this node, unless recorded returns true for it, and
// reports whether it is new. Errors are ErrMalformedHash and ErrFull.
func (w *Withdrawals) Withdraw(now time.Time, hash, actor string, recorded func(hash string) bool) (bool, error) {
	h, err := parseHash(hash)
	if err != nil {
		return false, err
	}
	if recorded(hash) {
		return false, nil
	}
	return w.add(withdrawal{hash: h, actor: actor, addedAt: now})
}

// Merge adds hashes received from another node, except those for which recorded returns true, and
// returns the new ones, which the caller pushes to its peers. Errors are ErrMalformedHash and ErrFull;
// valid hashes before and after a malformed one are added.
func (w *Withdrawals) Merge(now time.Time, hashes [][]byte, recorded func(hash string) bool) ([][]byte, error) {
	var newHashes [][]byte
	var lastErr error
	for _, raw := range hashes {
		if len(raw) != HashBytes {
			lastErr = ErrMalformedHash
			continue
		}
		if recorded(hex.EncodeToString(raw)) {
			continue
		}
		added, err := w.add(withdrawal{hash: keyHash(raw), addedAt: now})
		if err != nil {
			lastErr = err
		}
		if added {
			newHashes = append(newHashes, raw)
		}
	}
	return newHashes, lastErr
}

func (w *Withdrawals) add(entry withdrawal) (bool, error) {
	if _, ok := w.entries[entry.hash]; ok {
		return false, nil
	}
	if len(w.entries) >= MaxWithdrawals {
		return false, ErrFull
	}
	w.entries[entry.hash] = struct{}{}
	w.log = append(w.log, entry)
	w.digest ^= xxhash.Sum64(entry.hash[:])
	return true, nil
}

// Drop removes the entries for which recorded returns true because the configuration in force holds them
// as withdrawn. Call it only with a configuration whose revision never decreases.
func (w *Withdrawals) Drop(recorded func(hash string) bool) {
	dropped := false
	for _, entry := range w.log {
		if recorded(hex.EncodeToString(entry.hash[:])) {
			delete(w.entries, entry.hash)
			w.digest ^= xxhash.Sum64(entry.hash[:])
			dropped = true
		}
	}
	if !dropped {
		return
	}
	// The remaining entries get new versions, so that Delta can still return a suffix of the log.
	remaining := make([]withdrawal, 0, len(w.entries))
	for _, entry := range w.log {
		if _, ok := w.entries[entry.hash]; ok {
			remaining = append(remaining, entry)
		}
	}
	w.baseVersion += int64(len(w.log))
	w.log = remaining
}

// Digest returns a hash of the set, which is equal for equal sets and takes 8 bytes in a packet.
func (w *Withdrawals) Digest() uint64 { return w.digest }

// Len returns the number of entries.
func (w *Withdrawals) Len() int { return len(w.log) }

// Version returns the version of the set, which increases with every added entry and every Drop that
// removes one.
func (w *Withdrawals) Version() int64 { return w.baseVersion + int64(len(w.log)) }

// Delta returns the hashes added after the given version, and the version to continue from. A version of
// another node or process is meaningless here; pass 0 instead, which returns all hashes.
func (w *Withdrawals) Delta(after int64) ([][]byte, int64) {
	start := min(max(0, after-w.baseVersion), int64(len(w.log)))
	hashes := make([][]byte, 0, int64(len(w.log))-start)
	for _, entry := range w.log[start:] {
		hashes = append(hashes, append([]byte(nil), entry.hash[:]...))
	}
	return hashes, w.Version()
}

// Pending returns the withdrawals that must still be written to the platform: those made at this node,
// and all that are at least as old as age, in case their node has departed. Watchers pass an age of some
// seconds; other nodes pass a negative age to get only their own.
func (w *Withdrawals) Pending(now time.Time, age time.Duration) []Pending {
	var pending []Pending
	for _, entry := range w.log {
		overdue := age >= 0 && now.Sub(entry.addedAt) >= age
		if entry.actor != "" || overdue {
			pending = append(pending, Pending{Hash: hex.EncodeToString(entry.hash[:]), Actor: entry.actor})
		}
	}
	return pending
}

func parseHash(hash string) (keyHash, error) {
	var h keyHash
	if len(hash) != 2*HashBytes {
		return h, ErrMalformedHash
	}
	for _, c := range []byte(hash) {
		if c >= 'A' && c <= 'F' {
			return h, ErrMalformedHash
		}
	}
	if _, err := hex.Decode(h[:], []byte(hash)); err != nil {
		return h, ErrMalformedHash
	}
	return h, nil
}
