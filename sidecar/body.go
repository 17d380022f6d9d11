package sidecar

import (
	"bytes"
	"io"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/quarantine"
)

// replayBody is a client's body. One that fits into memory can be sent again.
type replayBody struct {
	data   []byte
	stream io.Reader
	length int64
	used   bool
}

func newReplayBody(body io.Reader, length int64) (*replayBody, error) {
	data, rest, err := call.BufferBody(body, length)
	if err != nil {
		return nil, err
	}
	if rest != nil {
		return &replayBody{stream: rest, length: length}, nil
	}
	return &replayBody{data: data, length: int64(len(data))}, nil
}

// replayable tells whether the body can be attached once more.
func (b *replayBody) replayable() bool { return b.stream == nil || !b.used }

// attach returns a copy of a request with the body.
func (b *replayBody) attach(req *call.Request) *call.Request {
	attempt := *req
	attempt.ContentLength = b.length
	if b.stream != nil {
		attempt.Body = &trackedReader{b}
	} else {
		attempt.Body = bytes.NewReader(b.data)
	}
	return &attempt
}

// hash returns the part of the request's fingerprint that comes from the body.
func (b *replayBody) hash() uint64 { return quarantine.BodyHash(b.data, b.length) }

// trackedReader notes that a streamed body has been begun.
type trackedReader struct{ body *replayBody }

// Read implements io.Reader.
func (r *trackedReader) Read(p []byte) (int, error) {
	r.body.used = true
	return r.body.stream.Read(p)
}
