package quarantine

import (
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrQuarantined means that the end of a body was withheld, as the request has crashed upstreams.
var ErrQuarantined = errors.New("quarantine: the request has crashed upstreams")

// Reader returns a reader of the body of a call that is known by its beginning. Before it returns the last byte, the call
// becomes known by its whole fingerprint; if that is quarantined, it returns ErrQuarantined in its place, so that the
// upstream never has the whole request.
func (t *Tracker) Reader(body io.Reader, source Source, ticket Ticket, now func() time.Time) io.Reader {
	return &bodyReader{body: body, digest: xxhash.New(), identify: func(bodyHash uint64) (quarantined bool) {
		return t.identify(ticket, source.Fingerprint(bodyHash), now())
	}}
}

// bodyReader passes a body on and identifies its call before the last byte.
type bodyReader struct {
	body     io.Reader
	digest   *xxhash.Digest
	identify func(bodyHash uint64) (quarantined bool)
	buffer   [16 << 10]byte
	// unsent is the part of buffer that has not been passed on. The last byte is held back until the body has ended.
	unsent []byte
	// err is what follows unsent.
	err error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for r.err == nil && len(r.unsent) <= 1 {
		r.fill()
	}
	available := r.unsent
	if r.err == nil {
		available = available[:len(available)-1]
	}
	n := copy(p, available)
	r.unsent = r.unsent[n:]
	if len(available) == 0 {
		return 0, r.err
	}
	return n, nil
}

func (r *bodyReader) fill() {
	kept := copy(r.buffer[:], r.unsent)
	n, err := r.body.Read(r.buffer[kept:])
	_, _ = r.digest.Write(r.buffer[kept : kept+n])
	r.unsent, r.err = r.buffer[:kept+n], err
	if errors.Is(err, io.EOF) && r.identify(r.digest.Sum64()) {
		r.unsent, r.err = nil, ErrQuarantined
	}
}
