package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// beginningBytes is the number of bytes that the beginning of a long body has.
	beginningBytes = 4096
	// maxReadAhead bounds a body that is read to its end before it is sent.
	maxReadAhead = 1 << 20
	// maxReadsAhead bounds the number of such bodies in memory at a time.
	maxReadsAhead = 8
	// beginningBit tells the fingerprint of a beginning from that of a whole request.
	beginningBit = 1 << 63
)

// Source is where a request comes from and goes to. Repeats of a request have the same.
type Source struct {
	// Caller is the workspace, with whatever else tells callers apart.
	Caller string
	Method string
	Target string
}

// Fingerprint returns a hash that identifies a request across retries, from the hash of its body. The hash is unkeyed:
// whoever knows a request exactly can construct a colliding one of the same caller.
func (s Source) Fingerprint(bodyHash uint64) uint64 { return s.hash(bodyHash) &^ beginningBit }

// Beginning returns the fingerprint of all requests whose bodies begin with the same bytes.
func (s Source) Beginning(data []byte) uint64 { return s.hash(BodyHash(data)) | beginningBit }

func (s Source) hash(bodyHash uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{s.Caller, s.Method, s.Target} {
		writeNumber(&digest, uint64(len(part))) // distinguishes "ab","c" from "a","bc"
		_, _ = digest.WriteString(part)
	}
	writeNumber(&digest, bodyHash)
	return digest.Sum64()
}

// IsBeginning reports whether a fingerprint is that of a beginning.
func IsBeginning(fingerprint uint64) bool { return fingerprint&beginningBit != 0 }

// BodyHash returns the hash of a body. It doesn't depend on how the body is framed.
func BodyHash(data []byte) uint64 { return xxhash.Sum64(data) }

// Body is a request body that may be read while it is passed on.
type Body interface {
	// Buffered reports whether the whole body is in memory.
	Buffered() bool
	// Data returns the whole body if it is in memory.
	Data() []byte
	// Beginning reads the first bytes of a body that is not in memory.
	Beginning(bytesWanted int) ([]byte, error)
	// Buffer reads the body into memory if it has at most limit bytes.
	Buffer(limit int) error
}

// Identifier determines the fingerprints of requests before they are sent. It is safe for concurrent use.
type Identifier struct {
	list *List
	// reads has one element for each body that is being read ahead.
	reads chan struct{}
}

// NewIdentifier returns an Identifier that knows beginnings by their marks in the list.
func NewIdentifier(list *List) *Identifier {
	return &Identifier{list: list, reads: make(chan struct{}, maxReadsAhead)}
}

// Identify returns the fingerprint of a request. It reads the body to its end if requests with this beginning were in flight
// at a crash, unless the body is too long or too many others are in memory. The caller must call release when it no
// longer needs the body. An error means that the body could not be read.
func (i *Identifier) Identify(source Source, body Body, now time.Time) (fingerprint uint64, release func(), err error) {
	release = func() {}
	if body.Buffered() {
		return source.Fingerprint(BodyHash(body.Data())), release, nil
	}
	data, err := body.Beginning(beginningBytes)
	if err != nil {
		return 0, nil, err
	}
	beginning := source.Beginning(data)
	if standing, _ := i.list.Standing(beginning, now); standing == Clear {
		return beginning, release, nil
	}
	select {
	case i.reads <- struct{}{}:
		release = func() { <-i.reads }
	default:
		return beginning, release, nil
	}
	if err := body.Buffer(maxReadAhead); err != nil {
		release()
		return 0, nil, err
	}
	if !body.Buffered() {
		return beginning, release, nil
	}
	return source.Fingerprint(BodyHash(body.Data())), release, nil
}
