// Package quarantine finds requests that crash their upstream and refuses them for a time.
//
// A request is identified by its fingerprint. When an upstream crashes, each fingerprint in flight there
// gets a mark with the id of the crash. Enough marks of different crashes without a success quarantine
// the fingerprint. Nodes exchange marks as a mergeable set.
//
// Most requests in flight at a crash did not cause it. Four rules keep them out of quarantine:
//
//   - A success clears the marks of its fingerprint.
//   - A fingerprint that has marks and no recent success is a suspect. An upstream runs one suspect at a
//     time (Hold), so that two suspects are not both in flight at the next crash.
//   - When exactly one suspect is in flight at a crash, the crash is attributed to it, and the marks of all
//     others are weak. When there are several, the marks of all are weak.
//   - Marks of a fingerprint with a recent success are weak. A request that was alone in flight always
//     gets a strong mark.
//
// Two weak marks count as one strong mark.
//
// The fingerprint of a request covers its whole body, so that it is never taken for another request. A body that is passed
// on while it arrives is known only at its end. Until then the request has the fingerprint of its beginning, which many
// requests may share: it is marked in a crash, but never refused, cleared by a success or held as a suspect. A later request
// with a marked beginning is read to its end before it is sent, as far as memory allows (Identifier).
//
// The package owns no clock, random source or goroutine.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings of a List.
type Config struct {
	// Crashes is the number of strong marks that quarantine a fingerprint.
	Crashes int
	// RefusalTime is how long a fingerprint is refused after its last mark.
	RefusalTime time.Duration
	// MarkLifetime is how long a mark is kept. It exceeds RefusalTime, so that a request that crashes an
	// upstream again after its refusal has ended is refused again at once.
	MarkLifetime time.Duration
	// ClockSkew is the maximum time that a mark of another node may be in the future.
	ClockSkew time.Duration
	// MarkLimit bounds the number of marks, at about 100 bytes each. The newest are kept.
	MarkLimit int
	// SuccessLimit bounds the number of remembered successes, at about 40 bytes each.
	SuccessLimit int
}

// DefaultConfig returns the values used by cowslipd.
func DefaultConfig() Config {
	return Config{
		Crashes:      2,
		RefusalTime:  10 * time.Minute,
		MarkLifetime: 20 * time.Minute,
		ClockSkew:    time.Minute,
		MarkLimit:    8192,
		SuccessLimit: 16384,
	}
}

func writeNumber(digest *xxhash.Digest, number uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], number)
	_, _ = digest.Write(buffer[:])
}

// CrashID identifies one crash of one upstream.
type CrashID uint64

// NewCrashID returns the id of a crash. The incarnation is that of the upstream process, not of its
// node, so that two crashes of an upstream differ.
func NewCrashID(node string, incarnation uint64) CrashID {
	var digest xxhash.Digest
	digest.Reset()
	writeNumber(&digest, incarnation)
	_, _ = digest.WriteString(node)
	return CrashID(digest.Sum64())
}

// Mark records that a fingerprint was in flight at a crash. Fingerprint and Crash identify it; the other
// fields merge in any order to the same result.
type Mark struct {
	Fingerprint uint64
	Crash       CrashID
	// At is the time of the crash by the clock of the node that detected it.
	At time.Time
	// Weak means that the mark counts half; see the package comment.
	Weak bool
	// Cleared means that the fingerprint has succeeded since the crash or that an operator released it.
	Cleared bool
}

// compare orders marks by age, oldest first; a full list drops the oldest.
func (m Mark) compare(other Mark) int {
	return cmp.Or(m.At.Compare(other.At), cmp.Compare(m.Fingerprint, other.Fingerprint), cmp.Compare(m.Crash, other.Crash))
}

// merge returns the join of two versions of a mark: the later time, strong over weak, cleared over not.
func (m Mark) merge(other Mark) Mark {
	if other.At.After(m.At) {
		m.At = other.At
	}
	m.Weak = m.Weak && other.Weak
	m.Cleared = m.Cleared || other.Cleared
	return m
}
